"""Decodes the registry entries and reports of servers."""

from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    FailFast,
    Field,
    StrictInt,
    StrictStr,
    ValidationError,
)

from cactuspass._addresses import check_address
from cactuspass._findings import findings_from_error
from cactuspass.exceptions import DocumentError
from cactuspass.fleet import (
    GroupKey,
    Membership,
    MemberState,
    Upstream,
    UpstreamId,
    UpstreamReport,
    UpstreamState,
)
from cactuspass.models import DataCentreId, FabricDomainId, GroupId, ModelId, ServiceId

MAX_INTEGER = 2**63 - 1
MAX_COUNT = 1_000_000_000
MAX_SLOTS = 1_000_000
MAX_RANK = 100_000
MAX_PACE = 1_000_000.0
MAX_COLD_MS = 86_400_000.0
MAX_NAME_LENGTH = 256  # characters
MAX_ADDRESS_LENGTH = 64  # characters
MAX_MODELS = 1000

Integer = Annotated[StrictInt, Field(ge=0, le=MAX_INTEGER)]
Count = Annotated[StrictInt, Field(ge=0, le=MAX_COUNT)]
Name = Annotated[StrictStr, Field(max_length=MAX_NAME_LENGTH)]
Address = Annotated[StrictStr, Field(max_length=MAX_ADDRESS_LENGTH), AfterValidator(check_address)]


class _Document(BaseModel):
    # Strict, since a text in place of a number shows that another writer has made the document.
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _Group(_Document):
    name: Name
    epoch: Annotated[StrictInt, Field(ge=-MAX_INTEGER, le=MAX_INTEGER)]
    rank: Annotated[StrictInt, Field(ge=0, le=MAX_RANK)]
    state: Literal["joining", "ready", "open", "closing", "broken"]

    def decode(self) -> Membership:
        """Return the membership."""
        key = GroupKey(GroupId(self.name), self.epoch)
        return Membership(key, self.rank, MemberState(self.state))


class _Model(_Document):
    name: Name


class _Entry(_Document):
    """An entry, which anyone may have written; a list in it has one mistake at most.

    Each field that a server always writes is required: an entry without one names no server.
    """

    service: Name
    address: Address
    zone: Name
    version: Name
    slots: Annotated[StrictInt, Field(ge=0, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_ms: Annotated[float, Field(ge=0, le=MAX_COLD_MS, allow_inf_nan=False)]
    born: Integer
    # Counts the writes of the entry; in a report, seq counts orders instead.
    seq: Integer
    domain: Name | None = None
    staged: Annotated[tuple[Name, ...], FailFast(), Field(max_length=MAX_MODELS)] = ()
    models: Annotated[tuple[_Model, ...], FailFast(), Field(max_length=MAX_MODELS)] = ()
    group: _Group | None = None


class _Report(_Document):
    running: Count
    queued: Count
    pace: Annotated[float, Field(ge=0, le=MAX_PACE, allow_inf_nan=False)] = 1.0
    busy: bool = False
    # Number of accepted orders.
    seq: Integer
    born: Integer
    group: _Group | None = None


def decode_entry(server_id: str, value: bytes, read_at: float) -> Upstream:
    """Return the upstream that a registry entry describes.

    :param value: the entry as JSON.
    :param read_at: clock value when the entry was read. ``cold_ms`` counts from when the entry was
        written, which is only slightly earlier.
    :raises DocumentError: when the entry is invalid.
    """
    try:
        entry = _Entry.model_validate_json(value)
    except ValidationError as error:
        raise DocumentError(findings_from_error(f"servers/{server_id}", error)) from error
    return Upstream(
        upstream_id=UpstreamId(server_id),
        service=ServiceId(entry.service),
        address=entry.address,
        data_centre=DataCentreId(entry.zone),
        slots=entry.slots,
        state=UpstreamState(entry.state),
        born_ms=entry.born,
        cold_until=read_at + entry.cold_ms / 1000 if entry.cold_ms > 0 else 0.0,
        fabric_domain=FabricDomainId(entry.domain or ""),
        staged=tuple(map(ModelId, entry.staged)),
        loaded=ModelId(entry.models[0].name) if entry.models else None,
        membership=entry.group.decode() if entry.group is not None else None,
        sequence=entry.seq,
    )


def decode_report(value: bytes) -> UpstreamReport:
    """Return the report in a server's response.

    :param value: the report as JSON.
    :raises DocumentError: when the report is invalid.
    """
    try:
        report = _Report.model_validate_json(value)
    except ValidationError as error:
        raise DocumentError(findings_from_error("report", error)) from error
    membership = report.group.decode() if report.group is not None else None
    return UpstreamReport(
        running=report.running,
        queued=report.queued,
        pace=report.pace,
        membership=membership,
        busy=report.busy,
        sequence=report.seq,
        born_ms=report.born,
    )
