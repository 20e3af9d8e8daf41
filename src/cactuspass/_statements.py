"""Typed statements of the operators' language."""

from dataclasses import dataclass
from enum import Enum

from cactuspass.models import GroupDeclaration, TakeOutKind

Cell = str | int | float | bool | None


class ViewName(Enum):
    """Name of a view that an operator can query."""

    WAITING = "waiting"
    GROUPS = "groups"
    UPSTREAMS = "upstreams"
    HELD = "held"
    STRANDED = "stranded"
    ENTRIES = "entries"
    ALARMS = "alarms"
    DECLARATIONS = "declarations"
    TAKE_OUTS = "take outs"
    IN_FORCE = "in force"
    COUNTERS = "counters"


class Comparison(Enum):
    """Operator that compares a column with a value."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="


@dataclass(frozen=True, slots=True)
class Condition:
    """Condition that a column must meet."""

    column: str
    comparison: Comparison
    value: Cell


@dataclass(frozen=True, slots=True)
class Ordering:
    """Column and direction by which rows are sorted."""

    column: str
    descending: bool = False


@dataclass(frozen=True, slots=True)
class Statement:
    """Base of all statements."""


@dataclass(frozen=True, slots=True)
class Query(Statement):
    """Query of a view; rows are filtered, summed by columns, sorted and limited, in this order."""

    view: ViewName
    by: tuple[str, ...] = ()
    conditions: tuple[Condition, ...] = ()
    ordering: Ordering | None = None
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class TakeOutCommand(Statement):
    """Take a target out, so that it receives no new work."""

    kind: TakeOutKind
    target: str


@dataclass(frozen=True, slots=True)
class ReturnCommand(Statement):
    """Return a target, so that it receives new work again."""

    kind: TakeOutKind
    target: str


@dataclass(frozen=True, slots=True)
class DeclareCommand(Statement):
    """Declare groups that serve a model."""

    declaration: GroupDeclaration


@dataclass(frozen=True, slots=True)
class RemoveCommand(Statement):
    """Remove a declaration and with it the need for its groups."""

    name: str


@dataclass(frozen=True, slots=True)
class RecommitCommand(Statement):
    """Write the current configuration back to a platform that has lost it."""
