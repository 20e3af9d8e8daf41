"""Inputs and orders for documents and the instance list.

Times are in seconds of the clock that the I/O layer passes to the core, unless stated otherwise.
"""

from dataclasses import dataclass

from cactuspass._message_base import Input, Order
from cactuspass.models import (
    Configuration,
    InstanceRecord,
    OperationId,
    Placement,
)


@dataclass(frozen=True, slots=True)
class InstancesListed(Input):
    """The platform's instance list, which may be out of date, was read."""

    records: tuple[InstanceRecord, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationRead(Input):
    """The configuration was read.

    :param from_platform: False when a peer sent it.
    """

    configuration: Configuration
    from_platform: bool


@dataclass(frozen=True, slots=True)
class PlacementRead(Input):
    """The placement of the own data centre was read.

    :param store_revision: the platform's revision of the key; 0 when a peer sent the placement.
    :param sent_at: when the read was started, by the local clock.
    """

    placement: Placement
    store_revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class PlacementConfirmed(Input):
    """The platform still has this revision of the own data centre's placement.

    :param sent_at: when the request was sent, by the local clock.
    """

    store_revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class PlatformFailed(Input):
    """A call to the platform failed or timed out."""

    reason: str


@dataclass(frozen=True, slots=True)
class PlacementWritten(Input):
    """Outcome of :class:`WritePlacement`.

    :param accepted: None when it is unknown whether the write took effect.
    """

    write_id: OperationId
    accepted: bool | None


@dataclass(frozen=True, slots=True)
class WritePlacement(Order):
    """Write the placement of the own data centre by compare-and-swap.

    :param expected_revision: the platform's revision that is replaced; 0 creates the key.
    """

    placement: Placement
    expected_revision: int
