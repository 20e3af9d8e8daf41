"""A store that comes back from an older copy and gives its revisions and leases out again."""

import asyncio
import json
import time
import unittest
from unittest import mock

from cactuspass._platform import LeaseId, Write
from cactuspass._revisions import NUMBER_BITS, era_of, make_revision, number_of
from cactuspass.exceptions import OutcomeUnknown, PlatformUnavailable
from cactuspass.fleet import (
    ConnectionPool,
    HistoryLost,
    LeaseEnded,
    Metrics,
    _cluster_state,
    _presence,
    _registration,
)
from cactuspass.fleet._catalog import Catalog
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._presence import Presence, Term
from cactuspass.fleet._sync import LAPSED_GRACE_SECONDS, OperatorSync, UpstreamSync
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from cactuspass.models import EntryId
from cactuspass.platform._directory import MetadataDirectory
from cactuspass.platform._store import LEASE_BITS, MetadataStore, _lease_era, _lease_number
from tests.fleet_path import recording_log
from tests.metadata_store import MetadataStoreStandIn
from tests.test_fleet_instance import MANIFEST, SERVICE, InstanceCase, until
from tests.test_fleet_presence import MemoryStore, clock
from tests.virtual_time import virtual_time

A = UpstreamId("a")


def entry(state: str = "ready", seq: int = 1, address: str = "127.0.0.1:1") -> dict[str, object]:
    """Return the registry entry of a server."""
    return {
        "service": SERVICE,
        "address": address,
        "zone": "here",
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_ms": 0,
        "seq": seq,
        "born": 1,
    }


class RestoredStoreCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with the stand-in of the store."""

    async def asyncSetUp(self) -> None:
        self.standin = MetadataStoreStandIn()
        self.standin.era = "4"
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.store = MetadataStore(self.standin.address, ConnectionPool(), Metrics())
        self.addAsyncCleanup(self.store.close)


class RevisionTest(unittest.TestCase):
    """Revisions and epochs of several eras."""

    def test_revision_of_a_later_era_is_higher(self) -> None:
        self.assertGreater(make_revision(2, 0), make_revision(1, 5_000))
        self.assertEqual(era_of(make_revision(3, 7)), 3)
        self.assertEqual(number_of(make_revision(3, 7)), 7)
        self.assertEqual(make_revision(0, 7), 7)

    def test_numbers_that_do_not_fit_are_refused(self) -> None:
        for era, number in ((0, -1), (-1, 0), (0, 1 << NUMBER_BITS)):
            with self.subTest(era=era, number=number), self.assertRaises(ValueError):
                make_revision(era, number)

    # Guards against groups whose hosts reject their epoch, since a restored store counts lower.
    def test_epochs_of_a_term_after_a_restore_are_above_those_before_it(self) -> None:
        before = Term(make_revision(1, 80_000)).first_epoch
        after = Term(make_revision(2, 200)).first_epoch
        self.assertGreater(after, before + 10_000)
        self.assertLess(after, 2**53)


class StoreTest(RestoredStoreCase):
    """The client of the store."""

    # Guards against a registry that no instance believes until the count has passed where it was.
    async def test_revisions_rise_when_the_numbers_go_back(self) -> None:
        await self.standin.put("servers/a", entry())
        older = self.standin.copy()
        for _ in range(20):
            await self.standin.put("servers/a", entry())
        before = await self.store.read_prefix("servers/")
        self.standin.restore(older)
        after = await self.store.read_prefix("servers/")
        self.assertGreater(after.revision, before.revision)
        found = after.values_by_key["servers/a"].mod_revision
        self.assertGreater(found, before.values_by_key["servers/a"].mod_revision)

    async def test_watch_from_before_a_restore_ends(self) -> None:
        older = self.standin.copy()
        for _ in range(3):
            await self.standin.put("servers/a", entry())
        seen = (await self.store.read_prefix("servers/")).revision
        for known in (False, True):
            with self.subTest(number_exists_again=known):
                self.standin.restore(older)
                for _ in range(5 * known):
                    await self.standin.put("servers/b", entry())
                with self.assertRaises(HistoryLost):
                    await self.store.watch("servers/", seen, 0.2)

    # Guards against a write that replaces another's value, whose revision was given out again.
    async def test_write_that_expects_a_revision_from_before_a_restore_is_not_made(self) -> None:
        for knows_era in (False, True):
            with self.subTest(knows_era=knows_era):
                older = self.standin.copy()
                await self.standin.put("cactuspass/leader", "mine")
                read = await self.store.read(["cactuspass/leader"])
                expected = read.values_by_key["cactuspass/leader"].mod_revision
                self.standin.restore(older)
                await self.standin.put("cactuspass/leader", "another's")
                if knows_era:
                    await self.store.read_prefix("op/")
                write = Write("cactuspass/leader", b"new", expected)
                if not knows_era:
                    with self.assertRaises(OutcomeUnknown):
                        await self.store.write([write])
                    continue
                result = await self.store.write([write])
                self.assertFalse(result.accepted)
                current = result.current.values_by_key["cactuspass/leader"]
                self.assertEqual(json.loads(current.value or b""), "another's")
                again = Write("cactuspass/leader", b"new", current.mod_revision)
                self.assertTrue((await self.store.write([again])).accepted)

    async def test_lease_from_before_a_restore_has_ended(self) -> None:
        older = self.standin.copy()
        mine = await self.store.grant_lease(60)
        self.standin.restore(older)
        other = MetadataStore(self.standin.address, ConnectionPool(), Metrics())
        self.addAsyncCleanup(other.close)
        await other.grant_lease(60)
        self.assertEqual(await self.store.keep_lease_alive(mine), 0.0)
        with self.assertRaises(LeaseEnded):
            await self.store.write([Write("cactuspass/x", b"1", 0, mine)])
        await self.store.revoke_lease(mine)
        again = await self.store.grant_lease(60)
        self.assertGreater(await self.store.keep_lease_alive(again), 0.0)
        self.assertTrue((await self.store.write([Write("cactuspass/x", b"1", 0, again)])).accepted)

    async def test_response_from_before_a_restore_is_not_used(self) -> None:
        await self.store.read_prefix("op/")
        self.standin.era = "3"
        with self.assertRaises(PlatformUnavailable):
            await self.store.read_prefix("op/")
        with self.assertRaises(OutcomeUnknown):
            await self.store.write([Write("cactuspass/x", b"1", 0)])

    async def test_response_without_a_readable_era_is_of_the_last_known_one(self) -> None:
        era = era_of((await self.store.read_prefix("op/")).revision)
        for text in (None, "", "later", "-1", "1e3", "9" * 40, "\u00b2"):
            with self.subTest(text=text):
                self.standin.era = text
                self.assertEqual(era_of((await self.store.read_prefix("op/")).revision), era)

    async def test_listing_with_pages_of_two_eras_is_not_used(self) -> None:
        for number in range(7):
            await self.standin.put(f"servers/{number}", entry())
        exchange = self.store._exchange
        calls = 0

        async def restore_between(*args: object) -> object:
            nonlocal calls
            calls += 1
            if calls == 2:
                self.standin.restore(self.standin.copy())
            return await exchange(*args)  # type: ignore[arg-type]

        with (
            mock.patch.object(self.store, "_exchange", restore_between),
            self.assertRaises(PlatformUnavailable),
        ):
            await self.store.read_prefix("servers/")

    def test_lease_has_its_number_and_era_apart(self) -> None:
        for era, number in ((0, 7), (3, 7), (3, (1 << LEASE_BITS) - 1)):
            lease = LeaseId(era << LEASE_BITS | number)
            self.assertEqual((_lease_era(lease), _lease_number(lease)), (era, number))


class DirectoryTest(RestoredStoreCase):
    """Documents and entries whose revision was given out again."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.directory = MetadataDirectory(self.store)

    # Guards against a confirmed change that is never read, since it has the number of a lost one.
    async def test_documents_with_a_number_that_was_given_out_again_are_read(self) -> None:
        older = self.standin.copy()
        await self.standin.put("op/config", {**MANIFEST, "version": 5})
        await self.standin.put("servers/a", entry(address="127.0.0.1:5"))
        await self.directory.read_operators()
        await self.directory.read_upstreams()
        self.standin.restore(older)
        await self.standin.put("op/config", {**MANIFEST, "version": 9})
        await self.standin.put("servers/a", entry(address="127.0.0.1:9"))
        documents = await self.directory.read_operators()
        assert documents.catalog is not None
        self.assertEqual(documents.catalog.version, 9)
        listing = await self.directory.read_upstreams()
        self.assertEqual([u.address for u in listing.upstreams], ["127.0.0.1:9"])

    # Guards against an instance that refuses each listing and change after a restore.
    async def test_registry_after_a_restore_is_believed(self) -> None:
        await self.standin.put("servers/a", entry())
        older = self.standin.copy()
        for number in range(10):
            await self.standin.put(f"servers/lost-{number}", entry())
        log, handler = recording_log()
        cluster_state = ClusterState(log)
        sync = UpstreamSync(self.directory, cluster_state, log)
        await sync._read_all()
        self.standin.restore(older)
        await self.standin.put("servers/new", entry())
        await sync._read_all()
        self.assertIn("new", cluster_state.view.upstreams_by_id)
        self.assertFalse([line for line in handler.lines if "upstreams-older" in line])


