"""Decision lines on changes of the registry of upstreams."""

from collections.abc import Collection, Iterable, Mapping

from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._upstreams import Upstream, UpstreamId


def log_upstream_changes(
    log: DecisionLog,
    known_by_id: Mapping[UpstreamId, Upstream],
    changed: Collection[Upstream],
    removed: Iterable[UpstreamId],
    revision: int,
) -> None:
    """Log which upstreams were found, removed, restarted or have another state.

    :param known_by_id: the upstreams before the change.
    :param revision: revision of the registry with the change.
    """
    if not known_by_id:
        log.state_change("upstreams-listed", count=len(changed), revision=revision)
        return
    for upstream_id in sorted(removed):
        if upstream_id in known_by_id:
            log.state_change("upstream-gone", upstream=upstream_id, revision=revision)
    for upstream in sorted(changed, key=lambda upstream: upstream.upstream_id):
        known = known_by_id.get(upstream.upstream_id)
        if known is None:
            log.state_change("upstream-found", upstream=upstream.upstream_id, revision=revision)
        else:
            _log_change(log, known, upstream, revision)


def _log_change(log: DecisionLog, old: Upstream, new: Upstream, revision: int) -> None:
    upstream_id = new.upstream_id
    if new.state is not old.state:
        state = new.state.value
        log.state_change("upstream-state", upstream=upstream_id, state=state, revision=revision)
    if new.born_ms != old.born_ms:
        log.state_change("upstream-restarted", upstream=upstream_id, revision=revision)
