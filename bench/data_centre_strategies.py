"""Strategies for serving while a data centre is out: the product's, and a plain balancer's."""

import random
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import replace

from bench.data_centre_world import (
    ENTRIES,
    ENTRIES_PER_DATA_CENTRE,
    GROUPS,
    KIND,
    MAX_TRIES,
    OUT_DATA_CENTRE,
    SLOTS,
    Call,
    DataCentreWorld,
    Move,
)
from bench.upstream_pool import REPORT_SECONDS, hold_group, make_tables, record_report
from cactuspass._admission import AdmissionSystem
from cactuspass._confirmation import is_confirmed
from cactuspass._dispatch_policy import DispatchPolicy
from cactuspass._forecast import Forecast
from cactuspass._messages import (
    Dispatch,
    Forward,
    HeartbeatReceived,
    Input,
    Refuse,
    RequestArrived,
    RequestFinished,
)
from cactuspass._retries import RetryBudget, may_retry
from cactuspass._summaries import summarize_groups
from cactuspass._tables import EntryRow, HeldGroupRow, Tables
from cactuspass.models import DataCentreId, EntryId, GroupId, Priority, TakeOutKind

MODEL = "m"
TOKENS = 400
HOP_SECONDS = 0.001
HEARTBEAT_SECONDS = 1.0


class TakeOutPolicy(DispatchPolicy):
    """Dispatch policy of one entry, with the latest order that the entry has applied."""

    def __init__(self) -> None:
        self.is_out = False

    def may_send(self, tables: Tables, row: HeldGroupRow, now: float) -> bool:
        """Return whether the group's members have confirmed it."""
        return is_confirmed(tables, row, now)

    def is_taken_out(self, tables: Tables, kind: TakeOutKind, target: str) -> bool:
        """Return whether the target is the data centre that is out."""
        return self.is_out and kind is TakeOutKind.DATA_CENTRE and target == OUT_DATA_CENTRE


class Site:
    """The decision layer of one entry, with its tables and pending inputs."""

    def __init__(self, name: str, seed: int) -> None:
        self.name = name
        self.policy = TakeOutPolicy()
        self.tables = make_tables(name, KIND)
        self.tables.local.data_centre = data_centre_of(name)
        self.system = AdmissionSystem(self.policy, random.Random(seed), Forecast())
        self.budget = RetryBudget()
        self.inbox: list[Input] = []
        for group in (group for group in GROUPS if group.startswith(name)):
            row = hold_group(self.tables, group, MODEL, KIND)
            row.ramp_boot_id = self.tables.instances_by_id[row.members[0]].boot_id
            row.ramp = float(SLOTS)

    def heartbeat(self, now: float) -> HeartbeatReceived:
        """Return the heartbeat that the entry sends to its peers."""
        local = self.tables.local
        return HeartbeatReceived(
            local.entry_id,
            local.incarnation,
            local.data_centre,
            local.address,
            configuration_revision=0,
            take_out_tags=(),
            placement_version=0,
            ready=True,
            draining=False,
            groups=summarize_groups(self.tables, now),
        )

    def receive_heartbeat(self, heartbeat: HeartbeatReceived, now: float) -> None:
        """Apply a peer's heartbeat to the tables."""
        row = EntryRow(
            heartbeat.entry_id,
            heartbeat.incarnation,
            heartbeat.data_centre,
            heartbeat.address,
            now,
        )
        row.ready = True
        row.groups_by_id = {summary.group_id: summary for summary in heartbeat.groups}
        self.tables.entries_by_id[row.entry_id] = row
        self.inbox.append(heartbeat)


def data_centre_of(entry: str) -> DataCentreId:
    """Return the data centre of an entry."""
    return DataCentreId(entry.rpartition("-")[0])


