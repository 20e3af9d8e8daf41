"""Typed statements of the operators' language."""

from dataclasses import dataclass
from enum import Enum

from cactuspass.models import GroupDeclaration, TakeOutKind

Cell = str | int | float | bool | None


class ViewName(Enum):
    """What an operator can ask for."""

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
    """How a column is compared with a value."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="


@dataclass(frozen=True, slots=True)
class Condition:
    """One condition on a column."""

    column: str
    comparison: Comparison
    value: Cell


@dataclass(frozen=True, slots=True)
class Ordering:
    """Order of the rows."""

    column: str
    descending: bool = False


@dataclass(frozen=True, slots=True)
class Statement:
    """Base of all statements."""


@dataclass(frozen=True, slots=True)
class Query(Statement):
    """A question; rows are filtered, summed by a column, ordered and cut, in this order."""

    view: ViewName
    by: tuple[str, ...] = ()
    conditions: tuple[Condition, ...] = ()
    ordering: Ordering | None = None
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class TakeOutCommand(Statement):
    """Give a target no new work."""

    kind: TakeOutKind
    target: str


@dataclass(frozen=True, slots=True)
class ReturnCommand(Statement):
    """Give a target new work again."""

    kind: TakeOutKind
    target: str


@dataclass(frozen=True, slots=True)
class DeclareCommand(Statement):
    """Want groups that serve a model."""

    declaration: GroupDeclaration


@dataclass(frozen=True, slots=True)
class RemoveCommand(Statement):
    """Want the groups of a declaration no longer."""

    name: str


@dataclass(frozen=True, slots=True)
class RecommitCommand(Statement):
    """Write the configuration in force back to a platform that lost it."""
