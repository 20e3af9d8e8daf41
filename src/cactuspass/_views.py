"""The rows of each view of the operators' language, taken from the tables of one entry."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cactuspass._backlog import WaitingRow, waiting_rows
from cactuspass._rows import RowSet, row_set
from cactuspass._statements import ViewName
from cactuspass._stranded import StrandedRow, find_stranded_instances
from cactuspass._summaries import summarize_groups
from cactuspass._tables import ProcessKey, Tables
from cactuspass.models import CustomerId, DataCentreId, EntryId, Incarnation


@dataclass(frozen=True, slots=True)
class ViewSources:
    """The sources that the views read.

    :param clock: returns monotonic time in seconds.
    :param held_by_customer: returns the bytes of answers buffered now, by customer.
    :param counters: returns the counters and gauges by name.
    """

    tables: Tables
    clock: Callable[[], float]
    held_by_customer: Callable[[], Mapping[CustomerId, int]]
    counters: Callable[[], Mapping[str, float]]


@dataclass(frozen=True, slots=True)
class GroupView:
    """A group that an entry holds.

    :param bearable: how many requests the group may run at once.
    :param down_seconds: seconds since the group stopped serving or since this entry took it over;
        None while it serves.
    """

    group: str
    model: str
    data_centre: str
    holder: str
    generation: str
    members: tuple[str, ...]
    spares: tuple[str, ...]
    serving: bool
    leaving: bool
    requests: int
    bearable: int
    tokens: int
    down_seconds: float | None


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """An upstream instance of the entry's data centre.

    :param listed: state in the platform's list, or ``gone`` when it is no longer listed.
    :param heard_seconds_ago: seconds since the last status; None before the first one.
    """

    upstream: str
    data_centre: str
    fabric_domain: str
    kind: str
    listed: str
    connected: bool
    group: str
    rank: int
    state: str
    running: int
    memory_tokens: int
    heard_seconds_ago: float | None


@dataclass(frozen=True, slots=True)
class HeldView:
    """Bytes of answers that an entry buffers for a customer."""

    customer: str
    entry: str
    bytes: int


@dataclass(frozen=True, slots=True)
class EntryView:
    """An entry, as recorded in the tables of the entry that answers.

    :param seated: whether it may hold groups; None for entries of other data centres.
    :param kept_seconds: seconds for which the answering entry has granted it to keep its seat, so
        that its groups go to no other entry; None without a grant.
    :param heard_seconds_ago: seconds since the last heartbeat.
    """

    entry: str
    data_centre: str
    address: str
    ready: bool
    draining: bool
    connected: bool
    configuration_revision: int
    placement_version: int
    seated: bool | None
    kept_seconds: float | None
    heard_seconds_ago: float


@dataclass(frozen=True, slots=True)
class AlarmView:
    """An alarm that an entry has raised."""

    alarm: str
    subject: str
    entry: str
    age_seconds: float
    detail: str


@dataclass(frozen=True, slots=True)
class DeclarationView:
    """A declaration of groups by an operator."""

    name: str
    data_centre: str
    model: str
    kind: str
    size: int
    count: int
    spares: int
    version: str
    adapters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TakeOutView:
    """A take-out in force.

    :param committed: whether it is in the configuration, not only pending.
    """

    kind: str
    target: str
    by: str
    tag: str
    committed: bool


@dataclass(frozen=True, slots=True)
class CounterView:
    """A counter of one entry."""

    counter: str
    entry: str
    value: float


def waiting_view(sources: ViewSources) -> RowSet:
    """Return the waiting requests, by customer and model."""
    return row_set(WaitingRow, waiting_rows(sources.tables, sources.clock()))


def groups_view(sources: ViewSources) -> RowSet:
    """Return the groups that this entry holds."""
    tables, now = sources.tables, sources.clock()
    summaries_by_id = {summary.group_id: summary for summary in summarize_groups(tables, now)}
    views = [
        GroupView(
            group=row.group_id,
            model=row.model,
            data_centre=tables.local.data_centre,
            holder=tables.local.entry_id,
            generation=f"{row.generation.major}.{row.generation.minor}",
            members=row.members,
            spares=row.spares,
            serving=row.serving,
            leaving=row.leaving,
            requests=len(row.requests),
            bearable=summaries_by_id[row.group_id].ramp,
            tokens=row.reserved_tokens,
            down_seconds=None if row.down_since is None else now - row.down_since,
        )
        for row in sorted(tables.held_groups_by_id.values(), key=lambda row: row.group_id)
    ]
    return row_set(GroupView, views)


def upstreams_view(sources: ViewSources) -> RowSet:
    """Return the upstream instances in the tables of this entry."""
    tables, now = sources.tables, sources.clock()
    views = []
    for row in sorted(tables.instances_by_id.values(), key=lambda row: row.instance_id):
        record = tables.records_by_id.get(row.instance_id)
        views.append(
            UpstreamView(
                upstream=row.instance_id,
                data_centre=tables.local.data_centre,
                fabric_domain="" if record is None else record.fabric_domain,
                kind=row.kind,
                listed="gone" if record is None else record.state.value,
                connected=row.connected,
                group=row.group_id,
                rank=row.rank,
                state=row.state.value,
                running=row.running,
                memory_tokens=row.memory_tokens,
                heard_seconds_ago=None if row.last_status_at is None else now - row.last_status_at,
            )
        )
    return row_set(UpstreamView, views)


def held_view(sources: ViewSources) -> RowSet:
    """Return the bytes of answers that this entry buffers, by customer."""
    entry = sources.tables.local.entry_id
    held = sorted(sources.held_by_customer().items())
    return row_set(HeldView, (HeldView(customer, entry, count) for customer, count in held))


def stranded_view(sources: ViewSources) -> RowSet:
    """Return instances of the data centre whose accelerators serve nobody."""
    return row_set(StrandedRow, find_stranded_instances(sources.tables))


def entries_view(sources: ViewSources) -> RowSet:
    """Return this entry and those from which a heartbeat has come."""
    tables, now = sources.tables, sources.clock()
    local = tables.local
    own = EntryView(
        local.entry_id,
        local.data_centre,
        local.address,
        tables.configuration is not None,
        local.draining,
        True,
        0 if tables.configuration is None else tables.configuration.revision,
        0 if tables.placement is None else tables.placement.version,
        _is_seated(tables, local.entry_id, local.incarnation, local.data_centre),
        None,
        0.0,
    )
    others = (
        EntryView(
            row.entry_id,
            row.data_centre,
            row.address,
            row.ready,
            row.draining,
            row.connected,
            row.configuration_revision,
            row.placement_version,
            _is_seated(tables, row.entry_id, row.incarnation, row.data_centre),
            _kept_seconds(tables, ProcessKey(row.entry_id, row.incarnation), now),
            now - row.last_heartbeat_at,
        )
        for row in tables.entries_by_id.values()
    )
    return row_set(EntryView, sorted((own, *others), key=lambda view: view.entry))


def _is_seated(
    tables: Tables, entry_id: EntryId, incarnation: Incarnation, data_centre: DataCentreId
) -> bool | None:
    if data_centre != tables.local.data_centre:
        return None
    seats = {} if tables.placement is None else tables.placement.seats_by_entry
    seat = seats.get(entry_id)
    return seat is not None and seat.incarnation == incarnation


def _kept_seconds(tables: Tables, process: ProcessKey, now: float) -> float | None:
    block = tables.removal_blocks_by_process.get(process)
    return None if block is None or block.until <= now else block.until - now


def alarms_view(sources: ViewSources) -> RowSet:
    """Return the alarms that this entry has raised."""
    tables, now = sources.tables, sources.clock()
    views = (
        AlarmView(
            row.kind.value, row.subject, tables.local.entry_id, now - row.raised_at, row.detail
        )
        for row in tables.alarms_by_key.values()
    )
    return row_set(AlarmView, views)


def declarations_view(sources: ViewSources) -> RowSet:
    """Return the declared groups."""
    configuration = sources.tables.configuration
    declared = {} if configuration is None else configuration.declarations_by_name
    return row_set(
        DeclarationView,
        (
            DeclarationView(
                item.name,
                item.data_centre,
                item.model,
                item.kind,
                item.size,
                item.count,
                item.spares,
                item.version,
                item.adapters,
            )
            for _, item in sorted(declared.items())
        ),
    )


def take_outs_view(sources: ViewSources) -> RowSet:
    """Return the take-outs that this entry applies, committed and pending."""
    tables = sources.tables
    configuration = tables.configuration
    committed = {} if configuration is None else configuration.take_outs_by_tag
    pending = tables.pending_take_outs_by_tag
    views = (
        TakeOutView(item.kind.value, item.target, item.by, tag, tag in committed)
        for tag, item in sorted({**pending, **committed}.items())
    )
    return row_set(TakeOutView, views)


def counters_view(sources: ViewSources) -> RowSet:
    """Return the counters of this entry."""
    entry = sources.tables.local.entry_id
    values = sorted(sources.counters().items())
    return row_set(CounterView, (CounterView(name, entry, value) for name, value in values))


VIEWS_BY_NAME: Mapping[ViewName, Callable[[ViewSources], RowSet]] = {
    ViewName.WAITING: waiting_view,
    ViewName.GROUPS: groups_view,
    ViewName.UPSTREAMS: upstreams_view,
    ViewName.HELD: held_view,
    ViewName.STRANDED: stranded_view,
    ViewName.ENTRIES: entries_view,
    ViewName.ALARMS: alarms_view,
    ViewName.DECLARATIONS: declarations_view,
    ViewName.TAKE_OUTS: take_outs_view,
    ViewName.COUNTERS: counters_view,
}
# Views whose rows are collected from every entry.
FLEET_VIEWS = frozenset(
    {
        ViewName.WAITING,
        ViewName.GROUPS,
        ViewName.UPSTREAMS,
        ViewName.HELD,
        ViewName.STRANDED,
        ViewName.ALARMS,
        ViewName.COUNTERS,
    }
)
