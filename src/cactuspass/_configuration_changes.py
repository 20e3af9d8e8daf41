"""Changes of the configuration that operators' commands request."""

from dataclasses import dataclass

from cactuspass._configuration import (
    declare,
    merge_take_outs,
    remove_declaration,
    return_target,
)
from cactuspass._documents import ConfigurationChange
from cactuspass._in_force import take_outs_in_force
from cactuspass._statements import (
    DeclareCommand,
    RecommitCommand,
    RemoveCommand,
    ReturnCommand,
    Statement,
    TakeOutCommand,
)
from cactuspass._tables import Tables
from cactuspass.exceptions import CommandError
from cactuspass.models import (
    Configuration,
    GroupDeclaration,
    OperationId,
    TakeOut,
    TakeOutKind,
    TakeOutTag,
)


def change_of(
    command: Statement, tables: Tables, operation: OperationId, now: float
) -> ConfigurationChange:
    """Return the change that a command requests, given the tables of this entry.

    :param now: wall-clock time in seconds since 1970.
    :raises CommandError: when the command cannot be carried out.
    """
    match command:
        case TakeOutCommand(kind, target):
            take_out = TakeOut(TakeOutTag(operation), kind, target, at=now)
            return TakeOutChange((take_out,), operation)
        case ReturnCommand(kind, target):
            return ReturnChange(kind, target, _seen_tags(tables, kind, target), operation)
        case DeclareCommand(declaration):
            _check_declaration(declaration, tables)
            return DeclareChange(declaration, operation)
        case RemoveCommand(name):
            if tables.configuration and name not in tables.configuration.declarations_by_name:
                raise CommandError(f"no group {name} is declared")
            return RemoveChange(name, operation)
        case RecommitCommand():
            if tables.configuration is None:
                raise CommandError("this entry has no configuration to commit")
            return RecommitChange(tables.configuration)
    raise CommandError("this command is not known")


@dataclass(frozen=True, slots=True)
class TakeOutChange(ConfigurationChange):
    """Adds take-outs that no return has cancelled; take-outs of several operators are all kept."""

    take_outs: tuple[TakeOut, ...]
    operation: OperationId

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration."""
        return merge_take_outs(configuration, self.take_outs, self.operation)

    def depends_on(self, configuration: Configuration) -> object:
        """Return None: the change depends on no part of the configuration."""
        return None


@dataclass(frozen=True, slots=True)
class ReturnChange(ConfigurationChange):
    """Cancels only the take-outs in ``tags``."""

    kind: TakeOutKind
    target: str
    tags: tuple[TakeOutTag, ...]
    operation: OperationId

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration."""
        return return_target(configuration, self.kind, self.target, self.tags, self.operation)

    def depends_on(self, configuration: Configuration) -> object:
        """Return None, because a take-out that is not in ``tags`` stays and so can't conflict."""
        return None


@dataclass(frozen=True, slots=True)
class DeclareChange(ConfigurationChange):
    """Adds or replaces a declaration."""

    declaration: GroupDeclaration
    operation: OperationId

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration."""
        return declare(configuration, self.declaration, self.operation)

    def depends_on(self, configuration: Configuration) -> object:
        """Return the declaration of the same name."""
        return configuration.declarations_by_name.get(self.declaration.name)


@dataclass(frozen=True, slots=True)
class RemoveChange(ConfigurationChange):
    """Removes a declaration."""

    name: str
    operation: OperationId

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration."""
        return remove_declaration(configuration, self.name, self.operation)

    def depends_on(self, configuration: Configuration) -> object:
        """Return the declaration of the same name."""
        return configuration.declarations_by_name.get(self.name)


@dataclass(frozen=True, slots=True)
class RecommitChange(ConfigurationChange):
    """Writes the current configuration back to a store that reverted to an older one."""

    in_force: Configuration

    def base(self, stored: Configuration) -> Configuration:
        """Return the current configuration of this entry.

        :raises CommandError: when the store has a newer one.
        """
        if stored.revision > self.in_force.revision:
            raise CommandError("the platform has a newer configuration than this entry")
        return self.in_force

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the configuration unchanged."""
        return configuration

    def depends_on(self, configuration: Configuration) -> object:
        """Return None: the change depends on no part of the configuration."""
        return None


def _seen_tags(tables: Tables, kind: TakeOutKind, target: str) -> tuple[TakeOutTag, ...]:
    """Return the tags of a target's take-outs that are in force on this entry.

    :raises CommandError: when the target is not taken out.
    """
    seen = tuple(
        tag
        for tag, take_out in take_outs_in_force(tables).items()
        if (take_out.kind, take_out.target) == (kind, target)
    )
    if not seen:
        raise CommandError(f"{kind.value} {target} is not taken out")
    return seen


def _check_declaration(declaration: GroupDeclaration, tables: Tables) -> None:
    kind = tables.kinds_by_id.get(declaration.kind)
    if kind is None:
        known = ", ".join(sorted(tables.kinds_by_id)) or "none"
        raise CommandError(f"no upstream kind {declaration.kind}; the kinds are {known}")
    if not kind.is_engine:
        raise CommandError(f"upstream kind {declaration.kind} is a plain service")
