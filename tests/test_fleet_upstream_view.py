"""The view of the registry: changes lead to the same view as a complete listing, at little cost."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._upstreams import (
    GroupKey,
    Lifetime,
    Membership,
    MemberState,
    Upstream,
    UpstreamId,
    UpstreamState,
    UpstreamView,
)
from cactuspass.models import GroupId
from tests.fleet_path import recording_log
from tests.fleet_world import SMALL, host

NAMES = tuple(f"u{number}" for number in range(6))

memberships = st.builds(
    Membership,
    st.builds(GroupKey, st.sampled_from((GroupId("g0"), GroupId("g1"))), st.integers(1, 2)),
    st.integers(0, 2),
    st.sampled_from(MemberState),
)
upstreams = st.builds(
    lambda name, membership, state, born_ms: replace(
        host(name), membership=membership, state=state, born_ms=born_ms
    ),
    st.sampled_from(NAMES),
    st.none() | memberships,
    st.sampled_from(UpstreamState),
    st.integers(1, 3),
)
changes = st.tuples(st.lists(upstreams, max_size=4), st.sets(st.sampled_from(NAMES), max_size=2))


def members(count: int) -> list[Upstream]:
    """Return the members of a group of hosts, whose head is open."""
    key = GroupKey(GroupId("g"), 1)
    states = [MemberState.OPEN] + [MemberState.READY] * (count - 1)
    return [
        replace(host(f"m{rank}"), loaded=SMALL, membership=Membership(key, rank, state))
        for rank, state in enumerate(states)
    ]


class ViewChangesTest(unittest.TestCase):
    """A view that is made from the previous one, and the state of an instance that has it."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(changes, max_size=6))
    def test_changes_lead_to_the_same_view_as_a_listing(
        self, steps: list[tuple[list[Upstream], set[str]]]
    ) -> None:
        view = UpstreamView()
        for changed, removed in steps:
            view = view.with_changes(changed, map(UpstreamId, removed))
            listed = UpstreamView.of(view.upstreams_by_id.values())
            self.assertEqual(view, listed)
            self.assertEqual(list(view.groups_by_key), list(listed.groups_by_key))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(changes, max_size=6), st.sampled_from(NAMES))
    def test_state_after_changes_is_that_after_listings(
        self, steps: list[tuple[list[Upstream], set[str]]], leaving: str
    ) -> None:
        by_changes, by_listings = (ClusterState(recording_log()[0]) for _ in range(2))
        for state in (by_changes, by_listings):
            state.mark_leaving(Lifetime(UpstreamId(leaving), 2))
        registered_by_id: dict[UpstreamId, Upstream] = {}
        for revision, (changed, removed) in enumerate(steps, 1):
            removed_ids = {UpstreamId(name) for name in removed}
            for upstream_id in removed_ids:
                registered_by_id.pop(upstream_id, None)
            registered_by_id.update((upstream.upstream_id, upstream) for upstream in changed)
            by_changes.accept_changes(changed, removed_ids, revision)
            by_listings.accept_upstreams(registered_by_id.values(), revision)
            self.assertEqual(by_changes.registered_by_id, by_listings.registered_by_id)
            self.assertEqual(by_changes.view, by_listings.view)
            self.assertEqual(by_changes.departures.lifetimes, by_listings.departures.lifetimes)

    def test_groups_that_have_not_changed_are_kept_as_they_are(self) -> None:
        view = UpstreamView.of([*members(3), host("free")])
        [key] = view.groups_by_key
        later = view.with_changes([replace(host("free"), staged=(SMALL,))])
        self.assertIs(later.groups_by_key[key], view.groups_by_key[key])

    def test_later_lifetime_with_the_same_rank_is_the_member(self) -> None:
        head, second = members(2)
        restarted = replace(second, upstream_id=UpstreamId("new"), born_ms=second.born_ms + 1)
        for listed in ([head, second, restarted], [head, restarted, second]):
            [group] = UpstreamView.of(listed).groups_by_key.values()
            self.assertEqual(group.members, (head, restarted))

    def test_older_revision_is_not_applied(self) -> None:
        state = ClusterState(recording_log()[0])
        state.accept_upstreams([host("a")], 5)
        state.accept_changes([host("b")], [UpstreamId("a")], 4)
        self.assertEqual(list(state.view.upstreams_by_id), ["a"])


if __name__ == "__main__":
    unittest.main()
