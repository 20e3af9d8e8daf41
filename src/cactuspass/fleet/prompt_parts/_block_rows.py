"""Shows the blocks on parts of prompts as rows."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

from cactuspass._output import as_table
from cactuspass._rows import RowSet, row_set
from cactuspass.fleet.prompt_parts._parts import Block

PARTS_PATH = "/parts"


@dataclass(frozen=True, slots=True)
class BlockRow:
    """One block that refuses requests.

    :param model: None for a service without models.
    :param since: time of the last change.
    :param next_trial: time from which one request may try the parts again; None if only an operator
        ends the block.
    """

    service: str
    model: str | None
    parts: str
    customers: str
    since: str
    crashes: int
    reported_by: str | None
    next_trial: str | None
    version: int
    reason: str


def block_rows(blocks: Iterable[Block]) -> RowSet:
    """Return the blocks as rows, ordered by service, model and parts."""
    return row_set(BlockRow, map(_row, sorted(blocks, key=lambda block: block.key)))


def blocks_page(blocks: Iterable[Block]) -> bytes:
    """Return the page of an instance that shows the blocks."""
    return f"{as_table(block_rows(blocks))}\n".encode()


def _row(block: Block) -> BlockRow:
    due = block.next_trial_at
    return BlockRow(
        block.key.service,
        block.key.model or None,
        ",".join(block.key.parts),
        ",".join(block.customer_names) or "all",
        _time_text(block.since),
        block.crashes,
        ",".join(block.instances) or None,
        _time_text(due) if due is not None else None,
        block.version,
        block.reason,
    )


def _time_text(at: float) -> str:
    """Return a Unix time as text, in UTC."""
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
