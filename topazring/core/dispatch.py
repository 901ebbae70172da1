"""Send waiting requests to upstreams that have free slots."""

from topazring.core import admission
from topazring.core import arrival
from topazring.core import completion
from topazring.core import log_positions
from topazring.core import messages
from topazring.core import requests
from topazring.core import routing
from topazring.core import state as states

__all__ = [
    'dispatch',
]

Out = list
Kind = requests.Kind

# A read waits this long for a busy replica before it goes to the primary.
MAX_REPLICA_QUEUE_MS = 50
# If a confirmation takes longer than both this time and this multiple of the
# usual replica lag, nothing more is sent to the primary.
STALL_MS = 100
STALL_LAGS = 3


def dispatch(state: states.OwnerState, now_ms: int) -> Out:
    """Send waiting requests to upstreams that have free slots."""
    free = states.free_slots(state, now_ms)
    outs: Out = []
    for key in list(state.urgent):
        outs += _dispatch_urgent(state, now_ms, key, free)
    outs += _dispatch_primary(state, now_ms, free)
    outs += _dispatch_replicas(state, now_ms, free)
    return outs


def _dispatch_urgent(
    state: states.OwnerState, now_ms: int, key: int, free: dict[str, int]
) -> Out:
    work = state.work[key]
    if work.is_resolving:
        upstream = state.view.primary
        term = state.view.term
    else:
        transaction = state.transactions.get(work.request.transaction)
        if transaction is None:
            state.urgent.remove(key)
            return completion.fail_lost_transaction(state, work)
        upstream = transaction.upstream
        term = transaction.term
    if not upstream or free.get(upstream, 0) <= 0:
        return []
    state.urgent.remove(key)
    return [_send(state, now_ms, work, upstream, term, free)]


def _dispatch_primary(
    state: states.OwnerState, now_ms: int, free: dict[str, int]
) -> Out:
    primary = state.view.primary
    is_handing_over = state.handing_over_since_ms is not None
    if not primary or is_handing_over or _is_stalled(state, now_ms):
        return []
    outs: Out = []
    while free[primary] > 0:
        key = admission.pop(state.primary_queue, now_ms)
        if key is None:
            break
        work = state.work[key]
        reason = arrival.check_deadline(state, now_ms, work.request)
        if reason is not None:
            outs += completion.give_up(state, work, reason, 0)
            continue
        term = state.view.term
        outs.append(_send(state, now_ms, work, primary, term, free))
    return outs


def _dispatch_replicas(
    state: states.OwnerState, now_ms: int, free: dict[str, int]
) -> Out:
    outs: Out = []
    while admission.size(state.replica_queue):
        any_free = any(
            count > 0
            for name, count in free.items()
            if name != state.view.primary
        )
        if not any_free and not _should_use_primary(state, free):
            break
        key = admission.pop(state.replica_queue, now_ms)
        work = state.work[key]
        route = routing.choose_replica(
            state.view, now_ms, work.request, free, state.leaving_upstreams
        )
        if route is None:
            work.primary_only = True
            outs += _send_or_queue_for_primary(state, now_ms, work, free)
            continue
        outs.append(
            _send(
                state,
                now_ms,
                work,
                route.upstream,
                state.view.term,
                free,
                route,
            )
        )
    return outs


def _is_stalled(state: states.OwnerState, now_ms: int) -> bool:
    """Return whether confirmations have stopped arriving.

    Without this check a primary that is partitioned from its replicas
    accepts writes until it is replaced, and each of them is cancelled
    afterwards. Writes that wait here run at the next primary instead.
    """
    waiting = state.round_state.waiters.values()
    oldest_ms = min((w.sent_ms for w in waiting if w.key > 0), default=now_ms)
    allowed_ms = max(STALL_MS, arrival.usual_lag_ms(state) * STALL_LAGS)
    return now_ms - oldest_ms > allowed_ms


def _should_use_primary(
    state: states.OwnerState, free: dict[str, int]
) -> bool:
    """Return whether the primary should serve reads queued for replicas."""
    waiting = admission.size(state.replica_queue)
    slots = state.limits.slots * max(1, len(free) - 1)
    spare = free.get(state.view.primary, 0) > 1
    return spare and waiting * state.service_ms / slots > MAX_REPLICA_QUEUE_MS


def _send_or_queue_for_primary(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    free: dict[str, int],
) -> Out:
    primary = state.view.primary
    is_handing_over = state.handing_over_since_ms is not None
    is_idle = not is_handing_over and not admission.size(state.primary_queue)
    if primary and is_idle and free[primary] > 0:
        term = state.view.term
        return [_send(state, now_ms, work, primary, term, free)]
    return completion.enqueue(state, now_ms, work)


def _send(
    state: states.OwnerState,
    now_ms: int,
    work: states.Work,
    upstream: str,
    term: int,
    free: dict[str, int],
    route: routing.Route | None = None,
) -> messages.Execute:
    work.phase = states.Phase.RUNNING
    work.attempt += 1
    work.upstream = upstream
    work.term = term
    work.sent_ms = now_ms
    work.at_replica = route is not None
    free[upstream] -= 1
    state.in_flight[upstream] = state.in_flight.get(upstream, 0) + 1
    left_ms = max(1, work.request.deadline_ms - now_ms)
    return messages.Execute(
        work.request.key,
        work.attempt,
        upstream,
        term,
        Kind.SETTLE if work.is_resolving else work.request.kind,
        work.request,
        work.at_replica,
        route.place if route else log_positions.ORIGIN,
        route.wait_ms if route else 0,
        # Leave time to retry elsewhere a read that a replica does not answer.
        max(1, left_ms // 2) if route else left_ms,
    )
