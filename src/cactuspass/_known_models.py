"""Models that some entry serves or should serve, and the memory of their upstreams."""

from itertools import chain

from cactuspass._tables import Tables
from cactuspass.models import KindId


def upstream_kinds_of(tables: Tables, model: str) -> set[KindId]:
    """Return the kinds of upstream that serve a model.

    They come from the declarations, the configured services and the groups held here.
    """
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
    """Return whether a model is declared, is a configured service or has a group at any entry."""
    if upstream_kinds_of(tables, model):
        return True
    peers = tables.entries_by_id.values()
    summaries = chain.from_iterable(peer.groups_by_id.values() for peer in peers)
    return any(summary.model == model for summary in summaries)


def max_memory_tokens(tables: Tables, model: str) -> int | None:
    """Return the largest memory of any upstream kind of the model, in tokens.

    :return: None if one of the kinds has no limit, or if no kind is known.
    """
    kinds = (tables.kinds_by_id.get(kind) for kind in upstream_kinds_of(tables, model))
    memories = [kind.memory_tokens if kind is not None else 0 for kind in kinds]
    return max(memories) if memories and all(memories) else None
