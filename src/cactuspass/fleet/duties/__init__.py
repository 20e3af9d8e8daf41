"""Duties of one instance at a time: calls to the platform that only the holder makes."""

from cactuspass.fleet.duties._calls import (
    CallOutcome,
    MayCall,
    PlatformDuties,
    UpstreamCountOrder,
    UsageReport,
)
from cactuspass.fleet.duties._count_orders import CountOrders
from cactuspass.fleet.duties._duties import Duties
from cactuspass.fleet.duties._duty_rows import DUTIES_PATH
from cactuspass.fleet.duties._usage_messages import UsageDatagram

__all__ = [
    "DUTIES_PATH",
    "CallOutcome",
    "CountOrders",
    "Duties",
    "MayCall",
    "PlatformDuties",
    "UpstreamCountOrder",
    "UsageDatagram",
    "UsageReport",
]
