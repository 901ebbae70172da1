"""Describe a group's load as one proxy sees it, for operators.

The description is computed when it is asked for. Its size is bounded: the
pairs of a database and an organisation that wait or are refused most are
named, the others are summed.
"""

import collections
import dataclasses

from topazring.core import log_positions
from topazring.core.synchronous.scheduling import service_counts
from topazring.core.synchronous import state as states

__all__ = [
    'CallerLoad',
    'GroupLoad',
    'UpstreamLoad',
    'describe',
    'is_idle',
    'urgency',
]

MAX_CALLERS = 20
MAX_UPSTREAMS = 16
# Commands that take a slot of an upstream.
_RUNNING = frozenset(
    {states.Purpose.STATEMENT, states.Purpose.BEGIN_TRANSACTION}
)


@dataclasses.dataclass(slots=True)
class CallerLoad:
    """Hold the load from one organisation's callers of one database."""

    database: str
    organisation: str = ''
    # Requests that wait now, and for how long the oldest has.
    waiting: int = 0
    oldest_ms: int = 0
    # In the last seconds.
    served: int = 0
    late: int = 0
    unknown: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """Hold one upstream's load and state as one proxy sees them."""

    name: str
    data_centre: str = ''
    is_primary: bool = False
    # Statements that it runs at a time; 0 if it does not say.
    slots: int = 0
    # Statements of this proxy that it runs or queues, and the most that this
    # proxy sends at a time.
    in_flight: int = 0
    limit: int = 0
    # Statements that wait in it, of all proxies; None if not known.
    queue: int | None = None
    # Log entries behind the last known position of the primary, None if not
    # known, and the age of the position.
    behind: int | None = None
    position_age_ms: int | None = None
    leaving: bool = False
    unreachable: bool = False
    # It refuses further connections.
    full: bool = False
    # How long it is given nothing more, after it reported to be busy, after
    # it refused dials, and by an operator's closure.
    busy_for_ms: int = 0
    dials_paused_for_ms: int = 0
    closed_for_ms: int = 0
    # How long it is sent no reads that need a position that it lacked.
    lagging_for_ms: int = 0


@dataclasses.dataclass(slots=True)
class GroupLoad:
    """Hold a group's load and state as one proxy sees them."""

    service: str
    primary: str = ''
    callers: list[CallerLoad] = dataclasses.field(default_factory=list)
    upstreams: list[UpstreamLoad] = dataclasses.field(default_factory=list)
    omitted_upstreams: int = 0


def is_idle(state: states.GroupState, now_ms: int) -> bool:
    """Return whether nobody waits or was answered in the last seconds."""
    counts = state.service_counts
    return not state.work and service_counts.is_empty(counts, now_ms)


def urgency(callers: CallerLoad) -> tuple[int, int, int]:
    """Return the key for sorting: who waits or is refused most is highest."""
    unserved = callers.waiting + sum(callers.refused.values())
    return unserved, callers.late, callers.served


def describe(state: states.GroupState, now_ms: int) -> GroupLoad:
    """Return the load of a group."""
    listed = sorted(state.upstreams.values(), key=lambda each: each.name)
    shown = listed[:MAX_UPSTREAMS]
    return GroupLoad(
        state.service,
        state.primary,
        _describe_callers(state, now_ms),
        [_describe_upstream(state, now_ms, upstream) for upstream in shown],
        len(listed) - len(shown),
    )


def _describe_callers(
    state: states.GroupState, now_ms: int
) -> list[CallerLoad]:
    found: dict[tuple[str, str], CallerLoad] = {}
    sums = service_counts.sum_up(state.service_counts, now_ms)
    for pair, counts in sums.items():
        found[pair] = CallerLoad(
            *pair,
            served=counts.served,
            late=counts.late,
            unknown=counts.unknown,
            refused=dict(counts.refused),
        )
    for work in state.work.values():
        if not work.is_queued:
            continue
        request = work.request
        pair = (request.policy.database, request.organisation)
        callers = found.setdefault(pair, CallerLoad(*pair))
        callers.waiting += 1
        waited_ms = now_ms - request.arrived_ms
        callers.oldest_ms = max(callers.oldest_ms, waited_ms)
    ordered = sorted(found.values(), key=urgency, reverse=True)
    if len(ordered) <= MAX_CALLERS:
        return ordered
    rest = _sum_of(ordered[MAX_CALLERS - 1 :])
    return [*ordered[: MAX_CALLERS - 1], rest]


def _sum_of(callers: list[CallerLoad]) -> CallerLoad:
    refused: collections.Counter[str] = collections.Counter()
    for each in callers:
        refused.update(each.refused)
    return CallerLoad(
        *service_counts.OTHERS,
        waiting=sum(each.waiting for each in callers),
        oldest_ms=max(each.oldest_ms for each in callers),
        served=sum(each.served for each in callers),
        late=sum(each.late for each in callers),
        unknown=sum(each.unknown for each in callers),
        refused=dict(refused),
    )


def _describe_upstream(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> UpstreamLoad:
    in_flight = sum(
        connection.phase is states.Phase.BUSY
        and connection.purpose in _RUNNING
        for connection in states.connections_to(state, upstream.name)
    )
    has_position = upstream.place != log_positions.ORIGIN
    lagging_until_ms = upstream.lagging_ms + upstream.lagging_pause_ms
    closed_until_ms = state.closed_until_ms.get(upstream.name, now_ms)
    return UpstreamLoad(
        upstream.name,
        upstream.data_centre,
        upstream.name == state.primary,
        upstream.slots,
        in_flight,
        round(min(upstream.concurrency_limit, state.connection_share)),
        _estimate_queue(upstream),
        _entries_behind(state, upstream),
        now_ms - upstream.place_ms if has_position else None,
        upstream.leaving,
        upstream.is_unreachable,
        upstream.is_full,
        max(0, upstream.busy_until_ms - now_ms),
        max(0, upstream.dial_after_ms - now_ms),
        max(0, closed_until_ms - now_ms),
        max(0, lagging_until_ms - now_ms),
    )


def _estimate_queue(upstream: states.Upstream) -> int | None:
    """Return how many statements wait in an upstream, by Little's law.

    What a statement takes longer than without a queue, it has waited. J. D.
    C. Little, A Proof for the Queuing Formula L = lambda W, Operations
    Research 9 (3), 1961.
    """
    if not upstream.slots or upstream.unqueued_service_ms <= 0:
        return None
    slowdown = upstream.service_ms / upstream.unqueued_service_ms - 1
    return round(upstream.slots * max(0.0, slowdown))


def _entries_behind(
    state: states.GroupState, upstream: states.Upstream
) -> int | None:
    """Return the distance to the last known position of the primary.

    Positions of different terms have no distance.
    """
    primary = state.upstreams.get(state.primary)
    if primary is None or upstream.place == log_positions.ORIGIN:
        return None
    if primary.place.log_term != upstream.place.log_term:
        return None
    return max(0, primary.place.position - upstream.place.position)
