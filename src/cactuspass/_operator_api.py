"""What operators may ask and order, apart from how it is transported."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cactuspass._burn import BurnRow
from cactuspass._rows import RowSet
from cactuspass._statements import Query, Statement


@dataclass(frozen=True, slots=True)
class QueryAnswer:
    """Rows of a query, and the entries whose rows are missing."""

    found: RowSet
    unreachable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CommandAnswer:
    """What became of a command.

    :param revision: revision of the configuration that has the change; 0 while only peers have it.
    :param in_force: entries that have confirmed it.
    :param not_confirmed: entries that are listed and have not confirmed it.
    """

    accepted: bool
    revision: int
    in_force: tuple[str, ...]
    not_confirmed: tuple[str, ...]
    detail: str = ""


@dataclass(frozen=True, slots=True)
class BurnAnswer:
    """The burn report, and the entries whose counts are missing."""

    rows: tuple[BurnRow, ...]
    unreachable: tuple[str, ...] = ()


class OperatorApi(ABC):
    """Answers operators."""

    @abstractmethod
    async def ask(self, query: Query) -> QueryAnswer:
        """Answer a query.

        :raises CommandError: when the query names what does not exist.
        """

    @abstractmethod
    async def order(self, command: Statement, wait_seconds: float) -> CommandAnswer:
        """Carry out a command, then wait until it is in force everywhere or the time is over.

        :raises CommandError: when the command cannot be carried out.
        """

    @abstractmethod
    async def burn(self) -> BurnAnswer:
        """Return the burn of every objective over the fleet."""
