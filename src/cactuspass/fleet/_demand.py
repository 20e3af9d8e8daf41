"""Estimates how many groups each model should have."""

from collections.abc import Mapping

from cactuspass.fleet._catalog import EngineSpec, ModelSpec
from cactuspass.models import ModelId

SMOOTHING_FACTOR = 0.05
MIN_OBSERVATIONS = 25
HEADROOM_FACTOR = 2.2
MIN_GROUPS = 2.0
USED_SHARE = 0.8


class Demand:
    """Demand for each model, from the requests observed at the open groups.

    Until there are enough observations, the declared shares are used instead.
    """

    def __init__(self) -> None:
        self._concurrency_by_model: dict[ModelId, float] = {}
        self._observations = 0

    def observe(self, concurrency_by_model: Mapping[ModelId, float]) -> None:
        """Record how many requests run or wait at the groups of each model now."""
        if not any(concurrency_by_model.values()):
            return
        self._observations += 1
        for model, concurrency in concurrency_by_model.items():
            known = self._concurrency_by_model.get(model, concurrency)
            self._concurrency_by_model[model] = known + SMOOTHING_FACTOR * (concurrency - known)

    def target_group_count(self, engine: EngineSpec, spec: ModelSpec, hosts: int) -> float:
        """Return the target number of groups for a model.

        :param hosts: number of upstreams that could be members.
        """
        total_share = sum(s.demand_share for s in engine.models_by_id.values()) or 1.0
        share = spec.demand_share / total_share
        declared = share * hosts * USED_SHARE / spec.size
        if self._observations < MIN_OBSERVATIONS:
            return max(MIN_GROUPS, declared)
        concurrency = self._concurrency_by_model.get(spec.model)
        if concurrency is None:
            return max(MIN_GROUPS, declared)
        return max(MIN_GROUPS, concurrency / engine.slots * HEADROOM_FACTOR)
