"""Interfaces to the platform that an instance uses."""

from dataclasses import dataclass

from cactuspass.fleet._directory import Directory
from cactuspass.fleet._inbound import RequestFormat
from cactuspass.fleet._orders import UpstreamControl
from cactuspass.fleet._store import SharedStore
from cactuspass.fleet.duties import PlatformDuties


@dataclass(frozen=True, slots=True)
class Adapter:
    """Interfaces to the platform that an instance uses.

    :param store: shared key-value store.
    :param directory: documents of the operators and registry entries of upstreams.
    :param control: orders to upstreams and their reports.
    :param request_format: translation of requests and responses.
    :param duties: calls that one instance at a time makes; None where the platform has none.
    """

    store: SharedStore
    directory: Directory
    control: UpstreamControl
    request_format: RequestFormat
    duties: PlatformDuties | None = None
