"""Listening sockets that are about to be closed, on Linux."""

import contextlib
import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26

# Instructions of the classic Berkeley packet filter: code, jump if true, jump if false, operand.
LOAD_BYTE = 0x30
AND = 0x54
JUMP_IF_EQUAL = 0x15
RETURN = 0x06

TCP_FLAGS_OFFSET = 13
SYN = 0x02
ACK = 0x10
DROP = 0
PASS = 0xFFFF_FFFF

DROP_FIRST_SEGMENTS = (
    (LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    (AND, 0, 0, SYN | ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, DROP),
    (RETURN, 0, 0, PASS),
)


def refuse_new_connections(listening: socket.socket) -> None:
    """Let the kernel establish no further connection until a listening socket is closed.

    It ignores the first segment of a connection, which the caller's kernel repeats after a second,
    to be refused since the socket is closed by then. Connections that are being established go on.
    A kernel without such filters keeps establishing connections.
    """
    instructions = b"".join(struct.pack("HBBI", *step) for step in DROP_FIRST_SEGMENTS)
    code = ctypes.create_string_buffer(instructions, len(instructions))
    program = struct.pack("HP", len(DROP_FIRST_SEGMENTS), ctypes.addressof(code))
    with contextlib.suppress(OSError):
        listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
