"""Exchange of loads between instances, so that each knows the load of every upstream."""

from cactuspass.fleet.load_exchange._fleet_load import (
    DemandKey,
    FleetLoad,
    HeadLoad,
    ModelDemand,
    ModelKey,
)

__all__ = ["DemandKey", "FleetLoad", "HeadLoad", "ModelDemand", "ModelKey"]
