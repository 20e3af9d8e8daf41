"""Learns whether the head of an answer says that its upstream has begun to write the body."""

from collections import OrderedDict

from cactuspass.fleet.prompt_parts._parts import PromptIdentity
from cactuspass.models import ModelId, ServiceId

# A head that precedes the body by more than this was sent before the body was being written.
EARLY_HEAD_SECONDS = 0.02
MAX_EARLY_SHARE = 0.2
WEIGHT_OF_LAST_ANSWER = 0.1
MAX_KINDS = 256


class HeadTiming:
    """The share of recent answers whose head came early, for each model of each service.

    Some upstreams send the head with the first part of the body, others as soon as they accept a
    request. What is not known is taken for the former.
    """

    def __init__(self) -> None:
        self._early_share_by_kind: OrderedDict[tuple[ServiceId, ModelId], float] = OrderedDict()

    def note_answer(self, prompt: PromptIdentity, head_seconds: float) -> None:
        """Record that an answer has begun.

        :param head_seconds: time in seconds from the head to the first part of the body.
        """
        kind = (prompt.service, prompt.model)
        share = self._early_share_by_kind.get(kind, 0.0)
        is_early = head_seconds > EARLY_HEAD_SECONDS
        self._early_share_by_kind[kind] = share + WEIGHT_OF_LAST_ANSWER * (is_early - share)
        self._early_share_by_kind.move_to_end(kind)
        if len(self._early_share_by_kind) > MAX_KINDS:
            self._early_share_by_kind.popitem(last=False)

    def comes_with_body(self, prompt: PromptIdentity) -> bool:
        """Return whether heads of such answers usually come together with the body."""
        kind = (prompt.service, prompt.model)
        return self._early_share_by_kind.get(kind, 0.0) <= MAX_EARLY_SHARE
