"""Assign waiting requests to upstreams and send them."""

import collections.abc

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core import retries
from topazring.core.synchronous import completion
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import connections
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import freshness
from topazring.core.synchronous import member_queries
from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import request_queues
from topazring.core.synchronous import routing
from topazring.core.synchronous.scheduling import organisation_shares
from topazring.core.synchronous import session_setup
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'continue_transaction',
    'hedge',
    'roll_back',
    'start_waiting',
]

Reason = outcomes.Reason

# Of the requests without unusual events, one in this many is logged.
LOG_SAMPLE_INTERVAL = 256


def start_waiting(state: states.GroupState, now_ms: int) -> list:
    """Start waiting requests in order while connections are free.

    Leadership checks are sent first, because answers that are otherwise ready
    wait for them.
    """
    outs: list = member_queries.send_queries(state, now_ms)
    outs += _serve_at_primary(state, now_ms)
    return outs + _serve_anywhere(state, now_ms)


def _serve_at_primary(state: states.GroupState, now_ms: int) -> list:
    """Start requests that need the primary while it accepts more."""
    outs: list = []
    if not request_queues.has_any(state, True) or not _primary_accepts(
        state, now_ms
    ):
        return outs
    keys = request_queues.service_order(state, True)
    for key in _connected_first(state, now_ms, keys, [state.primary]):
        work = state.work[key]
        if work.not_before_ms > now_ms:
            continue
        outs += _start_at_primary(state, now_ms, work)
        if not _primary_accepts(state, now_ms):
            return outs
    return outs


def _serve_anywhere(state: states.GroupState, now_ms: int) -> list:
    """Start requests that any sufficiently fresh upstream may serve."""
    outs: list = []
    if not request_queues.has_any(state, False):
        return outs
    capacity = None
    keys = request_queues.service_order(state, False)
    for key in _connected_first(state, now_ms, keys, state.upstreams):
        work = state.work[key]
        if work.not_before_ms > now_ms:
            continue
        if capacity is None:
            capacity = routing.read_capacity(state, now_ms)
        started = _try_any(state, now_ms, work, capacity)
        if started:
            # The request took a connection, or others were evicted from the
            # queue for it, so the capacity has to be determined again.
            capacity = None
            outs += started
    return outs


def _connected_first(
    state: states.GroupState,
    now_ms: int,
    keys: list[int],
    upstreams: collections.abc.Iterable[str],
) -> list[int]:
    """Return waiting requests in the order in which to look for connections.

    Where requests name no organisation, they go in the order of the queues.
    """
    if not state.serves_organisations or len(keys) < 2:
        return keys
    return organisation_shares.order(state, now_ms, keys, list(upstreams))


def _primary_accepts(state: states.GroupState, now_ms: int) -> bool:
    """Return whether the primary can accept another request."""
    upstream = state.upstreams.get(state.primary)
    if upstream is None or states.is_closed_to_work(upstream, now_ms):
        return False
    return routing.accepts_request(state, now_ms, upstream)


