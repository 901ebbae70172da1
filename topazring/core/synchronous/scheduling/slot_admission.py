"""Admit requests of a group whose upstreams state their slots.

A request is admitted if it can be answered within its latency goal. Its wait
is estimated from the service times of all that precede it in the order of
service, and of the requests of higher priorities that are expected to arrive
while it waits (Cobham, 1954). It is refused as well if it would make a waiting
request of its own priority miss a goal that this can meet otherwise.
"""

import dataclasses

from topazring.core import outcomes
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import messages
from topazring.core.synchronous import request_queues
from topazring.core.synchronous import routing
from topazring.core.synchronous.scheduling import demand
from topazring.core.synchronous.scheduling import return_schedule
from topazring.core.synchronous.scheduling import service_order
from topazring.core.synchronous.scheduling import service_times
from topazring.core.synchronous import state as states

__all__ = ['overdue', 'refusal', 'report']

Reason = outcomes.Reason

# Share of the remaining time to its goal, and to its deadline, within which
# an answer has to be expected. The rest covers errors of the estimate.
GOAL_SHARE = 0.6
DEADLINE_SHARE = 0.8
# Requests of higher priorities leave at least this share of the slots, as far
# as the estimate goes; without a bound it would be infinite.
MIN_SHARE_LEFT = 0.1
# A log entry has some 400 bytes.
REPORT_PERIOD_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Estimate:
    """Hold what is expected of a new request."""

    # Time until its answer; 0 if it need not wait.
    answer_ms: float
    # Whether another request would miss its goal because of it.
    displaces: bool


def refusal(
    state: states.GroupState, now_ms: int, work: states.Work
) -> outcomes.NotRun | None:
    """Return the refusal of a request that cannot be served in time."""
    request = work.request
    able = routing.candidates(state, now_ms, work)
    estimate = _estimate(state, now_ms, work, able)
    limit_ms = _limit_ms(now_ms, work)
    accepted = estimate.answer_ms <= limit_ms and not estimate.displaces
    service_ms = service_order.expected_service_ms(state, request)
    priority = request.policy.priority
    if accepted:
        demand.add(state.demand, now_ms, priority, service_ms)
        return None
    state.counters['refused_out_of_goal'] += 1
    if estimate.displaces:
        state.counters['refused_as_displacing'] += 1
    latest_ms = work.deadline_ms - now_ms - service_ms
    retry_ms = return_schedule.spread(
        state.returns, estimate.answer_ms - limit_ms, latest_ms
    )
    return outcomes.NotRun(Reason.OVERLOAD, retry_ms)


def overdue(state: states.GroupState, now_ms: int) -> list[states.Work]:
    """Return waiting requests that can no longer be served in time."""
    return [
        work
        for work in state.work.values()
        if work.is_queued
        and now_ms + _statement_ms(state, work.request) > work.deadline_ms
    ]


def report(state: states.GroupState, now_ms: int) -> list:
    """Return a log event about refusals, at most one each period."""
    if now_ms - state.refusals_reported_ms < REPORT_PERIOD_MS:
        return []
    state.refusals_reported_ms = now_ms
    inputs = {
        'waiting': request_queues.count(state),
        'refused_out_of_goal': state.counters['refused_out_of_goal'],
        'refused_as_displacing': state.counters['refused_as_displacing'],
        'overtaken_until_overdue': state.counters['overtaken_until_overdue'],
        'started_past_goal': state.counters['started_past_goal'],
        'slots_by_priority': demand.by_priority(state.demand, now_ms),
        'service_ms': service_times.by_database(state.service_by_database),
    }
    return [messages.LogDecision('requests refused', inputs=inputs)]


def _statement_ms(
    state: states.GroupState, request: messages.Request
) -> float:
    return service_times.expected_ms(
        state.service_by_database, request.policy.database, False
    )


def _limit_ms(now_ms: int, work: states.Work) -> float:
    """Return the longest expected time to an answer that is accepted."""
    request = work.request
    goal_ms = _goal_left_ms(now_ms, request) * GOAL_SHARE
    left_ms = (work.deadline_ms - now_ms) * DEADLINE_SHARE
    return max(0.0, min(left_ms, goal_ms))


def _goal_left_ms(now_ms: int, request: messages.Request) -> int:
    return request.arrived_ms + request.policy.latency_goal_ms - now_ms


def _estimate(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    able: list[states.Upstream],
) -> _Estimate:
    request = work.request
    mean_ms = service_times.mean_ms(state.service_by_database)
    # The wait behind one request is the time of two.
    two_ms = concurrency_limit.expected_wait_ms(state, 1, able)
    others = request_queues.competing(state, now_ms, work, able)
    if not others or not two_ms:
        return _Estimate(0.0, displaces=False)
    slots = 2 / two_ms * mean_ms
    ordered = service_order.order(state, now_ms, [*others, work])
    place = ordered.index(work)
    ahead_ms = _total_ms(state, ordered[:place])
    ahead = ahead_ms / mean_ms
    wait_ms = concurrency_limit.expected_wait_ms(state, ahead, able)
    used = demand.preceding(state.demand, now_ms, request.policy.priority)
    wait_ms /= max(MIN_SHARE_LEFT, 1 - used / slots)
    service_ms = service_order.expected_service_ms(state, request)
    return _Estimate(
        wait_ms + service_ms if wait_ms else 0.0,
        _displaces(state, now_ms, ordered, place, slots),
    )


def _total_ms(state: states.GroupState, works: list[states.Work]) -> float:
    return sum(
        service_order.expected_service_ms(state, work.request)
        for work in works
    )


def _displaces(
    state: states.GroupState,
    now_ms: int,
    ordered: list[states.Work],
    place: int,
    slots: float,
) -> bool:
    """Return whether a new request costs one of its priority the goal."""
    new = ordered[place].request
    extra_ms = service_order.expected_service_ms(state, new) / slots
    ahead_ms = _total_ms(state, ordered[:place])
    for work in ordered[place + 1 :]:
        request = work.request
        if request.policy.priority != new.policy.priority:
            return False
        service_ms = service_order.expected_service_ms(state, request)
        goal_ms = request.arrived_ms + request.policy.latency_goal_ms
        slack_ms = goal_ms - service_ms - now_ms - ahead_ms / slots
        if 0 <= slack_ms < extra_ms:
            return True
        ahead_ms += service_ms
    return False
