"""Limits how many groups are closed at about the same time because a member is slow."""

from collections.abc import Collection
from dataclasses import dataclass

from cactuspass.fleet._upstreams import GroupKey
from cactuspass.models import ModelId

REFORM_SECONDS = 2.0  # time in which the hosts of a closed group can form a new one
MAX_CLOSED_SHARE = 0.5  # of the groups of a model, but one group at least


@dataclass(frozen=True, slots=True)
class _SlowClose:
    model: ModelId
    at: float


class SlowGroupLimit:
    """The groups that were closed for a slow member within the last REFORM_SECONDS.

    The other groups of their models go on meanwhile: a slow group serves better than none.
    """

    def __init__(self) -> None:
        self._closes_by_key: dict[GroupKey, _SlowClose] = {}

    def try_close(
        self, key: GroupKey, model: ModelId, serving_keys: Collection[GroupKey], at: float
    ) -> bool:
        """Count a group as closed, unless too many of its model are; return whether it may be.

        :param serving_keys: the groups of the model that serve.
        :param at: current clock value.
        :return: True also for a group that is counted already.
        """
        self._closes_by_key = {
            closed: close
            for closed, close in self._closes_by_key.items()
            if at - close.at < REFORM_SECONDS
        }
        if key in self._closes_by_key:
            return True
        closed_keys = {k for k, close in self._closes_by_key.items() if close.model == model}
        total = len(closed_keys | set(serving_keys))
        if len(closed_keys) >= max(1, int(MAX_CLOSED_SHARE * total)):
            return False
        self._closes_by_key[key] = _SlowClose(model, at)
        return True
