"""Reads the operators' documents and the servers' registry entries from the metadata store."""

from cactuspass._clock import now
from cactuspass._decoded_keys import DecodedKeys
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

    That holds for invalid documents as well.

    :param store: the metadata store.
    """

    def __init__(self, store: SharedStore) -> None:
        self._store = store
        self._catalog: Catalog | None = None
        self._configs = DecodedKeys(self._decode_config)
        self._upstreams = DecodedKeys(self._decode_entry)
        self._new_findings: list[Finding] = []

    async def read_operators(self) -> OperatorDocuments:
        """Read the manifest and the evacuations with one read of the operators' keys.

        When the manifest is missing or invalid, the catalog is the last valid one; mistakes are
        returned as findings.
        """
        snapshot = await self._store.read_prefix(OPERATORS_PREFIX)
        config = snapshot.values_by_key.get(CONFIG_KEY)
        findings = self._configs.decode(config) if config is not None else ()
        zones = (
            key.removeprefix(EVACUATE_PREFIX)
            for key in snapshot.values_by_key
            if key.startswith(EVACUATE_PREFIX)
        )
        evacuations = Evacuations(frozenset(map(DataCentreId, zones)))
        return OperatorDocuments(self._catalog, evacuations, snapshot.revision, findings)

    def _decode_config(self, config: KeyValue) -> tuple[Finding, ...]:
        """Decode the manifest if it is valid; return the mistakes in it."""
        try:
            self._catalog = decode_catalog(config.value or b"")
        except DocumentError as error:
            return error.findings
        return ()

    async def read_upstreams(self) -> UpstreamListing:
        """Read the registry entries of all servers.

        The mistakes of an invalid entry are returned only when it was not read before.
        """
        snapshot = await self._store.read_prefix(SERVERS_PREFIX)
        items = tuple(snapshot.values_by_key.values())
        upstreams, _, findings = self._decode(items)
        self._upstreams.retain(snapshot.values_by_key.keys())
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
        for item in items:
            if item.value is None:
                self._upstreams.remove(item.key)
            upstream = self._upstreams.decode(item) if item.value is not None else None
            if upstream is not None:
                upstreams.append(upstream)
            else:
                removed.append(_upstream_id(item))
        findings, self._new_findings = tuple(self._new_findings), []
        return tuple(upstreams), tuple(removed), findings

    def _decode_entry(self, item: KeyValue) -> Upstream | None:
        """Return the upstream that an entry describes; None if the entry is invalid."""
        try:
            return decode_entry(_upstream_id(item), item.value or b"", now())
        except DocumentError as error:
            self._new_findings.extend(error.findings)
            return None


def _upstream_id(item: KeyValue) -> UpstreamId:
    return UpstreamId(item.key.removeprefix(SERVERS_PREFIX))
