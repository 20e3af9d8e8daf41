"""The retry budgets of an instance, by service."""

from collections.abc import Callable

from cactuspass._clock import now
from cactuspass.fleet._budgets import RetryBudget
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._settings import BoundSection
from cactuspass.models import ServiceId


class RetryBudgets:
    """A retry budget for each service that has been asked for.

    :param instance_count: returns the number of instances that share the budgets.
    """

    def __init__(self, bounds: BoundSection, instance_count: Callable[[], int]) -> None:
        self._bounds = bounds
        self._instance_count = instance_count
        self._budgets_by_service: dict[ServiceId, RetryBudget] = {}

    def find(self, service: ServiceId) -> RetryBudget:
        """Return the budget of a service."""
        bounds = self._bounds
        if service not in self._budgets_by_service:
            self._budgets_by_service[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
        return self._budgets_by_service[service]

    def update_metrics(self, metrics: Metrics) -> None:
        """Set the gauge of the retries that are left."""
        for service, budget in self._budgets_by_service.items():
            left = budget.remaining(now(), self._instance_count())
            metrics.retries_left.labels(service).set(left)
