"""Predicts the time to the first event of a request, and how long it takes up a slot."""

import math
from dataclasses import dataclass

from cactuspass.fleet._catalog import EngineSpec

TYPICAL_OUTPUT_TOKENS = 180.0
# Requests that an engine queues before it rejects further ones, for each slot.
QUEUE_PER_SLOT = 2.0


@dataclass(frozen=True, slots=True)
class RequestSize:
    """What a caller states about a request.

    :param prompt_tokens: number of tokens in the prompt.
    :param max_output_tokens: largest number of output tokens; 0 when not stated.
    :param expected_output_tokens: hint of the number of output tokens; None when not stated.
    """

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class Prediction:
    """What is predicted for a request, without the corrections that were learnt.

    :param first_event: seconds from sending to the first event, at a group with a free slot.
    :param request_seconds: seconds that the request takes up a slot.
    """

    first_event: float
    request_seconds: float


@dataclass(frozen=True, slots=True)
class EnginePrediction:
    """Times of the groups of one model.

    :param pace: factor applied to all times.
    :param request_seconds: mean time that a request takes up a slot.
    """

    engine: EngineSpec
    pace: float
    request_seconds: float

    @classmethod
    def of(
        cls, engine: EngineSpec, pace: float, measured_seconds: float = 0.0
    ) -> "EnginePrediction":
        """Return the prediction for a model.

        :param measured_seconds: mean time of requests at its groups; 0 when it is not known.
        """
        if measured_seconds > 0:
            return cls(engine, pace, measured_seconds)
        tokens = engine.usual_output_tokens or TYPICAL_OUTPUT_TOKENS
        return cls(engine, pace, tokens * cls(engine, pace, 0.0).step_seconds)

    @property
    def step_seconds(self) -> float:
        """Time of one step of a full group."""
        return self.pace * self.engine.step_seconds_with(self.engine.slots)

    def queue_seconds(self, requests: float) -> float:
        """Return the seconds until a group with some requests starts one more."""
        queued = max(0.0, requests + 1 - self.engine.slots)
        return queued * self.request_seconds / self.engine.slots

    def predict(self, size: RequestSize) -> Prediction:
        """Return the times of a request at a group with a free slot.

        A prompt is processed in parts, each of which waits for a step of the other requests.
        """
        engine = self.engine
        prompt_tokens = size.prompt_tokens or engine.usual_prompt_tokens
        parts = math.ceil(prompt_tokens / engine.prompt_tokens_per_step)
        prompt_seconds = self.pace * prompt_tokens / engine.prompt_tokens_per_second
        prompt_seconds += max(0, parts - 1) * self.step_seconds
        output_tokens = size.expected_output_tokens
        if output_tokens is None:
            output_tokens = round(engine.usual_output_tokens or TYPICAL_OUTPUT_TOKENS)
        if size.max_output_tokens:
            output_tokens = min(output_tokens, size.max_output_tokens)
        return Prediction(
            prompt_seconds + engine.steps_per_event * self.step_seconds,
            prompt_seconds + output_tokens * self.step_seconds,
        )
