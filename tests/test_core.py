"""Tests of the decision core."""

import unittest
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cactuspass._core import Core, System
from cactuspass._messages import Input, Order, PlatformFailed
from cactuspass._tables import LocalRow, Tables
from cactuspass.models import DataCentreId, EntryId, Incarnation


@dataclass(frozen=True, slots=True)
class Echo(Order):
    """Order that contains the reason of the input that caused it."""

    reason: str


class EchoSystem(System):
    """Returns an order for each platform failure."""

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        return [Echo(item.reason) for item in inputs if isinstance(item, PlatformFailed)]


class CoreTest(unittest.TestCase):
    def test_each_input_is_passed_to_one_tick_only(self) -> None:
        local = LocalRow(EntryId("e1"), Incarnation("i1"), DataCentreId("a"), "127.0.0.1:1")
        core = Core(Tables(local, {}), [EchoSystem()])
        core.accept(PlatformFailed("down"))
        self.assertEqual(core.tick(1.0), [Echo("down")])
        self.assertEqual(core.tick(2.0), [])
