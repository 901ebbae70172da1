"""Keep the connections to a group's upstreams within this proxy's share.

The number of connections that all owners together may hold to an upstream is
limited. Each owner has a reserve, and the owners share the remaining
connections. The reserve is needed when a whole fleet returns after a power
loss, while the upstreams still hold the previous connections for some
seconds. An upstream that is at its connection limit refuses new connections
and is not dialled again for a short time.

A connection serves one organisation for its whole life. Where requests name
an organisation, connections are opened on demand; if the share is used up,
an idle connection of another one is closed for it.
"""

from topazring.core import organisations
from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import process_runs
from topazring.core.synchronous.scheduling import organisation_shares
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'apply_larger_share',
    'close_connection',
    'close_excess',
    'close_idle',
    'dial_beyond_share',
    'handle_closed',
    'handle_opened',
    'has_usable_connection',
    'is_excluded_by_limit',
    'is_opening_for',
    'mark_idle',
    'may_open',
    'open_for',
    'open_missing',
    'reserve_of',
    'send',
    'share_of',
    'update_share',
]

# An upstream drops the connections of an instance that lost power after three
# seconds. Until then a proxy that has just started holds no more than its part
# of the reserve, so that all proxies of a returning fleet get the same number.
LINGER_MS = 3500
# One in this many of the connections that an upstream accepts per owner is
# reserved, with a minimum of one and a maximum of three. Transactions whose
# callers pause hold one or two of an owner's connections at a time, and
# reserved connections are unused in normal operation.
RESERVE_PARTS = 3
MAX_RESERVE = 3
# A refused dial costs the upstream little; the delay prevents dialling a dead
# upstream in a tight loop.
DIAL_RETRY_MS = 100
MAX_DIAL_RETRY_MS = 1000
# An upstream at its connection limit is dialled again after about the time in
# which a leaving proxy releases its connections.
LIMIT_RETRY_MS = 300
# A proxy without any connection retries more often, since it cannot serve any
# request.
UNCONNECTED_LIMIT_RETRY_MS = 60
# The longest statement takes about 200 ms behind a full queue; a reply that
# takes longer than this is usually lost.
STALLED_MS = 250
# Dials to one upstream at a time for organisations without a connection. Each
# dial takes one of the slots that statements need.
MAX_DEMANDED_DIALS = 2
# A dial that takes longer is late: another upstream is dialled as well.
LATE_DIAL_MS = 80
# In a rolling restart a proxy is absent for about ten seconds at most.
GROW_AFTER_MS = 15_000
# A connection beyond the share that has been idle this long is not needed.
EXCESS_IDLE_MS = 1000
# A dial occupies a slot for about ten milliseconds, and for about a hundred
# behind a full queue of statements. A dial that takes longer than this has
# failed: an instance without power never replies.
DIAL_TIMEOUT_MS = 700


def reserve_of(max_connections: int, owners: int) -> int:
    """Return how many connections to one upstream an owner starts with.

    If there are few owners, a single connection would be held by transactions
    whose callers pause, and the first seconds after a power loss would be
    lost.

    >>> reserve_of(23, 8), reserve_of(88, 8)
    (1, 3)
    """
    part = max_connections // max(1, owners) // RESERVE_PARTS
    return min(max(1, part), MAX_RESERVE)


