"""Choose the upstream that serves a read."""

import dataclasses

from topazring.core import log_positions
from topazring.core import messages
from topazring.core import requests
from topazring.core import view as views

__all__ = ['Route', 'choose_replica', 'required_position', 'valid_at_replica']

# A replica unheard of for longer gets no new reads.
MAX_STATUS_AGE_MS = 1500


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Name a replica, the place it has to reach, and the wait allowed."""

    upstream: str
    place: log_positions.LogPosition
    wait_ms: int


def required_position(
    view: views.GroupView, now_ms: int, request: requests.Request
) -> log_positions.LogPosition | None:
    """Return the place a replica has to reach for this read, if any will do.

    The token's place gives read-your-writes and keeps the session from
    going back; the sample's place bounds the age.
    """
    staleness_ms = request.profile.max_staleness_ms
    if staleness_ms <= 0:
        return None
    place = views.staleness_position(view, now_ms, staleness_ms)
    if place is None:
        return None
    return max(place, request.token_place)


def choose_replica(
    view: views.GroupView,
    now_ms: int,
    request: requests.Request,
    free_slots: dict[str, int],
    leaving: frozenset[str],
) -> Route | None:
    """Return the replica to read from, or None for the primary.

    Replicas that are there already come first, the least busy before the
    others; then one that is predicted to arrive within the profile's wait.
    """
    place = required_position(view, now_ms, request)
    if place is None:
        return None
    ready = []
    arriving = []
    for name, seen in view.upstreams.items():
        if not _usable(view, now_ms, seen) or name in leaving:
            continue
        if free_slots.get(name, 0) <= 0:
            continue
        if seen.place >= place:
            ready.append((-free_slots[name], name))
            continue
        wait_ms = _predict_wait(view, now_ms, seen, place)
        if wait_ms <= request.profile.replica_wait_ms:
            arriving.append((wait_ms, name))
    if ready:
        return Route(_spread(ready, request.key), place, 0)
    if arriving:
        wait_ms = request.profile.replica_wait_ms
        return Route(min(arriving)[1], place, wait_ms)
    return None


def _spread(ready: list[tuple[int, str]], key: int) -> str:
    """Take the least busy; among equals turn about by the request's key."""
    most_free = min(ready)[0]
    names = sorted(name for free, name in ready if free == most_free)
    return names[key % len(names)]


def _usable(
    view: views.GroupView, now_ms: int, seen: views.UpstreamView
) -> bool:
    if seen.name == view.primary or seen.seen_ms is None:
        return False
    if seen.accepted_term != view.term:
        return False
    return now_ms - seen.seen_ms <= MAX_STATUS_AGE_MS


def _predict_wait(
    view: views.GroupView,
    now_ms: int,
    seen: views.UpstreamView,
    place: log_positions.LogPosition,
) -> float:
    """Predict when the replica reaches `place` from its usual lag."""
    for sample in view.samples:
        if sample.place >= place:
            return max(0.0, sample.sent_ms + seen.lag_ms - now_ms)
    return seen.lag_ms


def valid_at_replica(view: views.GroupView, result: messages.Ran) -> bool:
    """Say whether no promotion can take back what a replica showed.

    What a majority is known to hold is safe up to its place, but only in
    the log of the same term: a replaced primary's tail sorts before the
    places of a later term and is in nobody's log. In a group of three the
    last entry of a replica's own term is safe too: its primary and it are a
    majority. An entry of an older term is not (the case of figure 8 in
    Ongaro and Ousterhout, "In Search of an Understandable Consensus
    Algorithm", 2014), nor is anything that the upstream shows when it leads
    by now: it may be the only holder.
    """
    place = result.place
    same_log = place.log_term == view.committed.log_term
    if same_log and place <= view.committed:
        return True
    own_term = place.log_term == result.accepted_term
    return views.majority(view) <= 2 and own_term and not result.leads
