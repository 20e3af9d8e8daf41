"""Contents of usage reports that are fixed in the store before they are sent.

A window is composed once. Its content is written on two conditions: that the window has none, and
that no other holder has taken over since. A restored store may lack contents that were already
sent, so windows that may have been fixed before a restore are not composed again.
"""

from collections.abc import Mapping
from typing import Annotated

from pydantic import Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from cactuspass._findings import Finding, findings_from_error
from cactuspass._platform import KeyValue, Write
from cactuspass._revisions import era_of
from cactuspass.exceptions import OutcomeUnknown, PlatformError
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._registration import DUTIES_PREFIX
from cactuspass.fleet._store import SharedStore
from cactuspass.fleet.duties._calls import UsageReport
from cactuspass.models import CustomerId

WINDOWS_PREFIX = f"{DUTIES_PREFIX}usage/"
STATE_KEY = f"{DUTIES_PREFIX}usage-state"
WINDOW_DIGITS = 12
MAX_DELETES_PER_WRITE = 16

Count = Annotated[int, Field(ge=0)]


class HolderReplaced(PlatformError):
    """Another holder has taken over, or the store was restored since the term began."""


@dataclass(frozen=True)
class _State:
    """What the last holder has stated.

    :param era: how often the store had been restored.
    :param fence: fence number of the holder.
    :param first_window: first window that may be composed in this era.
    :param accepted: windows whose reports the platform has accepted, as far as they have keys.
    """

    era: Count
    fence: Count
    first_window: int
    accepted: tuple[int, ...] = ()


@dataclass(frozen=True)
class _StoredReport:
    window: Count
    counts: dict[str, Count]


_STATE: TypeAdapter[_State] = TypeAdapter(_State)
_REPORT: TypeAdapter[_StoredReport] = TypeAdapter(_StoredReport)


def window_key(window: int) -> str:
    """Return the store key of the content of a window."""
    return f"{WINDOWS_PREFIX}{window:0{WINDOW_DIGITS}}"


