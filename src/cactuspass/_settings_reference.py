"""An example settings file and a reference table of all its keys."""

from collections.abc import Iterator
from enum import Enum
from typing import Any, get_args

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from cactuspass._settings_sections import Settings

EXAMPLE = """\
entry_id = "fukuoka-1"
data_centre = "fukuoka"

[listeners]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "127.0.0.1:8082"

[platform]
addresses = ["127.0.0.1:2379"]
instance_list = "127.0.0.1:2380"
timeout_seconds = 1.0
write_budget_per_second = 200.0
fleet_entries = 6

[peers]
token = "replace-this-secret"

[operators]
token = "replace-this-secret-too"

[limits]
default_deadline_seconds = 30.0
drain_seconds = 600.0

[logging]
format = "text"
level = "info"

[statsd]
host = "127.0.0.1"
port = 8125

[[upstream_kinds]]
kind = "assistant"
cold_requests = 1
full_requests = 8
memory_tokens = 32000
checks_fence = true

[[upstream_kinds]]
kind = "lending"
full_requests = 16
is_engine = false

[[services]]
name = "loans"
kind = "lending"

[[customers]]
id = "counters"
api_key = "key-of-the-counters"
weight = 4.0
priority = "high"

[[objectives]]
customer = "counters"
model = "assistant-llm"
first_token_seconds = 0.61
share = 0.95
"""

TABLE_HEADER = "| key | type | default | meaning |\n| --- | --- | --- | --- |\n"


def example_settings() -> str:
    """Return an example of a valid settings file."""
    return EXAMPLE


def settings_reference() -> str:
    """Return a Markdown table with every key of the settings file."""
    return TABLE_HEADER + "".join(f"{row}\n" for row in _format_section(Settings, ""))


def _format_section(section: type[BaseModel], prefix: str) -> Iterator[str]:
    for name, info in section.model_fields.items():
        nested = _nested_section(info.annotation)
        if nested is None:
            yield _format_row(f"{prefix}{name}", info)
        else:
            yield from _format_section(nested, f"{prefix}{name}.")


def _nested_section(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    found = (_nested_section(argument) for argument in get_args(annotation))
    return next((section for section in found if section is not None), None)


def _format_row(place: str, info: FieldInfo) -> str:
    cells = (
        f"`{place}`",
        _type_name(info.annotation),
        _format_default(info),
        info.description or "",
    )
    return f"| {' | '.join(cells)} |"


def _type_name(annotation: Any) -> str:
    arguments = [item for item in get_args(annotation) if item not in (type(None), Ellipsis)]
    if arguments and getattr(annotation, "__origin__", None) is tuple:
        return f"list of {_type_name(arguments[0])}"
    if arguments:
        return _type_name(arguments[0])
    supertype = getattr(annotation, "__supertype__", annotation)
    if isinstance(supertype, type) and issubclass(supertype, Enum):
        return "text"
    names = {"str": "text", "float": "number", "int": "integer", "bool": "boolean"}
    name = str(supertype.__name__)
    return names.get(name, name.lower())


def _format_default(info: FieldInfo) -> str:
    value = info.default
    if value is PydanticUndefined:
        return "required"
    if value is None:
        return "none"
    if isinstance(value, Enum):
        return f"`{value.name.lower()}`"
    return f"`{str(value).lower() if isinstance(value, bool) else value}`"
