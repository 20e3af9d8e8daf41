"""An instance: connects the parts that serve callers and runs them in one process."""

import asyncio
import random
import signal
from collections import Counter

from cactuspass._application import Application
from cactuspass._caller_boundary import CallerRemoval
from cactuspass._clock import now
from cactuspass._component import Component
from cactuspass._stop_signal import SignalTime, StopSignal
from cactuspass.exceptions import SettingsError
from cactuspass.fleet._adapter import Adapter
from cactuspass.fleet._admission import Admission
from cactuspass.fleet._caller_bounds import HeldByCallers
from cactuspass.fleet._caller_listener import CallerListener
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._controller import Controller
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._dispatch import Dispatcher, RequestActivity
from cactuspass.fleet._duty_parts import create_autoscaler, create_duties
from cactuspass.fleet._exchanged_loads import create_load_exchange, create_meter
from cactuspass.fleet._feed_follower import FeedFollower
from cactuspass.fleet._feed_source import MAX_AGE_SHARE_OF_PROPAGATION, FeedSource
from cactuspass.fleet._hints import Hints
from cactuspass.fleet._limit_rows import LIMITS_PATH
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._pages import PageServer
from cactuspass.fleet._pool import ConnectionPool
from cactuspass.fleet._presence import Presence
from cactuspass.fleet._probes import Probes
from cactuspass.fleet._request_dependencies import RequestDependencies
from cactuspass.fleet._retry_budgets import RetryBudgets
from cactuspass.fleet._selection import Selector
from cactuspass.fleet._settings import InstanceSettings, load_instance_settings
from cactuspass.fleet._state_metrics import update_cluster_metrics, update_held_metrics
from cactuspass.fleet._stop_bounds import StopBounds
from cactuspass.fleet._store_retries import StoreRetries
from cactuspass.fleet._sync import OperatorSync, UpstreamSync
from cactuspass.fleet._upstream_limits import UpstreamLimits
from cactuspass.fleet._upstream_notices import UpstreamNotices
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.choice import RoomReport
from cactuspass.fleet.duties import DUTIES_PATH, UsageDatagram
from cactuspass.fleet.load_exchange import LOAD_PATH, FleetLoad
from cactuspass.fleet.prompt_parts import PARTS_PATH, BlockStore, PartGuard, blocks_page
from cactuspass.models import CustomerId, DataCentreId, EntryId, GroupId

MAX_READY_DOCUMENT_AGE_SECONDS = 3.0
# Time for the store to end the leases, when a stop is handled after its notice.
MIN_LEASE_END_SECONDS = 0.5
HOUSEKEEPING_INTERVAL_SECONDS = 5.0


