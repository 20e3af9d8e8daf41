"""Serving of callers by equal instances, each of which sends requests directly to upstreams.

State that must survive restarts or be agreed on is in the platform's store. One instance at a
time, the leader, sends the orders that form groups of upstreams.
"""

from cactuspass.fleet._adapter import Adapter
from cactuspass.fleet._answer_head import AnswerHead, IdCheck
from cactuspass.fleet._catalog import (
    CallerLimits,
    Catalog,
    Customer,
    DataCentreDelay,
    EngineSpec,
    Evacuations,
    ModelSpec,
    Route,
    RouteKind,
    ScalingLimits,
    Service,
    ServiceShare,
)
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._directory import (
    Directory,
    OperatorDocuments,
    UpstreamChanges,
    UpstreamListing,
)
from cactuspass.fleet._inbound import (
    AnswerNotes,
    InboundRequest,
    LoadReport,
    MalformedRequest,
    RequestedBackoff,
    RequestFormat,
    SendDetails,
    StatedLimit,
)
from cactuspass.fleet._instance import Instance
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._orders import (
    AddressedOrder,
    Close,
    Join,
    Leave,
    Open,
    Order,
    OrderOutcome,
    Stage,
    UpstreamControl,
    UpstreamReport,
)
from cactuspass.fleet._pool import ConnectionPool, OutgoingRequest
from cactuspass.fleet._settings import (
    InstanceSettings,
    load_instance_settings,
    parse_instance_settings,
)
from cactuspass.fleet._store import Changes, HistoryLost, LeaseEnded, SharedStore
from cactuspass.fleet._upstreams import (
    GroupKey,
    Membership,
    MemberState,
    Upstream,
    UpstreamId,
    UpstreamState,
)
from cactuspass.fleet.duties import (
    CallOutcome,
    MayCall,
    PlatformDuties,
    UpstreamCountOrder,
    UsageReport,
)
from cactuspass.fleet.prompt_parts import PromptPartId

__all__ = [
    "Adapter",
    "AddressedOrder",
    "AnswerHead",
    "AnswerNotes",
    "CallOutcome",
    "CallerLimits",
    "Catalog",
    "Changes",
    "Close",
    "ConnectionPool",
    "Customer",
    "DataCentreDelay",
    "DecisionLog",
    "Directory",
    "EngineSpec",
    "Evacuations",
    "GroupKey",
    "HistoryLost",
    "IdCheck",
    "InboundRequest",
    "Instance",
    "InstanceSettings",
    "Join",
    "Leave",
    "LeaseEnded",
    "LoadReport",
    "MalformedRequest",
    "MayCall",
    "MemberState",
    "Membership",
    "Metrics",
    "ModelSpec",
    "Open",
    "Order",
    "OperatorDocuments",
    "OrderOutcome",
    "OutgoingRequest",
    "PlatformDuties",
    "RequestedBackoff",
    "PromptPartId",
    "RequestFormat",
    "Route",
    "RouteKind",
    "ScalingLimits",
    "SendDetails",
    "Service",
    "ServiceShare",
    "SharedStore",
    "StatedLimit",
    "Stage",
    "Upstream",
    "UpstreamChanges",
    "UpstreamControl",
    "UpstreamCountOrder",
    "UpstreamId",
    "UpstreamListing",
    "UpstreamReport",
    "UpstreamState",
    "UsageReport",
    "load_instance_settings",
    "parse_instance_settings",
]
