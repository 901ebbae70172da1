"""Give waiting requests an upstream and a connection."""

from topazring.core import outcomes
from topazring.core import places
from topazring.core import retries
from topazring.core.synchronous import connections
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import fates
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import pace
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous import waiting

__all__ = [
    'able',
    'continue_transaction',
    'hedge',
    'hedge_after_ms',
    'needs_primary',
    'run',
    'send',
    'stalled',
    'undo',
]

Reason = outcomes.Reason

# A read goes to another data centre, or to the primary, only if it is
# served sooner there by this. Bytes between data centres cost money and the
# primary alone can take writes; both are worth some waiting, and a typical
# statement takes 10 to 20 ms.
FOREIGN_COST_MS = 12.0
PRIMARY_COST_MS = 6.0
# A replica that hung for some seconds is tried again within about three.
SLOW_HALF_MS = 500
# A read that has run for so many usual times is tried elsewhere as well.
HEDGE_TIMES = 4.0
LEAST_HEDGE_MS = 60
# One ordinary request in so many is told in the log.
SAMPLE = 256


def needs_primary(request: messages.Request) -> bool:
    """Say whether only the primary can serve a request."""
    if request.writes:
        return True
    if request.begins and not request.read_only:
        return True
    return request.policy.freshness is messages.Freshness.PRIMARY


def run(state: states.GroupState, now_ms: int) -> list:
    """Serve what waits, in order, as long as connections are free.

    What proves the lead goes first: answers that are ready wait for it.
    """
    outs: list = proofs.ask(state, now_ms, send)
    for primary_only in (True, False):
        for key in waiting.heads(state, primary_only):
            work = state.work[key]
            if work.not_before_ms > now_ms:
                continue
            if primary_only:
                outs += _at_primary(state, now_ms, work)
            else:
                outs += _anywhere(state, now_ms, work)
    return outs


