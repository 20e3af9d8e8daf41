"""What is true of all engines of one process, whatever their reports say."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactuspass_standins._engine import Engine


class EngineRegistry:
    """Engines of one process by address."""

    def __init__(self) -> None:
        self._engines_by_address: dict[str, Engine] = {}

    def add(self, engine: "Engine") -> None:
        """Register an engine that listens."""
        self._engines_by_address[engine.address] = engine

    def group_is_whole(self, engine: "Engine") -> bool:
        """Tell whether every member of the engine's group is ready in its generation.

        Members in other processes are taken to be ready.
        """
        return all(member.is_ready_with(engine) for member in self._members(engine))

    def group_is_stalled(self, engine: "Engine") -> bool:
        """Tell whether a member of the engine's group is frozen."""
        return any(member.is_frozen for member in self._members(engine))

    def _members(self, engine: "Engine") -> list["Engine"]:
        addresses = engine.assignment.members if engine.assignment else ()
        known = map(self._engines_by_address.get, addresses)
        return [member for member in known if member is not None]
