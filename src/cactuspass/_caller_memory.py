"""Which requests lose their place when callers hold too many bytes together.

Nothing here reads a clock or a socket.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from cactuspass._byte_budget import ByteBudget

MEGABYTE = 1_000_000
KIBIBYTE = 1024
# Requests above it leave this share of the bound to those below it.
SMALL_REQUEST_BYTES = 64 * KIBIBYTE
SMALL_REQUEST_SHARE = 0.125
# A parsed header of one byte takes some 300 bytes: two strings, a list and its place in a table.
HEADER_BYTES = 400
# A newcomer displaces a request that still makes progress only if that holds so much more.
DISPLACING_FACTOR = 2


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Bounds on what all callers of a process hold together.

    :param held_bytes: largest number of bytes.
    :param connections: largest number of open connections.
    :param stall_seconds: time without progress after which a request is the first to lose its place
        when there is no room.
    :param min_bytes_per_second: mean rate below which an unfinished request counts as stalled.
    :param copies: how often a body is held while its request runs.
    """

    held_bytes: int = 256 * MEGABYTE
    connections: int = 65_536
    stall_seconds: float = 3.0
    min_bytes_per_second: float = 65_536.0
    copies: int = 1


@dataclass(eq=False, slots=True)
class CallerAccount:
    """What one connection of a caller holds.

    :param address: address of the caller.
    :param began_at: time at which the current request began.
    :param progressed_at: time at which the caller last sent or read bytes.
    :param request_bytes: bytes that the current request takes, those announced included.
    :param head_bytes: bytes that the head of the current request takes.
    :param buffered_bytes: bytes that have been received but not parsed, or not been sent yet.
    :param received_bytes: bytes of the body that have been received.
    :param is_whole: whether the current request has been received to its end.
    :param is_unread: whether an answer waits for its caller to read it.
    """

    address: str
    began_at: float
    progressed_at: float
    request_bytes: int = 0
    head_bytes: int = 0
    buffered_bytes: int = 0
    received_bytes: int = 0
    is_whole: bool = False
    is_unread: bool = False

    @property
    def held_bytes(self) -> int:
        """Bytes that the connection holds."""
        return self.request_bytes + self.buffered_bytes


class CallerMemory:
    """Counts the bytes of all connections, and chooses those that lose their place.

    :param budget: budget that answers are counted in, too.
    """

    def __init__(self, bounds: CallerBounds, budget: ByteBudget | None = None) -> None:
        self.bounds = bounds
        self._budget = budget or ByteBudget(bounds.held_bytes)
        self._accounts: set[CallerAccount] = set()
        self.held_bytes = 0

    def open(self, address: str, at: float) -> CallerAccount:
        """Return the account of a new connection."""
        account = CallerAccount(address, at, at)
        self._accounts.add(account)
        return account

    def close(self, account: CallerAccount) -> None:
        """Release what a connection holds; it may be closed already."""
        self._change(-account.held_bytes)
        account.request_bytes = account.buffered_bytes = 0
        self._accounts.discard(account)

    def begin_request(self, account: CallerAccount, at: float) -> None:
        """Release the previous request of a connection."""
        self.hold_request(account, 0)
        account.began_at = account.progressed_at = at
        account.head_bytes = account.received_bytes = 0
        account.is_whole = account.is_unread = False

    def hold_request(self, account: CallerAccount, count: int) -> None:
        """Set the number of bytes that a request holds."""
        self._change(count - account.request_bytes)
        account.request_bytes = count

    def hold_buffers(self, account: CallerAccount, count: int) -> None:
        """Set the number of bytes that the buffers of a connection hold."""
        if account in self._accounts:
            self._change(count - account.buffered_bytes)
            account.buffered_bytes = count

    def _change(self, count: int) -> None:
        self.held_bytes += count
        self._budget.hold(count)

    def excess_bytes(self, requester: CallerAccount | None = None) -> int:
        """Return by how many bytes a bound is exceeded; 0 if none is.

        :param requester: request whose size decides how much it leaves to others.
        """
        over_bound = self.held_bytes - self._bound(requester)
        if requester is not None and requester.held_bytes <= SMALL_REQUEST_BYTES:
            # Answers that fill the budget don't keep small requests out.
            return max(0, over_bound)
        return max(0, over_bound, self._budget.held_bytes - self._budget.max_bytes)

    def _bound(self, requester: CallerAccount | None) -> int:
        if requester is None or requester.held_bytes <= SMALL_REQUEST_BYTES:
            return self.bounds.held_bytes
        return int(self.bounds.held_bytes * (1 - SMALL_REQUEST_SHARE))

    def choose_victims(self, requester: CallerAccount | None, at: float) -> list[CallerAccount]:
        """Return the connections that lose their place, so that no bound is exceeded.

        Only those that hold more than a fair share do: first those that have stalled, then those
        that hold much more than the requester, each beginning with those that have held most for
        longest. If they make too little room, the requester loses its place, and they keep theirs.

        :param requester: request that has just grown; None if buffers have.
        """
        excess = self.excess_bytes(requester)
        if not excess:
            return []
        victims = []
        for account in self._candidates(requester, at):
            victims.append(account)
            excess -= account.held_bytes
            if excess <= 0:
                return victims
        if requester is None:
            return victims
        return [] if requester.is_whole else [requester]

    def _candidates(self, requester: CallerAccount | None, at: float) -> Iterable[CallerAccount]:
        holders = [account for account in self._accounts if account.held_bytes]
        share = min(self._bound(requester), self._budget.max_bytes) / max(1, len(holders))
        over_share = [
            account
            for account in holders
            if account is not requester and account.held_bytes > share and self._may_lose(account)
        ]
        over_share.sort(key=lambda account: account.held_bytes * (account.began_at - at))
        smallest = 0 if requester is None else DISPLACING_FACTOR * requester.held_bytes
        stalled: list[CallerAccount] = []
        others: list[CallerAccount] = []
        for account in over_share:
            if self._is_stalled(account, at):
                stalled.append(account)
            elif not account.is_whole and account.held_bytes > smallest:
                others.append(account)
        return (*stalled, *others)

    @staticmethod
    def _may_lose(account: CallerAccount) -> bool:
        """Return whether a request is not running: it is incomplete, or its answer waits."""
        return not account.is_whole or account.is_unread

    def _is_stalled(self, account: CallerAccount, at: float) -> bool:
        age = at - account.began_at
        if at - account.progressed_at >= self.bounds.stall_seconds:
            return True
        is_slow = account.received_bytes < age * self.bounds.min_bytes_per_second
        return not account.is_whole and is_slow and age >= self.bounds.stall_seconds
