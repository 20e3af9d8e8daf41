"""Alarms that operators see.

Times are seconds of the clock that the edge passes to the core, unless said otherwise.
"""

from dataclasses import dataclass
from enum import Enum

from cactuspass._message_base import Order


class AlarmKind(Enum):
    """Conditions that an operator must know of."""

    BACKLOG = "backlog"
    GROUP_DOWN = "group-down"
    STRANDED = "stranded"
    MEMORY = "memory"
    PLATFORM_DOWN = "platform-down"
    STORE_REVERTED = "store-reverted"
    NOT_HOLDING = "not-holding"


@dataclass(frozen=True, slots=True)
class AlarmChanged(Order):
    """An alarm was raised or cleared."""

    kind: AlarmKind
    subject: str
    raised: bool
    detail: str = ""
