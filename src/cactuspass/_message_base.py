"""Base classes of all inputs and orders of the decision core.

Times are seconds of the clock that the I/O layer passes to the core, unless stated otherwise.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Input:
    """Base class of all inputs: events that the I/O layer reports to the core."""


@dataclass(frozen=True, slots=True)
class Order:
    """Base class of all orders: actions that the core requests from the I/O layer."""
