"""What an instance that follows the store tells one that does not."""

from dataclasses import dataclass
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from cactuspass._findings import Finding, findings_from_errors
from cactuspass.exceptions import DocumentError
from cactuspass.fleet._catalog import Catalog, Evacuations
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId


@dataclass(frozen=True, slots=True)
class ColdUpstream:
    """An upstream that is cold for some more seconds; clock values differ between instances."""

    upstream_id: UpstreamId
    seconds: float


@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """What has changed since the last news on the same connection.

    :param complete: whether these are the first news, which hold everything.
    :param held_for: seconds between the question and this answer.
    :param operators_age: seconds since the source last read the operators' documents.
    :param upstreams_age: seconds since it last listed the upstreams.
    :param catalog: None when it is the same as before.
    :param changed: upstreams that are new or differ; their ``cold_until`` means nothing.
    :param revision: revision of the store that the upstreams are known to.
    :param leaving: lifetimes that leave by their own word and were not told of before; what
        ``changed`` says of them is the registry's word.
    """

    complete: bool
    held_for: float
    operators_age: float
    upstreams_age: float
    catalog: Catalog | None
    evacuations: Evacuations
    peers: tuple[Peer, ...]
    changed: tuple[Upstream, ...]
    removed: tuple[UpstreamId, ...]
    cold: tuple[ColdUpstream, ...]
    revision: int
    leaving: tuple[Lifetime, ...] = ()


_ADAPTER: TypeAdapter[FeedUpdate] = TypeAdapter(FeedUpdate)


def encode_feed_update(update: FeedUpdate) -> bytes:
    """Return news as CBOR."""
    return cbor2.dumps(_ADAPTER.dump_python(update, mode="json"))


def decode_feed_update(data: bytes) -> FeedUpdate:
    """Return the news that a message holds.

    :raises DocumentError: when it cannot be understood, with every mistake and its place.
    """
    try:
        body: Any = cbor2.loads(data)
        return _ADAPTER.validate_python(body)
    except ValidationError as error:
        raise DocumentError(findings_from_errors("news", error.errors())) from error
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise DocumentError((Finding("news", "", str(error)),)) from error