class RoutedWorld(DataCentreWorld):
    """Each entry decides with the product's admission system and forwards at most one hop."""

    name = "admission and forwarding"

    def __init__(self, move: Move) -> None:
        self.sites_by_name = {name: Site(name, move.seed) for name in ENTRIES}
        super().__init__(move)
        for name in ENTRIES:
            self.schedule.at(self.rng.uniform(0, HEARTBEAT_SECONDS), self._heartbeat_action(name))
        for group in GROUPS:
            self.schedule.at(self.rng.uniform(0, REPORT_SECONDS), self._report_action(group))

    def _heartbeat_action(self, name: str) -> Callable[[float], None]:
        def send_heartbeat(now: float) -> None:
            message = self.sites_by_name[name].heartbeat(now)
            for site in self.sites_by_name.values():
                if site.name != name:
                    site.receive_heartbeat(message, now)
            self.schedule.at(now + HEARTBEAT_SECONDS, send_heartbeat)

        return send_heartbeat

    def _report_action(self, group: str) -> Callable[[float], None]:
        def send_report(now: float) -> None:
            if group not in self.down_groups:
                self.on_connected(group, now)
            self.schedule.at(now + REPORT_SECONDS, send_report)

        return send_report

    def _site_of(self, group: str) -> Site:
        return self.sites_by_name[group.rpartition("-")[0]]

    def on_connected(self, group: str, now: float) -> None:
        """Record a report of the upstream at the holder, and mark the group as serving."""
        tables = self._site_of(group).tables
        record_report(tables, group, self.upstreams_by_group[group], now)
        tables.held_groups_by_id[GroupId(group)].serving = True

    def on_disconnected(self, group: str) -> None:
        """Mark the group as not serving and its instance as disconnected at the holder."""
        tables = self._site_of(group).tables
        row = tables.held_groups_by_id[GroupId(group)]
        row.serving = False
        tables.instances_by_id[row.members[0]].connected = False

    def apply_order(self, entry: str, is_out: bool) -> None:
        """Apply the order to the entry's dispatch policy."""
        self.sites_by_name[entry].policy.is_out = is_out

    def arrive(self, call: Call) -> None:
        """Queue a request at the entry that the balancer chose."""
        site = self.sites_by_name[call.entry]
        site.budget.count_request()
        site.inbox.append(_arrival(call))

    def step(self) -> None:
        """Run one tick of every entry and execute its orders."""
        for site in self.sites_by_name.values():
            inputs, site.inbox = tuple(site.inbox), []
            for order in site.system.run(site.tables, inputs, self.now):
                if isinstance(order, Dispatch):
                    self.send(self._call(order.request_id), order.group_id)
                elif isinstance(order, Forward):
                    self._forward(self._call(order.request_id), site, order.entry_id)
                elif isinstance(order, Refuse):
                    self._refused(self._call(order.request_id), site)

    def _call(self, name: str) -> Call:
        return self.calls[int(name[1:])]

    def _forward(self, call: Call, site: Site, target: EntryId) -> None:
        message = replace(_arrival(call), forwarded_by=EntryId(site.name), excluded=())
        target_site = self.sites_by_name[target]
        self.schedule.at(self.now + HOP_SECONDS, lambda at: target_site.inbox.append(message))

    def _refused(self, call: Call, site: Site) -> None:
        """Retry a request that a peer refused; any other refusal goes to the caller."""
        if site.name != call.entry and call.tries < MAX_TRIES:
            self._submit_again(call, site.name)
        else:
            self.finish(call, "late" if self.now >= call.deadline else "refused")

    def _submit_again(self, call: Call, excluded: str) -> None:
        call.tries += 1
        call.excluded = (*call.excluded, excluded)
        site = self.sites_by_name[call.entry]
        self.schedule.at(self.now + HOP_SECONDS, lambda at: site.inbox.append(_arrival(call)))

    def on_ended(self, call: Call, group: str, succeeded: bool, now: float) -> None:
        """Report the end to the holder; retry a failed request within the retry budget."""
        holder = self._site_of(group)
        holder.inbox.append(RequestFinished(call.name, succeeded))
        if succeeded:
            self.finish(call, "whole")
        elif call.tries < MAX_TRIES and may_retry(
            True, True, self.sites_by_name[call.entry].budget
        ):
            self._submit_again(call, group if holder.name == call.entry else holder.name)
        else:
            self.finish(call, "failed")


def _arrival(call: Call) -> RequestArrived:
    return RequestArrived(
        call.name,
        call.customer,
        MODEL,
        TOKENS,
        Priority.NORMAL,
        call.deadline,
        excluded=call.excluded,
    )


class PlainWorld(DataCentreWorld):
    """Baseline: each entry sends to random upstreams of its data centre, up to a fixed share."""

    name = "random upstream, no ramp, no forwarding"

    def __init__(self, move: Move) -> None:
        self.out_entries: set[str] = set()
        self.queues_by_entry: dict[str, deque[Call]] = defaultdict(deque)
        self.running: dict[tuple[str, str], int] = defaultdict(int)
        self.slots_per_entry = SLOTS // ENTRIES_PER_DATA_CENTRE
        super().__init__(move)

    def apply_order(self, entry: str, is_out: bool) -> None:
        """Record the order, so that entries of the data centre refuse requests while it is out."""
        if not entry.startswith(OUT_DATA_CENTRE):
            return
        if is_out:
            self.out_entries.add(entry)
        else:
            self.out_entries.discard(entry)

    def arrive(self, call: Call) -> None:
        """Queue a request at its entry."""
        self.queues_by_entry[call.entry].append(call)

    def step(self) -> None:
        """Send the oldest requests of every entry to random upstreams."""
        for entry, queue in self.queues_by_entry.items():
            if entry in self.out_entries:
                for call in queue:
                    self.finish(call, "refused")
                queue.clear()
            self._send_queued(entry, queue)

    def _send_queued(self, entry: str, queue: deque[Call]) -> None:
        own = [group for group in GROUPS if group.startswith(data_centre_of(entry))]
        while queue:
            free = [group for group in own if self.running[entry, group] < self.slots_per_entry]
            if queue[0].deadline <= self.now:
                self.finish(queue.popleft(), "late")
            elif free:
                group = self.rng.choice(free)
                self.running[entry, group] += 1
                self.send(queue.popleft(), group)
            else:
                return

    def on_ended(self, call: Call, group: str, succeeded: bool, now: float) -> None:
        """Release the slot; retry a failed request."""
        self.running[call.entry, group] -= 1
        if succeeded:
            self.finish(call, "whole")
        elif call.tries < MAX_TRIES:
            call.tries += 1
            self.arrive(call)
        else:
            self.finish(call, "failed")
