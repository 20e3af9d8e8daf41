"""Shows the limits that upstreams state as rows."""

from collections.abc import Mapping
from dataclasses import dataclass

from cactuspass._output import as_table
from cactuspass._rows import RowSet, row_set
from cactuspass.fleet._request_limits import RequestLimit
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.models import ServiceId

LIMITS_PATH = "/limits"


@dataclass(frozen=True, slots=True)
class LimitRow:
    """The limit of one upstream, as one instance knows it.

    :param limit: requests per second from all instances together.
    :param share: requests per second from this instance.
    :param since_seconds: seconds since the first statement.
    :param stated_seconds: seconds since the last statement.
    :param sent: requests that this instance has sent since.
    :param passed_over: choices since in which the upstream was left out for lack of a token.
    """

    upstream: str
    service: str | None
    limit: float
    share: float
    since_seconds: float
    stated_seconds: float
    sent: int
    passed_over: int


def limit_rows(
    limits_by_lifetime: Mapping[Lifetime, RequestLimit],
    services_by_id: Mapping[UpstreamId, ServiceId],
    at: float,
) -> RowSet:
    """Return the limits as rows, ordered by upstream.

    :param services_by_id: services of the registered upstreams.
    :param at: current clock value.
    """
    ordered = sorted(limits_by_lifetime.items(), key=lambda item: item[0].upstream_id)
    return row_set(
        LimitRow,
        (
            LimitRow(
                lifetime.upstream_id,
                services_by_id.get(lifetime.upstream_id),
                round(limit.rate, 3),
                round(limit.allowance.rate, 3),
                round(at - limit.since, 1),
                round(at - limit.stated_at, 1),
                limit.sent,
                limit.passed_over,
            )
            for lifetime, limit in ordered
        ),
    )


def limits_page(
    limits_by_lifetime: Mapping[Lifetime, RequestLimit],
    services_by_id: Mapping[UpstreamId, ServiceId],
    at: float,
) -> bytes:
    """Return the page of an instance that shows the limits."""
    return f"{as_table(limit_rows(limits_by_lifetime, services_by_id, at))}\n".encode()
