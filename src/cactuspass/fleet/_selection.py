"""Chooses the upstream for a request, or gives the reason why no upstream can take it."""

import math
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from statistics import fmean

from cactuspass.fleet._backoff import BackoffTable
from cactuspass.fleet._budgets import ColdRateLimit
from cactuspass.fleet._catalog import EngineSpec, Service
from cactuspass.fleet._choices import (
    NO_BACKOFF_SECONDS,
    NoUpstream,
    NoUpstreamReason,
    Selection,
    SelectionRequest,
)
from cactuspass.fleet._cluster_state import ClusterState, ServingUpstream
from cactuspass.fleet._limit_shares import LimitShares
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._peers import choose_senders
from cactuspass.fleet._request_limits import RequestLimits
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId
from cactuspass.fleet.choice import RoomChoice
from cactuspass.fleet.load_exchange import FleetLoad
from cactuspass.fleet.load_shedding import TYPICAL_OUTPUT_TOKENS
from cactuspass.models import DataCentreId, EntryId, ServiceId

OTHER_DATA_CENTRE_PENALTY = 0.15
TIE_BREAK_RANGE = 0.1
# Below the weight of one request, so that connections to few upstreams are used again and again,
# but not those to busier ones; and below the range, so that no idle upstream is left out for good.
NEW_CONNECTION_PENALTY = 0.08
SAMPLE_SIZE = 12  # of more upstreams than this, a random choice is weighed
RECENT_UPSTREAMS = 6
# Of the mean load; below 1, so that upstreams without a recent report are tried and report again.
UNKNOWN_LOAD_SHARE = 0.85
INCOMPLETE_GROUP_PENALTY = 3.0
FAILURE_WEIGHT = 6.0
COLD_FACTOR_DEFAULT = 1.5
COLD_SLACK_DEFAULT = 5.0
MIN_SUSPECTS_OF_PARTITION = 2
SUSPECT_SHARE_OF_PARTITION = 0.5
BUSY_RETRY_SECONDS = 0.5
COLD_RETRY_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An upstream that could take a request; the lowest score wins."""

    upstream: Upstream
    score: float
    wait: float
    max_event_gap: float | None = None


def always_connected(address: str) -> bool:
    """Return True; the default, with which connections play no part."""
    return True


def no_fleet_load() -> None:
    """Return None; the default, with which only the upstreams' own reports are known."""


