"""Exchange of loads between instances, so that each knows the load of every upstream."""

from cactuspass.fleet.load_exchange._exchange import LoadExchange
from cactuspass.fleet.load_exchange._fleet_load import (
    DemandKey,
    FleetLoad,
    HeadLoad,
    ModelDemand,
    ModelKey,
    Shares,
)
from cactuspass.fleet.load_exchange._known_loads import KnownLoads, ShareDecision
from cactuspass.fleet.load_exchange._messages import is_load_datagram
from cactuspass.fleet.load_exchange._request_meter import RequestMeter
from cactuspass.fleet.load_exchange._rows import LOAD_PATH

__all__ = [
    "LOAD_PATH",
    "DemandKey",
    "FleetLoad",
    "HeadLoad",
    "KnownLoads",
    "LoadExchange",
    "ModelDemand",
    "ModelKey",
    "RequestMeter",
    "ShareDecision",
    "Shares",
    "is_load_datagram",
]
