"""Decides the shares of one data centre from the exchanged loads, and logs what changes."""

from collections.abc import Mapping

from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet.load_exchange import KnownLoads, ModelKey, Shares
from cactuspass.fleet.spill._decision import decide_shares
from cactuspass.fleet.spill._inputs import find_states
from cactuspass.fleet.spill._model_state import ModelState
from cactuspass.models import DataCentreId

# Smaller changes of the share that goes elsewhere since the last line are not logged.
MIN_LOGGED_CHANGE = 0.1


class ShareDecider:
    """The decision on shares at the coordinator of a data centre.

    :param data_centre: data centre of this instance.
    """

    def __init__(
        self, cluster_state: ClusterState, data_centre: DataCentreId, log: DecisionLog
    ) -> None:
        self._cluster_state = cluster_state
        self._data_centre = data_centre
        self._log = log
        self._logged_by_key: dict[ModelKey, float] = {}

    def decide(
        self, loads: KnownLoads, previous_by_key: Mapping[ModelKey, Shares], at: float
    ) -> Mapping[ModelKey, Shares]:
        """Return the next shares of each declared model.

        :param at: current clock value.
        """
        states = find_states(self._cluster_state, self._data_centre, loads, at)
        shares_by_key = decide_shares(states, previous_by_key)
        for key, shares in shares_by_key.items():
            self._log_change(key, states[key], shares)
        return shares_by_key

    def _log_change(self, key: ModelKey, state: ModelState, shares: Shares) -> None:
        elsewhere = 1.0 - shares.get(self._data_centre, 0.0)
        if abs(elsewhere - self._logged_by_key.get(key, 0.0)) < MIN_LOGGED_CHANGE:
            return
        self._logged_by_key[key] = elsewhere
        service, model = key
        places = state.places_by_id
        self._log.state_change(
            "spill-shares",
            service=service,
            model=model,
            shares=_text({place: round(share, 2) for place, share in shares.items()}),
            capacities=_text({place: round(s.capacity) for place, s in places.items()}),
            demands=_text({place: round(s.demand) for place, s in places.items()}),
            trust=_text({place: round(s.trust, 2) for place, s in places.items()}),
        )


def _text(value_by_place: Mapping[DataCentreId, float]) -> str:
    return ",".join(f"{place}:{value:g}" for place, value in sorted(value_by_place.items()))
