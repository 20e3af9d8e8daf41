"""Decides which requests for one model may ask for room while there is too little of it."""

import random
from collections import OrderedDict
from collections.abc import Mapping

from cactuspass.fleet.load_shedding._fair_shares import CustomerShares
from cactuspass.fleet.load_shedding._sizes import passed_share
from cactuspass.fleet.load_shedding._urgency import ModelArrivals, Urgency
from cactuspass.models import CustomerId

WEIGHT_OF_LAST_SIZE = 0.02
MAX_KEYS = 256


class ModelAdmission:
    """Requests for one model at this instance, and what was decided on them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.arrivals = ModelArrivals()
        self.customers = CustomerShares()
        self._usual_seconds_by_key: OrderedDict[tuple[str, CustomerId], float] = OrderedDict()

    def note_arrival(
        self, urgency: Urgency, customer: CustomerId, route: str, request_seconds: float, at: float
    ) -> None:
        """Count a request.

        :param request_seconds: predicted time that it takes up a slot.
        """
        self.arrivals.note_arrival(urgency, at)
        self.customers.note_arrival(customer, at)
        key = (route, customer)
        usual = self._usual_seconds_by_key.get(key, request_seconds)
        change = WEIGHT_OF_LAST_SIZE * (request_seconds - usual)
        self._usual_seconds_by_key[key] = usual + change
        self._usual_seconds_by_key.move_to_end(key)
        if len(self._usual_seconds_by_key) > MAX_KEYS:
            self._usual_seconds_by_key.popitem(last=False)

    def may_ask(
        self,
        customer: CustomerId,
        route: str,
        request_seconds: float,
        begun_per_second: Mapping[CustomerId, float],
    ) -> bool:
        """Return whether a request may ask for room; call it only while there is too little.

        Its size is compared with that of other requests of its route and customer, so that a
        customer gains little by stating less for all of them.

        :param begun_per_second: requests of each customer that begin in the whole fleet.
        """
        usual = self._usual_seconds_by_key.get((route, customer), request_seconds)
        share = passed_share(request_seconds, usual) * self.customers.passed_share(
            customer, self.arrivals.served_rate, begun_per_second
        )
        return share >= 1.0 or self._rng.random() < share

    def leaves_reserve(
        self, urgency: Urgency, free_slots: float, slot_interval: float, lent_share: float
    ) -> bool:
        """Return whether enough slots stay free for more urgent requests.

        :param free_slots: slots of this instance that are free.
        :param slot_interval: seconds between two of them that become free.
        :param lent_share: share of the more urgent ones that can use slots of other instances.
        """
        reserve = self.arrivals.reserve(urgency, slot_interval) * (1.0 - lent_share)
        return free_slots - 1 >= reserve - self._rng.random()
