"""The public interface for programs, with the same queries and commands as for operators."""

from cactuspass._operator_api import BurnAnswer, CommandAnswer, QueryAnswer
from cactuspass._operator_client import OperatorClient

__all__ = ["BurnAnswer", "CommandAnswer", "OperatorClient", "QueryAnswer", "ask", "burn", "order"]

DEFAULT_WAIT_SECONDS = 5.0


def ask(query: str, entry: str, token: str) -> QueryAnswer:
    """Return the rows of a query.

    :param entry: ``host:port`` of an entry's operators' listener.
    :raises CactuspassError: when the query has a mistake or the entry does not answer.
    """
    return OperatorClient(entry, token).ask(query)


def order(
    command: str, entry: str, token: str, wait_seconds: float = DEFAULT_WAIT_SECONDS
) -> CommandAnswer:
    """Carry out a command.

    :param wait_seconds: longest time to wait for every entry to confirm.
    :raises CactuspassError: when the command has a mistake or the entry does not answer.
    """
    return OperatorClient(entry, token).order(command, wait_seconds)


def burn(entry: str, token: str) -> BurnAnswer:
    """Return the burn report.

    :raises CactuspassError: when the entry does not answer.
    """
    return OperatorClient(entry, token).burn()
