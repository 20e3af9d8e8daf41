"""Decides which requests are served while capacity is short; it uses no network and no clock."""

from cactuspass.fleet.load_shedding._corrections import Corrections
from cactuspass.fleet.load_shedding._demand_trend import DemandTrend
from cactuspass.fleet.load_shedding._fair_shares import CustomerShares
from cactuspass.fleet.load_shedding._learnt_times import LearntTimes
from cactuspass.fleet.load_shedding._model_admission import ModelAdmission
from cactuspass.fleet.load_shedding._prediction import (
    QUEUE_PER_SLOT,
    TYPICAL_OUTPUT_TOKENS,
    EnginePrediction,
    Prediction,
    RequestSize,
)
from cactuspass.fleet.load_shedding._shortage import Shortage, carried_share, find_shortage
from cactuspass.fleet.load_shedding._urgency import ModelArrivals, Urgency
from cactuspass.fleet.load_shedding._waiting_line import Place, WaitingLine

__all__ = [
    "QUEUE_PER_SLOT",
    "TYPICAL_OUTPUT_TOKENS",
    "Corrections",
    "CustomerShares",
    "DemandTrend",
    "EnginePrediction",
    "LearntTimes",
    "ModelAdmission",
    "ModelArrivals",
    "Place",
    "Prediction",
    "RequestSize",
    "Shortage",
    "Urgency",
    "WaitingLine",
    "carried_share",
    "find_shortage",
]
