"""Checks of addresses that others have written."""

import re
from ipaddress import IPv4Address

PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535


def check_address(address: str) -> str:
    """Return an address of the form ``host:port`` to which connections can be opened.

    :raises ValueError: when the host is no IPv4 address of a machine, or the port is out of range.
    """
    host, _, port = address.rpartition(":")
    if PORT_PATTERN.fullmatch(port) is None or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{port[:20]!r} is not a port between 1 and {MAX_PORT}")
    if IPv4Address(host).is_unspecified:
        raise ValueError(f"{host} is not the address of a machine")
    return address
