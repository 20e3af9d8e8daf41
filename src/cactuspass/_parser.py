"""Parser of the operators' language."""

from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

from cactuspass._statements import (
    Cell,
    Comparison,
    Condition,
    DeclareCommand,
    Ordering,
    Query,
    RecommitCommand,
    RemoveCommand,
    ReturnCommand,
    Statement,
    TakeOutCommand,
    ViewName,
)
from cactuspass.exceptions import CommandError
from cactuspass.models import DataCentreId, GroupDeclaration, KindId, ModelId, TakeOutKind

GRAMMAR = r"""
start: query | take_out | return_ | declare | remove | recommit

query: view by? where? order? limit?
view: "waiting"i -> waiting
    | "groups"i -> groups
    | "upstreams"i -> upstreams
    | "held"i -> held
    | "stranded"i -> stranded
    | "entries"i -> entries
    | "alarms"i -> alarms
    | "declarations"i -> declarations
    | "take"i "outs"i -> take_outs
    | "in"i "force"i -> in_force
    | "counters"i -> counters
by: "by"i column ("," column)*
where: "where"i condition ("and"i condition)*
condition: column COMPARISON value
order: "order"i "by"i column descending?
descending: "descending"i
limit: "limit"i NUMBER
column: NAME

take_out: "take"i "out"i target
return_: "return"i target
target: "data"i "centre"i name -> data_centre
      | "upstream"i name -> upstream
      | "group"i name -> group

declare: "declare"i "group"i name option+
option: "model"i name -> model
      | "in"i name -> data_centre_option
      | "kind"i name -> kind
      | "size"i NUMBER -> size
      | "count"i NUMBER -> count
      | "spares"i NUMBER -> spares
      | "version"i (name | NUMBER) -> version
      | "adapters"i name ("," name)* -> adapters
remove: "remove"i "group"i name
recommit: "recommit"i "configuration"i

value: NUMBER -> number
     | "true"i -> true
     | "false"i -> false
     | name -> text
name: NAME | STRING

COMPARISON: "!=" | "<=" | ">=" | "=" | "<" | ">"
NUMBER.2: /-?\d+(\.\d+)?(?![\w.:\/-])/
NAME: /[a-z0-9_][\w.:\/-]*/i
STRING: /"[^"\n]*"/
%import common.WS
%ignore WS
%ignore /#[^\n]*/
"""

REQUIRED_OPTIONS = ("model", "in", "kind", "size")
TERMINAL_NAMES = {
    "NAME": "a name",
    "STRING": "a name in quotes",
    "NUMBER": "a number",
    "COMPARISON": "one of = != < <= > >=",
    "COMMA": ",",
    "$END": "the end",
}
MAX_EXPECTED_TERMINALS = 20


