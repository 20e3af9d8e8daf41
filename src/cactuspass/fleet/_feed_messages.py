"""Messages of the feed, from an instance that reads the store to one that does not."""

import zlib
from dataclasses import dataclass
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from cactuspass._findings import Finding, findings_from_error
from cactuspass.exceptions import DocumentError
from cactuspass.fleet._catalog import Catalog, Evacuations
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId
from cactuspass.fleet.prompt_parts import Block


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
    :param era: how often the store had been restored when the source read it last; None if it has
        not read it.
    :param blocks: all known blocks on parts of prompts; None when they have not changed.
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
    era: int | None = None
    blocks: tuple[Block, ...] | None = None


_ADAPTER: TypeAdapter[FeedUpdate] = TypeAdapter(FeedUpdate)
AGE_FIELDS = frozenset({"held_for", "operators_age", "upstreams_age"})
CONTENT_FIELD = "content"
COMPRESSION_LEVEL = 1
MAX_CONTENT_BYTES = 64 * 1024 * 1024


def encode_feed_content(update: FeedUpdate) -> bytes:
    """Return all of an update but the ages, as compressed CBOR, for one or several followers."""
    fields = _ADAPTER.dump_python(update, mode="json", exclude=set(AGE_FIELDS))
    return zlib.compress(cbor2.dumps(fields), COMPRESSION_LEVEL)


def encode_feed_update(update: FeedUpdate, content: bytes | None = None) -> bytes:
    """Return an update as CBOR.

    :param content: result of ``encode_feed_content``, if it is known already.
    """
    message = {name: getattr(update, name) for name in AGE_FIELDS}
    return cbor2.dumps({**message, CONTENT_FIELD: content or encode_feed_content(update)})


def decode_feed_update(data: bytes) -> FeedUpdate:
    """Return the update in a message.

    :raises DocumentError: when the message is invalid, with every mistake and its place.
    """
    try:
        message: Any = cbor2.loads(data)
        content = _decompress(message.pop(CONTENT_FIELD))
        return _ADAPTER.validate_python({**cbor2.loads(content), **message})
    except ValidationError as error:
        raise DocumentError(findings_from_error("news", error)) from error
    except (
        cbor2.CBORDecodeError,
        zlib.error,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        RecursionError,
    ) as error:
        raise DocumentError((Finding("news", "", str(error)),)) from error


def _decompress(content: bytes) -> bytes:
    """Return decompressed content, of ``MAX_CONTENT_BYTES`` at most.

    :raises ValueError: when it is larger or incomplete.
    """
    decompressor = zlib.decompressobj()
    found = decompressor.decompress(content, MAX_CONTENT_BYTES)
    if not decompressor.eof:
        raise ValueError("the content is cut or too large")
    return found
