"""The caller's side of a request: where its answer goes."""

from abc import ABC, abstractmethod

from cactuspass.fleet._connections import Header


class Delivery(ABC):
    """Writes one answer to a caller; the serving task is cancelled when the caller leaves."""

    @property
    @abstractmethod
    def head_sent(self) -> bool:
        """Whether the head of the answer has gone out."""

    @abstractmethod
    async def send_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a whole answer."""

    @abstractmethod
    async def send_head(self, status: int, headers: list[Header]) -> None:
        """Write the head of an answer whose length is not known."""

    @abstractmethod
    async def send_chunk(self, chunk: bytes) -> None:
        """Write a part of the body, and wait while the caller reads slowly."""

    @abstractmethod
    async def finish(self) -> None:
        """End the body."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer does not look complete."""
