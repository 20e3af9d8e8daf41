"""Registry of the engines in one process, to check their actual rather than reported state."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactuspass_standins._engine import Engine


class EngineRegistry:
    """Engines of one process by address."""

    def __init__(self) -> None:
        self._engines_by_address: dict[str, Engine] = {}

    def add(self, engine: "Engine") -> None:
        """Register an engine that is listening."""
        self._engines_by_address[engine.address] = engine

    def is_group_ready(self, engine: "Engine") -> bool:
        """Return whether every member of the engine's group is ready in its generation.

        Members in other processes are assumed to be ready.
        """
        return all(member.is_ready_with(engine) for member in self._members(engine))

    def has_frozen_member(self, engine: "Engine") -> bool:
        """Return whether a member of the engine's group is frozen."""
        return any(member.is_frozen for member in self._members(engine))

    def _members(self, engine: "Engine") -> list["Engine"]:
        addresses = engine.assignment.members if engine.assignment else ()
        known = map(self._engines_by_address.get, addresses)
        return [member for member in known if member is not None]
