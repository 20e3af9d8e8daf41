"""Models that are known to be served somewhere, and their largest memory."""

from itertools import chain

from cactuspass._tables import Tables
from cactuspass.models import KindId


def model_kinds(tables: Tables, model: str) -> set[KindId]:
    """Return the kinds of upstream that serve a model, as far as this entry knows."""
    configuration = tables.configuration
    declarations = configuration.declarations_by_name.values() if configuration else ()
    return set(
        chain(
            (item.kind for item in declarations if item.model == model),
            (kind for kind, name in tables.service_models_by_kind.items() if name == model),
            (row.kind for row in tables.held_groups_by_id.values() if row.model == model),
        )
    )


def is_known_model(tables: Tables, model: str) -> bool:
    """Return whether any entry is known to serve or to be meant to serve a model."""
    if model_kinds(tables, model):
        return True
    peers = tables.entries_by_id.values()
    summaries = chain.from_iterable(peer.groups_by_id.values() for peer in peers)
    return any(summary.model == model for summary in summaries)


def max_memory_tokens(tables: Tables, model: str) -> int | None:
    """Return the most tokens that one upstream of the model holds; None when unlimited."""
    kinds = (tables.kinds_by_id.get(kind) for kind in model_kinds(tables, model))
    memories = [kind.memory_tokens if kind is not None else 0 for kind in kinds]
    return max(memories) if memories and all(memories) else None
