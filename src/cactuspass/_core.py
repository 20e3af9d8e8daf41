"""The decision core: runs the systems over the tables at each tick."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from itertools import chain

from cactuspass._messages import Input, Order
from cactuspass._tables import Tables


class System(ABC):
    """One concern of the decision layer; pure but for the tables it is given."""

    @abstractmethod
    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Apply the inputs of one tick to the tables.

        :param tables: entities to read and change.
        :param inputs: everything that arrived since the last tick, in order of arrival.
        :param now: time of the tick, in seconds.
        :return: orders for the edge, in the order in which they must be carried out.
        """


class Core:
    """Collects inputs and runs every system over the tables at each tick."""

    def __init__(self, tables: Tables, systems: Sequence[System]) -> None:
        self.tables = tables
        self._systems = tuple(systems)
        self._inbox: list[Input] = []

    def accept(self, message: Input) -> None:
        """Queue one input for the next tick."""
        self._inbox.append(message)

    def tick(self, now: float) -> list[Order]:
        """Run the systems once.

        :param now: time of the tick, in seconds; never smaller than at the last tick.
        :return: orders for the edge.
        """
        inputs = tuple(self._inbox)
        self._inbox.clear()
        runs = (system.run(self.tables, inputs, now) for system in self._systems)
        return list(chain.from_iterable(runs))