def _try_primary(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    if not _primary_accepts(state, now_ms):
        return []
    return _start_at_primary(state, now_ms, work)


def _start_at_primary(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    connection = routing.best_connection(state, state.primary, work.request)
    if connection is None:
        return connections.open_for(
            state,
            now_ms,
            state.upstreams[state.primary],
            work.request.organisation,
        )
    return _start(state, now_ms, work, connection, None)


def _try_any(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    capacity: routing.ReadCapacity,
) -> list:
    position = freshness.required_place(state, work.request)
    if position is None:
        return _move_to_primary(state, now_ms, work, 'no age is known')
    fresh = routing.filter_fresh(
        state, now_ms, work, position, capacity.readable
    )
    if not fresh:
        return _move_to_primary(state, now_ms, work, 'no replica will do')
    free = [upstream for upstream in fresh if upstream.name in capacity.free]
    if not free:
        return []
    organisation = work.request.organisation
    chosen = routing.choose_free_upstream(state, now_ms, free, organisation)
    connection = routing.best_connection(state, chosen.name, work.request)
    if connection is not None:
        return _start(state, now_ms, work, connection, position)
    return _open_any(state, now_ms, work, free)


def _open_any(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    upstreams: list[states.Upstream],
) -> list:
    """Open a connection for a request unless one is due soon."""
    if _is_being_connected(state, now_ms, work, upstreams):
        return []
    organisation = work.request.organisation
    others = [
        upstream
        for upstream in upstreams
        if not connections.is_opening_for(state, upstream.name, organisation)
        and not routing.is_connected(state, upstream, organisation)
    ]
    if not others:
        return []
    chosen = routing.choose_free_upstream(state, now_ms, others, organisation)
    return connections.open_for(state, now_ms, chosen, organisation)


def _is_being_connected(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    upstreams: list[states.Upstream],
) -> bool:
    """Return whether a connection that a request needs is due soon."""
    organisation = work.request.organisation
    return any(
        connection.phase is states.Phase.OPENING
        and connection.organisation == organisation
        and now_ms - connection.sent_ms < connections.LATE_DIAL_MS
        for upstream in upstreams
        for connection in states.connections_to(state, upstream.name)
    )


def _move_to_primary(
    state: states.GroupState, now_ms: int, work: states.Work, why: str
) -> list:
    request_queues.remove(state, work)
    work.primary_only = True
    outs = completion.enqueue(state, now_ms, work)
    if not work.is_queued:
        return outs
    state.counters['read_moved_to_primary'] += 1
    work.is_traced = True
    moved = messages.LogDecision(
        'read needs the primary',
        work.request.statement.request_id,
        {
            'why': why,
            'samples': len(state.samples),
            'passed_over': len(work.passed_over),
        },
    )
    return [moved, *outs, *_try_primary(state, now_ms, work)]


def _start(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
    after: log_positions.LogPosition | None,
) -> list:
    request = work.request
    if work.is_queued:
        request_queues.dequeue(state, now_ms, work)
    if work.first_sent_ms is None:
        work.first_sent_ms = now_ms
    concurrency_limit.start_hold(state, connection, now_ms)
    _assign_connection(state, now_ms, work, connection)
    outs = _sent_events(state, now_ms, work, connection, after)
    if after is None and proofs.needs_proof(request):
        proofs.request_proof(state, request.arrived_ms)
    if request.begins:
        commands = exchanges.begin_commands(connection, request, after)
        purpose = states.Purpose.BEGIN_TRANSACTION
        sent = connections.send(connection, now_ms, purpose, commands)
    else:
        setup = session_setup.setup_commands(connection, request)
        commands = exchanges.single_commands(request, after)
        sent = session_setup.send(connection, now_ms, setup, commands)
    outs.append(sent)
    return outs + member_queries.send_queries(state, now_ms)


def _sent_events(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
    after: log_positions.LogPosition | None,
) -> list:
    """Return a log event with the upstream that a request is sent to.

    It is logged if an earlier event of the request was; of the other requests
    one in `LOG_SAMPLE_INTERVAL` is logged.
    """
    request = work.request
    if not work.is_traced and request.key % LOG_SAMPLE_INTERVAL:
        return []
    work.is_traced = True
    upstream = state.upstreams[connection.upstream]
    return [
        messages.LogDecision(
            'sent',
            request.statement.request_id,
            {
                'upstream': upstream.name,
                'primary': state.primary,
                'after': str(after) if after else '',
                'freshness': str(request.policy.freshness),
                'policy_version': request.policy.version,
                'service_ms': round(upstream.service_ms, 1),
                'place': str(upstream.place),
                'place_age_ms': now_ms - upstream.place_ms,
                'waited_ms': now_ms - request.arrived_ms,
            },
        )
    ]


def _assign_connection(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
) -> None:
    # A transaction continues at an upstream that is no longer listed.
    upstream = state.upstreams.get(connection.upstream)
    connection.place_before = log_positions.ORIGIN
    if upstream is not None:
        connection.place_before = upstream.place
    work.running.add(connection.number)
    if upstream is not None:
        organisation_shares.charge(
            state, now_ms, connection.organisation, upstream.service_ms
        )
    connection.work = work.request.key
    connection.served_ms = now_ms
    connection.is_writing = work.request.writes


def continue_transaction(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    """Send a statement of an open transaction on its connection."""
    request = work.request
    transaction = state.transactions.get(request.transaction)
    if transaction is None:
        return completion.give_up(
            state, now_ms, work, Reason.TRANSACTION_LOST, 0
        )
    connection = state.connections[transaction.connection]
    setup = session_setup.setup_commands(connection, request)
    commands = (exchanges.statement_command(request),)
    work.first_sent_ms = now_ms
    _assign_connection(state, now_ms, work, connection)
    return [session_setup.send(connection, now_ms, setup, commands)]


def roll_back(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> list:
    """Roll back the transaction of an idle connection so it can be reused."""
    connection.transaction = 0
    rollback = (statements.Rollback(),)
    return [
        connections.send(connection, now_ms, states.Purpose.ABORT, rollback)
    ]


def _open_for_hedge(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    upstreams: list[states.Upstream],
) -> list:
    """Open a connection on which the next tick may send the copy."""
    free = [
        upstream
        for upstream in upstreams
        if routing.accepts_request(state, now_ms, upstream)
    ]
    return _open_any(state, now_ms, work, free)


def hedge(state: states.GroupState, now_ms: int, work: states.Work) -> list:
    """Send another copy of a slow read to another upstream.

    The retry budget is charged only when a copy is sent. Charging each
    search for a connection, one every 20 ms, would soon exhaust the budget,
    which hedges share with retries.
    """
    request = work.request
    busy_at = {state.connections[number].upstream for number in work.running}
    position = freshness.required_place(state, request)
    fresh = []
    if position is not None:
        fresh = [
            upstream
            for upstream in routing.fresh_upstreams(
                state, now_ms, work, position
            )
            if upstream.name not in busy_at
        ]
    chosen = routing.choose_connection(state, now_ms, fresh, work)
    primary = state.upstreams.get(state.primary)
    if chosen is None and primary is not None:
        # Use a second connection to the primary: the first may be silent.
        position = None
        if not states.is_closed_to_work(primary, now_ms):
            chosen = routing.best_connection(state, primary.name, request)
    if chosen is None:
        return _open_for_hedge(state, now_ms, work, fresh)
    if not retries.spend(state.budget):
        return []
    work.hedges += 1
    work.is_traced = True
    state.counters['hedged'] += 1
    decided = messages.LogDecision(
        'hedges',
        request.statement.request_id,
        {
            'upstream': chosen.upstream,
            'after_ms': now_ms - request.arrived_ms,
        },
    )
    return [decided, *_start(state, now_ms, work, chosen, position)]