class Selector:
    """Chooses upstreams by estimated load, distance and health.

    :param data_centre: data centre of this instance.
    :param cold_factor: factor applied to the declared request rate of a cold upstream.
    :param cold_slack: requests per second added to that rate.
    :param instance: id of this instance.
    :param is_connected: whether an idle connection to an address is open.
    :param limits: limits that upstreams state; without them, none is known at the start.
    :param fleet_load: returns the load of all upstreams; None while it is not known.
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
        is_connected: Callable[[str], bool] = always_connected,
        limits: RequestLimits | None = None,
        fleet_load: Callable[[], FleetLoad | None] = no_fleet_load,
    ) -> None:
        self._instance = instance
        self._is_connected = is_connected
        self._cluster_state = cluster_state
        self._loads = loads
        self._data_centre = data_centre
        self._rng = rng
        self._cold_factor = cold_factor
        self._cold_slack = cold_slack
        self._recent_ids_by_service: dict[ServiceId, deque[UpstreamId]] = {}
        self._cold_by_id: dict[UpstreamId, ColdRateLimit] = {}
        self.backoff = BackoffTable()
        self._fleet_load = fleet_load
        self.room_choice = RoomChoice(
            cluster_state, loads, data_centre, rng, instance, is_connected
        )
        self.limits = limits or RequestLimits(LimitShares(cluster_state, instance))

    def choose(self, request: SelectionRequest, at: float) -> Selection | NoUpstream:
        """Return the upstream that should take a request, or the reason why none can.

        :param at: current clock value.
        """
        index = self._cluster_state.catalog_index
        service = index.catalog.services_by_id.get(request.service) if index else None
        if service is None:
            return NoUpstream(NoUpstreamReason.NONE_SERVES, 1.0)
        serving = self._cluster_state.serving_upstreams(service, request.model)
        engine = service.engine
        # For a model that nobody serves, the load of others would only be kept by its name.
        is_known = engine is not None and (bool(serving) or engine.declares(request.model))
        fleet_load = self._fleet_load() if is_known and request.model else None
        if fleet_load is not None:
            return self._choose_among(
                serving, request, service, at, accepts_suspects=True, fleet_load=fleet_load
            )
        if len(serving) > SAMPLE_SIZE:
            found = self._choose_among(self._sample(serving, service), request, service, at)
            if isinstance(found, Selection):
                self._remember(service, found.upstream)
                return found
        return self._choose_among(serving, request, service, at, accepts_suspects=True)

    def _sample(self, serving: list[ServingUpstream], service: Service) -> list[ServingUpstream]:
        """Return a few upstreams at random, and those that were chosen last.

        The time for a choice does not grow with the number of upstreams, and instances whose load
        reports are outdated do not all choose the same one.
        """
        recent_ids = self._recent_ids_by_service.get(service.service, ())
        recent = [s for s in serving if s.upstream.upstream_id in recent_ids]
        return self._rng.sample(serving, SAMPLE_SIZE) + recent

    def _remember(self, service: Service, upstream: Upstream) -> None:
        recent_ids = self._recent_ids_by_service.setdefault(
            service.service, deque(maxlen=RECENT_UPSTREAMS)
        )
        if upstream.upstream_id not in recent_ids:
            recent_ids.append(upstream.upstream_id)

    def _choose_among(
        self,
        serving: list[ServingUpstream],
        request: SelectionRequest,
        service: Service,
        at: float,
        accepts_suspects: bool = False,
        fleet_load: FleetLoad | None = None,
    ) -> Selection | NoUpstream:
        """Return the best of some upstreams that serve the model, or why none can be chosen.

        :param accepts_suspects: whether a suspect may be chosen when all others are suspects.
        :param fleet_load: the load of all upstreams, by which to choose; None for the reports.
        """
        eligible = [
            s
            for s in serving
            if self._is_eligible(s.upstream) and request.allows(s.upstream.upstream_id)
        ]
        backoff_by_id = {
            s.upstream.upstream_id: self.backoff.delay(s.upstream.lifetime, at)
            if self.backoff
            else 0.0
            for s in eligible
        }
        backoff_remaining = min(filter(None, backoff_by_id.values()), default=NO_BACKOFF_SECONDS)
        available = [
            s
            for s in eligible
            if not backoff_by_id[s.upstream.upstream_id]
            and s.upstream.upstream_id not in request.full
        ]
        if not available:
            return _no_upstream(backoff_by_id, backoff_remaining)
        delays = self._delays_at_limit(available, request.priority, at)
        within = available
        if delays:
            within = [s for s in available if s.upstream.lifetime not in delays]
        found = self._choose_best(within, request, service, at, accepts_suspects, fleet_load)
        if isinstance(found, Selection):
            return found
        retry_after = min(found.retry_after, backoff_remaining)
        found = replace(
            found,
            retry_after=retry_after,
            serving_count=len(eligible),
            backoff_remaining=backoff_remaining,
        )
        return self._with_limits(found, delays) if delays else found

    def _choose_best(
        self,
        available: list[ServingUpstream],
        request: SelectionRequest,
        service: Service,
        at: float,
        accepts_suspects: bool,
        fleet_load: FleetLoad | None,
    ) -> Selection | NoUpstream:
        """Return the best of the upstreams that are neither backing off nor at their limit."""
        if not available:
            return NoUpstream(NoUpstreamReason.ALL_AT_LIMIT, NO_BACKOFF_SECONDS)
        warm = [s for s in available if self._cold_limit_allows(s.upstream, service, at)]
        if not warm:
            return NoUpstream(NoUpstreamReason.ALL_COLD, COLD_RETRY_SECONDS)
        healthy = self._without_suspects(warm, at)
        if not healthy and not accepts_suspects:
            return NoUpstream(NoUpstreamReason.NONE_SERVES, BUSY_RETRY_SECONDS)
        choices = healthy or warm
        if fleet_load is not None:
            return self.room_choice.choose(choices, request, service, fleet_load, at)
        typical_load = self._typical_load(choices, at)
        candidates = [self._score(s, service, at, typical_load) for s in choices]
        best = min(candidates, key=lambda candidate: candidate.score)
        if best.wait > request.max_wait:
            retry_after = max(0.2, best.wait - request.max_wait)
            return NoUpstream(NoUpstreamReason.ALL_BUSY, retry_after, wait=best.wait)
        return Selection(best.upstream, best.wait, best.max_event_gap)

    def _delays_at_limit(
        self, available: list[ServingUpstream], priority: int, at: float
    ) -> dict[Lifetime, float]:
        """Return the upstreams for which no token is left, with the seconds until the next one."""
        if not self.limits.limits_by_lifetime:
            return {}
        delay_by_lifetime = {
            lifetime: delay
            for lifetime in (serving.upstream.lifetime for serving in available)
            if (delay := self.limits.delay(lifetime, priority, at)) > 0.0
        }
        for lifetime in delay_by_lifetime:
            self.limits.note_passed_over(lifetime)
        return delay_by_lifetime

    def _with_limits(
        self, found: NoUpstream, delay_by_lifetime: Mapping[Lifetime, float]
    ) -> NoUpstream:
        """Add the upstreams for which no token is left to the reason why none was chosen."""
        limits = list(filter(None, map(self.limits.find, delay_by_lifetime)))
        total = sum(limit.total_rate for limit in limits)
        own_share = sum(limit.allowance.rate for limit in limits)
        token_delay = min(delay_by_lifetime.values())
        return replace(
            found,
            # Where this instance has no share, the caller can be served by another one.
            retry_after=min(found.retry_after, token_delay, 1.0 / total),
            at_limit=tuple(delay_by_lifetime),
            token_delay=token_delay,
            token_interval=1.0 / own_share if own_share > 0 else math.inf,
            limit_rate=total,
        )

    def _without_suspects(
        self, candidates: list[ServingUpstream], at: float
    ) -> list[ServingUpstream]:
        """Return the upstreams that are neither suspect nor in an unreachable data centre.

        When several upstreams of another data centre fail at the same time, the network path to
        that data centre counts as cut, and all its upstreams are left out.
        """
        upstreams = [serving.upstream for serving in candidates]
        suspects = Counter(
            upstream.data_centre
            for upstream in upstreams
            if self._loads.load(upstream.upstream_id).is_suspect(at)
        )
        if not suspects:
            return candidates
        total = Counter(upstream.data_centre for upstream in upstreams)
        unreachable = {
            data_centre
            for data_centre, count in suspects.items()
            if count >= MIN_SUSPECTS_OF_PARTITION
            and count >= SUSPECT_SHARE_OF_PARTITION * total[data_centre]
            and data_centre != self._data_centre
        }
        return [
            serving
            for serving in candidates
            if serving.upstream.data_centre not in unreachable
            and not self._loads.load(serving.upstream.upstream_id).is_suspect(at)
        ]

    @property
    def knows_fleet_load(self) -> bool:
        """Whether the load of all upstreams is known."""
        return self._fleet_load() is not None

    def accepts_requests(self, upstream: Upstream, at: float) -> bool:
        """Return whether an upstream that was chosen earlier still accepts requests."""
        is_backing_off = self.backoff.is_backing_off(upstream.lifetime, at)
        return not is_backing_off and not self._cluster_state.is_leaving(upstream)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream takes no new requests, so that it closes its connections."""
        return self._cluster_state.is_leaving(upstream)

    def count_sent(self, upstream: Upstream, at: float) -> None:
        """Count a request sent to an upstream against its rate limit while cold."""
        rate_limit = self._cold_by_id.get(upstream.upstream_id)
        if rate_limit is not None:
            rate_limit.count(at)

    def _is_eligible(self, upstream: Upstream) -> bool:
        evacuated = self._cluster_state.evacuations.data_centres
        return not upstream.draining and upstream.data_centre not in evacuated

    def _cold_limit_allows(self, upstream: Upstream, service: Service, at: float) -> bool:
        if service.cold_requests_per_second <= 0 or at >= upstream.cold_until:
            self._cold_by_id.pop(upstream.upstream_id, None)
            return True
        rate = service.cold_requests_per_second * self._cold_factor + self._cold_slack
        rate_limit = self._cold_by_id.setdefault(upstream.upstream_id, ColdRateLimit(rate))
        instances = self._cluster_state.instance_count
        if rate_limit.total_rate >= instances:
            return rate_limit.may_send(at, instances)
        # The limit is below one request per second per instance, so only some instances send.
        count = max(1, int(rate_limit.total_rate))
        senders = choose_senders(self._cluster_state.peers, upstream.upstream_id, count)
        return self._instance in senders and rate_limit.is_unused(at)

    def _typical_load(self, choices: list[ServingUpstream], at: float) -> float:
        """Return the number of requests to expect at an upstream without a recent report.

        It is a little below the mean of those that have reported. If such an upstream counted as
        idle, it would be preferred to all that have an open connection or are nearer.
        """
        loads = (self._loads.load(serving.upstream.upstream_id) for serving in choices)
        estimates = [load.estimate(at) for load in loads if load.is_known(at)]
        return UNKNOWN_LOAD_SHARE * fmean(estimates) if estimates else 0.0

    def _score(
        self, serving: ServingUpstream, service: Service, at: float, typical_load: float
    ) -> _Candidate:
        upstream, spec = serving.upstream, serving.spec
        load = self._loads.load(upstream.upstream_id)
        estimate = load.estimate(at)
        likely = load.estimate(at, typical_load)
        distance = 0.0 if upstream.data_centre == self._data_centre else OTHER_DATA_CENTRE_PENALTY
        tie_break = self._rng.random() * TIE_BREAK_RANGE
        if not self._is_connected(upstream.address):
            tie_break += NEW_CONNECTION_PENALTY
        health = FAILURE_WEIGHT * load.failure_share
        if service.engine is None or spec is None:
            slots = max(1, upstream.slots)
            wait = max(0.0, estimate + 1 - slots) * load.latency / slots
            score = (likely + 1) / slots * max(load.latency, 0.001) * 10 + distance + health
            return _Candidate(upstream, score + tie_break, wait)
        wait = queue_wait(service.engine, spec.pace, estimate)
        missing = 0.0 if serving.is_complete else INCOMPLETE_GROUP_PENALTY
        score = (likely + 1) * spec.pace / service.engine.slots * 4 + distance + health + missing
        max_event_gap = service.engine.max_event_gap(spec.pace)
        return _Candidate(upstream, score + tie_break, wait, max_event_gap)


