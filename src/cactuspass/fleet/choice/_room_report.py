"""Reports for which models room is short."""

from cactuspass._clock import now
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet.choice._room_choice import RoomChoice
from cactuspass.fleet.load_exchange import ModelKey

# Without a request for so long, nothing is known of the room for a model.
MAX_AGE_SECONDS = 10.0


class RoomReport:
    """Shows how much room instances lend each other, by model."""

    def __init__(self, room_choice: RoomChoice, log: DecisionLog, metrics: Metrics) -> None:
        self._room_choice = room_choice
        self._log = log
        self._metrics = metrics
        self._short_keys: set[ModelKey] = set()

    def update_metrics(self) -> None:
        """Set the metrics to what the last requests found."""
        self._metrics.lent_share.clear()
        for (service, model), shortage in self._room_choice.shortages_since(
            now() - MAX_AGE_SECONDS
        ).items():
            self._metrics.lent_share.labels(service, model).set(shortage.lent_share)

    def log_changes(self) -> None:
        """Log the models for which room has become short, or no longer is."""
        shortages = self._room_choice.shortages_since(now() - MAX_AGE_SECONDS)
        short_keys = {key for key, shortage in shortages.items() if shortage.is_short}
        for service, model in sorted(short_keys - self._short_keys):
            shortage = shortages[service, model]
            self._log.state_change(
                "room-short",
                service=service,
                model=model,
                lent_share=shortage.lent_share,
                own_share=shortage.own_share,
            )
        for service, model in sorted(self._short_keys - short_keys):
            self._log.state_change("room-enough", service=service, model=model)
        self._short_keys = short_keys