def _at_primary(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    upstream = state.upstreams.get(state.primary)
    if upstream is None or states.is_closed_to_work(upstream, now_ms):
        return []
    if upstream.busy_until_ms > now_ms:
        return []
    if not pace.has_room(state, upstream):
        return []
    connection = _best_connection(state, upstream.name, work.request)
    if connection is None:
        return []
    return _start(state, now_ms, work, connection, None)


def _anywhere(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    place = freshness.required_place(state, work.request)
    if place is None:
        return _move_to_primary(state, now_ms, work, 'no age is known')
    fit = _able(state, now_ms, work, place)
    if not fit:
        return _move_to_primary(state, now_ms, work, 'no replica will do')
    chosen = _choose(state, now_ms, fit, work)
    if chosen is None:
        return []
    return _start(state, now_ms, work, chosen, place)


def _move_to_primary(
    state: states.GroupState, now_ms: int, work: states.Work, why: str
) -> list:
    waiting.remove(state, work)
    work.primary_only = True
    work.moved = True
    waiting.add(state, work)
    state.counters['read_moved_to_primary'] += 1
    work.told = True
    moved = messages.Decided(
        'read needs the primary',
        work.request.statement.request_id,
        {
            'why': why,
            'samples': len(state.samples),
            'passed_over': len(work.passed_over),
        },
    )
    return [moved, *_at_primary(state, now_ms, work)]


def able(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list[states.Upstream]:
    """Return the upstreams that may serve a request, as far as is known."""
    primary = state.upstreams.get(state.primary)
    only = [] if primary is None else [primary]
    if work.primary_only:
        return only
    place = freshness.required_place(state, work.request)
    if place is None:
        return only
    return _able(state, now_ms, work, place) or only


def _able(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    place: places.Place,
) -> list[states.Upstream]:
    return [
        upstream
        for upstream in state.upstreams.values()
        if _may_serve(state, now_ms, work, upstream, place)
    ]


def _may_serve(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    upstream: states.Upstream,
    place: places.Place,
) -> bool:
    if upstream.name in work.passed_over:
        return False
    if upstream.leaving and upstream.name != state.primary:
        return False
    if states.is_closed_to_work(upstream, now_ms):
        return False
    if not connections.is_held(state, upstream.name):
        return False
    if upstream.place >= place or upstream.name == state.primary:
        return True
    lately = now_ms - upstream.lacked_ms < upstream.lacked_pause_ms
    return not (lately and upstream.lacked <= place)


def _choose(
    state: states.GroupState,
    now_ms: int,
    able: list[states.Upstream],
    work: states.Work,
) -> states.Connection | None:
    """Return a free connection to the upstream expected to answer first."""
    ranked = sorted(
        able,
        key=lambda upstream: (
            stalled(state, now_ms, upstream),
            _expected_ms(state, now_ms, upstream),
            upstream.name,
        ),
    )
    for upstream in ranked:
        if not pace.has_room(state, upstream):
            continue
        connection = _best_connection(state, upstream.name, work.request)
        if connection is not None:
            return connection
    return None


def _expected_ms(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> float:
    in_use = sum(
        connection.upstream == upstream.name
        and connection.phase is states.Phase.BUSY
        for connection in state.connections.values()
    )
    expected_ms = _service_ms(now_ms, upstream) * (1 + 0.5 * in_use)
    expected_ms += max(0, upstream.busy_until_ms - now_ms)
    if upstream.data_centre != state.data_centre:
        expected_ms += FOREIGN_COST_MS
    if upstream.name == state.primary:
        expected_ms += PRIMARY_COST_MS
    return expected_ms


def _service_ms(now_ms: int, upstream: states.Upstream) -> float:
    """Return how long a statement is expected to take at an upstream.

    One that was slow is not asked, so nothing tells that it is quick again:
    what exceeds a typical time counts half after each half-life.
    """
    excess_ms = upstream.service_ms - states.TYPICAL_MS
    if excess_ms <= 0:
        return upstream.service_ms
    age_ms = now_ms - upstream.service_told_ms
    return states.TYPICAL_MS + excess_ms * 0.5 ** (age_ms / SLOW_HALF_MS)


def stalled(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Say whether an upstream has left something unanswered for long.

    Any later answer of it clears that: then the connection is at fault.
    """
    limit_ms = hedge_after_ms(upstream)
    return any(
        connection.upstream == upstream.name
        and connection.phase is states.Phase.BUSY
        and now_ms - connection.sent_ms > limit_ms
        and upstream.heard_ms < connection.sent_ms
        for connection in state.connections.values()
    )


def hedge_after_ms(upstream: states.Upstream) -> float:
    """Return how long an answer may take before it is unusual."""
    return max(LEAST_HEDGE_MS, upstream.service_ms * HEDGE_TIMES)


def _best_connection(
    state: states.GroupState, upstream: str, request: messages.Request
) -> states.Connection | None:
    """Return the free connection that needs the least adapting."""
    free = states.idle_connections(state, upstream)
    if not free:
        return None
    return min(free, key=lambda c: exchanges.adapt_cost(c, request))


def _start(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
    after: places.Place | None,
) -> list:
    request = work.request
    if work.queued:
        waiting.take(state, now_ms, work)
    if work.offered_ms is None:
        work.offered_ms = now_ms
    pace.begin(connection, now_ms)
    _assign(state, work, connection)
    outs = _tell_sent(state, now_ms, work, connection, after)
    if after is None and proofs.needs_proof(request):
        proofs.want(state, request.arrived_ms)
    if request.begins:
        commands = exchanges.begin(connection, request, after)
        errand = states.Errand.BEGINNING
    else:
        commands = exchanges.single(connection, request, after)
        errand = states.Errand.STATEMENT
    outs.append(send(connection, now_ms, errand, commands))
    return outs + proofs.ask(state, now_ms, send)


def _tell_sent(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
    after: places.Place | None,
) -> list:
    """Tell where a request goes, if anything about it was told before.

    Of the ordinary ones a sample is told.
    """
    request = work.request
    if not work.told and request.key % SAMPLE:
        return []
    work.told = True
    upstream = state.upstreams[connection.upstream]
    return [
        messages.Decided(
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
    connection.place_before = places.ORIGIN
    if upstream is not None:
        connection.place_before = upstream.place
    work.running.add(connection.number)
    connection.work = work.request.key
    connection.writing = work.request.writes


def send(
    connection: states.Connection,
    now_ms: int,
    errand: states.Errand,
    commands: tuple[statements.Command, ...],
) -> messages.Send:
    """Send commands on a connection and note what for."""
    connection.phase = states.Phase.BUSY
    connection.errand = errand
    connection.commands = commands
    connection.sent_ms = now_ms
    return messages.Send(connection.number, commands)


def continue_transaction(
    state: states.GroupState, now_ms: int, work: states.Work
) -> list:
    """Send a statement of an open transaction on its connection."""
    request = work.request
    transaction = state.transactions.get(request.transaction)
    if transaction is None:
        return fates.give_up(state, now_ms, work, Reason.TRANSACTION_LOST, 0)
    connection = state.connections[transaction.connection]
    commands = exchanges.adapt(connection, request)
    commands.append(exchanges.statement_command(request))
    work.offered_ms = now_ms
    _assign(state, work, connection)
    return [send(connection, now_ms, states.Errand.STATEMENT, tuple(commands))]


def undo(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> list:
    """Roll a connection back for its next use; close it if it is busy."""
    connection.transaction = 0
    connection.work = 0
    if connection.phase is not states.Phase.IDLE:
        return list(connections.drop(state, connection))
    rollback = (statements.Rollback(),)
    return [send(connection, now_ms, states.Errand.UNDOING, rollback)]


def hedge(state: states.GroupState, now_ms: int, work: states.Work) -> list:
    """Run a slow read a second time, at another upstream.

    Only a copy that goes out is paid for. Looking for a connection every
    20 ms would use up the budget in a moment, and with it that of retries.
    """
    request = work.request
    busy_at = {state.connections[number].upstream for number in work.running}
    place = freshness.required_place(state, request)
    fit = []
    if place is not None:
        fit = [
            upstream
            for upstream in _able(state, now_ms, work, place)
            if upstream.name not in busy_at
        ]
    chosen = _choose(state, now_ms, fit, work)
    primary = state.upstreams.get(state.primary)
    if chosen is None and primary is not None:
        # A second connection to the primary: the first may be silent.
        place = None
        if not states.is_closed_to_work(primary, now_ms):
            chosen = _best_connection(state, primary.name, request)
    if chosen is None or not retries.spend(state.budget):
        return []
    work.hedges += 1
    work.told = True
    state.counters['hedged'] += 1
    decided = messages.Decided(
        'hedges',
        request.statement.request_id,
        {
            'upstream': chosen.upstream,
            'after_ms': now_ms - request.arrived_ms,
        },
    )
    return [decided, *_start(state, now_ms, work, chosen, place)]
