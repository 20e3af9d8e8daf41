"""Inputs and orders of upstream instances and groups.

Times are seconds of the clock that the I/O layer passes to the core, unless stated otherwise.
"""

from dataclasses import dataclass
from enum import Enum

from cactuspass._message_base import Input, Order
from cactuspass.models import (
    BootId,
    Generation,
    GroupId,
    InstanceId,
    ModelId,
)


class LoadState(Enum):
    """State of an engine's copy of the model."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class InstanceReported(Input):
    """A status event of an upstream instance arrived.

    :param fence: highest fencing number that the instance has accepted.
    :param running: number of requests that the instance held when it measured its load.
    :param memory_tokens: number of tokens in its memory at that time.
    :param lag: age of the load measurement when the event arrives, in seconds, as the instance
        reports it.
    :param model: model whose weights the instance has; empty if it does not report one.
    """

    instance_id: InstanceId
    boot_id: BootId
    group_id: GroupId
    generation: Generation
    rank: int
    size: int
    state: LoadState
    fence: int = 0
    running: int = 0
    memory_tokens: int = 0
    lag: float = 0.0
    leaving: bool = False
    model: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class InstanceDisconnected(Input):
    """The event connection to an upstream instance broke or could not be made."""

    instance_id: InstanceId
    reason: str


@dataclass(frozen=True, slots=True)
class WatchInstance(Order):
    """Keep an event connection to the instance."""

    instance_id: InstanceId
    address: str


@dataclass(frozen=True, slots=True)
class UnwatchInstance(Order):
    """Close the event connection to the instance."""

    instance_id: InstanceId


@dataclass(frozen=True, slots=True)
class OrderLoad(Order):
    """Order an engine to load a model as one member of a group.

    :param address: address of the engine.
    :param addresses: addresses of all members by rank.
    :param fence: fencing number; an engine that checks it refuses a lower one than it has received.
    :param lifetime: seconds after which an engine must ignore the order.
    """

    instance_id: InstanceId
    address: str
    group_id: GroupId
    generation: Generation
    rank: int
    addresses: tuple[str, ...]
    model: ModelId
    version: str
    adapters: tuple[str, ...]
    fence: int
    lifetime: float


@dataclass(frozen=True, slots=True)
class OrderUnload(Order):
    """Order an engine to leave its group.

    :param fence: fencing number, as in :class:`OrderLoad`.
    :param lifetime: seconds after which an engine must ignore the order.
    """

    instance_id: InstanceId
    address: str
    fence: int
    lifetime: float
