"""Reads the limit on requests that a server states in its responses."""

import math
import re

from cactuspass.fleet import AnswerHead, StatedLimit
from cactuspass.platform._names import SERVER_LIMIT

DECIMAL_PATTERN = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)
MAX_TEXT_CHARS = 64


def parse_limit(head: AnswerHead) -> StatedLimit | None:
    """Return the limit that a response states; None without one.

    Of several values the lowest one is used. If any of them is not a finite decimal number, the
    limit has no rate.
    """
    values = [value for name, value in head.headers if name == SERVER_LIMIT.lower()]
    if not values:
        return None
    text = ",".join(values)
    rates = [_parse_rate(part.strip()) for part in text.split(",")]
    known = [rate for rate in rates if rate is not None]
    is_valid = len(known) == len(rates)
    return StatedLimit(min(known) if is_valid else None, text[:MAX_TEXT_CHARS])


def _parse_rate(text: str) -> float | None:
    if DECIMAL_PATTERN.fullmatch(text) is None:
        return None
    rate = float(text)
    return rate if math.isfinite(rate) else None
