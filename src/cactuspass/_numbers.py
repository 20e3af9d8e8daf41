"""Whole numbers in text that others have written."""

import re

NUMBER_PATTERN = re.compile(r"[0-9]{1,15}")


def parse_number(text: str) -> int | None:
    """Return a whole number of up to 15 ASCII digits; None for any other text.

    ``str.isdigit`` also accepts text that ``int`` does not: superscript digits, and thousands of
    digits.
    """
    return int(text) if NUMBER_PATTERN.fullmatch(text) is not None else None
