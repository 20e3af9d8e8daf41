"""Structured log with one line per change of state, as text or JSON."""

import json
import sys
from datetime import UTC, datetime
from typing import Any, TextIO

import logbook

from cactuspass.settings import LogFormat, LogLevel

LOGGER_NAME = "cactuspass"


def _text_line(record: Any, handler: Any) -> str:
    fields = " ".join(f"{name}={value}" for name, value in sorted(record.extra.items()))
    stamp = datetime.now(UTC).isoformat(timespec="milliseconds")
    return f"{stamp} {record.level_name.lower()} {record.message} {fields}".rstrip()


def _json_line(record: Any, handler: Any) -> str:
    members = {
        "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "message": record.message,
        **{name: str(value) for name, value in record.extra.items()},
    }
    return json.dumps(members)


class StateLog:
    """Log of state changes; every line contains the fields that identify the process.

    :param stream: destination of the lines; standard error by default.
    :param fields: fields that are added to every line.
    """

    def __init__(
        self, log_format: LogFormat, level: LogLevel, stream: TextIO | None = None, **fields: str
    ) -> None:
        self._logger = logbook.Logger(LOGGER_NAME)
        self._fields = fields
        handler = logbook.StreamHandler(stream or sys.stderr, level=level.value.upper())
        handler.formatter = _json_line if log_format is LogFormat.JSON else _text_line
        self._logger.handlers.append(handler)

    def info(self, message: str, **fields: Any) -> None:
        """Log an expected change of state."""
        self._logger.info(message, extra={**self._fields, **fields})

    def warning(self, message: str, **fields: Any) -> None:
        """Log a change of state that an operator should check."""
        self._logger.warning(message, extra={**self._fields, **fields})

    def error(self, message: str, **fields: Any) -> None:
        """Log a failure inside this process."""
        self._logger.error(message, extra={**self._fields, **fields})
