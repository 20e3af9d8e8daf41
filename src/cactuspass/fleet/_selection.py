"""Chooses the upstream that a request is sent to, or the reason why there is none."""

import random
from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from cactuspass.fleet._backoff import BackoffTable
from cactuspass.fleet._budgets import ColdRateLimit
from cactuspass.fleet._catalog import EngineSpec, ModelSpec, Service
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._peers import choose_senders
from cactuspass.fleet._upstreams import Group, Upstream, UpstreamId
from cactuspass.models import DataCentreId, EntryId, ModelId, ServiceId

OTHER_DATA_CENTRE_PENALTY = 0.15
INCOMPLETE_GROUP_PENALTY = 3.0
FAILURE_WEIGHT = 6.0
COLD_FACTOR_DEFAULT = 1.5
COLD_SLACK_DEFAULT = 5.0
TYPICAL_OUTPUT_TOKENS = 180.0
MIN_SUSPECTS_OF_CUT = 2
SUSPECT_SHARE_OF_CUT = 0.5
FULL_SECONDS = 0.5
NEVER_SECONDS = float("inf")
COLD_SECONDS = 0.3


class NoUpstreamReason(Enum):
    """Why a request cannot be sent now."""

    NONE_SERVES = "no-upstream-serves"
    ALL_BUSY = "all-upstreams-busy"
    ALL_COLD = "all-upstreams-cold"
    ALL_BACKING_OFF = "all-upstreams-quiet"


@dataclass(frozen=True, slots=True)
class Selection:
    """The upstream to send to.

    :param wait: estimated seconds until it begins to work on the request.
    :param max_event_gap: seconds between two events of a stream there, while it works; None when
        that is not known.
    """

    upstream: Upstream
    wait: float
    max_event_gap: float | None = None


@dataclass(frozen=True, slots=True)
class NoUpstream:
    """Nothing can take the request now.

    :param retry_after: estimated seconds until something can.
    :param serving_count: upstreams that serve what is wanted, busy, cold or not.
    :param wait: estimated wait at the best of them in seconds.
    :param backoff_remaining: seconds until the first of those that want quiet can be asked.
    """

    reason: NoUpstreamReason
    retry_after: float
    serving_count: int = 0
    wait: float | None = None
    backoff_remaining: float = NEVER_SECONDS


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """What a request needs.

    :param excluded: upstreams that have already failed it.
    :param max_wait: longest acceptable wait in seconds.
    :param only: upstreams that alone may take it; None for all.
    :param full: upstreams that have just turned it away.
    """

    service: ServiceId
    model: ModelId | None
    excluded: Collection[UpstreamId]
    max_wait: float
    only: Collection[UpstreamId] | None = None
    full: Collection[UpstreamId] = frozenset()

    def admits(self, upstream_id: UpstreamId) -> bool:
        """Return whether an upstream may take the request."""
        if self.only is not None and upstream_id not in self.only:
            return False
        return upstream_id not in self.excluded


@dataclass(frozen=True, slots=True)
class _Candidate:
    upstream: Upstream
    score: float
    wait: float
    max_event_gap: float | None = None


