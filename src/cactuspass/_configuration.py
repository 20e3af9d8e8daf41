"""Pure functions that apply operators' changes to the configuration."""

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
    :return: the next revision, or the same one if it already contains the operation.
    :raises ConfigurationConflict: when another change was committed since ``seen_revision``.
    """
    if operation_id in configuration.operations:
        return configuration
    _check_revision(configuration, seen_revision)
    declarations = {**configuration.declarations_by_name, declaration.name: declaration}
    return _next_revision(replace(configuration, declarations_by_name=declarations), operation_id)


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
    _check_revision(configuration, seen_revision)
    if name not in configuration.declarations_by_name:
        raise ConfigurationError(f"no declaration is named {name!r}")
    kept = {
        key: declaration
        for key, declaration in configuration.declarations_by_name.items()
        if key != name
    }
    return _next_revision(replace(configuration, declarations_by_name=kept), operation_id)


def take_out(
    configuration: Configuration, added: TakeOut, operation_id: OperationId
) -> Configuration:
    """Add a take-out; take-outs commute, so the revision that the operator saw is not checked."""
    if operation_id in configuration.operations:
        return configuration
    return _next_revision(_add_take_outs(configuration, (added,)), operation_id)


def merge_take_outs(
    configuration: Configuration, pending: Iterable[TakeOut], operation_id: OperationId
) -> Configuration:
    """Add take-outs that were accepted while the platform was unavailable.

    :return: the next revision, or the same one if it contains or has cancelled all of them.
    """
    merged = _add_take_outs(configuration, pending)
    return configuration if merged == configuration else _next_revision(merged, operation_id)


def return_target(
    configuration: Configuration,
    kind: TakeOutKind,
    target: str,
    seen_tags: Iterable[TakeOutTag],
    operation_id: OperationId,
) -> Configuration:
    """Cancel only those take-outs of a target that the operator has seen.

    :param seen_tags: tags that the operator saw, including those not yet in the configuration.
    """
    if operation_id in configuration.operations:
        return configuration
    tags_of_other_targets = {
        tag
        for tag, take_out in configuration.take_outs_by_tag.items()
        if (take_out.kind, take_out.target) != (kind, target)
    }
    cancelled = set(seen_tags) - tags_of_other_targets
    newly_cancelled = sorted(cancelled - set(configuration.cancelled))
    kept = {
        tag: take_out
        for tag, take_out in configuration.take_outs_by_tag.items()
        if tag not in cancelled
    }
    all_cancelled = (*configuration.cancelled, *newly_cancelled)[-MAX_CANCELLED_TAGS:]
    changed = replace(configuration, take_outs_by_tag=kept, cancelled=all_cancelled)
    return _next_revision(changed, operation_id)


def _check_revision(configuration: Configuration, seen_revision: int | None) -> None:
    if seen_revision is None or seen_revision == configuration.revision:
        return
    count = max(0, configuration.revision - seen_revision)
    since = configuration.operations[-count:] if count else ()
    raise ConfigurationConflict(seen_revision, configuration.revision, tuple(since))


def _add_take_outs(configuration: Configuration, take_outs: Iterable[TakeOut]) -> Configuration:
    cancelled = set(configuration.cancelled)
    added = {take_out.tag: take_out for take_out in take_outs if take_out.tag not in cancelled}
    merged = {**added, **configuration.take_outs_by_tag}
    return replace(configuration, take_outs_by_tag=merged)


def _next_revision(changed: Configuration, operation_id: OperationId) -> Configuration:
    operations = (*changed.operations, operation_id)[-MAX_RECORDED_OPERATIONS:]
    return replace(changed, revision=changed.revision + 1, operations=operations)
