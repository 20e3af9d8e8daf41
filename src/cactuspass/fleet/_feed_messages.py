"""Messages of the feed, from an instance that reads the store to one that does not."""

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
    """Remaining cold time of an upstream.

    It is sent as a duration, since clock values of different instances cannot be compared.
    """

    upstream_id: UpstreamId
    seconds: float


@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """Changes since the last update on the same connection.

    Evacuations are always complete.

    :param complete: whether this is the first update, which contains the whole state.
    :param held_for: seconds between the request and this response.
    :param operators_age: seconds since the source last read the operators' documents.
    :param upstreams_age: seconds since the source last listed the upstreams.
    :param catalog: None when it has not changed.
    :param peers: all registered instances; None when they have not changed.
    :param changed: new or changed upstreams; their ``cold_until`` is invalid and replaced by
        ``cold``.
    :param revision: revision of the store up to which the upstreams are known.
    :param leaving: lifetimes that have announced that they leave and that no earlier update
        contained; ``changed`` still has the state of these upstreams in the registry.
    """

    complete: bool
    held_for: float
    operators_age: float
    upstreams_age: float
    catalog: Catalog | None
    evacuations: Evacuations
    peers: tuple[Peer, ...] | None
    changed: tuple[Upstream, ...]
    removed: tuple[UpstreamId, ...]
    cold: tuple[ColdUpstream, ...]
    revision: int
    leaving: tuple[Lifetime, ...] = ()


_ADAPTER: TypeAdapter[FeedUpdate] = TypeAdapter(FeedUpdate)


def encode_feed_update(update: FeedUpdate) -> bytes:
    """Return an update as CBOR."""
    return cbor2.dumps(_ADAPTER.dump_python(update, mode="json"))


def decode_feed_update(data: bytes) -> FeedUpdate:
    """Return the update in a message.

    :raises DocumentError: when the message is invalid, with every mistake and its place.
    """
    try:
        body: Any = cbor2.loads(data)
        return _ADAPTER.validate_python(body)
    except ValidationError as error:
        raise DocumentError(findings_from_errors("news", error.errors())) from error
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise DocumentError((Finding("news", "", str(error)),)) from error
