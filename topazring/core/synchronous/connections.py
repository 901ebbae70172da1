"""Keep the connections to a group's upstreams within this proxy's share.

All owners together may hold only so many connections to an upstream. They
share what is left after a reserve for each: a whole fleet that lost its power
comes back while the upstreams still hold the connections of before, for some
seconds. An upstream that is at its limit refuses, and is left alone for a
moment.
"""

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'handle_closed',
    'dial_beyond_share',
    'close_connection',
    'close_idle',
    'open_missing',
    'apply_larger_share',
    'has_usable_connection',
    'is_excluded_by_limit',
    'mark_idle',
    'handle_opened',
    'reserve_of',
    'send',
    'update_share',
    'share_of',
    'close_excess',
]

# An upstream drops the connections of an instance that lost its power after
# three seconds. Until then a proxy that has just started holds no more than
# its part of the reserve, so that each of a fleet that comes back has as many.
LINGER_MS = 3500
# Of what an upstream takes for each owner, one part in so many is reserve; at
# least one connection, and at most three: transactions whose callers pause
# hold one or two of an owner at a time, and what is reserve is not used in
# calm times.
RESERVE_PARTS = 3
MAX_RESERVE = 3
# A refused dial costs the upstream little; the pause keeps a dead one from
# being dialled in a tight loop.
DIAL_RETRY_MS = 100
MAX_DIAL_RETRY_MS = 1000
# An upstream at its limit is left alone for about the time in which a proxy
# that leaves gives its connections back.
LIMIT_RETRY_MS = 300
# A proxy without any connection asks more often: it can serve nothing.
UNCONNECTED_LIMIT_RETRY_MS = 60
# The longest statement takes some 200 ms behind a full queue; an answer that
# takes longer than this is mostly lost.
STALLED_MS = 250
# A rolling restart takes one proxy away for some ten seconds at most.
GROW_AFTER_MS = 15_000
# A connection beyond the share that was idle for so long is not needed.
EXCESS_IDLE_MS = 1000
# A dial takes a slot for some ten milliseconds, behind a full queue of
# statements for some hundred. One that hangs for longer is lost: an instance
# without power never answers.
DIAL_TIMEOUT_MS = 700


def reserve_of(max_connections: int, owners: int) -> int:
    """Return how many connections to one upstream an owner starts with.

    With one alone the first seconds after a loss of power are lost where
    owners are few: transactions whose callers pause hold it.

    >>> reserve_of(23, 8), reserve_of(88, 8)
    (1, 3)
    """
    part = max_connections // max(1, owners) // RESERVE_PARTS
    return min(max(1, part), MAX_RESERVE)


def share_of(max_connections: int, owners: int, rank: int) -> int:
    """Return how many connections to one upstream an owner may hold.

    What cannot be shared evenly goes to the first in rank.

    >>> [share_of(23, 8, rank) for rank in range(8)]
    [2, 2, 2, 2, 2, 2, 2, 1]
    >>> share_of(30, 7, 0), share_of(30, 7, 6)
    (4, 3)
    >>> share_of(88, 8, 0)
    8
    >>> share_of(34, 68, 0)
    1
    """
    reserve = reserve_of(max_connections, owners) * owners
    even, left = divmod(max(0, max_connections - reserve), max(1, owners))
    return max(1, even + (rank < left))


def update_share(
    state: states.GroupState, now_ms: int, message: messages.InstancesSeen
) -> list:
    """Take in how many proxies there are; give back what is too much.

    More is taken only once it has been there for a while: a proxy that
    leaves is mostly back in seconds. If its connections are taken meanwhile,
    and all proxies lose their power, the reserve is too small for them.
    """
    share = 0
    if message.rank is not None:
        most, owners = message.max_connections, message.count
        share = share_of(most, owners, message.rank)
        state.starting_share = reserve_of(most, owners)
    if share <= state.connection_share or state.began_ms is None:
        state.larger_share = 0
        return _use_share(state, share)
    if share != state.larger_share:
        state.larger_share = share
        state.larger_share_ms = now_ms
    return []


def apply_larger_share(state: states.GroupState, now_ms: int) -> list:
    """Use a larger share that has been there for long enough."""
    if not state.larger_share:
        return []
    if now_ms - state.larger_share_ms < GROW_AFTER_MS:
        return []
    share, state.larger_share = state.larger_share, 0
    return _use_share(state, share)


