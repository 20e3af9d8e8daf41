"""Prefers requests that take up little room while capacity is short."""

import math

# The largest requests of a route are served at least this often, compared with its usual ones.
MIN_PASSED_SHARE = 0.65


def passed_share(request_seconds: float, usual_seconds: float) -> float:
    """Return the share of requests of a size that may ask for room.

    :param request_seconds: predicted time that a request takes up a slot.
    :param usual_seconds: mean of these times for its route and customer.
    """
    if request_seconds <= usual_seconds or usual_seconds <= 0:
        return 1.0
    return max(MIN_PASSED_SHARE, math.sqrt(usual_seconds / request_seconds))
