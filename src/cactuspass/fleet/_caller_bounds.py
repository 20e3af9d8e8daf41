"""Bounds on what callers hold, by the settings and the size of the machine."""

from cactuspass._byte_budget import ByteBudget
from cactuspass._caller_memory import MEGABYTE, CallerBounds, CallerMemory
from cactuspass.fleet._answer_buffers import MAX_HELD_BYTES, AnswerBuffers
from cactuspass.fleet._settings import InstanceSettings

# The process itself takes some 50 MB, a quarter of the smallest machines.
HELD_MEMORY_SHARE = 0.22
# Upstreams, the store and other instances have the other half.
CONNECTION_DESCRIPTOR_SHARE = 0.5
# Where the size of the machine is not known.
DEFAULT_HELD_MEGABYTES = 320.0
DEFAULT_CONNECTIONS = 65_536
# Neither may take all the room of the other.
REQUEST_SHARE = 0.8
ANSWER_SHARE = 0.5


class HeldByCallers:
    """Counts what requests and answers hold, in one budget.

    :ivar memory: what callers' requests and connections hold.
    :ivar answer_buffers: what answers in progress hold.
    """

    def __init__(self, settings: InstanceSettings) -> None:
        held_bytes = int(_held_megabytes(settings) * MEGABYTE)
        budget = ByteBudget(held_bytes)
        callers = settings.callers
        bounds = CallerBounds(
            int(held_bytes * REQUEST_SHARE),
            _connections(settings),
            callers.stall_seconds,
            callers.min_bytes_per_second,
        )
        self.memory = CallerMemory(bounds, budget)
        max_answer_bytes = min(MAX_HELD_BYTES, int(held_bytes * ANSWER_SHARE))
        self.answer_buffers = AnswerBuffers(max_answer_bytes, budget)


def _held_megabytes(settings: InstanceSettings) -> float:
    if settings.callers.held_megabytes is not None:
        return settings.callers.held_megabytes
    memory = settings.machine.memory_megabytes
    return DEFAULT_HELD_MEGABYTES if memory is None else memory * HELD_MEMORY_SHARE


def _connections(settings: InstanceSettings) -> int:
    if settings.callers.connections is not None:
        return settings.callers.connections
    descriptors = settings.machine.descriptors
    if descriptors is None:
        return DEFAULT_CONNECTIONS
    return max(1, int(descriptors * CONNECTION_DESCRIPTOR_SHARE))
