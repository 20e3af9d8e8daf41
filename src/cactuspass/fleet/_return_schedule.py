"""Spreads the times at which refused callers are told to come back."""

from cactuspass.models import ModelId, ServiceId


class ReturnSchedule:
    """The next free time for the requests of each model that wait for upstreams at their limits."""

    def __init__(self) -> None:
        self._free_at_by_model: dict[tuple[ServiceId, ModelId | None], float] = {}

    def book(
        self,
        key: tuple[ServiceId, ModelId | None],
        earliest: float,
        interval: float,
        latest: float,
        at: float,
    ) -> float:
        """Return the seconds after which a caller should come back.

        A caller who cannot come back so late takes up no time.

        :param earliest: seconds until the first caller could be served.
        :param interval: seconds between two callers.
        :param latest: seconds within which this caller can come back.
        :param at: current clock value.
        """
        back_at = max(at + earliest, self._free_at_by_model.get(key, at))
        if back_at - at <= latest:
            self._free_at_by_model[key] = back_at + interval
        return back_at - at
