"""The registered instances, and which of them read the store for the others."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from itertools import chain

from cactuspass.models import DataCentreId, EntryId

FOLLOWERS_PER_SOURCE = 16
STORE_READERS = 2  # one can fail without a gap
READERS_PLACE = "store"


@dataclass(frozen=True, slots=True)
class Peer:
    """A registered instance.

    :param address: ``host:port`` at which it accepts connections and hints of other instances; None
        when it accepts none.
    """

    instance: EntryId
    data_centre: DataCentreId
    address: str | None


def choose_sources(peers: Iterable[Peer], data_centre: DataCentreId) -> list[Peer]:
    """Return the instances of a data centre that are sources of the feed for the others there.

    All instances with the same list of peers choose the same sources (rendezvous hashing).
    """
    local = [peer for peer in peers if peer.data_centre == data_centre and peer.address]
    count = math.ceil(len(local) / FOLLOWERS_PER_SOURCE)
    return sorted(local, key=lambda peer: _weight(data_centre, peer.instance))[:count]


def order_readers(peers: Iterable[Peer]) -> list[Peer]:
    """Return the sources of all data centres in the order in which they should read the store.

    The first ``STORE_READERS`` read it. Each later one follows an earlier one, and reads the store
    only when none of them can be followed.
    """
    everyone = list(peers)
    data_centres = {peer.data_centre for peer in everyone}
    sources = chain.from_iterable(choose_sources(everyone, place) for place in data_centres)
    return sorted(sources, key=lambda peer: _weight(READERS_PLACE, peer.instance))


def choose_senders(peers: Iterable[Peer], upstream: str, count: int) -> set[EntryId]:
    """Return the instances that may send to an upstream whose limit is too low for all.

    :param count: number of instances to choose.
    """
    ordered = sorted(peers, key=lambda peer: _weight(upstream, peer.instance))
    return {peer.instance for peer in ordered[:count]}


def order_sources(sources: Iterable[Peer], instance: EntryId) -> list[Peer]:
    """Return sources in the order in which an instance should try them.

    The order differs between instances, so that the followers spread over the sources.
    """
    return sorted(sources, key=lambda source: _weight(instance, source.instance))


def _weight(place: str, instance: str) -> bytes:
    return blake2b(f"{place}/{instance}".encode(), digest_size=8).digest()