def share_of(max_connections: int, owners: int, rank: int) -> int:
    """Return how many connections to one upstream an owner may hold.

    Connections that cannot be shared evenly go to the first owners by rank.

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
    even, remainder = divmod(max(0, max_connections - reserve), max(1, owners))
    return max(1, even + (rank < remainder))


def update_share(
    state: states.GroupState, now_ms: int, message: messages.InstancesSeen
) -> list:
    """Update this proxy's share of connections; close those beyond it.

    A larger share is used only after it has been available for a while,
    because a proxy that leaves usually returns within seconds. If the others
    used its connections in the meantime and all proxies lost power, the
    reserve would be too small for them.
    """
    share = 0
    state.is_first_owner = message.rank == 0
    if message.rank is not None:
        max_connections, owners = message.max_connections, message.count
        share = share_of(max_connections, owners, message.rank)
        state.starting_share = reserve_of(max_connections, owners)
    if share <= state.connection_share or state.began_ms is None:
        state.larger_share = 0
        return _use_share(state, share)
    if share != state.larger_share:
        state.larger_share = share
        state.larger_share_ms = now_ms
    return []


def apply_larger_share(state: states.GroupState, now_ms: int) -> list:
    """Use a larger share that has been available for long enough."""
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
        idle = states.idle_connections(state, upstream)
        excess = len(states.connections_to(state, upstream)) - share
        for connection in idle[: max(0, excess)]:
            outs += close_connection(state, connection)
    return outs


def is_excluded_by_limit(state: states.GroupState, name: str) -> bool:
    """Return whether this proxy has no connection and is refused new ones.

    An upstream at its connection limit has free connections again seconds
    later, when it drops those of instances that lost power.
    """
    upstream = state.upstreams.get(name)
    if upstream is None or not upstream.is_full:
        return False
    return not has_usable_connection(state, name)


def has_usable_connection(state: states.GroupState, name: str) -> bool:
    """Return whether any connection to an upstream is idle or busy."""
    return any(
        connection.phase is not states.Phase.OPENING
        for connection in states.connections_to(state, name)
    )


def open_missing(state: states.GroupState, now_ms: int) -> list:
    """Open missing connections, with one dial per upstream at a time."""
    outs: list = []
    if state.began_ms is None:
        state.began_ms = now_ms
    for upstream in state.upstreams.values():
        connections = states.connections_to(state, upstream.name)
        if _is_opening(connections) or now_ms < upstream.dial_after_ms:
            continue
        wanted = _limit(state, now_ms, connections)
        if state.serves_organisations:
            # The others are opened for the organisations that need them.
            wanted = min(wanted, 1)
        if states.is_closed_to_work(upstream, now_ms):
            # Others would only occupy connections at its successor.
            is_awaited = states.is_awaited_for_fencing(state, upstream.name)
            wanted = 1 if is_awaited else 0
        if len(connections) >= wanted:
            continue
        outs.append(_dial(state, now_ms, upstream))
    return outs


def _limit(
    state: states.GroupState,
    now_ms: int,
    connections: list[states.Connection],
) -> int:
    """Return how many connections to an upstream may be open now."""
    share = state.connection_share
    if state.began_ms is None or now_ms - state.began_ms < LINGER_MS:
        share = min(state.starting_share, share)
    if state.holds_promotion_lease:
        # The lease holder has to reach all members, even if it is no owner.
        share = max(1, share)
    return share + _are_all_stalled(now_ms, connections)


def may_open(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Return whether a connection could be opened for an organisation now."""
    if not state.serves_organisations or now_ms < upstream.dial_after_ms:
        return False
    connections = states.connections_to(state, upstream.name)
    opening = [c for c in connections if c.phase is states.Phase.OPENING]
    if len(opening) >= MAX_DEMANDED_DIALS:
        return False
    if len(connections) < _limit(state, now_ms, connections):
        return True
    return bool(states.idle_connections(state, upstream.name))


def open_for(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    organisation: str,
) -> list:
    """Open a connection for an organisation unless one is being opened.

    If the share is used up, close an idle connection of another organisation.
    """
    if not may_open(state, now_ms, upstream):
        return []
    if is_opening_for(state, upstream.name, organisation):
        return []
    outs: list = []
    connections = states.connections_to(state, upstream.name)
    if len(connections) >= _limit(state, now_ms, connections):
        replaced = organisation_shares.choose_replaced(
            state, now_ms, upstream.name, organisation
        )
        if replaced is None:
            return []
        outs += close_connection(state, replaced)
        state.counters['connection_replaced'] += 1
    state.counters['dial_on_demand'] += 1
    return [*outs, _dial(state, now_ms, upstream, organisation)]


def is_opening_for(
    state: states.GroupState, upstream: str, organisation: str
) -> bool:
    """Return whether a connection for an organisation is being opened."""
    return any(
        connection.phase is states.Phase.OPENING
        and connection.organisation == organisation
        for connection in states.connections_to(state, upstream)
    )


def _is_opening(connections: list[states.Connection]) -> bool:
    return any(c.phase is states.Phase.OPENING for c in connections)


def _are_all_stalled(
    now_ms: int, connections: list[states.Connection]
) -> bool:
    """Return whether no connection to an upstream gets a reply.

    Replies can be lost although the upstream is alive. A proxy has one or two
    connections to each upstream. Once all of them wait for a lost reply, the
    proxy cannot use the upstream until they time out. The reserve of one
    connection per proxy serves this purpose as well.
    """
    return bool(connections) and all(
        connection.phase is states.Phase.BUSY
        and now_ms - connection.sent_ms >= STALLED_MS
        for connection in connections
    )


def close_excess(
    state: states.GroupState, now_ms: int
) -> list[messages.Close]:
    """Close connections beyond the share once they have been idle."""
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
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    organisation: str = organisations.ANONYMOUS,
) -> messages.Open:
    number = state.next_connection
    state.next_connection += 1
    connection = states.Connection(
        number,
        upstream.name,
        organisation,
        upstream.born_ms,
        sent_ms=now_ms,
    )
    state.connections[number] = connection
    by_number = state.connections_by_upstream.setdefault(upstream.name, {})
    by_number[number] = connection
    return messages.Open(number, upstream.name, upstream.address, organisation)


