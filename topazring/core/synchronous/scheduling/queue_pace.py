"""Estimate waits from how fast the requests of a queue are served.

The wait of a request follows from the number of requests of its own kind that
wait and the mean time between two of them being served (Little 1961). What
overtakes the kind or takes its slots lengthens that time and need not be
counted: requests of a higher priority, turns of others, statements of open
transactions and of other owners, dials and status queries.

Service is irregular, so a newcomer meets long intervals more often than short
ones, and requests are admitted more often while the estimate is too low. Both
are corrected by the ratio of the waits seen to those estimated.
"""

from topazring.core.synchronous import state as states

__all__ = ['estimate_wait_ms', 'note_served']

# With this weight an interval follows a change within ten requests.
INTERVAL_WEIGHT = 0.1
# The correction changes less than the intervals, which it is based on.
CORRECTION_WEIGHT = 0.05
# Samples of the correction that count as exact at the start.
INITIAL_SAMPLES = 4
MIN_CORRECTION = 0.2
MAX_CORRECTION = 5.0
MIN_SAMPLES = 4
# Intervals that were measured before this time say nothing any more, and
# nothing was waiting for all of a longer one.
VALID_MS = 2000


def estimate_wait_ms(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    assumed_ms: float,
) -> float:
    """Return the expected wait of a new request, and note it for comparison.

    `assumed_ms` is used until enough requests of its kind have been served.
    """
    kind = _kind_of(work)
    pace = _pace_of(state, kind)
    interval_ms = _interval_ms(pace, now_ms)
    raw_ms = assumed_ms
    if interval_ms is not None:
        raw_ms = (_count_waiting(state, kind) + 1) * interval_ms
    work.estimate = states.Estimate(kind, raw_ms)
    return raw_ms * _correction(pace)


def note_served(
    state: states.GroupState, now_ms: int, work: states.Work
) -> None:
    """Record that a statement, or a transaction, of the queue has ended."""
    kind = _kind_of(work)
    pace = _pace_of(state, kind)
    _note_interval(pace, now_ms)
    pace.awaited_ms = now_ms if _count_waiting(state, kind) else None
    estimate, work.estimate = work.estimate, None
    if estimate is None or work.first_sent_ms is None:
        return
    seen_ms = work.first_sent_ms - work.request.arrived_ms
    _note_wait(_pace_of(state, estimate.kind), estimate.wait_ms, seen_ms)


def _interval_ms(pace: states.Pace, now_ms: int) -> float | None:
    if pace.samples < MIN_SAMPLES or now_ms - pace.sampled_ms > VALID_MS:
        return None
    if pace.awaited_ms is None:
        return pace.interval_ms
    # An upstream that has just become slow has completed nothing yet.
    return max(pace.interval_ms, now_ms - pace.awaited_ms)


def _note_interval(pace: states.Pace, now_ms: int) -> None:
    if pace.awaited_ms is None:
        return
    interval_ms = now_ms - pace.awaited_ms
    if interval_ms > VALID_MS:
        return
    if now_ms - pace.sampled_ms > VALID_MS:
        pace.samples = 0
    pace.samples += 1
    weight = max(INTERVAL_WEIGHT, 1 / pace.samples)
    pace.interval_ms += (interval_ms - pace.interval_ms) * weight
    pace.sampled_ms = now_ms


def _note_wait(pace: states.Pace, expected_ms: float, seen_ms: float) -> None:
    pace.compared += 1
    weight = max(CORRECTION_WEIGHT, 1 / (pace.compared + INITIAL_SAMPLES))
    pace.expected_ms += (expected_ms - pace.expected_ms) * weight
    pace.seen_ms += (max(1, seen_ms) - pace.seen_ms) * weight


def _correction(pace: states.Pace) -> float:
    ratio = pace.seen_ms / max(1.0, pace.expected_ms)
    return min(MAX_CORRECTION, max(MIN_CORRECTION, ratio))


def _pace_of(state: states.GroupState, kind: tuple) -> states.Pace:
    pace = state.paces.get(kind)
    if pace is None:
        pace = state.paces[kind] = states.Pace()
    return pace


def _kind_of(work: states.Work) -> tuple[bool, int, str]:
    """Return the queue, the priority and the database of a request."""
    policy = work.request.policy
    return work.primary_only, policy.priority, policy.database


def _count_waiting(state: states.GroupState, kind: tuple) -> int:
    """Return how many requests of a kind wait."""
    return sum(
        work.is_queued and _kind_of(work) == kind
        for work in state.work.values()
    )