class RegistryTest(RestoredStoreCase):
    """What instances believe of upstreams while a restored store lists older states of them."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.at = 1000.0
        for module in ("_sync", "_cluster_state"):
            patch = mock.patch(f"cactuspass.fleet.{module}.now", lambda: self.at)
            patch.start()
            self.addCleanup(patch.stop)
        log, self.handler = recording_log()
        self.cluster_state = ClusterState(log)
        self.sync = UpstreamSync(MetadataDirectory(self.store), self.cluster_state, log)

    async def read(self) -> dict[UpstreamId, Upstream]:
        """List the registry, and return the upstreams that the instance believes in."""
        await self.sync._read_all()
        return dict(self.cluster_state.view.upstreams_by_id)

    # Guards against new work for an upstream that leaves, since the copy lists it as ready.
    async def test_upstream_that_leaves_is_not_ready_again(self) -> None:
        await self.standin.put("servers/a", entry(seq=3))
        older = self.standin.copy()
        await self.standin.put("servers/a", entry("draining", seq=7))
        self.assertTrue((await self.read())[A].draining)
        self.standin.restore(older)
        self.assertTrue((await self.read())[A].draining)
        await self.standin.put("servers/a", entry("draining", seq=9))
        self.assertTrue((await self.read())[A].draining)

    async def test_state_that_stays_listed_applies_in_the_end(self) -> None:
        await self.standin.put("servers/a", entry(seq=3))
        older = self.standin.copy()
        await self.standin.put("servers/a", entry("draining", seq=7))
        await self.read()
        self.standin.restore(older)
        await self.read()
        self.at += _cluster_state.RESTORE_GRACE_SECONDS
        self.assertFalse((await self.read())[A].draining)

    # Guards against new work for an upstream that is gone, since the copy still lists it.
    async def test_upstream_that_is_gone_comes_back_only_when_it_writes_again(self) -> None:
        await self.standin.put("servers/a", entry(seq=3))
        await self.standin.put("servers/b", entry(seq=3, address="127.0.0.1:2"))
        older = self.standin.copy()
        await self.read()
        await self.standin.delete("servers/a")
        self.at += 1.0
        self.assertNotIn(A, await self.read())
        self.at += 1.0
        self.standin.restore(older)
        self.assertNotIn(A, await self.read())
        await self.standin.put("servers/a", entry(seq=4))
        self.assertIn(A, await self.read())

    # Guards against upstreams that are dropped at once because they registered after the copy.
    async def test_upstream_that_the_copy_lacks_is_kept_for_the_time_to_write_again(
        self,
    ) -> None:
        await self.standin.put("servers/b", entry(address="127.0.0.1:2"))
        older = self.standin.copy()
        await self.standin.put("servers/a", entry())
        await self.read()
        self.standin.restore(older)
        self.assertIn(A, await self.read())
        self.at += LAPSED_GRACE_SECONDS - 0.1
        self.assertIn(A, await self.read())
        self.at += 0.2
        self.assertNotIn(A, await self.read())

    async def test_new_run_of_an_upstream_applies_at_once(self) -> None:
        await self.standin.put("servers/a", entry("draining", seq=7))
        older = self.standin.copy()
        await self.read()
        self.standin.restore(older)
        await self.read()
        await self.standin.put("servers/a", {**entry(seq=1), "born": 2})
        self.assertFalse((await self.read())[A].draining)

    async def test_restore_is_logged_once(self) -> None:
        older = self.standin.copy()
        for _ in range(2):
            await self.read()
        self.standin.restore(older)
        for _ in range(2):
            await self.read()
        lines = [json.loads(line) for line in self.handler.lines]
        restored = [line for line in lines if line["event"] == "store-restored"]
        self.assertEqual([(line["era"], line["before"]) for line in restored], [(5, 4)])


class EvacuationTest(RestoredStoreCase):
    """Evacuated data centres that a restored store lacks."""

    # Guards against new work for a data centre that operators have taken out, after a restore.
    async def test_evacuation_that_the_copy_lacks_stays_until_it_can_be_ordered_again(self) -> None:
        at = 1000.0
        log, _ = recording_log()
        cluster_state = ClusterState(log)
        sync = OperatorSync(MetadataDirectory(self.store), cluster_state, log)
        with mock.patch("cactuspass.fleet._cluster_state.now", lambda: at):
            older = self.standin.copy()
            await self.standin.put("op/evacuate/here", {})
            await sync._read(at)
            self.standin.restore(older)
            await sync._read(at)
            self.assertEqual(cluster_state.evacuations.data_centres, {"here"})
            await self.standin.put("op/evacuate/there", {})
            await sync._read(at)
            self.assertEqual(cluster_state.evacuations.data_centres, {"here", "there"})
            at += _cluster_state.RESTORE_GRACE_SECONDS
            await sync._read(at)
            self.assertEqual(cluster_state.evacuations.data_centres, {"there"})


class InstanceRestoreTest(InstanceCase):
    """Two instances whose registrations, leader and groups a restored store lacks."""

    def registered(self) -> set[str]:
        """Return the keys of the instances in the store."""
        prefix = "cactuspass/instances/"
        found = self.store.read(prefix, prefix + "\x7f")
        return {pair.key.decode().removeprefix(prefix) for pair in found}

    # Guards against instances that nobody knows for seconds, so that shares of limits are wrong.
    async def test_instances_register_again_soon_and_one_leads(self) -> None:
        # No renewal in the usual interval hides that of the restore.
        patch = mock.patch.object(_registration, "RENEW_SECONDS", 60.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.store.era = "1"
        empty = self.store.copy()
        instances = [await self.start_instance(f"e{number}") for number in range(2)]
        await until(lambda: all(len(instance.serving_groups()) == 2 for instance in instances))
        terms = [i._presence.term for i in instances if i._presence.term is not None]
        self.store.restore(empty)
        began = time.monotonic()
        await until(lambda: self.registered() == {"e0", "e1"})
        self.assertLess(time.monotonic() - began, 3.0)
        for server in self.servers:
            await server.register()
        await self.store.put("op/config", MANIFEST)
        await until(
            lambda: any(
                instance._presence.term is not None
                and instance._presence.term.first_epoch > terms[0].first_epoch
                for instance in instances
            )
        )
        for instance in instances:
            self.assertEqual((await self.send_request(instance)).code, 200)


class LeadershipTest(unittest.TestCase):
    """Who leads after the leader's lease has been lost with a restore."""

    # Guards against two leaders, since the first one counts on a lease that the store has lost.
    @virtual_time
    async def test_nobody_else_leads_before_the_lost_lease_would_have_ended(self) -> None:
        with (
            mock.patch.object(_presence, "now", clock),
            mock.patch.object(_cluster_state, "now", clock),
        ):
            store = MemoryStore()
            instances, states = [], []
            for number in range(2):
                log, _ = recording_log()
                states.append(ClusterState(log))
                states[number].accept_catalog(Catalog(1))
                states[number].note_era(1)
                name = EntryId(f"e{number}")
                instances.append(Presence(store, name, states[number], log))
                await instances[number].start()
                await asyncio.sleep(1.0)
            self.assertIsNotNone(instances[0].term)
            await instances[0].stop()
            store.keys.clear()
            instances[1]._keys.clear()  # as listed after the restore
            states[1].note_era(2)
            until = clock() + _presence.LEASE_SECONDS
            while clock() < until:
                self.assertIsNone(instances[1].term)
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)
            self.assertIsNotNone(instances[1].term)
            await instances[1].stop()
