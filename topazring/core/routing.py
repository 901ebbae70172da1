"""Choose the upstream that serves a read."""

import dataclasses

from topazring.core import log_positions
from topazring.core import messages
from topazring.core import requests
from topazring.core import view as views

__all__ = ['Route', 'choose_replica', 'required_position', 'valid_at_replica']

# A replica whose last status is older than this gets no new reads.
MAX_STATUS_AGE_MS = 1500


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Replica, the log position it has to reach, and the wait allowed."""

    upstream: str
    place: log_positions.LogPosition
    wait_ms: int


def required_position(
    view: views.GroupView, now_ms: int, request: requests.Request
) -> log_positions.LogPosition | None:
    """Return the log position that a replica needs to serve this read.

    None means that no replica may serve it. The token's position provides
    read-your-writes and monotonic reads; the sample's bounds the staleness.
    """
    staleness_ms = request.profile.max_staleness_ms
    if staleness_ms <= 0:
        return None
    log_position = views.staleness_position(view, now_ms, staleness_ms)
    if log_position is None:
        return None
    return max(log_position, request.token_place)


def choose_replica(
    view: views.GroupView,
    now_ms: int,
    request: requests.Request,
    free_slots: dict[str, int],
    leaving: frozenset[str],
) -> Route | None:
    """Return the replica to read from, or None for the primary.

    Replicas that have reached the position already are preferred, the least
    busy first; then the one predicted to reach it within the profile's wait.
    """
    log_position = required_position(view, now_ms, request)
    if log_position is None:
        return None
    ready = []
    catching_up = []
    for name, seen in view.upstreams.items():
        if not _is_usable(view, now_ms, seen) or name in leaving:
            continue
        if free_slots.get(name, 0) <= 0:
            continue
        if seen.place >= log_position:
            ready.append((-free_slots[name], name))
            continue
        wait_ms = _predict_wait_ms(view, now_ms, seen, log_position)
        if wait_ms <= request.profile.replica_wait_ms:
            catching_up.append((wait_ms, name))
    if ready:
        return Route(_choose_least_busy(ready, request.key), log_position, 0)
    if catching_up:
        wait_ms = request.profile.replica_wait_ms
        return Route(min(catching_up)[1], log_position, wait_ms)
    return None


def _choose_least_busy(ready: list[tuple[int, str]], key: int) -> str:
    """Return the least busy replica; spread ties by the request's key."""
    most_free = min(ready)[0]
    names = sorted(name for free, name in ready if free == most_free)
    return names[key % len(names)]


def _is_usable(
    view: views.GroupView, now_ms: int, seen: views.UpstreamView
) -> bool:
    if seen.name == view.primary or seen.seen_ms is None:
        return False
    if seen.accepted_term != view.term:
        return False
    return now_ms - seen.seen_ms <= MAX_STATUS_AGE_MS


def _predict_wait_ms(
    view: views.GroupView,
    now_ms: int,
    seen: views.UpstreamView,
    log_position: log_positions.LogPosition,
) -> float:
    """Predict the replica's time to reach a position from its mean lag."""
    for sample in view.samples:
        if sample.place >= log_position:
            return max(0.0, sample.sent_ms + seen.lag_ms - now_ms)
    return seen.lag_ms


def valid_at_replica(view: views.GroupView, result: messages.Ran) -> bool:
    """Return whether no promotion can revert what a replica returned.

    Entries up to the committed position are durable, but only in the log of
    the same term: the tail of a replaced primary's log sorts before the
    positions of a later term and is in no other log. In a group of three the
    last entry of the replica's own term is durable too, because the replica
    and its primary are a majority. An entry of an older term is not (the
    case of figure 8 in Ongaro and Ousterhout, "In Search of an
    Understandable Consensus Algorithm", 2014). Neither is a result of an
    upstream that has become primary, which may be the only holder.
    """
    log_position = result.place
    is_same_log = log_position.log_term == view.committed.log_term
    if is_same_log and log_position <= view.committed:
        return True
    is_own_term = log_position.log_term == result.accepted_term
    return views.majority(view) <= 2 and is_own_term and not result.leads