@v_args(inline=True)
class _Builder(Transformer[Token, Statement]):
    """Builds statements from the parse tree; each method handles the grammar rule of its name."""

    def start(self, statement: Statement) -> Statement:
        return statement

    def name(self, token: Token) -> str:
        return token[1:-1] if token.type == "STRING" else str(token)

    def column(self, token: Token) -> str:
        return str(token).lower().replace("-", "_")

    def number(self, token: Token) -> Cell:
        return float(token) if "." in token else int(token)

    def true(self) -> bool:
        return True

    def false(self) -> bool:
        return False

    def text(self, name: str) -> str:
        return name

    def condition(self, column: str, comparison: Token, value: Cell) -> Condition:
        return Condition(column, Comparison(str(comparison)), value)

    def by(self, *columns: str) -> tuple[str, tuple[str, ...]]:
        return ("by", columns)

    def where(self, *conditions: Condition) -> tuple[str, tuple[Condition, ...]]:
        return ("conditions", conditions)

    def descending(self) -> bool:
        return True

    def order(self, column: str, descending: bool = False) -> tuple[str, Ordering]:
        return ("ordering", Ordering(column, descending))

    def limit(self, token: Token) -> tuple[str, int]:
        return ("limit", _count(token, minimum=0))

    def query(self, view: ViewName, *clauses: tuple[str, Any]) -> Query:
        return Query(view, **dict(clauses))

    def waiting(self) -> ViewName:
        return ViewName.WAITING

    def groups(self) -> ViewName:
        return ViewName.GROUPS

    def upstreams(self) -> ViewName:
        return ViewName.UPSTREAMS

    def held(self) -> ViewName:
        return ViewName.HELD

    def stranded(self) -> ViewName:
        return ViewName.STRANDED

    def entries(self) -> ViewName:
        return ViewName.ENTRIES

    def alarms(self) -> ViewName:
        return ViewName.ALARMS

    def declarations(self) -> ViewName:
        return ViewName.DECLARATIONS

    def take_outs(self) -> ViewName:
        return ViewName.TAKE_OUTS

    def in_force(self) -> ViewName:
        return ViewName.IN_FORCE

    def counters(self) -> ViewName:
        return ViewName.COUNTERS

    def data_centre(self, name: str) -> tuple[TakeOutKind, str]:
        return (TakeOutKind.DATA_CENTRE, name)

    def upstream(self, name: str) -> tuple[TakeOutKind, str]:
        return (TakeOutKind.UPSTREAM, name)

    def group(self, name: str) -> tuple[TakeOutKind, str]:
        return (TakeOutKind.GROUP, name)

    def take_out(self, target: tuple[TakeOutKind, str]) -> Statement:
        return TakeOutCommand(*target)

    def return_(self, target: tuple[TakeOutKind, str]) -> Statement:
        return ReturnCommand(*target)

    def model(self, name: str) -> tuple[str, Any]:
        return ("model", ModelId(name))

    def data_centre_option(self, name: str) -> tuple[str, Any]:
        return ("in", DataCentreId(name))

    def kind(self, name: str) -> tuple[str, Any]:
        return ("kind", KindId(name))

    def size(self, token: Token) -> tuple[str, Any]:
        return ("size", _count(token, minimum=1))

    def count(self, token: Token) -> tuple[str, Any]:
        return ("count", _count(token, minimum=1))

    def spares(self, token: Token) -> tuple[str, Any]:
        return ("spares", _count(token, minimum=0))

    def version(self, name: str) -> tuple[str, Any]:
        return ("version", str(name))

    def adapters(self, *names: str) -> tuple[str, Any]:
        return ("adapters", names)

    def declare(self, name: str, *options: tuple[str, Any]) -> Statement:
        values = dict(options)
        repeated = [key for key in values if sum(option[0] == key for option in options) > 1]
        missing = [option for option in REQUIRED_OPTIONS if option not in values]
        if repeated:
            raise CommandError(f"declare group {name}: given twice: {', '.join(repeated)}")
        if missing:
            raise CommandError(f"declare group {name}: missing: {', '.join(missing)}")
        values["data_centre"] = values.pop("in")
        return DeclareCommand(GroupDeclaration(name=name, **values))

    def remove(self, name: str) -> Statement:
        return RemoveCommand(name)

    def recommit(self) -> Statement:
        return RecommitCommand()


def _count(token: Token, minimum: int) -> int:
    if "." in token or int(token) < minimum:
        raise CommandError(
            f"{token} is not a whole number of at least {minimum}",
            token.line or 1,
            token.column or 1,
        )
    return int(token)


_LARK = Lark(GRAMMAR, parser="lalr", lexer="contextual", maybe_placeholders=False)


def parse(text: str) -> Statement:
    """Return the statement that a text contains.

    :raises CommandError: for a mistake; it has the line, the column and what was expected there.
    """
    try:
        return _Builder().transform(_LARK.parse(text))
    except UnexpectedInput as error:
        raise _command_error(text, error) from error
    except VisitError as error:
        if isinstance(error.orig_exc, CommandError):
            raise error.orig_exc from error
        raise CommandError(str(error.orig_exc)) from error


def parse_many(text: str) -> list[Statement]:
    """Return the statements of a file, one for each line that is neither blank nor a comment.

    :raises ExceptionGroup: of :class:`CommandError`, one for each line with a mistake.
    """
    statements: list[Statement] = []
    errors: list[CommandError] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.split("#", 1)[0].strip():
            continue
        try:
            statements.append(parse(line))
        except CommandError as error:
            errors.append(CommandError(str(error), number, error.column))
    if errors:
        raise ExceptionGroup("the file has mistakes", errors)
    return statements


def _command_error(text: str, error: UnexpectedInput) -> CommandError:
    terminals = getattr(error, "accepts", None) or getattr(error, "expected", None)
    terminals = terminals or getattr(error, "allowed", None) or set()
    words = sorted({TERMINAL_NAMES.get(name, name.lower()) for name in terminals})[
        :MAX_EXPECTED_TERMINALS
    ]
    at_end = (
        error.line in (-1, None) or getattr(getattr(error, "token", None), "type", "") == "$END"
    )
    lines = text.splitlines() or [""]
    line = len(lines) if at_end else error.line
    column = len(lines[-1]) + 1 if at_end else error.column
    found = "the end" if at_end else repr(lines[line - 1][column - 1 :].split(" ")[0])
    return CommandError(f"found {found}, expected {' or '.join(words)}", line, column)