def _no_upstream(backoff_by_id: Mapping[UpstreamId, float], backoff_remaining: float) -> NoUpstream:
    """Return why no upstream that serves the request is available now.

    :param backoff_by_id: remaining backoff of each upstream in seconds; 0 for one that is full.
    :param backoff_remaining: the smallest of these that is not 0.
    """
    if all(backoff_by_id.values()) and backoff_by_id:
        return NoUpstream(
            NoUpstreamReason.ALL_BACKING_OFF,
            backoff_remaining,
            len(backoff_by_id),
            backoff_remaining=backoff_remaining,
        )
    if any(backoff_by_id.values()):
        retry_after = min(BUSY_RETRY_SECONDS, backoff_remaining)
        return NoUpstream(
            NoUpstreamReason.ALL_BUSY,
            retry_after,
            len(backoff_by_id),
            backoff_remaining=backoff_remaining,
        )
    return NoUpstream(NoUpstreamReason.NONE_SERVES, BUSY_RETRY_SECONDS)


def queue_wait(engine: EngineSpec, pace: float, estimate: float) -> float:
    """Return the estimated seconds until a group starts one more request.

    :param pace: factor applied to the group's step time.
    :param estimate: requests that run or wait at the group.
    """
    queued = max(0.0, estimate + 1 - engine.slots)
    step = engine.step_seconds_with(engine.slots)
    return queued * TYPICAL_OUTPUT_TOKENS * step * pace / engine.slots
