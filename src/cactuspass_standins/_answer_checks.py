"""Checks that an answer is whole and belongs to its own request."""

import hashlib
import json
from abc import ABC, abstractmethod

from cactuspass_standins._stand_in import Json

EVENT_PREFIX = b"data: "
LAST_EVENT = b"[DONE]"


class AnswerCheck(ABC):
    """Reads the body of one answer as it comes."""

    def __init__(self) -> None:
        self.body = b""

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes of the body."""
        self.body += chunk

    @property
    @abstractmethod
    def is_ended(self) -> bool:
        """Tell whether the answer looks complete to a client."""

    @property
    @abstractmethod
    def is_own(self) -> bool:
        """Tell whether what has come belongs to the request."""

    @property
    @abstractmethod
    def is_whole(self) -> bool:
        """Tell whether all that the request asked for has come."""


class StreamCheck(AnswerCheck):
    """Checks a streamed chat completion.

    :param expected: text of the whole answer.
    """

    def __init__(self, expected: str) -> None:
        super().__init__()
        self.expected = expected

    @property
    def text(self) -> str:
        """Return the text that has come."""
        events = [event for event in self._events() if event != LAST_EVENT]
        return "".join(_delta_text(json.loads(event)) for event in events)

    @property
    def is_ended(self) -> bool:
        """Tell whether the last event has come."""
        return LAST_EVENT in self._events()[-1:]

    @property
    def is_own(self) -> bool:
        """Tell whether the text is a beginning of the expected one."""
        return self.expected.startswith(self.text)

    @property
    def is_whole(self) -> bool:
        """Tell whether the text is the expected one and the stream has ended."""
        return self.is_ended and self.text == self.expected

    def _events(self) -> list[bytes]:
        lines = self.body.split(b"\n")[:-1]
        return [
            line.removeprefix(EVENT_PREFIX).strip()
            for line in lines
            if line.startswith(EVENT_PREFIX)
        ]


class JsonCheck(AnswerCheck):
    """Base of the checks of answers that are one JSON object."""

    @property
    def is_ended(self) -> bool:
        """Tell whether a JSON object has come."""
        return bool(self.fields())

    @property
    def is_whole(self) -> bool:
        """Tell whether the object is the expected one."""
        return self.is_ended and self.is_own

    def fields(self) -> Json:
        """Return the object, empty when it isn't one."""
        try:
            fields = json.loads(self.body)
        except ValueError:
            return {}
        return fields if isinstance(fields, dict) else {}


class ChatCheck(JsonCheck):
    """Checks a chat completion that isn't streamed.

    :param expected: text of the whole answer.
    """

    def __init__(self, expected: str) -> None:
        super().__init__()
        self.expected = expected

    @property
    def is_own(self) -> bool:
        """Tell whether the text is the expected one."""
        choices = self.fields().get("choices", [])
        texts: list[str] = [choice["message"]["content"] for choice in choices]
        return all(text == self.expected for text in texts)


class EchoCheck(JsonCheck):
    """Checks the answer of a plain service.

    :param sent: body of the request.
    """

    def __init__(self, sent: bytes) -> None:
        super().__init__()
        self.sent_digest = hashlib.sha256(sent).hexdigest()

    @property
    def is_own(self) -> bool:
        """Tell whether the service saw the body of this request."""
        echoed: str = self.fields().get("body_sha256", self.sent_digest)
        return echoed == self.sent_digest


def _delta_text(chunk: Json) -> str:
    return "".join(choice["delta"].get("content") or "" for choice in chunk.get("choices", []))
