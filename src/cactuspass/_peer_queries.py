"""Queries of all connected peers for their own rows of a view."""

import asyncio
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cactuspass._peer_link import PeerLink
from cactuspass._peer_messages import AskRows, PeerMessage, Rows
from cactuspass._rows import RowSet
from cactuspass.models import EntryId

ANSWER_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class PeerRows:
    """Rows of the peers that answered, and the ids of the entries that did not."""

    row_sets: tuple[RowSet, ...]
    unreachable: tuple[str, ...]


class PeerQueries:
    """Sends queries to the peers and answers theirs.

    :param own_rows: returns the own rows of the view with a given name.
    :param list_entries: returns the ids of all other entries in the instance list.
    """

    def __init__(
        self,
        links_by_entry: dict[EntryId, PeerLink],
        own_rows: Callable[[str], RowSet],
        list_entries: Callable[[], Sequence[EntryId]],
    ) -> None:
        self._links_by_entry = links_by_entry
        self._own_rows = own_rows
        self._list_entries = list_entries
        self._answers_by_id: dict[str, asyncio.Future[RowSet]] = {}

    async def query_all(self, view: str) -> PeerRows:
        """Query all peers for a view; those that don't answer in time count as unreachable."""
        links = dict(self._links_by_entry)
        results = await asyncio.gather(*(self._query(link, view) for link in links.values()))
        answered = {entry for entry, found in zip(links, results, strict=True) if found is not None}
        unreachable_ids = sorted({*links, *self._list_entries()} - answered)
        return PeerRows(
            tuple(found for found in results if found is not None), tuple(unreachable_ids)
        )

    async def _query(self, link: PeerLink, view: str) -> RowSet | None:
        question_id = uuid.uuid4().hex
        answer: asyncio.Future[RowSet] = asyncio.get_running_loop().create_future()
        self._answers_by_id[question_id] = answer
        link.send(AskRows(question_id, view))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._answers_by_id[question_id]

    def receive(self, link: PeerLink, message: PeerMessage) -> bool:
        """Process a query or an answer to one.

        :return: whether the message was a query or an answer.
        """
        if isinstance(message, AskRows):
            found = self._own_rows(message.view)
            link.send(Rows(message.question_id, found.columns, found.rows))
            return True
        if isinstance(message, Rows):
            answer = self._answers_by_id.get(message.question_id)
            if answer is not None and not answer.done():
                answer.set_result(RowSet(message.columns, message.rows))
            return True
        return False

    def handle_link_loss(self, link: PeerLink) -> None:
        """Do nothing; queries over a lost connection end with their timeout."""
