"""The operators' interface of an entry, independent of its transport."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cactuspass._burn import BurnRow
from cactuspass._rows import RowSet
from cactuspass._statements import Query, Statement


@dataclass(frozen=True, slots=True)
class QueryAnswer:
    """The rows of a query and the entries whose rows are missing."""

    found: RowSet
    unreachable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CommandAnswer:
    """The result of a command.

    :param revision: revision of the configuration that contains the change; 0 while only the
        entries have it and the platform does not.
    :param in_force: entries that have confirmed the change.
    :param not_confirmed: known entries that have not confirmed the change.
    :param detail: why the change is not committed yet; empty when it is.
    """

    accepted: bool
    revision: int
    in_force: tuple[str, ...]
    not_confirmed: tuple[str, ...]
    detail: str = ""


@dataclass(frozen=True, slots=True)
class BurnAnswer:
    """The burn report and the entries whose counts are missing."""

    rows: tuple[BurnRow, ...]
    unreachable: tuple[str, ...] = ()


class OperatorApi(ABC):
    """Runs the queries and commands of operators."""

    @abstractmethod
    async def ask(self, query: Query) -> QueryAnswer:
        """Return the rows of a query.

        :raises CommandError: when the query names a column that does not exist.
        """

    @abstractmethod
    async def order(self, command: Statement, wait_seconds: float) -> CommandAnswer:
        """Carry out a command, then wait until every entry has confirmed it.

        :param wait_seconds: longest time to wait for the confirmations.
        :raises CommandError: when the command cannot be carried out.
        """

    @abstractmethod
    async def burn(self) -> BurnAnswer:
        """Return the burn of every objective, counted over all entries."""
