"""Reads, polls and changes the documents in the platform's store."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, replace

from cactuspass._codec import (
    decode_configuration,
    decode_placement,
    encode_configuration,
    encode_placement,
)
from cactuspass._findings import Finding
from cactuspass._messages import (
    ConfigurationRead,
    Input,
    PlacementConfirmed,
    PlacementRead,
    PlacementWritten,
    PlatformFailed,
    WritePlacement,
)
from cactuspass._platform import KeyValue, Platform
from cactuspass.exceptions import (
    ConfigurationConflict,
    DocumentError,
    OutcomeUnknown,
    PlatformError,
    StoreReverted,
)
from cactuspass.models import Configuration, DataCentreId, OperationId, Placement

CONFIGURATION_KEY = "/cactuspass/configuration"
PLACEMENT_PREFIX = "/cactuspass/placement/"
MAX_COMMIT_ATTEMPTS = 8
MAX_PLACEMENT_ATTEMPTS = 2
MAX_KEPT_OPERATIONS = 128
MAX_KEPT_CONFIGURATIONS = 32
POLLS_PER_FULL_READ = 5


@dataclass(frozen=True, slots=True)
class KeyRevisions:
    """The store's revisions of the keys at some time after ``sent_at``.

    :param configuration_revision: the store's revision of the key; 0 when it is missing.
    :param placement_revision: the store's revision of the key; 0 when it is missing.
    :param sent_at: when the request was sent, by the local clock.
    """

    configuration_revision: int
    placement_revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class PollResult:
    """Result of one poll of the store.

    :param inputs: inputs for the decision core.
    :param findings: mistakes in documents that could not be decoded.
    """

    inputs: tuple[Input, ...]
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The configuration and the store's revision of its key."""

    configuration: Configuration
    store_revision: int


