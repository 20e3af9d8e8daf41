"""Checks that a response is complete and belongs to the request that it answers."""

import hashlib
import json
from abc import ABC, abstractmethod

from cactuspass_standins._stand_in import Json

EVENT_PREFIX = b"data: "
LAST_EVENT = b"[DONE]"


class ResponseCheck(ABC):
    """Collects the body of one response and checks it."""

    def __init__(self) -> None:
        self.body = b""

    def feed(self, chunk: bytes) -> None:
        """Append the next bytes of the body."""
        self.body += chunk

    @property
    @abstractmethod
    def looks_complete(self) -> bool:
        """Return whether a client would regard the response as complete."""

    @property
    @abstractmethod
    def matches_request(self) -> bool:
        """Return whether the data received so far belongs to the request."""

    @property
    @abstractmethod
    def is_complete(self) -> bool:
        """Return whether everything that the request asked for was received."""


class StreamCheck(ResponseCheck):
    """Checks a streamed chat completion.

    :param expected: complete text of the completion.
    """

    def __init__(self, expected: str) -> None:
        super().__init__()
        self.expected = expected

    @property
    def text(self) -> str:
        """Return the text received so far."""
        events = [event for event in self._events() if event != LAST_EVENT]
        return "".join(_delta_text(json.loads(event)) for event in events)

    @property
    def looks_complete(self) -> bool:
        """Return whether the final event was received."""
        return LAST_EVENT in self._events()[-1:]

    @property
    def matches_request(self) -> bool:
        """Return whether the text is a prefix of the expected text."""
        return self.expected.startswith(self.text)

    @property
    def is_complete(self) -> bool:
        """Return whether the stream has ended with the expected text."""
        return self.looks_complete and self.text == self.expected

    def _events(self) -> list[bytes]:
        lines = self.body.split(b"\n")[:-1]
        return [
            line.removeprefix(EVENT_PREFIX).strip()
            for line in lines
            if line.startswith(EVENT_PREFIX)
        ]


class JsonCheck(ResponseCheck):
    """Base class for checks of responses that consist of one JSON object."""

    @property
    def looks_complete(self) -> bool:
        """Return whether a non-empty JSON object was received."""
        return bool(self.fields())

    @property
    def is_complete(self) -> bool:
        """Return whether the expected object was received."""
        return self.looks_complete and self.matches_request

    def fields(self) -> Json:
        """Return the object, or an empty dict when the body is not a JSON object."""
        try:
            fields = json.loads(self.body)
        except ValueError:
            return {}
        return fields if isinstance(fields, dict) else {}


class ChatCheck(JsonCheck):
    """Checks a chat completion that is not streamed.

    :param expected: complete text of the completion.
    """

    def __init__(self, expected: str) -> None:
        super().__init__()
        self.expected = expected

    @property
    def matches_request(self) -> bool:
        """Return whether the text of every choice is the expected text."""
        choices = self.fields().get("choices", [])
        texts: list[str] = [choice["message"]["content"] for choice in choices]
        return all(text == self.expected for text in texts)


class EchoCheck(JsonCheck):
    """Checks the response of a plain service.

    :param sent: body of the request.
    """

    def __init__(self, sent: bytes) -> None:
        super().__init__()
        self.sent_digest = hashlib.sha256(sent).hexdigest()

    @property
    def matches_request(self) -> bool:
        """Return whether the service echoed the digest of the request body."""
        echoed: str = self.fields().get("body_sha256", self.sent_digest)
        return echoed == self.sent_digest


def _delta_text(chunk: Json) -> str:
    return "".join(choice["delta"].get("content") or "" for choice in chunk.get("choices", []))
