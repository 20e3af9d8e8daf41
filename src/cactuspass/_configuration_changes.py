"""The changes of the configuration that operators' commands ask for."""

from dataclasses import dataclass, replace

from cactuspass._documents import ConfigurationChange
from cactuspass._statements import (
    DeclareCommand,
    RemoveCommand,
    ReturnCommand,
    Statement,
    TakeOutCommand,
)
from cactuspass._tables import Tables
from cactuspass.exceptions import CommandError
from cactuspass.models import Configuration, GroupDeclaration, TakeOut, TakeOutTag

KEPT_CANCELLED = 4096


def change_of(
    command: Statement, tables: Tables, tag: TakeOutTag, now: float
) -> ConfigurationChange:
    """Return the change that a command asks for, as seen by this entry.

    :param tag: unique tag for a take-out.
    :param now: wall-clock time in seconds since 1970.
    :raises CommandError: when the command cannot be carried out.
    """
    match command:
        case TakeOutCommand(kind, target):
            return TakeOutChange((TakeOut(tag, kind, target, at=now),))
        case ReturnCommand(kind, target):
            found = _known_take_outs(tables)
            tags = [item.tag for item in found if (item.kind, item.target) == (kind, target)]
            if not tags:
                raise CommandError(f"{kind.value} {target} is not taken out")
            return ReturnChange(tuple(tags))
        case DeclareCommand(declaration):
            _check_declaration(declaration, tables)
            return DeclareChange(declaration)
        case RemoveCommand(name):
            return RemoveChange(name)
    raise CommandError("this command is not known")


@dataclass(frozen=True, slots=True)
class TakeOutChange(ConfigurationChange):
    """Adds take-outs that no return has cancelled."""

    take_outs: tuple[TakeOut, ...]

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration."""
        added = {
            item.tag: item for item in self.take_outs if item.tag not in configuration.cancelled
        }
        return replace(configuration, take_outs_by_tag={**configuration.take_outs_by_tag, **added})

    def depends_on(self, configuration: Configuration) -> object:
        """Depend on nothing: take-outs of several operators all count."""
        return None


@dataclass(frozen=True, slots=True)
class ReturnChange(ConfigurationChange):
    """Cancels the take-outs that were seen, and no others."""

    tags: tuple[TakeOutTag, ...]

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration."""
        kept = {
            tag: item
            for tag, item in configuration.take_outs_by_tag.items()
            if tag not in self.tags
        }
        new = tuple(tag for tag in self.tags if tag not in configuration.cancelled)
        cancelled = (*configuration.cancelled, *new)[-KEPT_CANCELLED:]
        return replace(configuration, take_outs_by_tag=kept, cancelled=cancelled)

    def depends_on(self, configuration: Configuration) -> object:
        """Depend on nothing: only the seen take-outs are cancelled."""
        return None


@dataclass(frozen=True, slots=True)
class DeclareChange(ConfigurationChange):
    """Adds or replaces a declaration."""

    declaration: GroupDeclaration

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration."""
        declared = {
            **configuration.declarations_by_name,
            self.declaration.name: self.declaration,
        }
        return replace(configuration, declarations_by_name=declared)

    def depends_on(self, configuration: Configuration) -> object:
        """Depend on the declaration of the same name."""
        return configuration.declarations_by_name.get(self.declaration.name)


@dataclass(frozen=True, slots=True)
class RemoveChange(ConfigurationChange):
    """Removes a declaration."""

    name: str

    def apply(self, configuration: Configuration) -> Configuration:
        """Return the changed configuration."""
        if self.name not in configuration.declarations_by_name:
            raise CommandError(f"no group {self.name} is declared")
        declared = dict(configuration.declarations_by_name)
        del declared[self.name]
        return replace(configuration, declarations_by_name=declared)

    def depends_on(self, configuration: Configuration) -> object:
        """Depend on the declaration of the same name."""
        return configuration.declarations_by_name.get(self.name)


def _known_take_outs(tables: Tables) -> list[TakeOut]:
    configuration = tables.configuration
    committed = {} if configuration is None else configuration.take_outs_by_tag
    return list({**committed, **tables.pending_take_outs_by_tag}.values())


def _check_declaration(declaration: GroupDeclaration, tables: Tables) -> None:
    kind = tables.kinds_by_id.get(declaration.kind)
    if kind is None:
        known = ", ".join(sorted(tables.kinds_by_id)) or "none"
        raise CommandError(f"no upstream kind {declaration.kind}; the kinds are {known}")
    if not kind.is_engine:
        raise CommandError(f"upstream kind {declaration.kind} is a plain service")
