"""Reads, confirms and changes the documents in the platform's store."""

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
MAX_COMMIT_TRIES = 8
MAX_PLACEMENT_TRIES = 2
KEPT_OPERATIONS = 128
KEPT_CONFIGURATIONS = 32
POLLS_PER_FULL_READ = 5


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Revisions that the store's keys had after ``sent_at``.

    :param configuration_revision: the store's revision of the key; 0 when it is missing.
    :param placement_revision: the store's revision of the key; 0 when it is missing.
    :param sent_at: when the question was sent, by the local clock.
    """

    configuration_revision: int
    placement_revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class PollResult:
    """What one look at the store showed.

    :param inputs: inputs for the decision core.
    :param findings: mistakes of documents that could not be read.
    """

    inputs: tuple[Input, ...]
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The configuration and the store's revision of its key."""

    configuration: Configuration
    store_revision: int


class ConfigurationChange(ABC):
    """A change of the configuration that an operator asks for."""

    @abstractmethod
    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration; ``revision`` and ``operations`` are set later.

        Must be pure, since it runs again after a lost race.

        :raises CommandError: when the change can't be made.
        """

    def base(self, stored: Configuration) -> Configuration:
        """Return what the change is made to; by default, what the store has.

        :raises CommandError: when the change can't be made.
        """
        return stored

    def depends_on(self, configuration: Configuration) -> object:
        """Return the part that the operator must have seen as it is; by default, all of it."""
        return configuration.declarations_by_name, configuration.take_outs_by_tag


class DocumentStore:
    """The configuration and one data centre's placement in the platform's store.

    :param clock: the clock by which ``sent_at`` is measured.
    """

    def __init__(
        self, platform: Platform, data_centre: DataCentreId, clock: Callable[[], float]
    ) -> None:
        self._platform = platform
        self._data_centre = data_centre
        self._placement_key = PLACEMENT_PREFIX + data_centre
        self._clock = clock
        self._configuration_revision: int | None = None
        self._placement_revision: int | None = None
        self._placement_writes = 0
        self._polls = 0
        self._seen_by_revision: dict[int, Configuration] = {}
        self._stored_number = 0

    async def confirm(self) -> Confirmation:
        """Ask for the revisions of both keys in one call.

        :raises PlatformError: when the store does not answer.
        """
        sent_at = self._clock()
        keys = (CONFIGURATION_KEY, self._placement_key)
        snapshot = await self._platform.read(keys, keys_only=True)
        configuration, placement = (snapshot.values_by_key[key] for key in keys)
        return Confirmation(configuration.mod_revision, placement.mod_revision, sent_at)

    async def poll(self) -> PollResult:
        """Confirm both keys and read in full those that changed since the last poll.

        After each :meth:`write_placement` the placement counts as changed. The configuration is
        also read every few polls, since a store that went back may repeat a revision.
        """
        self._polls += 1
        if self._polls % POLLS_PER_FULL_READ == 0:
            self._configuration_revision = None
        try:
            confirmation = await self.confirm()
            changed = self._changed_keys(confirmation)
            if not changed:
                return PollResult((self._confirmed(confirmation),))
            return await self._read_changed(changed, confirmation)
        except PlatformError as error:
            return PollResult((PlatformFailed(str(error)),))

    def record_configuration(self, configuration: Configuration) -> None:
        """Remember a configuration that a peer passed on, for the detection of conflicts."""
        self._seen_by_revision[configuration.revision] = configuration
        if len(self._seen_by_revision) > KEPT_CONFIGURATIONS:
            del self._seen_by_revision[min(self._seen_by_revision)]

    async def read_configuration(self) -> StoredConfiguration:
        """Read the configuration; a missing one has revision 0.

        :raises PlatformError: when the store does not answer.
        :raises DocumentError: when the document is malformed.
        """
        snapshot = await self._platform.read([CONFIGURATION_KEY])
        return self._configuration_of(snapshot.values_by_key[CONFIGURATION_KEY])

    async def commit_configuration(
        self,
        change: ConfigurationChange,
        operation: OperationId,
        seen_revision: int | None = None,
    ) -> Configuration:
        """Apply a change to the stored configuration, once.

        :param operation: unique id of the change; a repeated commit with it changes nothing.
        :param seen_revision: revision that the operator had seen, to detect conflicts.
        :return: the committed configuration.
        :raises ConfigurationConflict: when what the change depends on is no longer as seen,
            or when other operators were always faster; nothing was changed.
        :raises StoreReverted: when the store has an older configuration than was seen before.
        :raises CommandError: when the change can't be made; nothing was changed.
        :raises OutcomeUnknown: when the change may have been made or may still be made.
        :raises PlatformError: when the store does not answer; nothing was changed.
        :raises DocumentError: when the stored document is malformed; nothing was changed.
        """
        doubt: OutcomeUnknown | None = None
        for _ in range(MAX_COMMIT_TRIES):
            try:
                committed = await self._try_commit(change, operation, seen_revision)
            except OutcomeUnknown as error:
                doubt = error
            except PlatformError as error:
                if doubt is not None:
                    raise OutcomeUnknown(str(doubt)) from error
                raise
            else:
                if committed is not None:
                    return committed
        if doubt is not None:
            raise OutcomeUnknown(str(doubt))
        raise ConfigurationConflict(seen_revision or 0, max(self._seen_by_revision))

    async def _try_commit(
        self, change: ConfigurationChange, operation: OperationId, seen_revision: int | None
    ) -> Configuration | None:
        """Read and replace the configuration; None when another operator was faster."""
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
        """Replace the placement when the store still has the expected revision.

        A write whose answer was lost is repeated; at most one of the two can take effect.

        :return: ``accepted`` is None when the write may have taken effect or may still do so.
        """
        try:
            return await self._write_placement(order)
        finally:
            self._placement_revision = None
            self._placement_writes += 1

    async def _write_placement(self, order: WritePlacement) -> PlacementWritten:
        write_id = order.placement.write_id
        refused: bool | None = False
        for _ in range(MAX_PLACEMENT_TRIES):
            try:
                result = await self._platform.compare_and_swap(
                    self._placement_key, encode_placement(order.placement), order.expected_revision
                )
            except OutcomeUnknown:
                refused = None
                continue
            except PlatformError:
                return PlacementWritten(write_id, refused)
            if result.accepted or _write_id_of(result.current) == write_id:
                return PlacementWritten(write_id, True)
            return PlacementWritten(write_id, refused)
        return PlacementWritten(write_id, refused)

    def _changed_keys(self, confirmation: Confirmation) -> list[str]:
        known_by_key = {
            CONFIGURATION_KEY: self._configuration_revision,
            self._placement_key: self._placement_revision,
        }
        found_by_key = {
            CONFIGURATION_KEY: confirmation.configuration_revision,
            self._placement_key: confirmation.placement_revision,
        }
        changed = [key for key, found in found_by_key.items() if found != known_by_key[key]]
        if self._stored_number < max(self._seen_by_revision, default=0):
            # A peer has passed on a newer one: the store has not changed, or went back.
            changed = [CONFIGURATION_KEY, *(key for key in changed if key != CONFIGURATION_KEY)]
        return changed

    def _confirmed(self, confirmation: Confirmation) -> Input:
        return PlacementConfirmed(confirmation.placement_revision, confirmation.sent_at)

    async def _read_changed(self, changed: list[str], confirmation: Confirmation) -> PollResult:
        sent_at = self._clock()
        writes = self._placement_writes
        snapshot = await self._platform.read(changed)
        inputs: list[Input] = []
        findings: list[Finding] = []
        for key, stored in snapshot.values_by_key.items():
            try:
                inputs.append(self._input_of(key, stored, sent_at))
            except DocumentError as error:
                findings.extend(error.findings)
        if CONFIGURATION_KEY in changed:
            self._configuration_revision = snapshot.values_by_key[CONFIGURATION_KEY].mod_revision
        if self._placement_key not in changed:
            inputs.append(self._confirmed(confirmation))
        elif writes == self._placement_writes:
            self._placement_revision = snapshot.values_by_key[self._placement_key].mod_revision
        return PollResult(tuple(inputs), tuple(findings))

    def _input_of(self, key: str, stored: KeyValue, sent_at: float) -> Input:
        if key == CONFIGURATION_KEY:
            configuration = self._configuration_of(stored).configuration
            self._stored_number = configuration.revision
            return ConfigurationRead(configuration, from_platform=True)
        placement = Placement(self._data_centre)
        if stored.value is not None:
            placement = decode_placement(stored.value)
        return PlacementRead(placement, stored.mod_revision, sent_at)

    def _configuration_of(self, stored: KeyValue) -> StoredConfiguration:
        configuration = Configuration()
        if stored.value is not None:
            configuration = decode_configuration(stored.value)
        self.record_configuration(configuration)
        return StoredConfiguration(configuration, stored.mod_revision)

    def _check_not_reverted(self, base_revision: int, stored_revision: int) -> None:
        known_revision = max(self._seen_by_revision)
        if base_revision < known_revision:
            raise StoreReverted(known_revision, stored_revision)

    def _check_seen(
        self, change: ConfigurationChange, current: Configuration, seen_revision: int | None
    ) -> None:
        if seen_revision is None or seen_revision == current.revision:
            return
        seen = self._seen_by_revision.get(seen_revision)
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
    operations = (*configuration.operations, operation)[-KEPT_OPERATIONS:]
    changed = change.apply(configuration)
    return replace(changed, revision=configuration.revision + 1, operations=operations)


def _write_id_of(stored: KeyValue) -> OperationId | None:
    if stored.value is None:
        return None
    try:
        return decode_placement(stored.value).write_id
    except DocumentError:
        return None
