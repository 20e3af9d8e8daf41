"""Detection of a second HTTP response inside the head of another one.

An upstream that stops in the middle of a head, or is interrupted in it, and then writes another
response, puts the status line of that response into a header value, or into the reason behind its
own status. The rest of the second head then seems to belong to the first one.
"""

import re

STATUS_LINE_PATTERN = r"HTTP/1\.[01] \d\d\d"
_STATUS_LINE = re.compile(STATUS_LINE_PATTERN)


def has_status_line(text: str) -> bool:
    """Return whether a header value or a reason contains the status line of another response."""
    return _STATUS_LINE.search(text) is not None
