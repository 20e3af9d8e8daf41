"""Chooses the head of a group by free room, where the load of all heads is known."""

from cactuspass.fleet.choice._heads import Head, choose_by_room
from cactuspass.fleet.choice._room_choice import RoomChoice
from cactuspass.fleet.choice._room_report import RoomReport
from cactuspass.fleet.choice._room_waits import RoomWaits
from cactuspass.fleet.choice._slot_assignment import SlotAssignment

__all__ = ["Head", "RoomChoice", "RoomReport", "RoomWaits", "SlotAssignment", "choose_by_room"]
