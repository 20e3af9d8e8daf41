"""Lets hosts leave groups that serve no more, before they join others."""

from collections.abc import Iterator

from cactuspass.fleet._inventory import describe_release
from cactuspass.fleet._orders import AddressedOrder, Leave
from cactuspass.fleet._round import Round
from cactuspass.fleet._upstreams import SERVING_STATES, GroupKey

ANSWER_SECONDS = 0.2
FIRST_REPORTS_SECONDS = 0.7


def release_hosts(current: Round) -> Iterator[AddressedOrder]:
    """Tell hosts that no group keeps to leave the groups that they are still members of.

    What is known of a group's head may be old or wrong. Once a host has answered that it left, it
    is in no group, whatever its head does.
    """
    ledger, at = current.memory.ledger, current.situation.at
    for host in current.unbound_hosts():
        known = ledger.state(host)
        if known is None and at - current.memory.began_at < FIRST_REPORTS_SECONDS:
            current.releasing.add(host.fabric_domain)
        if known is None or known.membership is None or ledger.refused_lately(host, at):
            continue
        key = known.membership.key
        if _serves(key, current):
            continue
        first_at = current.memory.released_at.setdefault((host.upstream_id, key), at)
        if at - first_at < ANSWER_SECONDS:
            current.releasing.add(host.fabric_domain)
        if current.may_send(host, f"leave {key}"):
            yield current.order(host, Leave(key), describe_release(key, current))


def _serves(key: GroupKey, current: Round) -> bool:
    """Return whether the head of a group is seen to serve, though not all members are seen."""
    group = current.situation.view.groups_by_key.get(key)
    if group is None or group.head is None or group.head.membership is None:
        return False
    return group.head.membership.state in SERVING_STATES
