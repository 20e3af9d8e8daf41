"""Choice of the instance that sums up the states of a data centre."""

from collections.abc import Iterable, Sequence

from cactuspass.fleet._peers import Peer, order_sources
from cactuspass.models import DataCentreId, EntryId

SILENCE_SECONDS = 1.0


def order_coordinators(peers: Iterable[Peer], data_centre: DataCentreId) -> list[Peer]:
    """Return the instances of a data centre in the order in which they coordinate it.

    All instances with the same list of peers find the same order (rendezvous hashing).
    """
    local = (peer for peer in peers if peer.data_centre == data_centre and peer.address)
    return order_sources(local, EntryId(f"loads/{data_centre}"))


class CoordinatorChoice:
    """The coordinator that one instance uses: the first that is not silent.

    An instance never finds itself silent.

    :param instance: id of this instance.
    """

    def __init__(self, instance: EntryId) -> None:
        self._instance = instance
        self._heard_at: dict[EntryId, float] = {}
        self._tried_at: dict[EntryId, float] = {}

    def note_heard(self, coordinator: EntryId, at: float) -> None:
        """Note that an instance has sent its sums."""
        self._heard_at[coordinator] = at

    def is_heard(self, coordinator: EntryId, at: float) -> bool:
        """Return whether an instance has sent its sums lately."""
        return at - self._heard_at.get(coordinator, float("-inf")) <= SILENCE_SECONDS

    def choose(self, ordered: Sequence[Peer], at: float) -> Peer | None:
        """Return the coordinator to use; None if there are no instances.

        :param ordered: the instances of the data centre, see :func:`order_coordinators`.
        """
        chosen = next((peer for peer in ordered if self._may_use(peer.instance, at)), None)
        used = ordered[: ordered.index(chosen) + 1] if chosen is not None else ()
        tried = {peer.instance for peer in used}
        self._tried_at = {i: when for i, when in self._tried_at.items() if i in tried}
        self._heard_at = {i: w for i, w in self._heard_at.items() if at - w <= SILENCE_SECONDS}
        return chosen or (ordered[0] if ordered else None)

    def _may_use(self, instance: EntryId, at: float) -> bool:
        """Return whether an instance is this one, was heard lately or was not tried long."""
        if instance == self._instance or self.is_heard(instance, at):
            return True
        return at - self._tried_at.setdefault(instance, at) <= SILENCE_SECONDS
