"""Prompts of requests and the completions that stand-in engines generate for them."""

import hashlib
from dataclasses import dataclass
from typing import Any

from cactuspass_standins._stand_in import Json

CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_CHARACTERS = 64
DIGEST_LENGTH = 12
PREFIX_HASH_LENGTH = 16
DEFAULT_MAX_TOKENS = 16


@dataclass(frozen=True, slots=True)
class Prompt:
    """Prompt of a request.

    :param text: the prompt, or the contents of all chat messages joined by newlines.
    """

    text: str

    @classmethod
    def from_body(cls, body: Json) -> "Prompt":
        """Extract the prompt from the body of a chat or text completion request."""
        messages = body.get("messages")
        if messages is None:
            return cls(_text(body.get("prompt", "")))
        return cls("\n".join(_text(message.get("content") or "") for message in messages))

    @property
    def tokens(self) -> int:
        """Return the number of tokens of the prompt."""
        return -(-len(self.text) // CHARACTERS_PER_TOKEN)

    @property
    def digest(self) -> str:
        """Return the first token of the completion, which identifies the prompt."""
        return hashlib.sha256(self.text.encode()).hexdigest()[:DIGEST_LENGTH]

    @property
    def prefix_hashes(self) -> tuple[str, ...]:
        """Return the hashes of the first 64, 128, ... characters."""
        ends = range(PREFIX_BLOCK_CHARACTERS, len(self.text) + 1, PREFIX_BLOCK_CHARACTERS)
        return tuple(
            hashlib.sha256(self.text[:end].encode()).hexdigest()[:PREFIX_HASH_LENGTH]
            for end in ends
        )

    def completion_token(self, index: int) -> str:
        """Return the text of one token of the completion, with its leading space."""
        return self.digest if index == 0 else f" w{index - 1}"

    def completion(self, tokens: int) -> str:
        """Return the complete text of a completion with the given number of tokens."""
        return "".join(self.completion_token(index) for index in range(tokens))


def requested_tokens(body: Json) -> int:
    """Return the number of tokens that the completion will have."""
    tokens = body.get("max_completion_tokens") or body.get("max_tokens") or DEFAULT_MAX_TOKENS
    return max(1, int(tokens))


def _text(content: Any) -> str:
    if isinstance(content, str):
        return content
    return "".join(part if isinstance(part, str) else part.get("text", "") for part in content)
