"""Tells which targets operators have taken out of service."""

from itertools import chain

from cactuspass._tables import Tables
from cactuspass.models import TakeOutKind


def is_taken_out(tables: Tables, kind: TakeOutKind, target: str) -> bool:
    """Return whether a take-out of the target is in force, committed or not yet."""
    committed = {} if tables.configuration is None else tables.configuration.take_outs_by_tag
    cancelled = () if tables.configuration is None else tables.configuration.cancelled
    pending = tables.pending_take_outs_by_tag
    return any(
        take_out.kind is kind and take_out.target == target and take_out.tag not in cancelled
        for take_out in chain(committed.values(), pending.values())
    )
