"""The platform's list of instances, which may be out of date."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from cactuspass._findings import Finding, findings_from_error
from cactuspass.exceptions import PlatformUnavailable
from cactuspass.models import InstanceId, InstanceRecord
from cactuspass.settings import Address, parse_address

SOURCE = "instance list"
MAX_LIST_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class InstanceListing:
    """The valid items of the list.

    :param records: one record for each instance, in the order of the list.
    :param findings: mistakes in the items that were left out.
    """

    records: tuple[InstanceRecord, ...]
    findings: tuple[Finding, ...] = ()


class InstanceList(ABC):
    """Source of the list of instances that the platform runs."""

    @abstractmethod
    async def read(self) -> InstanceListing:
        """Read the whole list.

        :raises PlatformUnavailable: when the list could not be read.
        """

    async def close(self) -> None:
        """Release connections."""
        return


class HttpInstanceList(InstanceList):
    """Instance list that the platform serves over HTTP; an unchanged list is not sent again.

    :param timeout: maximum duration of one read in seconds.
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


_RECORD_ADAPTER = TypeAdapter(InstanceRecord)


def parse_listing(body: bytes) -> InstanceListing:
    """Parse the list; leave out and report malformed and repeated items.

    :raises PlatformUnavailable: when the response is not a list of instances.
    """
    try:
        items = _Listing.model_validate_json(body).instances
    except ValidationError as error:
        raise PlatformUnavailable(f"{SOURCE}: answer is malformed") from error
    findings: list[Finding] = []
    records = tuple(_remove_duplicates(_parse_records(items, findings), findings))
    return InstanceListing(records, tuple(findings))


@dataclass(frozen=True, slots=True)
class _IndexedRecord:
    index: int
    record: InstanceRecord


def _parse_records(items: Iterable[Any], findings: list[Finding]) -> Iterator[_IndexedRecord]:
    for index, item in enumerate(items):
        try:
            record = _RECORD_ADAPTER.validate_python(item)
        except ValidationError as error:
            findings.extend(findings_from_error(SOURCE, error, ("instances", index)))
            continue
        fault = _find_fault(record)
        if fault is not None:
            findings.append(_make_finding(index, *fault))
            continue
        yield _IndexedRecord(index, record)


def _find_fault(record: InstanceRecord) -> tuple[str, str] | None:
    """Return the key and the message of a fault that the types do not exclude."""
    if not record.instance_id:
        return "instance_id", "must not be empty"
    if record.accelerators < 0:
        return "accelerators", "must not be negative"
    try:
        parse_address(record.address)
    except ValueError as error:
        return "address", str(error)
    return None


def _remove_duplicates(
    items: Iterable[_IndexedRecord], findings: list[Finding]
) -> Iterator[InstanceRecord]:
    seen: set[InstanceId] = set()
    for item in items:
        if item.record.instance_id in seen:
            findings.append(_make_finding(item.index, "instance_id", "is listed twice"))
            continue
        seen.add(item.record.instance_id)
        yield item.record


def _make_finding(index: int, key: str, message: str) -> Finding:
    return Finding(SOURCE, f"instances.{index + 1}.{key}", message)
