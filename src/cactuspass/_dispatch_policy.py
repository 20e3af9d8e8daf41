"""Interface through which admission checks whether groups may receive requests."""

from abc import ABC, abstractmethod

from cactuspass._tables import HeldGroupRow, Tables
from cactuspass.models import TakeOutKind


class DispatchPolicy(ABC):
    """Decides whether a group may receive requests and whether a target is taken out."""

    @abstractmethod
    def may_send(self, tables: Tables, row: HeldGroupRow, now: float) -> bool:
        """Return whether this entry holds the group at ``now`` and every member confirms it."""

    @abstractmethod
    def is_taken_out(self, tables: Tables, kind: TakeOutKind, target: str) -> bool:
        """Return whether an operator's take-out of the target is in force."""
