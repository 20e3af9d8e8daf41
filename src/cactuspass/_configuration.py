"""Changes of the operators' configuration, as pure functions."""

from collections.abc import Iterable
from dataclasses import replace

from cactuspass.exceptions import ConfigurationConflict, ConfigurationError
from cactuspass.models import (
    Configuration,
    GroupDeclaration,
    OperationId,
    TakeOut,
    TakeOutKind,
    TakeOutTag,
)

MAX_RECORDED_OPERATIONS = 64
MAX_CANCELLED_TAGS = 4096


def declare(
    configuration: Configuration,
    declaration: GroupDeclaration,
    operation_id: OperationId,
    seen_revision: int | None = None,
) -> Configuration:
    """Add a declaration or replace the one of the same name.

    :param seen_revision: revision that the operator saw; None to skip the check.
    :return: the next revision, or the same one when it has the operation already.
    :raises ConfigurationConflict: when another change was committed since.
    """
    if operation_id in configuration.operations:
        return configuration
    _check_seen(configuration, seen_revision)
    declarations = {**configuration.declarations_by_name, declaration.name: declaration}
    return _next(replace(configuration, declarations_by_name=declarations), operation_id)


def remove_declaration(
    configuration: Configuration,
    name: str,
    operation_id: OperationId,
    seen_revision: int | None = None,
) -> Configuration:
    """Remove a declaration.

    :raises ConfigurationConflict: when another change was committed since ``seen_revision``.
    :raises ConfigurationError: when there is no declaration of this name.
    """
    if operation_id in configuration.operations:
        return configuration
    _check_seen(configuration, seen_revision)
    if name not in configuration.declarations_by_name:
        raise ConfigurationError(f"no declaration is named {name!r}")
    kept = {
        key: declaration
        for key, declaration in configuration.declarations_by_name.items()
        if key != name
    }
    return _next(replace(configuration, declarations_by_name=kept), operation_id)


def take_out(
    configuration: Configuration, order: TakeOut, operation_id: OperationId
) -> Configuration:
    """Take a target out; take-outs commute, so no seen revision is needed."""
    if operation_id in configuration.operations:
        return configuration
    return _next(_add_take_outs(configuration, (order,)), operation_id)


def merge_take_outs(
    configuration: Configuration, pending: Iterable[TakeOut], operation_id: OperationId
) -> Configuration:
    """Add take-outs that were accepted while the platform was out.

    :return: the same configuration when it has, or has cancelled, all of them.
    """
    merged = _add_take_outs(configuration, pending)
    return configuration if merged == configuration else _next(merged, operation_id)


def return_target(
    configuration: Configuration,
    kind: TakeOutKind,
    target: str,
    seen_tags: Iterable[TakeOutTag],
    operation_id: OperationId,
) -> Configuration:
    """Cancel the take-outs of a target that the operator has seen, and no others.

    :param seen_tags: tags that the operator saw, also those not yet in the configuration.
    """
    if operation_id in configuration.operations:
        return configuration
    others = {
        tag
        for tag, order in configuration.take_outs_by_tag.items()
        if (order.kind, order.target) != (kind, target)
    }
    cancelled = set(seen_tags) - others
    new = sorted(cancelled - set(configuration.cancelled))
    kept = {
        tag: order for tag, order in configuration.take_outs_by_tag.items() if tag not in cancelled
    }
    all_cancelled = (*configuration.cancelled, *new)[-MAX_CANCELLED_TAGS:]
    changed = replace(configuration, take_outs_by_tag=kept, cancelled=all_cancelled)
    return _next(changed, operation_id)


def _check_seen(configuration: Configuration, seen_revision: int | None) -> None:
    if seen_revision is None or seen_revision == configuration.revision:
        return
    count = max(0, configuration.revision - seen_revision)
    since = configuration.operations[-count:] if count else ()
    raise ConfigurationConflict(seen_revision, configuration.revision, tuple(since))


def _add_take_outs(configuration: Configuration, orders: Iterable[TakeOut]) -> Configuration:
    cancelled = set(configuration.cancelled)
    added = {order.tag: order for order in orders if order.tag not in cancelled}
    merged = {**added, **configuration.take_outs_by_tag}
    return replace(configuration, take_outs_by_tag=merged)


def _next(changed: Configuration, operation_id: OperationId) -> Configuration:
    operations = (*changed.operations, operation_id)[-MAX_RECORDED_OPERATIONS:]
    return replace(changed, revision=changed.revision + 1, operations=operations)
