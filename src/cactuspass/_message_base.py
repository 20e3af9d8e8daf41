"""Base of all inputs and orders of the decision layer.

Times are seconds of the clock that the edge passes to the core, unless said otherwise.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Input:
    """Something that happened; the base of all inputs of the core."""


@dataclass(frozen=True, slots=True)
class Order:
    """Something the edge must do; the base of all orders of the core."""
