"""The state that this entry sends to its peers and the documents that it receives from them."""

from collections.abc import Callable, Hashable

from cactuspass._codec import (
    decode_configuration,
    decode_placement,
    encode_configuration,
    encode_placement,
)
from cactuspass._holding_right import PLATFORM_UNRESPONSIVE_SECONDS
from cactuspass._messages import ConfigurationRead, Input, PlacementRead
from cactuspass._peer_link import PeerLink
from cactuspass._peer_messages import Documents, Heartbeat
from cactuspass._peers import PeerState
from cactuspass._summaries import accepts_requests, summarize_groups
from cactuspass._tables import Tables
from cactuspass.exceptions import DocumentError
from cactuspass.models import Configuration, EntryId, InstanceRole, TakeOut


class EntryState(PeerState):
    """Provides the peer network with the state in the tables.

    :param clock: returns monotonic time in seconds.
    :param on_configuration: called with each configuration that a peer sent.
    :param poll_platform: makes the platform loop read the platform's documents at once.
    """

    def __init__(
        self,
        tables: Tables,
        clock: Callable[[], float],
        accept_input: Callable[[Input], None],
        on_configuration: Callable[[Configuration], None],
        poll_platform: Callable[[], None],
    ) -> None:
        self._tables = tables
        self._clock = clock
        self._accept_input = accept_input
        self._on_configuration = on_configuration
        self._poll_platform = poll_platform

    def heartbeat(self) -> Heartbeat:
        """Return the state to send to the peers."""
        tables = self._tables
        configuration = tables.configuration
        placement = tables.placement
        return Heartbeat(
            configuration_revision=0 if configuration is None else configuration.revision,
            take_out_tags=tuple(sorted(tables.pending_take_outs_by_tag)),
            placement_version=0 if placement is None else placement.version,
            ready=configuration is not None,
            draining=tables.local.draining,
            groups=summarize_groups(tables, self._clock()),
            grants_returned_at=tables.local.grants_returned_at,
        )

    def urgent_state(self) -> Hashable:
        """Return the part of the state whose changes are sent to the peers at once."""
        tables = self._tables
        return (
            None if tables.configuration is None else tables.configuration.revision,
            None if tables.placement is None else tables.placement.version,
            tables.local.draining,
            tuple(tables.pending_take_outs_by_tag),
            tuple(
                row.group_id
                for row in tables.held_groups_by_id.values()
                if accepts_requests(row, self._clock())
            ),
        )

    def documents(self) -> Documents:
        """Return the documents in their stored form."""
        configuration = self._tables.configuration
        placement = self._tables.placement
        return Documents(
            self._tables.local.data_centre,
            b"" if configuration is None else encode_configuration(configuration),
            b"" if placement is None else encode_placement(placement),
        )

    def take_outs(self) -> tuple[TakeOut, ...]:
        """Return the take-outs that may not be stored on the platform yet."""
        return tuple(self._tables.pending_take_outs_by_tag.values())

    def needs_documents(self, link: PeerLink, heartbeat: Heartbeat) -> bool:
        """Return whether the peer has a newer document or an unknown take-out to fetch.

        A newer placement is read from the platform instead while the platform is available.
        """
        tables = self._tables
        own_revision = -1 if tables.configuration is None else tables.configuration.revision
        own_version = 0 if tables.placement is None else tables.placement.version
        is_local = link.hello.data_centre == tables.local.data_centre
        known = self._known_tags()
        fetch_placement = is_local and heartbeat.placement_version > own_version
        if fetch_placement and self._is_platform_available():
            self._poll_platform()
            fetch_placement = False
        return (
            (heartbeat.ready and heartbeat.configuration_revision > own_revision)
            or fetch_placement
            or any(tag not in known for tag in heartbeat.take_out_tags)
        )

    def receive_documents(self, documents: Documents) -> None:
        """Process documents that a peer sent; stop at a malformed one.

        A placement is used only while the platform is unavailable, since one from a peer would
        suspend the right to hold until the platform confirms it.
        """
        try:
            if documents.configuration:
                configuration = decode_configuration(documents.configuration)
                self._on_configuration(configuration)
                self._accept_input(ConfigurationRead(configuration, from_platform=False))
            is_local = documents.data_centre == self._tables.local.data_centre
            if documents.placement and is_local and not self._is_platform_available():
                placement = decode_placement(documents.placement)
                self._accept_input(PlacementRead(placement, 0, self._clock()))
        except DocumentError:
            return

    def peer_addresses(self) -> dict[EntryId, str]:
        """Return the addresses of all other entries in the instance list."""
        return {
            EntryId(record.instance_id): record.address
            for record in self._tables.records_by_id.values()
            if record.role is InstanceRole.ENTRY
            and str(record.instance_id) != self._tables.local.entry_id
        }

    def _is_platform_available(self) -> bool:
        """Return whether the platform answered recently."""
        answered_at = self._tables.local.platform_answered_at
        return (
            answered_at is not None and self._clock() - answered_at < PLATFORM_UNRESPONSIVE_SECONDS
        )

    def _known_tags(self) -> set[str]:
        known: set[str] = set(self._tables.pending_take_outs_by_tag)
        configuration = self._tables.configuration
        if configuration is not None:
            known.update(configuration.take_outs_by_tag)
            known.update(configuration.cancelled)
        return known
