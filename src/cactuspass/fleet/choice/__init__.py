"""Chooses the head of a group by free room, where the load of all heads is known."""

from cactuspass.fleet.choice._heads import Head, choose_by_room
from cactuspass.fleet.choice._room_choice import RoomChoice
from cactuspass.fleet.choice._room_waits import RoomWaits
from cactuspass.fleet.choice._slot_assignment import assign_slots

__all__ = ["Head", "RoomChoice", "RoomWaits", "assign_slots", "choose_by_room"]