class Instance(Component):
    """Accepts callers' requests and sends them to upstreams.

    :param pool: connections to upstreams for callers' requests.
    :param settings_path: file that is read again on SIGHUP; None disables this.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        adapter: Adapter,
        log: DecisionLog,
        metrics: Metrics,
        pool: ConnectionPool,
        settings_path: str | None = None,
    ) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._log = log
        self._metrics = metrics
        self._pool = pool
        self._stopping = False
        self._logged_store_calls: Counter[str] = Counter()
        rng = random.Random()
        data_centre = DataCentreId(settings.instance.data_centre)
        self.cluster_state = ClusterState(log, len(settings.instance.data_centres))
        self._loads = LoadTable()
        self._request_activity = RequestActivity()
        bounds = settings.bounds
        self._retry_budgets = RetryBudgets(bounds, lambda: self.cluster_state.instance_count)
        entry_id = EntryId(settings.instance.name)
        self._upstream_limits = UpstreamLimits(
            self.cluster_state,
            entry_id,
            log,
            metrics,
            rng,
            lambda message: self._hints.send_limit(message),
            lambda address, message: self._hints.send_limit_message(address, message),
        )
        selector = Selector(
            self.cluster_state,
            self._loads,
            data_centre,
            rng,
            bounds.cold_factor,
            bounds.cold_slack,
            entry_id,
            pool.has_idle,
            self._upstream_limits.limits,
            self._fleet_load,
        )
        self._notices = UpstreamNotices(
            self.cluster_state,
            selector.backoff,
            self._upstream_limits.notices,
            pool,
            log,
            metrics,
            lambda lifetime: self._hints.send_leaving(lifetime),
            lambda: self._controller.wake(),
        )
        self._backoff = selector.backoff
        self._room_report = RoomReport(selector.room_choice, log, metrics)
        self._part_guard = PartGuard(
            entry_id,
            self.cluster_state,
            log,
            metrics,
            lambda message: self._hints.send_part_message(message),
            lambda block: self._block_store.write_later(block),
            is_gone=self._is_gone,
        )
        self._block_store = BlockStore(
            adapter.store,
            lambda block: self._part_guard.merge(block, "store"),
            log,
            lambda: self.cluster_state.blocks.snapshot,
            lambda: self._presence.term is not None,
        )
        meter = create_meter(self.cluster_state)
        self._load_exchange = create_load_exchange(
            settings,
            self.cluster_state,
            self._loads,
            meter,
            lambda address, datagram: self._hints.send_datagram(address, datagram),
            log,
            metrics,
            rng,
        )
        has_duties = settings.duties is not None and adapter.duties is not None
        self._held_by_callers = HeldByCallers(settings)
        dependencies = RequestDependencies(
            adapter.request_format,
            selector,
            self._loads,
            pool,
            log,
            metrics,
            self._retry_budgets.find,
            lambda: self.cluster_state.instance_count,
            self._report_unresponsive,
            self._notices,
            self._part_guard,
            self._upstream_limits.waits,
            self._count_begun if has_duties else None,
            meter=meter,
            answer_buffers=self._held_by_callers.answer_buffers,
        )
        self._silences = dependencies.silences
        admission = Admission(self.cluster_state, bounds.key_seconds, bounds.propagation_seconds)
        dispatcher = Dispatcher(
            dependencies, self.cluster_state, admission, rng, self._request_activity
        )
        self._caller_listener = CallerListener(
            settings.listeners.callers,
            dispatcher,
            adapter.request_format,
            metrics,
            self._must_close_connections,
            self._log_request_failure,
            self.cluster_state.caller_limits,
            self._held_by_callers.memory,
            self._report_removal,
        )
        self._pages = [PageServer(settings.listeners.readiness, self.readiness)]
        if settings.listeners.metrics is not None:
            further = {PARTS_PATH: self.parts_page, LIMITS_PATH: self.limits_page}
            if self._load_exchange is not None:
                further[LOAD_PATH] = self._load_exchange.page
            if has_duties:
                further[DUTIES_PATH] = self.duties_page
            self._pages.append(PageServer(settings.listeners.metrics, self.metrics_page, further))
        self._probes = probes = Probes(
            self.cluster_state, adapter.control, log, self._upstream_limits.notices.apply_report
        )
        probes.set_recheck_callback(lambda: self._controller.wake())
        peers = settings.listeners.peers
        self._hints = Hints(
            peers,
            lambda: self.cluster_state.peer_addresses,
            self._on_unresponsive_hint,
            log,
            self._notices.apply_leaving_hint,
            self._part_guard.receive,
            self._upstream_limits.receive,
            self._receive_load_datagram,
            self._receive_usage_message if has_duties else None,
        )
        max_age = MAX_AGE_SHARE_OF_PROPAGATION * bounds.propagation_seconds
        self._feed = FeedFollower(
            entry_id,
            data_centre,
            self.cluster_state,
            self._must_read_store,
            lambda: self._controller.wake(),
            log,
            self._notices.apply_leaving_hint,
            max_age,
            lambda block: self._part_guard.merge(block, "feed"),
            lambda: self._presence.has_listed_keys,
        )
        source = FeedSource(peers, self.cluster_state, log, max_age)
        retries = StoreRetries(entry_id, self.cluster_state)
        self._presence = Presence(
            adapter.store,
            entry_id,
            self.cluster_state,
            log,
            lambda: self._controller.wake(),
            data_centre,
            peers,
            self._uses_feed,
            self._block_store.accept_keys,
            retries.pause,
        )
        self._controller = Controller(
            self.cluster_state,
            self._presence,
            adapter.control,
            probes,
            log,
            metrics,
            self._request_activity,
            self._fleet_load,
        )
        self._duties = create_duties(
            settings,
            adapter,
            self.cluster_state,
            self._presence,
            self._hints.send_usage_message,
            log,
            metrics,
        )
        autoscaler = create_autoscaler(
            self._duties,
            self.cluster_state,
            self._presence,
            self._controller,
            self._fleet_load,
            log,
            metrics,
        )
        self._application = Application(
            (
                source,
                OperatorSync(
                    adapter.directory,
                    self.cluster_state,
                    log,
                    self._uses_feed,
                    retries.pause,
                    self._feed.record_own_read,
                    self._feed.catch_up,
                ),
                UpstreamSync(
                    adapter.directory,
                    self.cluster_state,
                    log,
                    self._controller.wake,
                    lambda: self._presence.term is not None,
                    self._uses_feed,
                    retries.pause,
                ),
                self._feed,
                self._hints,
                self._presence,
                self._block_store,
                probes,
                self._controller,
                *filter(None, (self._load_exchange, self._duties, autoscaler)),
            )
        )

    def _receive_load_datagram(self, datagram: bytes, address: str) -> None:
        if self._load_exchange is not None:
            self._load_exchange.receive(datagram, address)

    def _fleet_load(self) -> FleetLoad | None:
        """Return the load that instances have exchanged; None while nothing recent is known."""
        return self._load_exchange.latest if self._load_exchange is not None else None

    async def start(self) -> None:
        """Start all components, then listen for callers, whom a failed start would leave."""
        for page in self._pages:
            page.open()
        await self._application.start()
        self._caller_listener.open()
        self._log.lifecycle(
            "started",
            data_centre=self._settings.instance.data_centre,
            callers=self._settings.listeners.callers,
            store=self._settings.store.address,
        )

    async def drain(self, signal_time: SignalTime | None = None) -> None:
        """Report not ready, give up leadership and wait for running requests to finish.

        Open connections stay usable until the load balancer has noticed that the instance is not
        ready. Idle connections are then closed. A request that may not be finished in the rest of
        the grace time is refused at once.

        :param signal_time: when the stop was requested; None for now.
        """
        self._stopping = True
        signal_time = signal_time or SignalTime(now(), now())
        bounds = StopBounds.of(signal_time, self._settings.bounds.grace_seconds)
        self._caller_listener.begin_stop(
            bounds.earliest_notice_end, bounds.ends_at, signal_time.received
        )
        self._log_connections(
            "stopping",
            since_signal=now() - signal_time.received,
            signal_uncertainty=signal_time.received - signal_time.earliest,
        )
        await self._give_up_leadership(bounds.notice_end)
        await asyncio.sleep(max(0.0, bounds.notice_end - now()))
        self._log_connections("callers-draining")
        self._caller_listener.drain()
        await self._caller_listener.wait_until_drained(bounds.ends_at)
        self._log_connections("callers-drained", waited=now() - signal_time.received)
        await self._caller_listener.end_requests()

    async def _give_up_leadership(self, until: float) -> None:
        """End the leases in the store, which callers' requests must not depend on.

        :param until: clock value at which to leave the leases to end by themselves.
        """
        try:
            async with asyncio.timeout(max(MIN_LEASE_END_SECONDS, until - now())):
                await self._presence.drain()
        except TimeoutError:
            self._log.lifecycle("lease-not-ended", reason="the store has not answered in time")
        except Exception as error:
            self._log.alarm("lease-not-ended", reason=f"{type(error).__name__}: {error}")

    async def stop(self) -> None:
        """Close the connections to callers, then stop what their requests use."""
        left = self._caller_listener.connection_counts()
        await self._caller_listener.close()
        try:
            await self._application.stop()
        except ExceptionGroup as group:
            for error in group.exceptions:
                self._log.alarm("stop-failed", error=f"{type(error).__name__}: {error}")
        for page in self._pages:
            page.close()
        self._pool.close()
        self._log.lifecycle("stopped", **left.log_fields())

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT; on SIGHUP, read the settings again."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        with StopSignal() as stop_signal:
            await self.start()
            while not stop_signal.is_received:
                try:
                    async with asyncio.timeout(HOUSEKEEPING_INTERVAL_SECONDS):
                        await stop_signal.wait()
                except TimeoutError:
                    self._remove_expired()
            await self.drain(await stop_signal.wait())
            await self.stop()

    def _remove_expired(self) -> None:
        """Remove the state of what has not been used for long, and log the calls to the store."""
        self._silences.remove_unused()
        self._loads.remove_idle(now())
        self._backoff.remove_expired(now())
        self._upstream_limits.remove_expired()
        self._room_report.log_changes()
        self._log_store_calls()

    def reload(self) -> None:
        """Read the settings again and log whether they are valid and have changed.

        Changes take effect only at the next start.
        """
        if self._settings_path is None:
            return
        try:
            changed = load_instance_settings(self._settings_path) != self._settings
        except SettingsError as error:
            self._log.alarm("settings-unreadable", reason=error)
            return
        self._log.lifecycle("settings-read", changed=changed)

    def _log_store_calls(self) -> None:
        """Log the calls to the store since the last such line, by kind."""
        counts = self._metrics.store_calls_by_kind()
        made = counts - self._logged_store_calls
        self._logged_store_calls = counts
        if made:
            self._log.lifecycle("store-calls", follows=self._uses_feed(), **made)

    def _log_connections(self, event: str, **fields: float) -> None:
        """Log a step of the shutdown with the state of the callers' connections."""
        counts = self._caller_listener.connection_counts()
        self._log.lifecycle(event, **counts.log_fields(), **fields)

    def _uses_feed(self) -> bool:
        """Return whether another instance supplies the contents of the store, or soon will."""
        return self._feed.is_expected

    def _must_read_store(self) -> bool:
        """Return whether this instance must read the store itself: it leads, or it is stopping."""
        return self._stopping or self._presence.term is not None

    def _must_close_connections(self) -> bool:
        """Return whether callers' connections are closed after the current response.

        Callers then open their next connection at another instance.
        """
        return self._stopping or not self._has_fresh_documents()

    def _has_fresh_documents(self) -> bool:
        """Return whether the operators' documents were read recently enough to be ready."""
        return self.cluster_state.operators_age() < MAX_READY_DOCUMENT_AGE_SECONDS

    @property
    def caller_address(self) -> tuple[str, int]:
        """Host and port on which the instance listens for callers."""
        return self._caller_listener.bound_address

    def serving_groups(self) -> list[GroupId]:
        """Return the ids of the groups that serve requests, by this instance's cluster state."""
        groups = self.cluster_state.view.groups_by_key.values()
        return [group.key.group_id for group in groups if group.serves]

    def readiness(self) -> tuple[int, bytes]:
        """Return the status and body of the readiness page, which the load balancer polls."""
        if self._stopping:
            return 503, b"stopping\n"
        if self.cluster_state.catalog_index is None or not self.cluster_state.view.upstreams_by_id:
            return 503, b"starting\n"
        if not self._has_fresh_documents():
            return 503, b"cut off from the store\n"
        if not self._presence.has_listed_keys and not self._feed.is_active:
            return 503, b"reading the keys of the instances\n"
        return 200, b"ready\n"

    def parts_page(self) -> tuple[int, bytes]:
        """Return the status and body of the page with the blocked parts of prompts."""
        return 200, blocks_page(self.cluster_state.blocks.active)

    def limits_page(self) -> tuple[int, bytes]:
        """Return the status and body of the page with the limits that upstreams state."""
        return self._upstream_limits.page()

    def duties_page(self) -> tuple[int, bytes]:
        """Return the status and body of the page with the duties of one instance at a time."""
        return self._duties.page() if self._duties is not None else (404, b"no duties\n")

    def metrics_page(self) -> tuple[int, bytes]:
        """Return the status and body of the metrics page."""
        update_cluster_metrics(self._metrics, self.cluster_state)
        update_held_metrics(self._metrics, self._held_by_callers)
        self._metrics.connections_opened.set(self._pool.opened_count)
        self._metrics.lines_dropped.set(self._log.dropped)
        self._retry_budgets.update_metrics(self._metrics)
        self._upstream_limits.update_metrics()
        if self._load_exchange is not None:
            self._load_exchange.update_metrics()
        self._room_report.update_metrics()
        return 200, self._metrics.render()

    async def _is_gone(self, lifetime: Lifetime) -> bool:
        """Return whether an upstream accepts no connections any more, or runs anew."""
        listed = self.cluster_state.registered_by_id.get(lifetime.upstream_id)
        is_listed = listed is not None and listed.lifetime == lifetime
        return not (listed and is_listed and await self._pool.is_reachable(listed.address))

    def _count_begun(self, customer: CustomerId) -> None:
        if self._duties is not None:
            self._duties.count_begun(customer)

    def _receive_usage_message(self, message: UsageDatagram, host: str) -> None:
        if self._duties is not None:
            self._duties.receive(message, host)

    def _report_removal(self, removal: CallerRemoval) -> None:
        """Count and log a caller that has lost its place."""
        self._metrics.removed_callers.labels(removal.limit.value, removal.outcome).inc()
        self._log.caller(removal.event, **removal.log_fields())

    def _report_unresponsive(self, upstream_id: UpstreamId) -> None:
        self._hints.send_unresponsive(upstream_id)
        self._probes.probe_group_now(upstream_id)

    def _on_unresponsive_hint(self, upstream_id: UpstreamId) -> None:
        if self._loads.suspect_by_hint(upstream_id, now()):
            self._log.state_change("upstream-doubted", upstream=upstream_id, by="hint")
            self._probes.probe_group_now(upstream_id)

    def _log_request_failure(self, error: BaseException) -> None:
        self._log.alarm("request-task-failed", error=f"{type(error).__name__}: {error}")