def _use_share(state: states.GroupState, share: int) -> list:
    if share == state.connection_share:
        return []
    before = state.connection_share
    state.connection_share = share
    inputs = {'share': share, 'before': before}
    outs: list = [messages.LogDecision('connection share', inputs=inputs)]
    for upstream in state.upstreams:
        spare = states.idle_connections(state, upstream)
        excess = len(states.connections_to(state, upstream)) - share
        for connection in spare[: max(0, excess)]:
            outs += close_connection(state, connection)
    return outs


def is_excluded_by_limit(state: states.GroupState, name: str) -> bool:
    """Say whether this proxy has no connection, and gets none.

    An upstream that is at its limit frees some when it drops those of
    instances that lost their power, seconds later.
    """
    upstream = state.upstreams.get(name)
    if upstream is None or not upstream.is_full:
        return False
    return not has_usable_connection(state, name)


def has_usable_connection(state: states.GroupState, name: str) -> bool:
    """Say whether some connection to an upstream is ready, or at work."""
    return any(
        connection.phase is not states.Phase.OPENING
        for connection in states.connections_to(state, name)
    )


def open_missing(state: states.GroupState, now_ms: int) -> list:
    """Open what is missing, one dial an upstream at a time."""
    outs: list = []
    if state.began_ms is None:
        state.began_ms = now_ms
    just_began = now_ms - state.began_ms < LINGER_MS
    share = state.connection_share
    if just_began:
        share = min(state.starting_share, share)
    if state.holds_promotion_lease:
        # Whoever promotes has to see the members, owner or not.
        share = max(1, share)
    for upstream in state.upstreams.values():
        mine = states.connections_to(state, upstream.name)
        if _is_opening(mine) or now_ms < upstream.dial_after_ms:
            continue
        if len(mine) >= share + _are_all_stalled(now_ms, mine):
            continue
        if states.is_closed_to_work(upstream, now_ms):
            # Its connections would only take up room at its successor.
            continue
        outs.append(_dial(state, now_ms, upstream))
    return outs


def _is_opening(mine: list[states.Connection]) -> bool:
    return any(c.phase is states.Phase.OPENING for c in mine)


def _are_all_stalled(now_ms: int, mine: list[states.Connection]) -> bool:
    """Say whether no connection to an upstream gets an answer.

    Answers can be lost while their upstream lives. A proxy has one or two
    connections to each; once all of them wait for a lost answer it serves
    nothing there, for as long as they are waited for. The reserve of one
    connection a proxy is for this as well.
    """
    return bool(mine) and all(
        connection.phase is states.Phase.BUSY
        and now_ms - connection.sent_ms >= STALLED_MS
        for connection in mine
    )


def close_excess(
    state: states.GroupState, now_ms: int
) -> list[messages.Close]:
    """Give back what was dialled beyond the share, once it is idle."""
    outs: list[messages.Close] = []
    if state.promotion is not None:
        return outs
    for name in state.upstreams:
        if len(states.connections_to(state, name)) <= max(
            state.connection_share, int(state.holds_promotion_lease)
        ):
            continue
        idle = states.idle_connections(state, name)
        oldest = min(idle, key=lambda c: c.idle_since_ms, default=None)
        if (
            oldest is not None
            and now_ms - oldest.idle_since_ms >= EXCESS_IDLE_MS
        ):
            outs += close_connection(state, oldest)
    return outs