class Selector:
    """Chooses by estimated load, distance and health.

    :param data_centre: where this instance stands.
    :param cold_factor: factor on the declared rate of a cold upstream.
    :param cold_slack: requests in a second above that.
    :param instance: this instance.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        loads: LoadTable,
        data_centre: DataCentreId,
        rng: random.Random,
        cold_factor: float = COLD_FACTOR_DEFAULT,
        cold_slack: float = COLD_SLACK_DEFAULT,
        instance: EntryId | None = None,
    ) -> None:
        self._instance = instance
        self._cluster_state = cluster_state
        self._loads = loads
        self._data_centre = data_centre
        self._rng = rng
        self._cold_factor = cold_factor
        self._cold_slack = cold_slack
        self._cold_by_id: dict[UpstreamId, ColdRateLimit] = {}
        self.backoff = BackoffTable()

    def choose(self, wanted: SelectionRequest, at: float) -> Selection | NoUpstream:
        """Return the upstream that should take a request.

        :param at: clock value now.
        """
        index = self._cluster_state.catalog_index
        service = index.catalog.services_by_id.get(wanted.service) if index else None
        if service is None:
            return NoUpstream(NoUpstreamReason.NONE_SERVES, 1.0)
        usable = [
            (upstream, group)
            for upstream, group in self._offers(service, wanted.model)
            if self._is_usable(upstream) and wanted.admits(upstream.upstream_id)
        ]
        backoff_by_id = {u.upstream_id: self.backoff.delay(u.lifetime, at) for u, _ in usable}
        backoff_remaining = min(filter(None, backoff_by_id.values()), default=NEVER_SECONDS)
        open_now = [
            (u, g)
            for u, g in usable
            if not backoff_by_id[u.upstream_id] and u.upstream_id not in wanted.full
        ]
        if not open_now:
            return _none_open(backoff_by_id, backoff_remaining)
        warm = [(u, g) for u, g in open_now if self._cold_permits(u, service, at)]
        if not warm:
            retry_after = min(COLD_SECONDS, backoff_remaining)
            return NoUpstream(
                NoUpstreamReason.ALL_COLD,
                retry_after,
                len(usable),
                backoff_remaining=backoff_remaining,
            )
        sound = self._sound(warm, at)
        candidates = [self._rate(u, g, service, at) for u, g in sound or warm]
        best = min(candidates, key=lambda candidate: candidate.score)
        if best.wait > wanted.max_wait:
            retry_after = min(max(0.2, best.wait - wanted.max_wait), backoff_remaining)
            return NoUpstream(
                NoUpstreamReason.ALL_BUSY, retry_after, len(usable), best.wait, backoff_remaining
            )
        return Selection(best.upstream, best.wait, best.max_event_gap)

    def _sound(
        self, offers: list[tuple[Upstream, Group | None]], at: float
    ) -> list[tuple[Upstream, Group | None]]:
        """Return the offers that are not suspect, by themselves or by their data centre.

        Where several upstreams of another data centre fail together, the way there is cut.
        """
        suspects = Counter(
            upstream.data_centre
            for upstream, _ in offers
            if self._loads.load(upstream.upstream_id).is_suspect(at)
        )
        offered = Counter(upstream.data_centre for upstream, _ in offers)
        cut_off = {
            data_centre
            for data_centre, count in suspects.items()
            if count >= MIN_SUSPECTS_OF_CUT
            and count >= SUSPECT_SHARE_OF_CUT * offered[data_centre]
            and data_centre != self._data_centre
        }
        return [
            (upstream, group)
            for upstream, group in offers
            if upstream.data_centre not in cut_off
            and not self._loads.load(upstream.upstream_id).is_suspect(at)
        ]

    def accepts_requests(self, upstream: Upstream, at: float) -> bool:
        """Return whether a request for an upstream that was chosen may still be sent."""
        is_backing_off = self.backoff.is_backing_off(upstream.lifetime, at)
        return not is_backing_off and not self._cluster_state.is_leaving(upstream)

    def count_sent(self, upstream: Upstream, at: float) -> None:
        """Count a request that goes to an upstream against its cold rate."""
        rate_limit = self._cold_by_id.get(upstream.upstream_id)
        if rate_limit is not None:
            rate_limit.count(at)

    def _offers(
        self, service: Service, model: ModelId | None
    ) -> Iterator[tuple[Upstream, Group | None]]:
        view = self._cluster_state.view
        if service.engine is None:
            for upstream in view.upstreams_by_id.values():
                if upstream.service == service.service:
                    yield upstream, None
            return
        for group in view.serving_groups(service.service):
            head = group.head
            if head is None:
                continue
            if model is not None and head.loaded != model:
                continue
            if self._cluster_state.has_all_members(group, _loaded_spec(service.engine, head).size):
                yield head, group

    def _is_usable(self, upstream: Upstream) -> bool:
        evacuated = self._cluster_state.evacuations.data_centres
        return not upstream.draining and upstream.data_centre not in evacuated

    def _cold_permits(self, upstream: Upstream, service: Service, at: float) -> bool:
        if service.cold_requests_per_second <= 0 or at >= upstream.cold_until:
            self._cold_by_id.pop(upstream.upstream_id, None)
            return True
        rate = service.cold_requests_per_second * self._cold_factor + self._cold_slack
        rate_limit = self._cold_by_id.setdefault(upstream.upstream_id, ColdRateLimit(rate))
        instances = self._cluster_state.instance_count
        if rate_limit.whole >= instances:
            return rate_limit.may_send(at, instances)
        # Less than one request a second for each: some instances send, the others do not.
        count = max(1, int(rate_limit.whole))
        senders = choose_senders(self._cluster_state.peers, upstream.upstream_id, count)
        return self._instance in senders and rate_limit.is_unused(at)

    def _rate(
        self, upstream: Upstream, group: Group | None, service: Service, at: float
    ) -> _Candidate:
        load = self._loads.load(upstream.upstream_id)
        estimate = load.estimate(at)
        distance = 0.0 if upstream.data_centre == self._data_centre else OTHER_DATA_CENTRE_PENALTY
        jitter = self._rng.random() * 0.1
        health = FAILURE_WEIGHT * load.failure_share
        if service.engine is None or group is None:
            slots = max(1, upstream.slots)
            wait = max(0.0, estimate + 1 - slots) * load.latency / slots
            score = (estimate + 1) / slots * max(load.latency, 0.001) * 10 + distance + health
            return _Candidate(upstream, score + jitter, wait)
        spec = _loaded_spec(service.engine, upstream)
        wait = queue_wait(service.engine, spec.pace, estimate)
        whole = 0.0 if group.is_complete(spec.size) else INCOMPLETE_GROUP_PENALTY
        score = (estimate + 1) * spec.pace / service.engine.slots * 4 + distance + health + whole
        pause = service.engine.max_event_gap(spec.pace)
        return _Candidate(upstream, score + jitter, wait, pause)


def _none_open(backoff_by_id: Mapping[UpstreamId, float], backoff_remaining: float) -> NoUpstream:
    """Return why none of the upstreams that could serve may be asked now.

    :param backoff_by_id: seconds for which each of them is left alone; 0 for one that is full.
    :param backoff_remaining: the least of these that is not 0.
    """
    if all(backoff_by_id.values()) and backoff_by_id:
        return NoUpstream(
            NoUpstreamReason.ALL_BACKING_OFF,
            backoff_remaining,
            len(backoff_by_id),
            backoff_remaining=backoff_remaining,
        )
    if any(backoff_by_id.values()):
        retry_after = min(FULL_SECONDS, backoff_remaining)
        return NoUpstream(
            NoUpstreamReason.ALL_BUSY,
            retry_after,
            len(backoff_by_id),
            backoff_remaining=backoff_remaining,
        )
    return NoUpstream(NoUpstreamReason.NONE_SERVES, FULL_SECONDS)


def _loaded_spec(engine: EngineSpec, head: Upstream) -> ModelSpec:
    """Return the model that a head carries; an undeclared one counts as a group of one."""
    model = head.loaded or ModelId("")
    return engine.models_by_id.get(model) or ModelSpec(model, size=1)


def queue_wait(engine: EngineSpec, pace: float, estimate: float) -> float:
    """Return seconds until a group with so many requests begins the next one.

    :param pace: factor on the group's times.
    :param estimate: requests that run or wait there.
    """
    queued = max(0.0, estimate + 1 - engine.slots)
    step = engine.step_seconds + engine.slots * engine.step_seconds_per_request
    return queued * TYPICAL_OUTPUT_TOKENS * step * pace / engine.slots