def handle_opened(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> list:
    """Record that a connection is ready for commands."""
    upstream = states.upstream_of(state, connection)
    opening_ms = now_ms - connection.sent_ms
    events = process_runs.note_opened(state, now_ms, connection)
    mark_idle(connection, now_ms)
    if upstream is None:
        return close_connection(state, connection)
    upstream.opening_ms += opening_ms
    organisation_shares.charge(
        state, now_ms, connection.organisation, opening_ms
    )
    upstream.dial_after_ms = 0
    upstream.is_full = False
    if connection.organisation != organisations.ANONYMOUS:
        # It is not the next one to be closed for another organisation.
        connection.served_ms = now_ms
    if not upstream.is_unreachable:
        return events
    upstream.is_unreachable = False
    inputs = {
        'upstream': upstream.name,
        'unheard_ms': now_ms - upstream.last_received_ms,
    }
    reached = messages.LogDecision('upstream reached', inputs=inputs)
    return [reached, *events]


def mark_idle(connection: states.Connection, now_ms: int) -> None:
    """Reset a connection to wait for its next commands."""
    connection.phase = states.Phase.IDLE
    connection.purpose = states.Purpose.NONE
    connection.commands = ()
    connection.following = ()
    connection.refused_setups = 0
    connection.work = 0
    connection.idle_since_ms = now_ms


def handle_closed(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    message: messages.Closed,
) -> list:
    """Record the end of a connection; delay the next dial if it failed."""
    _remove_connection(state, connection)
    upstream = state.upstreams.get(connection.upstream)
    if upstream is None:
        return []
    if connection.phase is states.Phase.BUSY:
        _record_unanswered(upstream, connection)
    if connection.phase is not states.Phase.OPENING:
        return [_log_lost_connection(now_ms, connection, message)]
    state.counters[f'dial_{message.reason}'] += 1
    if message.reason is outcomes.Reason.CONNECTION_LIMIT:
        count = len(states.connections_to(state, upstream.name))
        delay_ms = LIMIT_RETRY_MS if count else UNCONNECTED_LIMIT_RETRY_MS
        upstream.is_full = True
        upstream.dial_after_ms = now_ms + delay_ms
        return []
    upstream.failed_dials += 1
    _record_unanswered(upstream, connection)
    delay_ms = DIAL_RETRY_MS * upstream.failed_dials
    upstream.dial_after_ms = now_ms + min(delay_ms, MAX_DIAL_RETRY_MS)
    if upstream.is_unreachable:
        return []
    upstream.is_unreachable = True
    inputs = {
        'upstream': upstream.name,
        'reason': str(message.reason),
        'unheard_ms': now_ms - upstream.last_received_ms,
    }
    return [messages.LogDecision('upstream out of reach', inputs=inputs)]


def _record_unanswered(
    upstream: states.Upstream, connection: states.Connection
) -> None:
    """Record since when an upstream has been unresponsive.

    Nothing is recorded if the upstream has replied on another connection
    since: then only this connection was silent, and its end must not make
    the upstream look lost.
    """
    if upstream.last_received_ms > connection.sent_ms:
        return
    if upstream.unresponsive_since_ms is None:
        upstream.unresponsive_since_ms = connection.sent_ms


def _log_lost_connection(
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
    """Close a connection that must not be used again."""
    _remove_connection(state, connection)
    return [messages.Close(connection.number)]


def _remove_connection(
    state: states.GroupState, connection: states.Connection
) -> None:
    """Remove a connection and all references to its number.

    A request or transaction that still referred to it would end the group at
    the next lookup of that number. The symptom would be processes that exit
    with a KeyError after connections were reset.
    """
    del state.connections[connection.number]
    by_number = state.connections_by_upstream[connection.upstream]
    del by_number[connection.number]
    if not by_number:
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
    """Dial an upstream beyond the share if the group urgently needs a reply.

    Return an empty list while a dial is in progress or delayed.
    """
    known = state.upstreams.get(upstream)
    if known is None or now_ms < known.dial_after_ms:
        return []
    if _is_opening(states.connections_to(state, upstream)):
        return []
    return [_dial(state, now_ms, known)]


def send(
    connection: states.Connection,
    now_ms: int,
    purpose: states.Purpose,
    commands: tuple[statements.Command, ...],
) -> messages.Send:
    """Send commands on a connection and record their purpose."""
    connection.phase = states.Phase.BUSY
    connection.purpose = purpose
    connection.commands = commands
    connection.sent_ms = now_ms
    return messages.Send(connection.number, commands)
