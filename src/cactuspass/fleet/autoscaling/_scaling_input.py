"""Input of one decision on the number of upstreams of a service."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cactuspass.fleet._catalog import EngineSpec, ModelSpec, ScalingLimits, Service
from cactuspass.fleet._upstreams import Group, MemberState, Upstream, UpstreamView
from cactuspass.models import DataCentreId, FabricDomainId, ModelId

HostCounts = Mapping[FabricDomainId, Mapping[ModelId | None, int]]


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """Demand for a model, in groups that it would fill.

    :param peak: at the peak of the last wave.
    :param forecast: at the peak expected when an additional upstream could serve.
    """

    spec: ModelSpec
    peak: float
    forecast: float


@dataclass(frozen=True, slots=True)
class DataCentreHosts:
    """The registered upstreams of a service in one data centre.

    :param counts_by_domain: upstreams that do not drain, by fabric domain and the model whose
        weights they have; None for those without weights.
    :param serving_by_model: groups that accept requests.
    :param is_changing: whether upstreams that stay are in a group that does not serve with all its
        members.
    """

    data_centre: DataCentreId
    counts_by_domain: HostCounts = field(default_factory=dict)
    serving_by_model: Mapping[ModelId, int] = field(default_factory=dict)
    is_changing: bool = False
    is_evacuated: bool = False

    @property
    def count(self) -> int:
        """Number of upstreams that do not drain."""
        return sum(sum(counts.values()) for counts in self.counts_by_domain.values())


@dataclass(frozen=True, slots=True)
class ScalingInput:
    """Input of one decision.

    :param at: clock value.
    :param engine: sizes of the groups, and how long they take to load.
    :param needs: demand for each model.
    :param known_seconds: how long the demand has been known; 0 while it is not.
    :param unheard_data_centres: data centres whose demand was known shortly before.
    :param is_view_fresh: whether the registry was read recently.
    """

    at: float
    limits: ScalingLimits
    engine: EngineSpec
    needs: tuple[ModelNeed, ...]
    known_seconds: float
    data_centres: tuple[DataCentreHosts, ...]
    unheard_data_centres: frozenset[DataCentreId] = frozenset()
    is_view_fresh: bool = True


def read_data_centres(
    service: Service, view: UpstreamView, evacuated: frozenset[DataCentreId]
) -> tuple[DataCentreHosts, ...]:
    """Return the upstreams of a service by data centre, as the registry shows them."""
    hosts = [u for u in view.upstreams_by_id.values() if u.service == service.service]
    groups = view.groups_of(service.service)
    return tuple(
        _read_data_centre(
            data_centre,
            [host for host in hosts if host.data_centre == data_centre],
            [group for group in groups if group.members[0].data_centre == data_centre],
            service.engine,
            data_centre in evacuated,
        )
        for data_centre in sorted({host.data_centre for host in hosts})
    )


def _read_data_centre(
    data_centre: DataCentreId,
    hosts: Iterable[Upstream],
    groups: Iterable[Group],
    engine: EngineSpec | None,
    is_evacuated: bool,
) -> DataCentreHosts:
    counts_by_domain: dict[FabricDomainId, Counter[ModelId | None]] = {}
    for host in hosts:
        if not host.draining:
            counts = counts_by_domain.setdefault(host.fabric_domain, Counter())
            counts[host.loaded or next(reversed(host.staged), None)] += 1
    groups = list(groups)
    serving = Counter(group.model for group in groups if group.serves and group.model is not None)
    is_changing = any(not _is_settled(group, engine) for group in groups)
    return DataCentreHosts(data_centre, counts_by_domain, serving, is_changing, is_evacuated)


def _is_settled(group: Group, engine: EngineSpec | None) -> bool:
    """Return whether a group serves with all its members, or all of them leave."""
    if all(member.draining for member in group.members):
        return True
    size = engine.model_spec(group.model).size if engine is not None else 1
    states = {m.membership.state for m in group.members if m.membership is not None}
    return group.serves and group.is_complete(size) and MemberState.CLOSING not in states
