"""The platform's lagging list of instances."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from cactuspass._findings import Finding, findings_from_errors
from cactuspass.exceptions import PlatformUnavailable
from cactuspass.models import InstanceId, InstanceRecord
from cactuspass.settings import Address, parse_address

SOURCE = "instance list"
MAX_LIST_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class InstanceListing:
    """The readable lines of the list.

    :param records: one for each instance, in the order of the list.
    :param findings: mistakes of the lines that were left out.
    """

    records: tuple[InstanceRecord, ...]
    findings: tuple[Finding, ...] = ()


class InstanceList(ABC):
    """Source of the instances that the platform knows."""

    @abstractmethod
    async def read(self) -> InstanceListing:
        """Read the whole list.

        :raises PlatformUnavailable: when the list could not be read.
        """

    async def close(self) -> None:
        """Release connections."""
        return


class HttpInstanceList(InstanceList):
    """The list that the platform serves over HTTP; an unchanged list is not sent again.

    :param timeout: seconds that one read may take.
    """

    def __init__(self, address: Address, timeout: float) -> None:
        self._url = f"http://{address}/instances"
        self._timeout = timeout
        self._etag: str | None = None
        self._latest: InstanceListing | None = None
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_body_size=MAX_LIST_BYTES
        )

    async def read(self) -> InstanceListing:
        """Read the whole list."""
        headers = {} if self._etag is None else {"If-None-Match": self._etag}
        request = HTTPRequest(
            self._url,
            headers=headers,
            connect_timeout=self._timeout,
            request_timeout=self._timeout,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request)
        except HTTPClientError as error:
            if error.code == HTTPStatus.NOT_MODIFIED and self._latest is not None:
                return self._latest
            raise PlatformUnavailable(f"{SOURCE}: {error}") from error
        except OSError as error:
            raise PlatformUnavailable(f"{SOURCE}: {error}") from error
        self._latest = parse_listing(response.body)
        self._etag = response.headers.get("Etag")
        return self._latest

    async def close(self) -> None:
        """Release connections."""
        self._client.close()


class _Listing(BaseModel):
    model_config = ConfigDict(extra="ignore")

    instances: list[Any]


_RECORD = TypeAdapter(InstanceRecord)


def parse_listing(body: bytes) -> InstanceListing:
    """Parse the list; a malformed or repeated line is left out and reported.

    :raises PlatformUnavailable: when the answer as a whole is no list of instances.
    """
    try:
        lines = _Listing.model_validate_json(body).instances
    except ValidationError as error:
        raise PlatformUnavailable(f"{SOURCE}: answer is malformed") from error
    findings: list[Finding] = []
    records = tuple(_unique(_records(lines, findings), findings))
    return InstanceListing(records, tuple(findings))


@dataclass(frozen=True, slots=True)
class _Line:
    index: int
    record: InstanceRecord


def _records(lines: Iterable[Any], findings: list[Finding]) -> Iterator[_Line]:
    for index, line in enumerate(lines):
        try:
            record = _RECORD.validate_python(line)
        except ValidationError as error:
            findings.extend(findings_from_errors(SOURCE, error.errors(), ("instances", index)))
            continue
        fault = _fault(record)
        if fault is not None:
            findings.append(_finding(index, *fault))
            continue
        yield _Line(index, record)


def _fault(record: InstanceRecord) -> tuple[str, str] | None:
    """Return the key and the message of what the types do not check."""
    if not record.instance_id:
        return "instance_id", "must not be empty"
    if record.accelerators < 0:
        return "accelerators", "must not be negative"
    try:
        parse_address(record.address)
    except ValueError as error:
        return "address", str(error)
    return None


def _unique(lines: Iterable[_Line], findings: list[Finding]) -> Iterator[InstanceRecord]:
    seen: set[InstanceId] = set()
    for line in lines:
        if line.record.instance_id in seen:
            findings.append(_finding(line.index, "instance_id", "is listed twice"))
            continue
        seen.add(line.record.instance_id)
        yield line.record


def _finding(index: int, key: str, message: str) -> Finding:
    return Finding(SOURCE, f"instances.{index + 1}.{key}", message)
