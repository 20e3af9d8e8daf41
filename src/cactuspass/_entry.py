"""Builds an entry process from its settings."""

import asyncio
import random
import uuid
from collections.abc import Sequence
from functools import partial

from cactuspass import _clock as clock
from cactuspass._admission import AdmissionSystem
from cactuspass._answer_memory import AnswerMemory
from cactuspass._application import Application
from cactuspass._backlog import BacklogSystem
from cactuspass._burn import BurnTracker, Objective
from cactuspass._caller_memory import CallerBounds, CallerMemory
from cactuspass._caller_reports import CallerReports
from cactuspass._caller_requests import RequestDefaults, RequestReader
from cactuspass._callers import CallerServer, CallerSettings
from cactuspass._claim_store import ClaimStore, min_call_interval
from cactuspass._core import Core, System
from cactuspass._counters import Counters
from cactuspass._documents import DocumentStore
from cactuspass._entry_callers import EntryCallers
from cactuspass._entry_operators import EntryOperators
from cactuspass._entry_state import EntryState
from cactuspass._etcd import EtcdPlatform
from cactuspass._forecast import Forecast
from cactuspass._forwarding import Forwarding
from cactuspass._gateway import AnswerLimits, Gateway
from cactuspass._groups import GroupSystem
from cactuspass._handover import HandoverSystem
from cactuspass._holding_right import HoldingRightSystem
from cactuspass._http_exchange import UpstreamClient
from cactuspass._in_force import ConfigurationSystem
from cactuspass._instance_list import HttpInstanceList
from cactuspass._keyed_requests import KeyedRequests, is_owner_gone
from cactuspass._logs import StateLog
from cactuspass._membership import MembershipSystem
from cactuspass._memory import MemoryBudget, MemoryLedger
from cactuspass._messages import (
    AlarmChanged,
    HandOverSeat,
    OrderLoad,
    OrderUnload,
    RequestGrant,
    SendGrant,
    UnwatchInstance,
    WatchInstance,
    WritePlacement,
)
from cactuspass._operators import OperatorServer
from cactuspass._peer_messages import Hello
from cactuspass._peer_queries import PeerQueries
from cactuspass._peers import PeerNetwork
from cactuspass._placement import PlacementSystem
from cactuspass._placement_writer import PlacementWriter
from cactuspass._platform_loop import InstanceListLoop, PlatformLoop
from cactuspass._queues import QueueLimits
from cactuspass._requests import SERVICE_PREFIX
from cactuspass._runner import CoreRunner
from cactuspass._seats import SeatSystem
from cactuspass._send_policies import BudgetRetryPolicy, TableDispatchPolicy, TableSendGuard
from cactuspass._state_changes import StateChanges
from cactuspass._tables import LocalRow, Tables
from cactuspass._take_out_committer import TakeOutCommitter
from cactuspass._upstream_events import UpstreamEvents
from cactuspass._views import ViewSources
from cactuspass.models import Incarnation
from cactuspass.settings import Settings

INCARNATION_HEX_DIGITS = 12
DRAIN_NOTICE_DELAY_SECONDS = 1.0
# A body is held as it was received and as it is sent to an upstream or another entry.
BODY_COPIES = 2
DRAIN_POLL_INTERVAL_SECONDS = 0.05


def build_tables(settings: Settings) -> Tables:
    """Return the initial tables of a new process."""
    peers = settings.listeners.advertised_peers or settings.listeners.peers
    local = LocalRow(
        settings.entry_id,
        Incarnation(uuid.uuid4().hex[:INCARNATION_HEX_DIGITS]),
        settings.data_centre,
        str(peers),
    )
    return Tables(
        local,
        settings.kinds_by_id,
        weights_by_customer={customer.id: customer.weight for customer in settings.customers},
        service_models_by_kind={
            service.kind: SERVICE_PREFIX + service.name for service in settings.services
        },
    )


