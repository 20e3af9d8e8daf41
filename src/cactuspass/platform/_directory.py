"""Reads the operators' documents and the servers' registry entries from the metadata store."""

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


class MetadataDirectory(Directory):
    """Reads documents from the metadata store and decodes each revision of a key only once.

    :param store: the metadata store.
    """

    def __init__(self, store: SharedStore) -> None:
        self._store = store
        self._catalog: Catalog | None = None
        self._catalog_revision = 0
        self._upstreams_by_key: dict[str, tuple[int, Upstream]] = {}

    async def read_operators(self) -> OperatorDocuments:
        """Read the manifest and the evacuations with one read of the operators' keys.

        When the manifest is missing or invalid, the catalog is the last valid one; mistakes are
        returned as findings.
        """
        snapshot = await self._store.read_prefix(OPERATORS_PREFIX)
        findings: tuple[Finding, ...] = ()
        config = snapshot.values_by_key.get(CONFIG_KEY)
        if config is not None and config.mod_revision != self._catalog_revision:
            try:
                self._catalog = decode_catalog(config.value or b"")
                self._catalog_revision = config.mod_revision
            except DocumentError as error:
                findings = error.findings
        zones = (
            key.removeprefix(EVACUATE_PREFIX)
            for key in snapshot.values_by_key
            if key.startswith(EVACUATE_PREFIX)
        )
        evacuations = Evacuations(frozenset(map(DataCentreId, zones)))
        return OperatorDocuments(self._catalog, evacuations, snapshot.revision, findings)

    async def read_upstreams(self) -> UpstreamListing:
        """Read the registry entries of all servers."""
        snapshot = await self._store.read_prefix(SERVERS_PREFIX)
        items = tuple(snapshot.values_by_key.values())
        upstreams, _, findings = self._decode(items)
        for key in self._upstreams_by_key.keys() - snapshot.values_by_key.keys():
            del self._upstreams_by_key[key]
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
        """Return the upstreams, the ids of deleted or invalid entries, and the mistakes found."""
        upstreams: list[Upstream] = []
        removed: list[UpstreamId] = []
        findings: list[Finding] = []
        for item in items:
            server_id = item.key.removeprefix(SERVERS_PREFIX)
            if item.value is None:
                self._upstreams_by_key.pop(item.key, None)
                removed.append(UpstreamId(server_id))
                continue
            try:
                upstreams.append(self._decode_item(item, server_id))
            except DocumentError as error:
                removed.append(UpstreamId(server_id))
                findings.extend(error.findings)
        return tuple(upstreams), tuple(removed), tuple(findings)

    def _decode_item(self, item: KeyValue, server_id: str) -> Upstream:
        cached = self._upstreams_by_key.get(item.key)
        if cached is not None and cached[0] == item.mod_revision:
            return cached[1]
        upstream = decode_entry(server_id, item.value or b"", now())
        self._upstreams_by_key[item.key] = (item.mod_revision, upstream)
        return upstream
