"""Estimates how many groups each model should have."""

from collections.abc import Mapping
from math import sqrt

from cactuspass.fleet._catalog import EngineSpec, ModelSpec
from cactuspass.fleet._offered_load import OfferedLoad
from cactuspass.models import ModelId

SMOOTHING_FACTOR = 0.05
MIN_OBSERVATIONS = 25
HEADROOM_FACTOR = 2.2
MIN_GROUPS = 2.0
USED_SHARE = 0.8
# Requests that arrive at random exceed their mean by more than this many standard deviations in one
# of forty moments.
MARGIN_DEVIATIONS = 2.0


class Demand:
    """Demand for each model: what is offered in the whole fleet, where that is known.

    Otherwise it is estimated from the requests observed at the open groups, which do not include
    refused ones, and until there are enough observations from the declared shares.
    """

    def __init__(self) -> None:
        self._concurrency_by_model: dict[ModelId, float] = {}
        self._observations = 0
        self._offered = OfferedLoad()
        self._at = float("-inf")

    def observe(self, concurrency_by_model: Mapping[ModelId, float]) -> None:
        """Record how many requests run or wait at the groups of each model now."""
        if not any(concurrency_by_model.values()):
            return
        self._observations += 1
        for model, concurrency in concurrency_by_model.items():
            known = self._concurrency_by_model.get(model, concurrency)
            self._concurrency_by_model[model] = known + SMOOTHING_FACTOR * (concurrency - known)

    def observe_offered(
        self,
        engine: EngineSpec,
        concurrency_by_model: Mapping[ModelId, float] | None,
        group_counts_by_model: Mapping[ModelId, int],
        at: float,
    ) -> None:
        """Record how many requests of each model would run at once if none was refused.

        :param concurrency_by_model: None while that is not known.
        :param group_counts_by_model: groups that serve.
        """
        self._at = at
        if concurrency_by_model is not None:
            self._offered.observe(engine, concurrency_by_model, group_counts_by_model, at)

    def target_group_count(self, engine: EngineSpec, spec: ModelSpec, hosts: int) -> float:
        """Return the target number of groups for a model.

        :param hosts: number of upstreams that could be members.
        """
        peak = self._offered.peak(spec.model, self._at)
        if peak is not None:
            return max(MIN_GROUPS, peak + MARGIN_DEVIATIONS * sqrt(peak / engine.slots))
        total_share = sum(s.demand_share for s in engine.models_by_id.values()) or 1.0
        share = spec.demand_share / total_share
        declared = share * hosts * USED_SHARE / spec.size
        if self._observations < MIN_OBSERVATIONS:
            return max(MIN_GROUPS, declared)
        concurrency = self._concurrency_by_model.get(spec.model)
        if concurrency is None:
            return max(MIN_GROUPS, declared)
        return max(MIN_GROUPS, concurrency / engine.slots * HEADROOM_FACTOR)