def build_systems(rng: random.Random, limits: QueueLimits | None = None) -> Sequence[System]:
    """Return the systems of the decision layer in the order in which they run."""
    writer = PlacementWriter()
    forecast = Forecast()
    return (
        MembershipSystem(),
        ConfigurationSystem(),
        HoldingRightSystem(),
        HandoverSystem(),
        SeatSystem(writer),
        PlacementSystem(writer),
        GroupSystem(writer),
        writer,
        AdmissionSystem(TableDispatchPolicy(), rng, forecast, limits),
        BacklogSystem(forecast),
    )


class Entry:
    """An entry process: its tables, the core, the I/O components and their life cycle."""

    def __init__(self, settings: Settings, log: StateLog) -> None:
        self.settings = settings
        self.tables = build_tables(settings)
        self._log = log
        self._build_core()
        self._build_platform()
        self._build_request_path()
        self._build_operators()
        self._register_orders()
        self._application = Application(
            (
                self.counters,
                self.memory,
                self.runner,
                self.upstream_events,
                self.network,
                self.instance_list_loop,
                self.platform_loop,
                self.keyed_requests,
                self.operators,
                self.callers,
                self.take_out_committer,
                StateChanges(self.tables, log),
            )
        )

    async def start(self) -> None:
        """Start all components; the listeners are open afterwards."""
        await self._application.start()
        self._log.info(
            "started",
            callers=self.callers.port,
            operators=self.operators.port,
            peers=self.network.port,
        )

    async def drain(self, signalled_at: float | None = None) -> None:
        """Leave the service: report not ready, hand over the seats and finish running requests.

        :param signalled_at: clock value at which the stop was requested; None for now.
        """
        self.tables.local.draining = True
        began = clock.now() if signalled_at is None else signalled_at
        until = began + DRAIN_NOTICE_DELAY_SECONDS + self.settings.limits.drain_seconds
        self._caller_api.begin_stop(until)
        self.network.broadcast_heartbeat()
        self._log.info("draining")
        await asyncio.sleep(DRAIN_NOTICE_DELAY_SECONDS)
        await self._application.drain(max(0.0, until - clock.now()))
        while self.gateway.running_requests and clock.now() < until:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)

    async def stop(self) -> None:
        """Stop all components and close the connection to the platform."""
        await self._application.stop()
        await self.platform.close()
        self._log.info("stopped")

    def _build_core(self) -> None:
        settings = self.settings
        statsd = settings.statsd
        address = None if statsd is None else f"{statsd.host}:{statsd.port}"
        self.counters = Counters(address, "cactuspass" if statsd is None else statsd.prefix)
        rng = random.Random(self.tables.local.incarnation)
        limits = settings.limits
        queues = QueueLimits(limits.queued_requests_per_customer, limits.queued_requests)
        self.runner = CoreRunner(Core(self.tables, build_systems(rng, queues)), clock.now)
        ledger = MemoryLedger(MemoryBudget(limits.node_memory_bytes, limits.stream_memory_bytes))
        self.memory = AnswerMemory(ledger, clock.now, self.counters)

    def _build_platform(self) -> None:
        settings = self.settings
        timeout = settings.platform.timeout_seconds
        self.platform = EtcdPlatform(settings.platform.addresses, timeout)
        self.documents = DocumentStore(self.platform, settings.data_centre, clock.now)
        local, accept = self.tables.local, self.runner.accept
        self.claims = ClaimStore(
            self.platform,
            local.entry_id,
            local.incarnation,
            min_call_interval(settings.platform),
            partial(is_owner_gone, self.tables),
        )
        self.platform_loop = PlatformLoop(
            self.documents, accept, self.claims.set_platform_available, self.counters
        )
        self.take_out_committer = TakeOutCommitter(
            self.tables, self.documents, accept, clock.now, self.counters
        )
        instances = HttpInstanceList(settings.platform.instance_list, timeout)
        self.instance_list_loop = InstanceListLoop(instances, accept, self.counters)

    def _build_request_path(self) -> None:
        settings, tables, accept = self.settings, self.tables, self.runner.accept
        upstreams = UpstreamClient()
        self.upstream_events = UpstreamEvents(upstreams, accept)
        self.gateway = Gateway(
            self.runner,
            upstreams,
            TableSendGuard(tables, clock.now, self.upstream_events.is_open),
            BudgetRetryPolicy(),
            AnswerLimits(settings.limits.stream_memory_bytes),
            self.memory.account_for,
        )
        local = tables.local
        hello = Hello(
            local.entry_id,
            local.incarnation,
            local.data_centre,
            local.address,
            settings.peers.token,
        )
        self.state = EntryState(
            tables,
            clock.now,
            accept,
            self.documents.record_configuration,
            self.platform_loop.poll_soon,
        )
        self.network = PeerNetwork(hello, str(settings.listeners.peers), self.state, accept)
        links = self.network.links_by_entry
        forwarding = Forwarding(self.gateway, links, clock.now, self.memory.account_for)
        self.network.add_receiver(forwarding.receive, forwarding.handle_link_loss)
        self.gateway.set_forwarder(forwarding)
        self.keyed_requests = KeyedRequests(self.claims, self.gateway, self.counters.count)
        self.burn = self._build_burn_tracker()
        self._caller_api = EntryCallers(
            self.gateway, self.keyed_requests, tables, self.burn, self.counters
        )
        self.callers = CallerServer(
            self._caller_settings(),
            self._caller_api,
            self._request_reader(),
            CallerMemory(self._caller_bounds()),
            CallerReports(self.counters, self._log).report,
        )

    def _build_burn_tracker(self) -> BurnTracker:
        objectives = (
            Objective(
                item.customer,
                item.model,
                item.first_token_seconds,
                item.share,
                item.window_seconds,
            )
            for item in self.settings.objectives
        )
        return BurnTracker(tuple(objectives))

    def _caller_settings(self) -> CallerSettings:
        settings = self.settings
        return CallerSettings(
            str(settings.listeners.callers),
            {customer.api_key: customer.id for customer in settings.customers},
            settings.limits.body_bytes,
            settings.limits.header_bytes,
        )

    def _caller_bounds(self) -> CallerBounds:
        limits = self.settings.limits
        return CallerBounds(
            limits.caller_memory_bytes,
            limits.caller_connections,
            limits.caller_stall_seconds,
            limits.caller_min_bytes_per_second,
            BODY_COPIES,
        )

    def _request_reader(self) -> RequestReader:
        limits = self.settings.limits
        defaults = RequestDefaults(limits.default_deadline_seconds, limits.max_deadline_seconds)
        priorities = {customer.id: customer.priority for customer in self.settings.customers}
        return RequestReader(defaults, clock.now, priorities)

    def _build_operators(self) -> None:
        tables = self.tables
        sources = ViewSources(
            tables, clock.now, self.memory.ledger.held_bytes_by_customer, self.counters.values
        )
        api = EntryOperators(
            sources, self.documents, self.network, self.platform_loop, self.runner, self.burn
        )
        queries = PeerQueries(
            self.network.links_by_entry, api.local_rows, lambda: list(self.state.peer_addresses())
        )
        api.set_peer_queries(queries)
        self.network.add_receiver(queries.receive, queries.handle_link_loss)
        listen = str(self.settings.listeners.operators)
        self.operators = OperatorServer(listen, self.settings.operators.token, api)

    def _register_orders(self) -> None:
        handlers = {
            RequestGrant: self.network.request_grant,
            SendGrant: self.network.send_grant,
            HandOverSeat: self.network.hand_over_seat,
            WritePlacement: self.platform_loop.write_placement,
            WatchInstance: self.upstream_events.watch,
            UnwatchInstance: self.upstream_events.unwatch,
            OrderLoad: self.upstream_events.load,
            OrderUnload: self.upstream_events.unload,
            AlarmChanged: self._log_alarm,
        }
        for order_type, handler in handlers.items():
            self.runner.register(order_type, handler)  # type: ignore[arg-type]

    def _log_alarm(self, order: AlarmChanged) -> None:
        state = "raised" if order.raised else "cleared"
        self.counters.count(f"alarms.{order.kind.value}.{state}")
        self._log.warning(
            f"alarm {state}", alarm=order.kind.value, subject=order.subject, detail=order.detail
        )
