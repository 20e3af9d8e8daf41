"""This instance's view of operator documents, upstreams and other instances, and its age."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass

from cactuspass._clock import now
from cactuspass.fleet._catalog import (
    CallerLimits,
    Catalog,
    CatalogIndex,
    Evacuations,
    ModelSpec,
    ScalingLimits,
    Service,
)
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._departures import Departures
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._removed_upstreams import RemovedUpstreams
from cactuspass.fleet._upstream_log import log_upstream_changes
from cactuspass.fleet._upstreams import (
    Group,
    GroupKey,
    Lifetime,
    Upstream,
    UpstreamId,
    UpstreamView,
)
from cactuspass.fleet.prompt_parts import Block, BlockTable
from cactuspass.models import ModelId, ServiceId

NEVER = float("-inf")
# Time for all writers to repeat what a restored store has lost.
RESTORE_GRACE_SECONDS = 5.0
INSTANCE_GRACE_SECONDS = 4.0  # two lease periods: one to expire, one to register again


@dataclass(frozen=True, slots=True)
class ServingUpstream:
    """An upstream that accepts requests of a service.

    :param group: the group that it is the head of; None for a service without engines.
    :param spec: the model that the group serves.
    :param is_complete: whether all members of the group are registered and none drains.
    """

    upstream: Upstream
    group: Group | None = None
    spec: ModelSpec | None = None
    is_complete: bool = True


def changed_upstreams(
    known_by_id: Mapping[UpstreamId, Upstream], current_by_id: Mapping[UpstreamId, Upstream]
) -> tuple[Upstream, ...]:
    """Return the upstreams that were added or replaced between two states of the registry."""
    return tuple(
        upstream
        for upstream_id, upstream in current_by_id.items()
        # Most are the same object, which is found faster than by comparing all fields.
        if (known := known_by_id.get(upstream_id)) is not upstream and known != upstream
    )


class ClusterState:
    """The last valid state of each document; the catalog never reverts to a lower version.

    ``registered_by_id`` holds the upstreams as registered, for comparison with new listings.
    ``view`` is for sending work: in it, upstreams that announced that they are leaving are
    draining, whatever their registered state.

    :param min_instances: least number of running instances, used to divide shared limits while
        fewer are known.
    """

    def __init__(self, log: DecisionLog, min_instances: int = 1) -> None:
        self._log = log
        self._min_instances = max(1, min_instances)
        self.catalog_index: CatalogIndex | None = None
        self.evacuations = Evacuations()
        self.view = UpstreamView()
        self.departures = Departures()
        self.blocks = BlockTable()
        self.registered_by_id: dict[UpstreamId, Upstream] = {}
        self._members_by_key: dict[GroupKey, frozenset[UpstreamId]] = {}
        self.operators_read_at = NEVER
        self.upstreams_read_at = NEVER
        self._recent_counts: deque[tuple[float, int]] = deque()
        self.peers: tuple[Peer, ...] = ()
        self.revision = 0
        self.era: int | None = None
        self.restored_at = NEVER
        self._calls_on_restore: list[Callable[[], None]] = []
        self._removed = RemovedUpstreams()
        self._serving_by_model: dict[tuple[ServiceId, ModelId | None], list[ServingUpstream]] = {}
        self._serving_view: UpstreamView | None = None
        self._serving_catalog: CatalogIndex | None = None
        self._changed = asyncio.Event()

    def accept_catalog(self, catalog: Catalog) -> bool:
        """Put a catalog in force if its version is higher; return whether it was put in force."""
        current = self.catalog_index.catalog.version if self.catalog_index is not None else None
        if current is not None and catalog.version <= current:
            if catalog.version < current:
                self._log.alarm("catalog-older", version=catalog.version, in_force=current)
            return False
        self.catalog_index = CatalogIndex(catalog)
        self._notify_change()
        self._log.state_change(
            "catalog-in-force",
            version=catalog.version,
            replaced=current,
            routes=len(catalog.routes),
            customers=len(catalog.customers),
        )
        return True

    def record_operators_read(self, at: float) -> None:
        """Record that the operators' documents are known as they were at a clock value.

        Followers are told at once, so that ages hardly grow from source to source.
        """
        if at > self.operators_read_at:
            self.operators_read_at = at
            self._notify_change()

    def accept_evacuations(self, evacuations: Evacuations) -> None:
        """Set the evacuated data centres, whose upstreams get no new requests.

        A store that was just restored may lack an evacuation, so none ends by it.
        """
        if self.is_just_restored:
            known = self.evacuations.data_centres
            evacuations = Evacuations(evacuations.data_centres | known)
        if evacuations == self.evacuations:
            return
        self.evacuations = evacuations
        self._notify_change()
        names = ",".join(sorted(evacuations.data_centres))
        self._log.state_change("evacuations-in-force", data_centres=names)

    def accept_peers(self, peers: tuple[Peer, ...]) -> None:
        """Set the registered instances."""
        if peers == self.peers:
            return
        if len(peers) != len(self.peers):
            self._log.state_change("instances-counted", count=len(peers), before=len(self.peers))
        self._recent_counts.append((now(), len(self.peers)))
        self.peers = peers
        self._notify_change()

    def accept_block(self, block: Block) -> bool:
        """Accept a state of a block; return False if a later one is known."""
        is_new = self.blocks.merge(block)
        if is_new:
            self._notify_change()
        return is_new

    @property
    def instance_count(self) -> int:
        """Number of instances that share the common limits.

        An instance whose registration is missing still counts for ``INSTANCE_GRACE_SECONDS``,
        since it may still be serving.
        """
        since = now() - INSTANCE_GRACE_SECONDS
        while self._recent_counts and self._recent_counts[0][0] < since:
            self._recent_counts.popleft()
        recent = max((count for _, count in self._recent_counts), default=0)
        return max(self._min_instances, len(self.peers), recent)

    @property
    def peer_addresses(self) -> tuple[str, ...]:
        """Addresses at which the registered instances listen for each other."""
        return tuple(peer.address for peer in self.peers if peer.address is not None)

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until state that is sent to other instances has changed.

        :param seconds: longest time to wait.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._changed.wait()

    async def wait_for_catalog(self, until: float) -> None:
        """Wait until a catalog is known.

        :param until: clock value at which to give up.
        """
        while self.catalog_index is None and now() < until:
            await self.wait_for_change(until - now())

    def _notify_change(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def accept_upstreams(self, upstreams: Iterable[Upstream], revision: int) -> None:
        """Replace the upstreams, unless the current revision is newer."""
        listed_by_id = {upstream.upstream_id: upstream for upstream in upstreams}
        changed = changed_upstreams(self.registered_by_id, listed_by_id)
        removed = self.registered_by_id.keys() - listed_by_id.keys()
        self.accept_changes(changed, removed, revision)

    def accept_changes(
        self, changed: Iterable[Upstream], removed: Iterable[UpstreamId], revision: int
    ) -> None:
        """Apply changes of the registry, unless the current revision is newer.

        An upstream that is leaving stays so until a later lifetime of it is listed.

        :param changed: upstreams that were added or replaced.
        """
        if revision < self.revision:
            self._log.state_change("upstreams-older", revision=revision, believed=self.revision)
            return
        changed = tuple(u for u in changed if not self._is_superseded(u))
        removed = tuple(removed)
        self._removed.add(filter(None, map(self.registered_by_id.get, removed)), now())
        registered_by_id = dict(self.registered_by_id)
        for upstream_id in removed:
            registered_by_id.pop(upstream_id, None)
        registered_by_id.update((upstream.upstream_id, upstream) for upstream in changed)
        self.registered_by_id = registered_by_id
        for departure in self.departures.remove_superseded(changed):
            upstream_id = departure.lifetime.upstream_id
            self._log.state_change("upstream-left", upstream=upstream_id, since=departure.since)
        marked = self.departures.mark_draining(changed)
        log_upstream_changes(self._log, self.view.upstreams_by_id, marked, removed, revision)
        self.revision = revision
        self._change_view(marked, removed)

    def note_era(self, era: int) -> None:
        """Note how often the store had been restored when it was read last.

        :param era: of a revision; see ``_revisions``.
        """
        known, self.era = self.era, max(era, self.era or 0)
        if known is not None and era > known:
            self.restored_at = now()
            self._log.alarm("store-restored", era=era, before=known)
            for call in self._calls_on_restore:
                call()

    def on_restore(self, call: Callable[[], None]) -> None:
        """Call a function whenever the store turns out to have been restored."""
        self._calls_on_restore.append(call)

    @property
    def is_just_restored(self) -> bool:
        """Whether the store may lack what was written before it was restored."""
        return now() - self.restored_at < RESTORE_GRACE_SECONDS

    def _is_superseded(self, upstream: Upstream) -> bool:
        """Return whether a later state of an upstream is known than the one that is listed.

        A store that was restored from an older copy lists states that upstreams have left, and
        upstreams that are gone. Those that still run write their entries again.
        """
        if not self.is_just_restored:
            return False
        known = self.registered_by_id.get(upstream.upstream_id)
        if known is not None and known.lifetime == upstream.lifetime:
            return upstream.sequence < known.sequence
        return self._removed.has_later(upstream, self.restored_at)

    def mark_leaving(self, lifetime: Lifetime) -> bool:
        """Mark an upstream as leaving, as it announced; return whether that is new."""
        listed = self.registered_by_id.get(lifetime.upstream_id)
        if listed is not None and listed.born_ms > lifetime.born_ms:
            return False
        if lifetime in self.departures:
            return False
        affected_ids = {lifetime.upstream_id}
        removed = self.departures.add(lifetime, now())
        if removed is not None:
            upstream_id = removed.lifetime.upstream_id
            affected_ids.add(upstream_id)
            self._log.alarm("leaving-forgotten", upstream=upstream_id, since=removed.since)
        affected = map(self.registered_by_id.get, affected_ids)
        self._change_view(self.departures.mark_draining(filter(None, affected)))
        return True

    def _change_view(self, changed: Iterable[Upstream], removed: Iterable[UpstreamId] = ()) -> None:
        before, self.view = self.view, self.view.with_changes(changed, removed)
        self._update_members(before)
        self._notify_change()

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream takes no new requests, by the registry or its own notice."""
        if upstream.lifetime in self.departures:
            return True
        current = self.view.upstreams_by_id.get(upstream.upstream_id)
        return current is not None and current.lifetime == upstream.lifetime and current.draining

    def serving_upstreams(self, service: Service, model: ModelId | None) -> list[ServingUpstream]:
        """Return the upstreams that accept requests for a model, for groups their heads.

        They are found once for each view and catalog.

        :param model: None for all models; it has no meaning for a service without engines.
        """
        if self._serving_view is not self.view or self._serving_catalog is not self.catalog_index:
            self._serving_view, self._serving_catalog = self.view, self.catalog_index
            self._serving_by_model.clear()
        if service.engine is None:
            model = None
        elif model is not None and not service.engine.declares(model):
            # Callers choose the names of such models, so nothing is kept for them.
            return self._find_serving(service, model)
        key = (service.service, model)
        found = self._serving_by_model.get(key)
        if found is None:
            found = self._serving_by_model[key] = self._find_serving(service, model)
        return found

    def _find_serving(self, service: Service, model: ModelId | None) -> list[ServingUpstream]:
        if service.engine is None:
            upstreams = self.view.upstreams_by_id.values()
            return [ServingUpstream(u) for u in upstreams if u.service == service.service]
        found = []
        for group in self.view.serving_groups(service.service):
            assert group.head is not None
            if model is not None and group.head.loaded != model:
                continue
            spec = service.engine.model_spec(group.head.loaded)
            if self.has_all_members(group, spec.size):
                is_complete = group.is_complete(spec.size)
                found.append(ServingUpstream(group.head, group, spec, is_complete))
        return found

    def has_all_members(self, group: Group, size: int) -> bool:
        """Return whether a group has all its members.

        A member that was seen earlier and has no registry entry now still counts. A member that is
        registered but no longer in this group does not.

        :param size: number of members of a group of this model.
        """
        known = self._members_by_key.get(group.key, frozenset())
        if len(known) != size:
            return False
        present = {member.upstream_id for member in group.members}
        return not any(missing in self.view.upstreams_by_id for missing in known - present)

    def caller_limits(self) -> CallerLimits:
        """Return the limits for callers in the current catalog."""
        return (
            self.catalog_index.catalog.limits if self.catalog_index is not None else CallerLimits()
        )

    def scaling_limits(self, service: ServiceId) -> ScalingLimits | None:
        """Return the limits of the number of upstreams of a service; None if it has none."""
        index = self.catalog_index
        found = index.catalog.services_by_id.get(service) if index is not None else None
        return found.scaling if found is not None else None

    def engine_hosts(self) -> Iterator[Upstream]:
        """Return the upstreams of all services with engines that form groups."""
        services_by_id = (
            self.catalog_index.catalog.services_by_id if self.catalog_index is not None else {}
        )
        for upstream in self.view.upstreams_by_id.values():
            service = services_by_id.get(upstream.service)
            if service is not None and service.engine is not None:
                yield upstream

    def _update_members(self, before: UpstreamView) -> None:
        """Keep the largest set of members that each current group was seen with.

        :param before: the view before the current one.
        """
        old, new = before.groups_by_key, self.view.groups_by_key
        for key in old.keys() - new.keys():
            self._members_by_key.pop(key, None)
        for key, group in new.items():
            if old.get(key) is group:
                continue
            present = frozenset(member.upstream_id for member in group.members)
            if len(present) >= len(self._members_by_key.get(key, ())):
                self._members_by_key[key] = present

    def operators_age(self) -> float:
        """Return the age in seconds of the last read that surely included all operator changes."""
        return now() - self.operators_read_at
