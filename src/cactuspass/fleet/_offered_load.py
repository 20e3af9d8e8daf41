"""How many groups the offered requests of a service would fill, at the peak of the last wave."""

from collections import Counter, deque
from collections.abc import Mapping

from cactuspass.fleet._catalog import EngineSpec
from cactuspass.fleet.load_exchange import FleetLoad
from cactuspass.models import DataCentreId, ModelId, ServiceId

# Longer than demand usually takes to swing once, so that each window includes a peak.
WAVE_SECONDS = 15.0
# Rates of single seconds are too noisy: by chance, they vary by the root of the requests in them.
SMOOTHING_SECONDS = 2.0
MAX_GAP_SECONDS = 5.0  # after a longer time without a sample, what came before counts as unknown
MIN_RISE = 1.1  # between two waves; a smaller one may be noise
ASSUMED_OUTPUT_TOKENS = 100.0  # where the usual number is not declared
MAX_FORECAST_FACTOR = 1.25  # a jump that is over looks like a rise


def offered_concurrency(
    load: FleetLoad | None, service: ServiceId, engine: EngineSpec
) -> dict[ModelId, float] | None:
    """Return the requests of each model that would run at once if none was refused.

    :return: None while no data centre's demand for the service is known.
    """
    if load is None:
        return None
    found = Counter[ModelId]()
    for key, demand in load.demand_by_key.items():
        if key.service == service:
            # While all requests are refused, none shows how long it takes.
            seconds = demand.mean_seconds or _declared_seconds(engine, key.model)
            # The time in a queue is no demand.
            seconds = min(seconds, engine.longest_mean_seconds(key.model))
            found[key.model] += demand.arrivals_per_second * seconds  # type: ignore[assignment]
    return dict(found) or None


def _declared_seconds(engine: EngineSpec, model: ModelId) -> float:
    """Return how long a usual request takes at a full group."""
    tokens = engine.usual_output_tokens or ASSUMED_OUTPUT_TOKENS
    return tokens * engine.step_seconds_with(engine.slots) * engine.model_spec(model).pace


def asking_data_centres(load: FleetLoad, service: ServiceId) -> frozenset[DataCentreId]:
    """Return the data centres whose demand for a service is known."""
    return frozenset(key.data_centre for key in load.demand_by_key if key.service == service)


def full_groups(engine: EngineSpec, concurrency: float, group_count: int) -> float:
    """Return how many groups would be full with the requests that so many groups run now.

    A step takes longer the more requests run, so the same arrivals make more requests run at once
    in fewer, fuller groups.

    :param concurrency: requests that run at the same time, or would.
    :param group_count: groups that they are spread over; 0 when it is not known.
    """
    running = min(float(engine.slots), concurrency / group_count if group_count else engine.slots)
    slowdown = engine.step_seconds_with(engine.slots) / engine.step_seconds_with(running)
    return concurrency / engine.slots * slowdown


class PeakWindow:
    """Highest smoothed value within the last wave, and within the one before."""

    def __init__(self) -> None:
        self._recent: deque[tuple[float, float]] = deque()
        self._smoothed: deque[tuple[float, float]] = deque()
        self._known_since = float("-inf")

    def add(self, value: float, at: float) -> None:
        """Add a sample."""
        if not self._smoothed or at - self._smoothed[-1][0] > MAX_GAP_SECONDS:
            self._known_since = at
            self._recent.clear()
        self._recent.append((at, value))
        while at - self._recent[0][0] > SMOOTHING_SECONDS:
            self._recent.popleft()
        mean = sum(sample for _, sample in self._recent) / len(self._recent)
        self._smoothed.append((at, mean))
        while at - self._smoothed[0][0] > 2 * WAVE_SECONDS:
            self._smoothed.popleft()

    def known_seconds(self, at: float) -> float:
        """Return for how long there have been samples without a gap; 0 while there are none."""
        if not self._smoothed or at - self._smoothed[-1][0] > MAX_GAP_SECONDS:
            return 0.0
        return at - self._known_since

    def peak(self, at: float) -> float | None:
        """Return the highest value of the last wave; None without a sample in it."""
        return max((v for then, v in self._smoothed if at - then <= WAVE_SECONDS), default=None)

    def forecast(self, at: float, lead_seconds: float) -> float | None:
        """Return the peak that is expected, when it goes on rising as since the wave before.

        :param lead_seconds: how far ahead.
        """
        peak = self.peak(at)
        if peak is None or self.known_seconds(at) < 2 * WAVE_SECONDS:
            return peak
        earlier = max((v for then, v in self._smoothed if at - then > WAVE_SECONDS), default=peak)
        rise = max(0.0, peak - MIN_RISE * earlier)
        return min(MAX_FORECAST_FACTOR * peak, peak + rise * lead_seconds / WAVE_SECONDS)


class OfferedLoad:
    """Groups that the offered requests for each model of a service would fill."""

    def __init__(self) -> None:
        self._windows_by_model: dict[ModelId, PeakWindow] = {}

    def observe(
        self,
        engine: EngineSpec,
        concurrency_by_model: Mapping[ModelId, float],
        group_counts_by_model: Mapping[ModelId, int],
        at: float,
    ) -> None:
        """Record the demand for each model now; nothing before the first request.

        :param group_counts_by_model: groups that the requests are spread over.
        """
        if not self._windows_by_model and not any(concurrency_by_model.values()):
            return
        for model in concurrency_by_model.keys() | self._windows_by_model.keys():
            concurrency = concurrency_by_model.get(model, 0.0)
            groups = full_groups(engine, concurrency, group_counts_by_model.get(model, 0))
            self._windows_by_model.setdefault(model, PeakWindow()).add(groups, at)

    def known_seconds(self, at: float) -> float:
        """Return for how long the demand has been known without a gap."""
        windows = self._windows_by_model.values()
        return max((window.known_seconds(at) for window in windows), default=0.0)

    def peak(self, model: ModelId, at: float) -> float | None:
        """Return the groups that would be full at the peak of the last wave, if that is known."""
        window = self._windows_by_model.get(model)
        return window.peak(at) if window is not None else None

    def forecast(self, model: ModelId, at: float, lead_seconds: float) -> float | None:
        """Return the groups that would be full at the peak of a later wave, if that is known."""
        window = self._windows_by_model.get(model)
        return window.forecast(at, lead_seconds) if window is not None else None
