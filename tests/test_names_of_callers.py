"""Names of models that callers choose, and what an instance keeps of them."""

import gc
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager

from cactuspass._clock import now
from cactuspass.fleet._catalog import Catalog, Service
from cactuspass.fleet.load_exchange import FleetLoad
from cactuspass.models import ModelId, RequestId
from tests.fleet_path import SERVICE, STAMP, PathCase, PreferredOrderCase, answer, route
from tests.fleet_world import ENGINE

NAME_CHARS = 16_000  # as many as a head has room for
REQUESTS = 600
# A fifth of the names: the event loop itself holds cancelled timers for a while, and what they use.
MAX_KEPT_BYTES = REQUESTS * NAME_CHARS // 5


class NamesTest(PreferredOrderCase):
    """Requests, each for another model with a long name."""

    @contextmanager
    def check_kept(self, case: PathCase) -> Iterator[None]:
        """Check that hardly anything is kept of what happens meanwhile, but for the test's log."""
        tracemalloc.start()
        try:
            gc.collect()
            before = tracemalloc.get_traced_memory()[0]
            yield
            case.handler.lines.clear()
            gc.collect()
            self.assertLess(tracemalloc.get_traced_memory()[0] - before, MAX_KEPT_BYTES)
        finally:
            tracemalloc.stop()

    async def send(self, case: PathCase, count: int, prefix: str) -> set[int | None]:
        """Send requests for different models; return the statuses of the responses."""
        statuses = set()
        for number in range(count):
            name = f"{prefix}-{number}-".ljust(NAME_CHARS, "x")
            got = await case.serve(model=ModelId(name), request_id=RequestId(f"q{number}"))
            statuses.add(got.status)
        return statuses

    # Guards against callers who fill the memory of an instance with names of undeclared models.
    async def test_undeclared_models_are_refused_and_nothing_is_kept(self) -> None:
        for fleet_load in (None, FleetLoad(now())):
            with self.subTest(knows_fleet_load=fleet_load is not None):
                case = await self.start(route(), [answer("200 OK", b"body", STAMP)])
                services = {SERVICE: Service(SERVICE, engine=ENGINE)}
                case.cluster_state.accept_catalog(Catalog(2, (route(),), services))
                case.fleet_load = fleet_load
                await self.send(case, 10, "first")
                with self.check_kept(case):
                    self.assertEqual(await self.send(case, REQUESTS, "next"), {503})
                self.assertEqual(self.arrivals(), [0])

    # Guards against the same at a plain service, which ignores models, while it is at its limit.
    async def test_models_of_a_plain_service_at_its_limit_are_not_kept(self) -> None:
        limited = answer("200 OK", b"body", STAMP, "Server-Limit: 1")
        case = await self.start(route(), [limited])
        await self.send(case, 10, "first")
        with self.check_kept(case):
            self.assertIn(503, await self.send(case, REQUESTS, "next"))