class ConfigurationChange(ABC):
    """Change of the configuration that an operator requested."""

    @abstractmethod
    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration; ``revision`` and ``operations`` are set later.

        This must have no side effects, since it is repeated when another change came first.

        :raises CommandError: when the change can't be made.
        """

    def base(self, stored: Configuration) -> Configuration:
        """Return the configuration to change; by default, the stored one.

        :raises CommandError: when the change can't be made.
        """
        return stored

    def depends_on(self, configuration: Configuration) -> object:
        """Return the part that must be unchanged since the operator saw it; by default, all."""
        return configuration.declarations_by_name, configuration.take_outs_by_tag


class DocumentStore:
    """The configuration and one data centre's placement in the platform's store.

    :param clock: returns the local time in seconds, for ``sent_at``.
    """

    def __init__(
        self, platform: Platform, data_centre: DataCentreId, clock: Callable[[], float]
    ) -> None:
        self._platform = platform
        self._data_centre = data_centre
        self._placement_key = PLACEMENT_PREFIX + data_centre
        self._clock = clock
        self._config_mod_revision: int | None = None
        self._placement_mod_revision: int | None = None
        self._placement_writes = 0
        self._polls = 0
        self._configurations_by_revision: dict[int, Configuration] = {}
        self._stored_configuration_revision = 0

    async def read_revisions(self) -> KeyRevisions:
        """Read the revisions of both keys in one call.

        :raises PlatformError: when the store does not answer.
        """
        sent_at = self._clock()
        keys = (CONFIGURATION_KEY, self._placement_key)
        snapshot = await self._platform.read(keys, keys_only=True)
        configuration, placement = (snapshot.values_by_key[key] for key in keys)
        return KeyRevisions(configuration.mod_revision, placement.mod_revision, sent_at)

    async def poll(self) -> PollResult:
        """Read the revisions of both keys, and the documents that changed since the last poll.

        After each :meth:`write_placement` the placement counts as changed. The configuration is
        also read every few polls, since a store that was reverted may repeat a revision.
        """
        self._polls += 1
        if self._polls % POLLS_PER_FULL_READ == 0:
            self._config_mod_revision = None
        try:
            revisions = await self.read_revisions()
            changed = self._changed_keys(revisions)
            if not changed:
                return PollResult((self._make_confirmation(revisions),))
            return await self._read_changed(changed, revisions)
        except PlatformError as error:
            return PollResult((PlatformFailed(str(error)),))

    def record_configuration(self, configuration: Configuration) -> None:
        """Record a configuration, such as one sent by a peer, for the detection of conflicts."""
        self._configurations_by_revision[configuration.revision] = configuration
        if len(self._configurations_by_revision) > MAX_KEPT_CONFIGURATIONS:
            del self._configurations_by_revision[min(self._configurations_by_revision)]

    async def read_configuration(self) -> StoredConfiguration:
        """Read the configuration; a missing one counts as revision 0.

        :raises PlatformError: when the store does not answer.
        :raises DocumentError: when the document is malformed.
        """
        snapshot = await self._platform.read([CONFIGURATION_KEY])
        return self._decode_configuration(snapshot.values_by_key[CONFIGURATION_KEY])

    async def commit_configuration(
        self,
        change: ConfigurationChange,
        operation: OperationId,
        seen_revision: int | None = None,
    ) -> Configuration:
        """Apply a change to the stored configuration, once.

        :param operation: unique id of the change; a repeated commit with it changes nothing.
        :param seen_revision: revision that the operator saw, for the detection of conflicts.
        :return: the committed configuration.
        :raises ConfigurationConflict: when what the change depends on is no longer as seen,
            or when other changes came first in every attempt; nothing was changed.
        :raises StoreReverted: when the stored configuration is older than one seen before.
        :raises CommandError: when the change can't be made; nothing was changed.
        :raises OutcomeUnknown: when the change may have been made or may still be made.
        :raises PlatformError: when the store does not answer; nothing was changed.
        :raises DocumentError: when the stored document is malformed; nothing was changed.
        """
        unknown_outcome: OutcomeUnknown | None = None
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                committed = await self._try_commit(change, operation, seen_revision)
            except OutcomeUnknown as error:
                unknown_outcome = error
            except PlatformError as error:
                if unknown_outcome is not None:
                    raise OutcomeUnknown(str(unknown_outcome)) from error
                raise
            else:
                if committed is not None:
                    return committed
        if unknown_outcome is not None:
            raise OutcomeUnknown(str(unknown_outcome))
        raise ConfigurationConflict(seen_revision or 0, max(self._configurations_by_revision))

    async def _try_commit(
        self, change: ConfigurationChange, operation: OperationId, seen_revision: int | None
    ) -> Configuration | None:
        """Read and replace the configuration; return None when another change came first."""
        stored = await self.read_configuration()
        if operation in stored.configuration.operations:
            return stored.configuration
        base = change.base(stored.configuration)
        self._check_not_reverted(base.revision, stored.configuration.revision)
        self._check_seen(change, base, seen_revision)
        changed = _next_configuration(change, base, operation)
        accepted = await self._swap_configuration(changed, stored.store_revision)
        return changed if accepted else None

    async def write_placement(self, order: WritePlacement) -> PlacementWritten:
        """Replace the placement if the store still has the expected revision.

        A write whose answer was lost is repeated; at most one of the two can take effect.

        :return: ``accepted`` is None when the write may have taken effect or may still do so.
        """
        try:
            return await self._write_placement(order)
        finally:
            self._placement_mod_revision = None
            self._placement_writes += 1

    async def _write_placement(self, order: WritePlacement) -> PlacementWritten:
        write_id = order.placement.write_id
        unaccepted_outcome: bool | None = False
        for _ in range(MAX_PLACEMENT_ATTEMPTS):
            try:
                result = await self._platform.compare_and_swap(
                    self._placement_key, encode_placement(order.placement), order.expected_revision
                )
            except OutcomeUnknown:
                unaccepted_outcome = None
                continue
            except PlatformError:
                return PlacementWritten(write_id, unaccepted_outcome)
            if result.accepted or _decode_write_id(result.current) == write_id:
                return PlacementWritten(write_id, True)
            return PlacementWritten(write_id, unaccepted_outcome)
        return PlacementWritten(write_id, unaccepted_outcome)

    def _changed_keys(self, revisions: KeyRevisions) -> list[str]:
        known_by_key = {
            CONFIGURATION_KEY: self._config_mod_revision,
            self._placement_key: self._placement_mod_revision,
        }
        found_by_key = {
            CONFIGURATION_KEY: revisions.configuration_revision,
            self._placement_key: revisions.placement_revision,
        }
        changed = [key for key, found in found_by_key.items() if found != known_by_key[key]]
        if self._stored_configuration_revision < max(self._configurations_by_revision, default=0):
            # A newer configuration is known, for example from a peer: the store does not have it
            # yet, or it was reverted.
            changed = [CONFIGURATION_KEY, *(key for key in changed if key != CONFIGURATION_KEY)]
        return changed

    def _make_confirmation(self, revisions: KeyRevisions) -> Input:
        return PlacementConfirmed(revisions.placement_revision, revisions.sent_at)

    async def _read_changed(self, changed: list[str], revisions: KeyRevisions) -> PollResult:
        sent_at = self._clock()
        writes = self._placement_writes
        snapshot = await self._platform.read(changed)
        inputs: list[Input] = []
        findings: list[Finding] = []
        for key, stored in snapshot.values_by_key.items():
            try:
                inputs.append(self._decode_input(key, stored, sent_at))
            except DocumentError as error:
                findings.extend(error.findings)
        if CONFIGURATION_KEY in changed:
            self._config_mod_revision = snapshot.values_by_key[CONFIGURATION_KEY].mod_revision
        if self._placement_key not in changed:
            inputs.append(self._make_confirmation(revisions))
        elif writes == self._placement_writes:
            self._placement_mod_revision = snapshot.values_by_key[self._placement_key].mod_revision
        return PollResult(tuple(inputs), tuple(findings))

    def _decode_input(self, key: str, stored: KeyValue, sent_at: float) -> Input:
        if key == CONFIGURATION_KEY:
            configuration = self._decode_configuration(stored).configuration
            self._stored_configuration_revision = configuration.revision
            return ConfigurationRead(configuration, from_platform=True)
        placement = Placement(self._data_centre)
        if stored.value is not None:
            placement = decode_placement(stored.value)
        return PlacementRead(placement, stored.mod_revision, sent_at)

    def _decode_configuration(self, stored: KeyValue) -> StoredConfiguration:
        configuration = Configuration()
        if stored.value is not None:
            configuration = decode_configuration(stored.value)
        self.record_configuration(configuration)
        return StoredConfiguration(configuration, stored.mod_revision)

    def _check_not_reverted(self, base_revision: int, stored_revision: int) -> None:
        known_revision = max(self._configurations_by_revision)
        if base_revision < known_revision:
            raise StoreReverted(known_revision, stored_revision)

    def _check_seen(
        self, change: ConfigurationChange, current: Configuration, seen_revision: int | None
    ) -> None:
        if seen_revision is None or seen_revision == current.revision:
            return
        seen = self._configurations_by_revision.get(seen_revision)
        if seen is None or change.depends_on(seen) != change.depends_on(current):
            raise ConfigurationConflict(seen_revision, current.revision)

    async def _swap_configuration(self, changed: Configuration, expected: int) -> bool:
        data = encode_configuration(changed)
        result = await self._platform.compare_and_swap(CONFIGURATION_KEY, data, expected)
        if result.accepted:
            self.record_configuration(changed)
        return result.accepted


def _next_configuration(
    change: ConfigurationChange, configuration: Configuration, operation: OperationId
) -> Configuration:
    operations = (*configuration.operations, operation)[-MAX_KEPT_OPERATIONS:]
    changed = change.apply(configuration)
    return replace(changed, revision=configuration.revision + 1, operations=operations)


def _decode_write_id(stored: KeyValue) -> OperationId | None:
    if stored.value is None:
        return None
    try:
        return decode_placement(stored.value).write_id
    except DocumentError:
        return None
