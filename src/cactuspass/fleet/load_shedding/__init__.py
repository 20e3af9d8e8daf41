"""Decides which requests are served while capacity is short; it uses no network and no clock."""

from cactuspass.fleet.load_shedding._prediction import EnginePrediction, RequestSize
from cactuspass.fleet.load_shedding._shortage import carried_share, lending_share
from cactuspass.fleet.load_shedding._urgency import ModelArrivals

__all__ = [
    "EnginePrediction",
    "ModelArrivals",
    "RequestSize",
    "carried_share",
    "lending_share",
]
