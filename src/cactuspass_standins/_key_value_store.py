"""In-memory key-value store with revisions, transactions and leases, independent of HTTP."""

import copy
import itertools
import operator
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

FIRST_LEASE_ID = 7001
UNBOUNDED_RANGE_END = b"\0"


class StoreError(Exception):
    """The store refused a request."""


class LeaseNotFound(StoreError):
    """The lease does not exist or has expired."""


class Target(Enum):
    """Field of a key that a comparison reads; the values are attribute names of KeyValue."""

    VERSION = "version"
    CREATE = "create_revision"
    MOD = "mod_revision"
    VALUE = "value"


class Comparison(Enum):
    """Comparison operator."""

    EQUAL = "EQUAL"
    NOT_EQUAL = "NOT_EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"


OPERATORS = {
    Comparison.EQUAL: operator.eq,
    Comparison.NOT_EQUAL: operator.ne,
    Comparison.GREATER: operator.gt,
    Comparison.LESS: operator.lt,
}


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key with its value and revisions."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


@dataclass(frozen=True, slots=True)
class RangeRequest:
    """Reads one key, or the keys from ``key`` up to but excluding ``range_end``.

    :param limit: maximum number of keys to return; 0 for no limit.
    """

    key: bytes
    range_end: bytes = b""
    limit: int = 0
    keys_only: bool = False
    count_only: bool = False


@dataclass(frozen=True, slots=True)
class PutRequest:
    """Writes one key."""

    key: bytes
    value: bytes = b""
    lease: int = 0


@dataclass(frozen=True, slots=True)
class DeleteRequest:
    """Deletes one key, or the keys from ``key`` up to but excluding ``range_end``."""

    key: bytes
    range_end: bytes = b""


Request = RangeRequest | PutRequest | DeleteRequest


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition of a transaction; a missing key has zero revisions and matches no value."""

    key: bytes
    target: Target
    result: Comparison
    operand: int | bytes


@dataclass(frozen=True, slots=True)
class Transaction:
    """Requests executed atomically: ``success`` if all conditions hold, else ``failure``."""

    compare: tuple[Compare, ...]
    success: tuple[Request, ...]
    failure: tuple[Request, ...] = ()

    @property
    def may_write(self) -> bool:
        """Return whether any of its requests is a write."""
        requests = self.success + self.failure
        return any(not isinstance(request, RangeRequest) for request in requests)


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Keys found by a range request; ``count`` includes those beyond the limit."""

    pairs: tuple[KeyValue, ...]
    count: int


@dataclass(frozen=True, slots=True)
class PutResult:
    """Result of a put request."""


@dataclass(frozen=True, slots=True)
class DeleteResult:
    """Result of a delete request, with the number of deleted keys."""

    deleted: int


