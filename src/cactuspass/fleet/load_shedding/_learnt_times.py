"""Predictions corrected by what was measured."""

from cactuspass.fleet.load_shedding._corrections import Corrections
from cactuspass.fleet.load_shedding._prediction import Prediction
from cactuspass.models import CustomerId, ModelId, ServiceId


class LearntTimes:
    """Corrections of first events by model, and of the time at an engine by route and customer too.

    What a caller states wrongly is corrected for the requests of its route and customer only.
    """

    def __init__(self) -> None:
        self._first_events = Corrections()
        self._request_seconds = Corrections()

    def first_event(self, service: ServiceId, model: ModelId, prediction: Prediction) -> float:
        """Return the seconds from sending a request to its first event, without a queue."""
        return prediction.first_event * self._first_events.factor((service, model))

    def request_seconds(
        self, service: ServiceId, route: str, customer: CustomerId, prediction: Prediction
    ) -> float:
        """Return the seconds that a request takes up a slot."""
        factor = self._request_seconds.factor((service, route, customer))
        return prediction.request_seconds * factor

    def note_first_event(
        self, service: ServiceId, model: ModelId, prediction: Prediction, seconds: float
    ) -> float:
        """Record the time to a first event; return by how much the prediction was wrong.

        :param seconds: without the queue that was expected.
        """
        error = abs(seconds - self.first_event(service, model, prediction))
        self._first_events.note((service, model), prediction.first_event, seconds)
        return error

    def note_request_seconds(
        self,
        service: ServiceId,
        route: str,
        customer: CustomerId,
        prediction: Prediction,
        seconds: float,
    ) -> float:
        """Record the time that a request took; return by how much the prediction was wrong."""
        error = abs(seconds - self.request_seconds(service, route, customer, prediction))
        self._request_seconds.note((service, route, customer), prediction.request_seconds, seconds)
        return error
