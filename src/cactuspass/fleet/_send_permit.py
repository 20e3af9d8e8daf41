"""The permission to send one request to an upstream that may have stated a limit."""

from cactuspass.fleet._request_limits import RequestLimits
from cactuspass.fleet._upstreams import Lifetime


class SendPermit:
    """Holds a token while an upstream with a limit is being connected to.

    :param priority: priority of the request, where 0 is the most urgent.
    """

    def __init__(self, limits: RequestLimits, lifetime: Lifetime, priority: int) -> None:
        self._limits = limits
        self._lifetime = lifetime
        self._priority = priority
        self._has_token = False

    def acquire(self, at: float) -> bool:
        """Return whether the request may be sent, and take a token if one is needed.

        A limit may become known between two calls, so the last one comes right before sending.
        """
        if self._has_token or self._limits.find(self._lifetime) is None:
            return True
        self._has_token = self._limits.try_take(self._lifetime, self._priority, at)
        return self._has_token

    def release(self) -> None:
        """Return the token, since no byte of the request was sent."""
        if self._has_token:
            self._limits.give_back(self._lifetime)
        self._has_token = False
