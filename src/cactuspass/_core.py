"""The decision core: applies inputs to the tables and returns orders, without any I/O."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from itertools import chain

from cactuspass._messages import Input, Order
from cactuspass._tables import Tables


class System(ABC):
    """One part of the decision logic; it performs no I/O and changes only the tables and itself."""

    @abstractmethod
    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Apply the inputs of one tick to the tables.

        :param tables: state to read and change.
        :param inputs: all inputs since the last tick, in order of arrival.
        :param now: time of the tick, in seconds.
        :return: orders for the I/O layer, in the order in which they must be carried out.
        """


class Core:
    """Queues inputs and runs every system on the tables at each tick."""

    def __init__(self, tables: Tables, systems: Sequence[System]) -> None:
        self.tables = tables
        self._systems = tuple(systems)
        self._queued_inputs: list[Input] = []

    def accept(self, message: Input) -> None:
        """Queue one input for the next tick."""
        self._queued_inputs.append(message)

    def tick(self, now: float) -> list[Order]:
        """Run every system once on the queued inputs.

        :param now: time of the tick, in seconds; never smaller than at the last tick.
        :return: orders for the I/O layer.
        """
        inputs = tuple(self._queued_inputs)
        self._queued_inputs.clear()
        runs = (system.run(self.tables, inputs, now) for system in self._systems)
        return list(chain.from_iterable(runs))
