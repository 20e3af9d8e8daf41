"""Inputs and orders of documents and the instance list.

Times are seconds of the clock that the edge passes to the core, unless said otherwise.
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
    """The platform's lagging list was read."""

    records: tuple[InstanceRecord, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationRead(Input):
    """The configuration was read.

    :param from_platform: False when a peer passed it on.
    """

    configuration: Configuration
    from_platform: bool


@dataclass(frozen=True, slots=True)
class PlacementRead(Input):
    """A data centre document was read.

    :param store_revision: the platform's revision of the key, 0 when a peer passed it on.
    :param sent_at: when the read was started, by the local clock.
    """

    placement: Placement
    store_revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class PlacementConfirmed(Input):
    """The platform said that the own data centre's document still has this revision.

    :param sent_at: when the question was sent, by the local clock.
    """

    store_revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class PlatformFailed(Input):
    """A call of the platform failed or timed out."""

    reason: str


@dataclass(frozen=True, slots=True)
class PlacementWritten(Input):
    """Answer to :class:`WritePlacement`.

    :param accepted: None when it is unknown whether the write took effect.
    """

    write_id: OperationId
    accepted: bool | None


@dataclass(frozen=True, slots=True)
class WritePlacement(Order):
    """Write the own data centre's document by compare-and-swap.

    :param expected_revision: platform's revision that it replaces; 0 creates the key.
    """

    placement: Placement
    expected_revision: int