class FixedReports:
    """The fixed contents as this instance knows them, and the writes that fix more.

    Contents that this instance knows stay known to it also if a restored store lacks them.

    :ivar reports_by_window: contents known to be fixed.
    :ivar accepted: windows whose reports the platform has accepted.
    :ivar unreadable: windows whose stored content is invalid, which are neither sent nor composed.
    """

    def __init__(self, store: SharedStore, log: DecisionLog) -> None:
        self._store = store
        self._log = log
        self._fence: int | None = None
        self._state: _State | None = None
        self._state_revision = 0
        self._revisions_by_key: dict[str, int] = {}
        self.reports_by_window: dict[int, UsageReport] = {}
        self.accepted: set[int] = set()
        self.unreadable: set[int] = set()

    def is_current(self, fence: int) -> bool:
        """Return whether the contents were read in a term and no write has failed since."""
        return self._fence == fence

    def may_compose(self, window: int) -> bool:
        """Return whether a window has no content, and cannot have had one."""
        is_known = window in self.reports_by_window or window in self.unreadable
        return self._state is not None and window >= self._state.first_window and not is_known

    async def take_over(self, fence: int, first_unsent: int) -> None:
        """Read the contents that earlier holders have fixed, and exclude further ones by them.

        :param first_unsent: first window that no holder can have fixed before the last restore of
            the store.
        :raises HolderReplaced: if the term is over.
        :raises PlatformError: if the store does not answer or refuses a call.
        """
        self._fence = None
        snapshot = await self._store.read_prefix(DUTIES_PREFIX)
        era = era_of(fence)
        if era_of(snapshot.revision) != era:
            raise HolderReplaced("the store was restored since the term began")
        stored = snapshot.values_by_key.get(STATE_KEY)
        before = self._decode_state(stored)
        if before is not None and (before.era, before.fence) > (era, fence):
            raise HolderReplaced(f"a holder with fence {before.fence} has taken over")
        first_window = self._first_window(before, era, first_unsent)
        accepted = before.accepted if before is not None else ()
        state = _State(era, fence, first_window, accepted)
        expected = stored.mod_revision if stored is not None else 0
        result = await self._store.write([Write(STATE_KEY, _STATE.dump_json(state), expected)])
        self._check_accepted(result.accepted, era, result.current.values_by_key[STATE_KEY])
        self._state = state
        self._state_revision = result.current.values_by_key[STATE_KEY].mod_revision
        self.accepted.update(accepted)
        self._read_windows(snapshot.values_by_key, first_window)
        self._fence = fence

    async def fix(self, report: UsageReport, delete_before: int) -> None:
        """Fix the content of a window, and delete old contents in the same transaction.

        :param delete_before: first window whose content is kept.
        :raises HolderReplaced: if another holder has taken over.
        :raises PlatformError: if the content is not, or perhaps not, written.
        """
        assert self._state is not None and self._fence is not None
        fence, self._fence = self._fence, None  # taken over again if the outcome is unknown
        old = self._keys_before(delete_before)
        kept = sorted(window for window in self.accepted if window >= delete_before)
        state = _State(self._state.era, fence, self._state.first_window, tuple(kept))
        key = window_key(report.window)
        result = await self._store.write(
            [
                Write(key, encode_report(report), 0),
                Write(STATE_KEY, _STATE.dump_json(state), self._state_revision),
                *(Write(item, None, self._revisions_by_key[item]) for item in old),
            ]
        )
        written = result.current.values_by_key
        self._check_accepted(result.accepted, state.era, written[STATE_KEY])
        self._state, self._state_revision = state, written[STATE_KEY].mod_revision
        self._revisions_by_key[key] = written[key].mod_revision
        for item in old:
            del self._revisions_by_key[item]
        self.reports_by_window[report.window] = report
        self._forget_before(delete_before)
        self._fence = fence

    def _check_accepted(self, accepted: bool, era: int, written: KeyValue) -> None:
        if not accepted:
            raise HolderReplaced("another holder has written")
        if era_of(written.mod_revision) != era:
            raise OutcomeUnknown("the store was restored during the write")

    def _first_window(self, before: _State | None, era: int, first_unsent: int) -> int:
        """Return the first window that may be composed in an era of the store."""
        if before is not None and before.era == era:
            return before.first_window
        if before is None and era == 0:
            return 0
        self._log.state_change("usage-windows-skipped", era=era, before_window=first_unsent)
        return first_unsent

    def _decode_state(self, stored: KeyValue | None) -> _State | None:
        if stored is None or stored.value is None:
            return None
        try:
            return _STATE.validate_json(stored.value)
        except ValidationError as error:
            self._log.unreadable(findings_from_error(STATE_KEY, error))
            # As after a restore: it is not known which contents were sent.
            return _State(0, 0, 0) if era_of(stored.mod_revision) else None

    def _read_windows(self, values_by_key: Mapping[str, KeyValue], first_window: int) -> None:
        """Read the contents of the windows that were fixed in the present era of the store.

        Earlier ones may be from a holder whose write arrived after the store was restored.
        """
        self._revisions_by_key = {
            key: item.mod_revision
            for key, item in values_by_key.items()
            if key.startswith(WINDOWS_PREFIX)
        }
        for key in self._revisions_by_key:
            window = _window_of(key)
            if window is None or window < first_window or window in self.reports_by_window:
                continue
            report = self._decode_report(key, window, values_by_key[key].value or b"")
            if report is not None:
                self.reports_by_window[window] = report

    def _decode_report(self, key: str, window: int, value: bytes) -> UsageReport | None:
        try:
            stored = _REPORT.validate_json(value)
            if stored.window != window:
                raise ValueError(f"it is the content of window {stored.window}")
        except ValidationError as error:
            self._log.unreadable(findings_from_error(key, error))
        except ValueError as error:
            self._log.unreadable([Finding(key, "", str(error))])
        else:
            counts = {CustomerId(name): count for name, count in stored.counts.items()}
            return UsageReport(window, counts)
        self.unreadable.add(window)
        return None

    def _keys_before(self, window: int) -> list[str]:
        old = [key for key in self._revisions_by_key if (_window_of(key) or 0) < window]
        return sorted(old)[:MAX_DELETES_PER_WRITE]

    def _forget_before(self, window: int) -> None:
        for old in [known for known in self.reports_by_window if known < window]:
            del self.reports_by_window[old]
        self.accepted = {w for w in self.accepted if w >= window}
        self.unreadable = {w for w in self.unreadable if w >= window}


def encode_report(report: UsageReport) -> bytes:
    """Return the value that is stored for a report."""
    counts = {str(name): count for name, count in sorted(report.counts_by_customer.items())}
    return _REPORT.dump_json(_StoredReport(report.window, counts))


def _window_of(key: str) -> int | None:
    """Return the window of a store key; None if it is no key of a window."""
    digits = key.removeprefix(WINDOWS_PREFIX)
    return int(digits) if digits.isascii() and digits.isdigit() else None
