"""Give waiting requests an upstream and a connection."""

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
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'continue_transaction',
    'hedge',
    'start_waiting',
    'roll_back',
]

Reason = outcomes.Reason

# One ordinary request in so many is told in the log.
LOG_SAMPLE_INTERVAL = 256


def start_waiting(state: states.GroupState, now_ms: int) -> list:
    """Serve what waits, in order, as long as connections are free.

    What proves the lead goes first: answers that are ready wait for it.
    """
    outs: list = member_queries.send_queries(state, now_ms)
    outs += _serve_at_primary(state, now_ms)
    return outs + _serve_anywhere(state, now_ms)


def _serve_at_primary(state: states.GroupState, now_ms: int) -> list:
    """Serve those for the primary for as long as it takes another."""
    outs: list = []
    if not request_queues.has_any(state, True) or not _primary_takes(
        state, now_ms
    ):
        return outs
    for key in request_queues.service_order(state, True):
        work = state.work[key]
        if work.not_before_ms > now_ms:
            continue
        outs += _start_at_primary(state, now_ms, work)
        if not _primary_takes(state, now_ms):
            return outs
    return outs


def _serve_anywhere(state: states.GroupState, now_ms: int) -> list:
    """Serve those that any upstream may take that is fresh enough."""
    outs: list = []
    if not request_queues.has_any(state, False):
        return outs
    room = None
    for key in request_queues.service_order(state, False):
        work = state.work[key]
        if work.not_before_ms > now_ms:
            continue
        if room is None:
            room = routing.read_capacity(state, now_ms)
        done = _anywhere(state, now_ms, work, room)
        if done:
            # It took a connection, or others made way for it.
            room = None
            outs += done
    return outs


def _primary_takes(state: states.GroupState, now_ms: int) -> bool:
    """Say whether the primary takes another request, whichever it is."""
    upstream = state.upstreams.get(state.primary)
    if upstream is None or states.is_closed_to_work(upstream, now_ms):
        return False
    return routing.accepts_request(state, now_ms, upstream)


def _at_primary(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    if not _primary_takes(state, now_ms):
        return []
    return _start_at_primary(state, now_ms, work)


def _start_at_primary(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    connection = routing.best_connection(state, state.primary, work.request)
    return _start(state, now_ms, work, connection, None)


def _anywhere(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    room: routing.ReadCapacity,
) -> list:
    place = freshness.required_place(state, work.request)
    if place is None:
        return _move_to_primary(state, now_ms, work, 'no age is known')
    among = routing.filter_fresh(state, now_ms, work, place, room.readable)
    if not among:
        return _move_to_primary(state, now_ms, work, 'no replica will do')
    free = [upstream for upstream in among if upstream.name in room.free]
    if not free:
        return []
    chosen = routing.choose_free_connection(state, now_ms, free, work)
    return _start(state, now_ms, work, chosen, place)


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
    return [moved, *outs, *_at_primary(state, now_ms, work)]


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
    concurrency_limit.start_hold(connection, now_ms)
    _assign(state, work, connection)
    outs = _tell_sent(state, now_ms, work, connection, after)
    if after is None and proofs.needs_proof(request):
        proofs.request_proof(state, request.arrived_ms)
    if request.begins:
        commands = exchanges.begin_commands(connection, request, after)
        errand = states.Purpose.BEGIN_TRANSACTION
    else:
        commands = exchanges.single_commands(connection, request, after)
        errand = states.Purpose.STATEMENT
    outs.append(connections.send(connection, now_ms, errand, commands))
    return outs + member_queries.send_queries(state, now_ms)


def _tell_sent(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
    after: log_positions.LogPosition | None,
) -> list:
    """Tell where a request goes, if anything about it was told before.

    Of the ordinary ones a sample is told.
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


def _assign(
    state: states.GroupState,
    work: states.Work,
    connection: states.Connection,
) -> None:
    # A transaction goes on at an upstream that is listed no more.
    upstream = state.upstreams.get(connection.upstream)
    connection.place_before = log_positions.ORIGIN
    if upstream is not None:
        connection.place_before = upstream.place
    work.running.add(connection.number)
    connection.work = work.request.key
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
    commands = exchanges.adapt(connection, request)
    commands.append(exchanges.statement_command(request))
    work.first_sent_ms = now_ms
    _assign(state, work, connection)
    errand = states.Purpose.STATEMENT
    sent = connections.send(connection, now_ms, errand, tuple(commands))
    return [sent]


def roll_back(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> list:
    """Roll an idle connection back for its next use."""
    connection.transaction = 0
    rollback = (statements.Rollback(),)
    return [
        connections.send(connection, now_ms, states.Purpose.ABORT, rollback)
    ]


def hedge(state: states.GroupState, now_ms: int, work: states.Work) -> list:
    """Run a slow read a second time, at another upstream.

    Only a copy that goes out is paid for. Looking for a connection every
    20 ms would use up the budget in a moment, and with it that of retries.
    """
    request = work.request
    busy_at = {state.connections[number].upstream for number in work.running}
    place = freshness.required_place(state, request)
    among = []
    if place is not None:
        among = [
            upstream
            for upstream in routing.fresh_upstreams(state, now_ms, work, place)
            if upstream.name not in busy_at
        ]
    chosen = routing.choose_connection(state, now_ms, among, work)
    primary = state.upstreams.get(state.primary)
    if chosen is None and primary is not None:
        # A second connection to the primary: the first may be silent.
        place = None
        if not states.is_closed_to_work(primary, now_ms):
            chosen = routing.best_connection(state, primary.name, request)
    if chosen is None or not retries.spend(state.budget):
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
    return [decided, *_start(state, now_ms, work, chosen, place)]
