"""Says in a log line which upstreams serve in no group, and what they could become."""

from collections import Counter

from cactuspass.fleet._round import Round
from cactuspass.fleet._upstreams import Upstream


def describe_free_hosts(current: Round) -> str:
    """Return the free hosts of each fabric domain by what they carry.

    :return: for example ``d1: alpha x3, loading beta x1; d2: empty x2``.
    """
    return "; ".join(
        f"{domain}: {_count_by_state(hosts, current)}"
        for domain, hosts in sorted(current.free_hosts_by_domain().items())
    )


def _count_by_state(hosts: list[Upstream], current: Round) -> str:
    counts = Counter(_state(host, current) for host in hosts)
    return ", ".join(f"{state} x{count}" for state, count in sorted(counts.items()))


def _state(host: Upstream, current: Round) -> str:
    schedule = current.memory.schedule
    if schedule.is_loading(host.upstream_id):
        return f"loading {schedule.model(host.upstream_id) or 'an unknown model'}"
    return host.staged[-1] if host.staged else "empty"
