"""Which status codes a response may have, and which of these may come with a body.

A status is a number from 100 to 599 (RFC 9110, section 15). A response with another one says
nothing that may be passed on, so its connection is given up and the outcome is unknown.
"""

from http import HTTPStatus

MIN_STATUS = 100
MAX_STATUS = 599


class InvalidStatus(ConnectionError):
    """A response whose status is none, or does not go with its other headers."""


def is_informational(status: int) -> bool:
    """Return whether another response follows the one with this status."""
    return MIN_STATUS <= status < HTTPStatus.OK


def check_status(status: int, states_body: bool) -> None:
    """Check the status of a response, as soon as its head is known.

    An informational response ends with its head: where one states a body, its end, and so the
    beginning of the next response, cannot be known.

    :param states_body: whether the head states a length that is not zero, or chunks.
    :raises InvalidStatus: if the response must not be used.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise InvalidStatus(f"{status:03d} is no status")
    if status == HTTPStatus.SWITCHING_PROTOCOLS:
        raise InvalidStatus("the protocol was switched unasked")
    if is_informational(status) and states_body:
        raise InvalidStatus(f"an informational response ({status}) states a body")
