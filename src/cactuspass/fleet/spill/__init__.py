"""Shares of the requests of a data centre that go to other data centres."""

from cactuspass.fleet.spill._decision import decide_shares
from cactuspass.fleet.spill._model_state import ModelState, PlaceState
from cactuspass.fleet.spill._share_decider import ShareDecider

__all__ = ["ModelState", "PlaceState", "ShareDecider", "decide_shares"]
