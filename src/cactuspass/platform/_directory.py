"""Reads the operators' documents and the servers' registry entries from the metadata store."""

from dataclasses import dataclass

from cactuspass._clock import now
from cactuspass._findings import Finding
from cactuspass._platform import KeyValue
from cactuspass.exceptions import DocumentError
from cactuspass.fleet import (
    Catalog,
    Directory,
    Evacuations,
    OperatorDocuments,
    SharedStore,
    Upstream,
    UpstreamChanges,
    UpstreamId,
    UpstreamListing,
)
from cactuspass.models import DataCentreId
from cactuspass.platform._config_document import decode_catalog
from cactuspass.platform._names import (
    CONFIG_KEY,
    EVACUATE_PREFIX,
    OPERATORS_PREFIX,
    SERVERS_PREFIX,
)
from cactuspass.platform._server_entry import decode_entry


@dataclass(frozen=True, slots=True)
class _Entry:
    """A registry entry, as it was last read.

    :param upstream: None if the entry is invalid.
    """

    revision: int
    upstream: Upstream | None


class MetadataDirectory(Directory):
    """Reads documents from the metadata store and decodes each revision of a key only once.

    That holds for invalid documents as well.

    :param store: the metadata store.
    """

    def __init__(self, store: SharedStore) -> None:
        self._store = store
        self._catalog: Catalog | None = None
        self._config_revision = 0
        self._config_findings: tuple[Finding, ...] = ()
        self._entries_by_key: dict[str, _Entry] = {}

    async def read_operators(self) -> OperatorDocuments:
        """Read the manifest and the evacuations with one read of the operators' keys.

        When the manifest is missing or invalid, the catalog is the last valid one; mistakes are
        returned as findings.
        """
        snapshot = await self._store.read_prefix(OPERATORS_PREFIX)
        config = snapshot.values_by_key.get(CONFIG_KEY)
        if config is not None and config.mod_revision != self._config_revision:
            self._decode_config(config)
        zones = (
            key.removeprefix(EVACUATE_PREFIX)
            for key in snapshot.values_by_key
            if key.startswith(EVACUATE_PREFIX)
        )
        evacuations = Evacuations(frozenset(map(DataCentreId, zones)))
        findings = self._config_findings if config is not None else ()
        return OperatorDocuments(self._catalog, evacuations, snapshot.revision, findings)

    def _decode_config(self, config: KeyValue) -> None:
        self._config_revision = config.mod_revision
        try:
            self._catalog = decode_catalog(config.value or b"")
            self._config_findings = ()
        except DocumentError as error:
            self._config_findings = error.findings

    async def read_upstreams(self) -> UpstreamListing:
        """Read the registry entries of all servers.

        The mistakes of an invalid entry are returned only when it was not read before.
        """
        snapshot = await self._store.read_prefix(SERVERS_PREFIX)
        items = tuple(snapshot.values_by_key.values())
        upstreams, _, findings = self._decode(items)
        for key in self._entries_by_key.keys() - snapshot.values_by_key.keys():
            del self._entries_by_key[key]
        return UpstreamListing(upstreams, snapshot.revision, findings)

    async def watch_upstreams(self, after_revision: int, wait: float) -> UpstreamChanges:
        """Wait for changes of registry entries."""
        changes = await self._store.watch(SERVERS_PREFIX, after_revision, wait)
        last_by_key = {item.key: item for item in changes.changed}
        changed, removed, findings = self._decode(tuple(last_by_key.values()))
        return UpstreamChanges(changed, removed, changes.revision, findings)

    def _decode(
        self, items: tuple[KeyValue, ...]
    ) -> tuple[tuple[Upstream, ...], tuple[UpstreamId, ...], tuple[Finding, ...]]:
        """Return the upstreams, the ids of deleted or invalid entries, and the new mistakes."""
        upstreams: list[Upstream] = []
        removed: list[UpstreamId] = []
        findings: list[Finding] = []
        for item in items:
            server_id = item.key.removeprefix(SERVERS_PREFIX)
            if item.value is None:
                self._entries_by_key.pop(item.key, None)
                removed.append(UpstreamId(server_id))
                continue
            entry = self._entries_by_key.get(item.key)
            if entry is None or entry.revision != item.mod_revision:
                entry = _decode_entry(item, server_id, findings)
                self._entries_by_key[item.key] = entry
            if entry.upstream is not None:
                upstreams.append(entry.upstream)
            else:
                removed.append(UpstreamId(server_id))
        return tuple(upstreams), tuple(removed), tuple(findings)


def _decode_entry(item: KeyValue, server_id: str, findings: list[Finding]) -> _Entry:
    """Return a registry entry; append its mistakes to the findings."""
    try:
        upstream = decode_entry(server_id, item.value or b"", now())
    except DocumentError as error:
        findings.extend(error.findings)
        return _Entry(item.mod_revision, None)
    return _Entry(item.mod_revision, upstream)
