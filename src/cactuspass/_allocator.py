"""Settings of the memory allocator of the C library."""

import contextlib
import ctypes

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Above the buffers of 64 KiB that each read from a connection takes and frees: each mapping of a
# block takes some 15 microseconds.
LARGE_BLOCK_BYTES = 69_632
# Free memory at the end of the heap that is kept; glibc no longer adapts it once the other is set.
KEPT_BYTES = 1_048_576


def return_large_blocks() -> None:
    """Let large blocks of memory return to the system as soon as they are freed.

    The allocator of glibc raises its threshold with each large block that is freed. Bodies of
    requests then lie between small blocks, and the process keeps the gaps that they leave.
    """
    with contextlib.suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, KEPT_BYTES)