def _dial(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> messages.Open:
    number = state.next_connection
    state.next_connection += 1
    connection = states.Connection(number, upstream.name, sent_ms=now_ms)
    state.connections[number] = connection
    held = state.connections_by_upstream.setdefault(upstream.name, {})
    held[number] = connection
    return messages.Open(number, upstream.name, upstream.address)


def handle_opened(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> list:
    """Take in a connection that is ready."""
    upstream = state.upstreams.get(connection.upstream)
    mark_idle(connection, now_ms)
    if upstream is None:
        return close_connection(state, connection)
    upstream.dial_after_ms = 0
    upstream.is_full = False
    if not upstream.is_unreachable:
        return []
    upstream.is_unreachable = False
    inputs = {
        'upstream': upstream.name,
        'unheard_ms': now_ms - upstream.last_received_ms,
    }
    return [messages.LogDecision('upstream reached', inputs=inputs)]


def mark_idle(connection: states.Connection, now_ms: int) -> None:
    """Have a connection wait for its next commands."""
    connection.phase = states.Phase.IDLE
    connection.purpose = states.Purpose.NONE
    connection.commands = ()
    connection.work = 0
    connection.idle_since_ms = now_ms


def handle_closed(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    message: messages.Closed,
) -> list:
    """Take in the end of a connection; pause before the next dial."""
    _remove_connection(state, connection)
    upstream = state.upstreams.get(connection.upstream)
    if upstream is None:
        return []
    if connection.phase is states.Phase.BUSY:
        _note_unheard(upstream, connection)
    if connection.phase is not states.Phase.OPENING:
        return [_lost(now_ms, connection, message)]
    state.counters[f'dial_{message.reason}'] += 1
    if message.reason is outcomes.Reason.CONNECTION_LIMIT:
        held = len(states.connections_to(state, upstream.name))
        pause_ms = LIMIT_RETRY_MS if held else UNCONNECTED_LIMIT_RETRY_MS
        upstream.is_full = True
        upstream.dial_after_ms = now_ms + pause_ms
        return []
    upstream.failed_dials += 1
    _note_unheard(upstream, connection)
    pause_ms = DIAL_RETRY_MS * upstream.failed_dials
    upstream.dial_after_ms = now_ms + min(pause_ms, MAX_DIAL_RETRY_MS)
    if upstream.is_unreachable:
        return []
    upstream.is_unreachable = True
    inputs = {
        'upstream': upstream.name,
        'reason': str(message.reason),
        'unheard_ms': now_ms - upstream.last_received_ms,
    }
    return [messages.LogDecision('upstream out of reach', inputs=inputs)]


def _note_unheard(
    upstream: states.Upstream, connection: states.Connection
) -> None:
    """Take in that nothing came for what was sent on a connection.

    Not if the upstream was heard on another one since: then that connection
    alone was silent, and its end must not make the upstream look lost.
    """
    if upstream.last_received_ms > connection.sent_ms:
        return
    if upstream.unresponsive_since_ms is None:
        upstream.unresponsive_since_ms = connection.sent_ms


def _lost(
    now_ms: int, connection: states.Connection, message: messages.Closed
) -> messages.LogDecision:
    return messages.LogDecision(
        'connection lost',
        inputs={
            'upstream': connection.upstream,
            'reason': str(message.reason),
            'errand': str(connection.purpose),
            'after_ms': now_ms - connection.sent_ms,
            'in_transaction': bool(connection.transaction),
        },
    )


def close_connection(
    state: states.GroupState, connection: states.Connection
) -> list[messages.Close]:
    """Close a connection that is not to be used again."""
    _remove_connection(state, connection)
    return [messages.Close(connection.number)]


def _remove_connection(
    state: states.GroupState, connection: states.Connection
) -> None:
    """Strike off a connection, and all that points at it by its number.

    A request or transaction that went on naming it would end the group at the
    next look at that number; one would notice by processes that end with a
    KeyError after connections were reset.
    """
    del state.connections[connection.number]
    held = state.connections_by_upstream[connection.upstream]
    del held[connection.number]
    if not held:
        del state.connections_by_upstream[connection.upstream]
    state.transactions.pop(connection.transaction, None)
    work = state.work.get(connection.work)
    if work is not None:
        work.running.discard(connection.number)


def close_idle(
    state: states.GroupState, upstream: str
) -> list[messages.Close]:
    """Close the idle connections to an upstream."""
    outs = []
    for connection in states.idle_connections(state, upstream):
        outs += close_connection(state, connection)
    return outs


def dial_beyond_share(
    state: states.GroupState, now_ms: int, upstream: str
) -> list[messages.Open]:
    """Dial beyond the share, where a group's fate waits for an answer."""
    known = state.upstreams.get(upstream)
    if known is None or now_ms < known.dial_after_ms:
        return []
    if _is_opening(states.connections_to(state, upstream)):
        return []
    return [_dial(state, now_ms, known)]


def send(
    connection: states.Connection,
    now_ms: int,
    errand: states.Purpose,
    commands: tuple[statements.Command, ...],
) -> messages.Send:
    """Send commands on a connection and note what for."""
    connection.phase = states.Phase.BUSY
    connection.purpose = errand
    connection.commands = commands
    connection.sent_ms = now_ms
    return messages.Send(connection.number, commands)
