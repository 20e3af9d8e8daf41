"""Alarms for the operators.

Times are seconds of the clock that the I/O layer passes to the core, unless stated otherwise.
"""

from dataclasses import dataclass
from enum import Enum

from cactuspass._message_base import Order


class AlarmKind(Enum):
    """Conditions that require an operator's attention."""

    BACKLOG = "backlog"
    GROUP_DOWN = "group-down"
    STRANDED = "stranded"
    MEMORY = "memory"
    PLATFORM_DOWN = "platform-down"
    STORE_REVERTED = "store-reverted"
    NOT_HOLDING = "not-holding"


@dataclass(frozen=True, slots=True)
class AlarmChanged(Order):
    """Reports that an alarm was raised or cleared."""

    kind: AlarmKind
    subject: str
    raised: bool
    detail: str = ""
