"""The interface through which the response to a request is written to its caller."""

from abc import ABC, abstractmethod

from cactuspass.fleet._answer_head import Header


class Delivery(ABC):
    """Writes one response to a caller.

    The task that serves the request is cancelled when the caller disconnects.
    """

    @property
    @abstractmethod
    def head_sent(self) -> bool:
        """Whether the head of the response has been sent."""

    @abstractmethod
    async def send_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response."""

    @abstractmethod
    async def send_head(self, status: int, headers: list[Header]) -> None:
        """Send the head of a response whose length is not known."""

    @abstractmethod
    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body, and wait while the caller reads slowly."""

    @abstractmethod
    async def finish(self) -> None:
        """End the body."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection so that the response is visibly incomplete."""