Result = RangeResult | PutResult | DeleteResult


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Whether the conditions held, and the results of the executed requests."""

    succeeded: bool
    results: tuple[Result, ...]


@dataclass(slots=True)
class Lease:
    """A lease; its keys are deleted when it expires without being kept alive."""

    lease_id: int
    ttl_seconds: int
    expires_at: float


@dataclass(slots=True)
class StoreState:
    """Complete state of the store, as kept in a snapshot."""

    revision: int = 1
    pairs_by_key: dict[bytes, KeyValue] = field(default_factory=dict)
    leases_by_id: dict[int, Lease] = field(default_factory=dict)


class KeyValueStore:
    """Key-value store; methods with a ``now`` parameter first remove the expired leases."""

    def __init__(self) -> None:
        self._state = StoreState()
        self._lease_ids = itertools.count(FIRST_LEASE_ID)

    @property
    def revision(self) -> int:
        """Return the revision of the latest change."""
        return self._state.revision

    def snapshot(self) -> StoreState:
        """Return a copy of the complete state."""
        return copy.deepcopy(self._state)

    def restore(self, state: StoreState) -> None:
        """Replace the state, including the revision, by an earlier one."""
        self._state = copy.deepcopy(state)

    def run(self, transaction: Transaction, now: float) -> TransactionResult:
        """Run a transaction.

        :raises StoreError: when the transaction is refused; the state is then unchanged.
        """
        self._expire_leases(now)
        succeeded = all(self._is_satisfied(compare) for compare in transaction.compare)
        requests = transaction.success if succeeded else transaction.failure
        self._validate(requests)
        revision = self.revision + 1
        results = tuple(self._apply(request, revision) for request in requests)
        if any(isinstance(item, PutResult) or _has_deleted(item) for item in results):
            self._state.revision = revision
        return TransactionResult(succeeded, results)

    def grant_lease(self, ttl_seconds: int, now: float, lease_id: int = 0) -> Lease:
        """Create a lease that expires after ``ttl_seconds``."""
        self._expire_leases(now)
        lease = Lease(lease_id or next(self._lease_ids), ttl_seconds, now + ttl_seconds)
        self._state.leases_by_id[lease.lease_id] = lease
        return lease

    def keep_lease_alive(self, lease_id: int, now: float) -> Lease | None:
        """Extend a lease by its full TTL.

        :return: the lease, or None when it has expired.
        """
        self._expire_leases(now)
        lease = self._state.leases_by_id.get(lease_id)
        if lease is not None:
            lease.expires_at = now + lease.ttl_seconds
        return lease

    def revoke_lease(self, lease_id: int, now: float) -> None:
        """Delete the lease and its keys.

        :raises LeaseNotFound: when the lease does not exist or has expired.
        """
        self._expire_leases(now)
        if lease_id not in self._state.leases_by_id:
            raise LeaseNotFound("etcdserver: requested lease not found")
        self._delete_leases([lease_id])

    def _expire_leases(self, now: float) -> None:
        leases = self._state.leases_by_id.values()
        self._delete_leases([lease.lease_id for lease in leases if lease.expires_at <= now])

    def _delete_leases(self, lease_ids: Iterable[int]) -> None:
        for lease_id in lease_ids:
            del self._state.leases_by_id[lease_id]
            pairs = self._state.pairs_by_key
            keys = [key for key, pair in pairs.items() if pair.lease == lease_id]
            for key in keys:
                del pairs[key]
            self._state.revision += bool(keys)

    def _is_satisfied(self, compare: Compare) -> bool:
        pair = self._state.pairs_by_key.get(compare.key)
        if pair is None and compare.target is Target.VALUE:
            return False
        actual = getattr(pair or KeyValue(compare.key), compare.target.value)
        return bool(OPERATORS[compare.result](actual, compare.operand))

    def _validate(self, requests: Iterable[Request]) -> None:
        puts = [request for request in requests if isinstance(request, PutRequest)]
        if len({request.key for request in puts}) < len(puts):
            raise StoreError("etcdserver: duplicate key given in txn request")
        if any(put.lease and put.lease not in self._state.leases_by_id for put in puts):
            raise LeaseNotFound("etcdserver: requested lease not found")

    def _apply(self, request: Request, revision: int) -> Result:
        if isinstance(request, RangeRequest):
            return self._read(request)
        if isinstance(request, PutRequest):
            return self._put(request, revision)
        return self._delete(request)

    def _read(self, request: RangeRequest) -> RangeResult:
        keys = self._keys(request.key, request.range_end)
        selected = [] if request.count_only else keys[: request.limit or None]
        pairs = (self._state.pairs_by_key[key] for key in selected)
        if request.keys_only:
            pairs = (_without_value(pair) for pair in pairs)
        return RangeResult(tuple(pairs), len(keys))

    def _put(self, request: PutRequest, revision: int) -> PutResult:
        old = self._state.pairs_by_key.get(request.key)
        self._state.pairs_by_key[request.key] = KeyValue(
            key=request.key,
            value=request.value,
            create_revision=old.create_revision if old else revision,
            mod_revision=revision,
            version=old.version + 1 if old else 1,
            lease=request.lease,
        )
        return PutResult()

    def _delete(self, request: DeleteRequest) -> DeleteResult:
        keys = self._keys(request.key, request.range_end)
        for key in keys:
            del self._state.pairs_by_key[key]
        return DeleteResult(len(keys))

    def _keys(self, first: bytes, end: bytes) -> list[bytes]:
        pairs = self._state.pairs_by_key
        if not end:
            return [first] if first in pairs else []
        return sorted(
            key for key in pairs if first <= key and (end == UNBOUNDED_RANGE_END or key < end)
        )


def _has_deleted(result: Result) -> bool:
    return isinstance(result, DeleteResult) and result.deleted > 0


def _without_value(pair: KeyValue) -> KeyValue:
    return KeyValue(
        pair.key, b"", pair.create_revision, pair.mod_revision, pair.version, pair.lease
    )
