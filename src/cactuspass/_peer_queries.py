"""Asks every connected peer for its own rows of a view."""

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
    """Rows of the peers that answered, and the entries that did not."""

    row_sets: tuple[RowSet, ...]
    unreachable: tuple[str, ...]


class PeerQueries:
    """Both ends of questions between entries.

    :param own_rows: returns the own rows of a view by its name.
    :param listed: returns the ids of all other listed entries.
    """

    def __init__(
        self,
        links_by_entry: dict[EntryId, PeerLink],
        own_rows: Callable[[str], RowSet],
        listed: Callable[[], Sequence[EntryId]],
    ) -> None:
        self._links_by_entry = links_by_entry
        self._own_rows = own_rows
        self._listed = listed
        self._answers_by_question: dict[str, asyncio.Future[RowSet]] = {}

    async def query_all(self, view: str) -> PeerRows:
        """Ask every peer; those that are silent for too long count as unreachable."""
        links = dict(self._links_by_entry)
        results = await asyncio.gather(*(self._ask(link, view) for link in links.values()))
        answered = {entry for entry, found in zip(links, results, strict=True) if found is not None}
        silent = sorted({*links, *self._listed()} - answered)
        return PeerRows(tuple(found for found in results if found is not None), tuple(silent))

    async def _ask(self, link: PeerLink, view: str) -> RowSet | None:
        question_id = uuid.uuid4().hex
        answer: asyncio.Future[RowSet] = asyncio.get_running_loop().create_future()
        self._answers_by_question[question_id] = answer
        link.send(AskRows(question_id, view))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._answers_by_question[question_id]

    def receive(self, link: PeerLink, message: PeerMessage) -> bool:
        """Take a question or an answer.

        :return: whether the message was one.
        """
        if isinstance(message, AskRows):
            found = self._own_rows(message.view)
            link.send(Rows(message.question_id, found.columns, found.rows))
            return True
        if isinstance(message, Rows):
            answer = self._answers_by_question.get(message.question_id)
            if answer is not None and not answer.done():
                answer.set_result(RowSet(message.columns, message.rows))
            return True
        return False

    def handle_link_loss(self, link: PeerLink) -> None:
        """Leave questions over a broken connection to their timeout."""
