"""Client of the operators' listener, used by the command line."""

import json
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import HTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from cactuspass._burn import BurnRow
from cactuspass._operator_api import BurnAnswer, CommandAnswer, QueryAnswer
from cactuspass._rows import RowSet
from cactuspass.exceptions import CactuspassError, CommandError

REQUEST_TIMEOUT_SECONDS = 45.0
CONNECT_TIMEOUT_SECONDS = 3.0


class EntryUnreachable(CactuspassError):
    """The operators' listener of the entry did not answer."""


class OrderRejected(CactuspassError):
    """The entry rejected a query or command for a reason other than a mistake in its text."""


@dataclass(slots=True)
class OperatorClient:
    """Sends queries and commands to one entry.

    :param address: ``host:port`` of the entry's operators' listener.
    """

    address: str
    token: str

    def ask(self, query: str) -> QueryAnswer:
        """Return the rows of a query.

        :raises CommandError: when the query has a mistake.
        :raises CactuspassError: when the entry is unreachable or rejects the request.
        """
        body = self._call("POST", "/v1/ask", {"query": query})
        found = RowSet(tuple(body["columns"]), tuple(tuple(row) for row in body["rows"]))
        return QueryAnswer(found, tuple(body["unreachable"]))

    def order(self, command: str, wait_seconds: float) -> CommandAnswer:
        """Carry out a command.

        :param wait_seconds: longest time that the entry waits for every entry to confirm.
        :raises CommandError: when the command has a mistake.
        :raises CactuspassError: when the entry is unreachable or rejects the request.
        """
        body = self._call("POST", "/v1/do", {"command": command, "wait_seconds": wait_seconds})
        return CommandAnswer(
            body["accepted"],
            body["revision"],
            tuple(body["in_force"]),
            tuple(body["not_confirmed"]),
            body["detail"],
        )

    def burn(self) -> BurnAnswer:
        """Return the burn report.

        :raises CactuspassError: when the entry is unreachable or rejects the request.
        """
        body = self._call("GET", "/v1/burn", None)
        rows = tuple(BurnRow(**row) for row in body["rows"])
        return BurnAnswer(rows, tuple(body["unreachable"]))

    def _call(self, method: str, path: str, members: dict[str, Any] | None) -> Any:
        request = HTTPRequest(
            f"http://{self.address}{path}",
            method,
            headers={"Authorization": f"Bearer {self.token}"},
            body=None if members is None else json.dumps(members),
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=REQUEST_TIMEOUT_SECONDS,
        )
        client = HTTPClient()
        try:
            response = client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            raise EntryUnreachable(f"{self.address} does not answer: {error}") from error
        finally:
            client.close()
        return self._decode(response)

    def _decode(self, response: HTTPResponse) -> Any:
        if response.code == 599:
            raise EntryUnreachable(f"{self.address} does not answer: {response.error}")
        try:
            body = json.loads(response.body)
        except ValueError as error:
            raise OrderRejected(f"{self.address} answered something else: {error}") from error
        if response.code == 200:
            return body
        if "line" in body:
            raise CommandError(body["detail"], body["line"], body["column"])
        raise OrderRejected(f"{self.address} refused ({response.code}): {body.get('detail', '')}")
