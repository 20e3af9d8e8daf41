"""Which model needs another group most."""

from collections.abc import Mapping

from cactuspass.fleet._catalog import EngineSpec, ModelSpec
from cactuspass.models import ModelId

MIN_DEMAND = 0.25
SMOOTHING = 0.15


class Demand:
    """Groups' worth of work for each model, from the requests seen at the open groups.

    Before any were seen, the declared shares stand in.
    """

    def __init__(self) -> None:
        self._concurrency_by_model: dict[ModelId, float] = {}

    def observe(self, concurrency_by_model: Mapping[ModelId, float]) -> None:
        """Take the requests that run or wait at the groups of each model now."""
        for model, concurrency in concurrency_by_model.items():
            known = self._concurrency_by_model.get(model, concurrency)
            self._concurrency_by_model[model] = known + SMOOTHING * (concurrency - known)

    def groups_needed(self, engine: EngineSpec, spec: ModelSpec) -> float:
        """Return how many groups the work of a model would keep full."""
        if not any(self._concurrency_by_model.values()):
            return spec.demand_share / spec.size
        concurrency = self._concurrency_by_model.get(spec.model, 0.0)
        return max(MIN_DEMAND, concurrency / engine.slots)

    def shortest(
        self, engine: EngineSpec, groups_by_model: Mapping[ModelId, int], among: list[ModelSpec]
    ) -> ModelSpec:
        """Return the model that one more group would help most.

        :param groups_by_model: groups that serve or are being formed.
        :param among: models to choose from, at least one.
        """

        def need(spec: ModelSpec) -> float:
            have = groups_by_model.get(spec.model, 0)
            return self.groups_needed(engine, spec) / (have + 0.5)

        return max(among, key=need)
