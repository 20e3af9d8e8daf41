"""Requests of a caller, with checks that their answers are complete."""

import hashlib
import json
import urllib.error
import urllib.request
from dataclasses import dataclass

import openai

from trial.fleet import API_KEY, HTTP_TIMEOUT_SECONDS, MODEL, SERVICE
from trial.processes import TrialError

DIGEST_DIGITS = 12
DEFAULT_TOKENS = 8


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """HTTP answer of a plain service; also holds error statuses."""

    status: int
    body: bytes


def make_client(address: str) -> openai.OpenAI:
    """Return an OpenAI client of an entry, with retries off."""
    return openai.OpenAI(
        base_url=f"http://{address}/v1", api_key=API_KEY, max_retries=0, timeout=60.0
    )


def stream_completion(address: str, prompt: str, max_tokens: int = DEFAULT_TOKENS) -> str:
    """Return the text of a streamed chat completion.

    :raises TrialError: if it is not the complete answer to this prompt.
    """
    with make_client(address) as client:
        stream = client.chat.completions.create(
            model=MODEL,
            messages=[{"role": "user", "content": prompt}],
            max_tokens=max_tokens,
            stream=True,
        )
        text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
    return _check_answer(text, prompt, max_tokens)


def unary_completion(address: str, prompt: str, max_tokens: int = DEFAULT_TOKENS) -> str:
    """Return the text of an unstreamed completion.

    :raises TrialError: if it is not the complete answer to this prompt.
    """
    with make_client(address) as client:
        answer = client.completions.create(model=MODEL, prompt=prompt, max_tokens=max_tokens)
    return _check_answer(answer.choices[0].text, prompt, max_tokens)


def send_booking(address: str, key: str, booking: str) -> ServiceAnswer:
    """Send a booking under an idempotency key; error statuses are returned, not raised."""
    request = urllib.request.Request(
        f"http://{address}/services/{SERVICE}/loans",
        json.dumps({"booking": booking}).encode(),
        {
            "Authorization": f"Bearer {API_KEY}",
            "Content-Type": "application/json",
            "Idempotency-Key": key,
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_SECONDS) as answer:
            return ServiceAnswer(answer.status, answer.read())
    except urllib.error.HTTPError as error:
        return ServiceAnswer(error.code, error.read())


def is_complete_answer(text: str, prompt: str, max_tokens: int) -> bool:
    """Return whether a text is the complete answer to a prompt.

    The stand-in engine answers with a digest of the prompt as the first word, and one word for
    each token.
    """
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_DIGITS]
    words = text.split()
    return words[:1] == [digest] and len(words) == max_tokens


def _check_answer(text: str, prompt: str, max_tokens: int) -> str:
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_DIGITS]
    words = text.split()
    if not words or words[0] != digest:
        raise TrialError(f"the answer to {prompt!r} belongs to another prompt: {text!r}")
    if len(words) != max_tokens:
        raise TrialError(
            f"the answer to {prompt!r} has {len(words)} tokens instead of {max_tokens}"
        )
    return text
