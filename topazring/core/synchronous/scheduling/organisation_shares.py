"""Bound what one organisation holds of an owner's room while others wait.

The room at an upstream is the connections that this owner may hold to it and
the statements that it may run there. While several organisations compete for
it, each has its max-min fair share (Bertsekas and Gallager, Data Networks,
section 6.5.2): what an organisation does not need goes to the others in equal
parts. Nothing is held back while a request that could run waits for nothing
else, so the room is never left unused for the bound.

Turns go by work and not by count, as in deficit round robin (Shreedhar and
Varghese 1995): an organisation is charged for the slots that its statements
and its dials occupy, and the one that was given least goes first.
"""

import collections
import collections.abc
import dataclasses
import math

from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = [
    'Shares',
    'charge',
    'choose_replaced',
    'count_waiting',
    'end_long_rests',
    'fair_level',
    'held_by',
    'measure_connections',
    'measure_statements',
    'order',
    'recent_work_ms',
    'report',
    'rest_limit_ms',
]

# A request without a connection is passed over by others for this long.
MAX_PASSED_OVER_MS = 100
# Ordinary callers pause some tens of milliseconds between the statements of a
# transaction, hardly ever ten times as long.
MIN_REST_MS = 400
# Work counts half after this time, which is that of the statements a caller
# still waits for.
WORK_HALF_LIFE_MS = 1000
# A log entry has some 200 bytes, for a group whose organisations compete.
REPORT_INTERVAL_MS = 1000
MAX_REPORTED = 3
# What organisations were given is looked through once so many are known.
MAX_KNOWN = 256
# Work below this is not worth keeping: less than a millisecond of a slot.
MIN_WORK_MS = 0.5


def fair_level(room: int, demands: collections.abc.Iterable[int]) -> int:
    """Return the largest share that each of several demands may be given.

    Room that small demands leave is divided among the others. The level is at
    least 1, so that an organisation may run something anywhere.

    >>> fair_level(7, [1, 1, 9]), fair_level(7, [9, 9]), fair_level(2, [5] * 4)
    (5, 3, 1)
    >>> fair_level(7, [1, 2])
    7
    """
    left, waiting = room, sorted(demands)
    while waiting:
        level = left // len(waiting)
        if waiting[0] > level:
            return max(1, level)
        left -= waiting.pop(0)
    return max(1, room)


def is_in_use(connection: states.Connection) -> bool:
    """Return whether a connection cannot be closed for another request."""
    return connection.phase is not states.Phase.IDLE or bool(
        connection.transaction
    )


def held_by(
    state: states.GroupState, upstream: str
) -> collections.Counter[str]:
    """Count the connections in use at an upstream by organisation.

    One whose transaction is being rolled back is as good as free.
    """
    return collections.Counter(
        connection.organisation
        for connection in states.connections_to(state, upstream)
        if is_in_use(connection)
        and connection.purpose is not states.Purpose.ABORT
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Hold what the organisations hold and may hold of one upstream."""

    # What the organisations hold, and their requests that could run here.
    held: collections.Counter[str]
    waiting: collections.Counter[str]
    level: int
    # Those that wait and are below their share.
    contenders: frozenset[str]

    def is_above(self, organisation: str, more: int = 0) -> bool:
        """Return whether an organisation is above its share with `more`.

        None is while no other one waits below its own.
        """
        held = self.held[organisation] + more
        others = len(self.contenders) - (organisation in self.contenders)
        return held > self.level and others > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Count the waiting requests by organisation."""

    # Those that any upstream may run, and these with those that only the
    # primary may run.
    anywhere: collections.Counter[str]
    at_primary: collections.Counter[str]


def count_waiting(state: states.GroupState) -> Waiting:
    """Return how many requests of each organisation wait."""
    waiting = Waiting(collections.Counter(), collections.Counter())
    for work in state.work.values():
        if work.is_queued:
            waiting.at_primary[work.request.organisation] += 1
            if not work.primary_only:
                waiting.anywhere[work.request.organisation] += 1
    return waiting


def _waiting_at(
    state: states.GroupState, upstream: str, waiting: Waiting
) -> collections.Counter[str]:
    at_primary = upstream == state.primary
    return waiting.at_primary if at_primary else waiting.anywhere


def _shares(
    room: int,
    held: collections.Counter[str],
    waiting: collections.Counter[str],
) -> Shares:
    demands = [
        held[name] + waiting[name] for name in held.keys() | waiting.keys()
    ]
    level = fair_level(room, demands)
    contenders = frozenset(name for name in waiting if held[name] < level)
    return Shares(held, waiting, level, contenders)


def measure_connections(
    state: states.GroupState, upstream: str, waiting: Waiting
) -> Shares:
    """Return the shares of the connections that this owner may hold."""
    here = _waiting_at(state, upstream, waiting)
    return _shares(state.connection_share, held_by(state, upstream), here)


def measure_statements(
    state: states.GroupState, upstream: str, waiting: Waiting
) -> Shares:
    """Return the shares of what this owner may run at a time.

    A dial takes a slot as a statement does.
    """
    running = collections.Counter(
        connection.organisation
        for connection in states.connections_to(state, upstream)
        if connection.phase is states.Phase.OPENING or connection.work
    )
    limit = round(state.upstreams[upstream].concurrency_limit)
    room = min(state.connection_share, limit)
    return _shares(room, running, _waiting_at(state, upstream, waiting))


def charge(
    state: states.GroupState, now_ms: int, organisation: str, work_ms: float
) -> None:
    """Record that an organisation occupied a slot for some time."""
    if not state.serves_organisations:
        return
    if len(state.organisation_work) >= MAX_KNOWN:
        _forget(state, now_ms)
    left_ms = recent_work_ms(state, now_ms, organisation)
    state.organisation_work[organisation] = (now_ms, left_ms + work_ms)


def recent_work_ms(
    state: states.GroupState, now_ms: int, organisation: str
) -> float:
    """Return how long an organisation has occupied slots recently."""
    charged_ms, work_ms = state.organisation_work.get(
        organisation, (now_ms, 0.0)
    )
    return work_ms * 0.5 ** ((now_ms - charged_ms) / WORK_HALF_LIFE_MS)


def _forget(state: states.GroupState, now_ms: int) -> None:
    """Drop what is known of organisations that have long sent nothing."""
    for name in list(state.organisation_work):
        if recent_work_ms(state, now_ms, name) < MIN_WORK_MS:
            del state.organisation_work[name]


def _above_work_share(
    state: states.GroupState, now_ms: int, waiting: set[str]
) -> set[str]:
    """Return the waiting organisations that were given more than the others.

    The slot time of the last seconds is divided anew: those that wait might
    have used any amount of it, the others what they did use.
    """
    given_ms = {
        name: recent_work_ms(state, now_ms, name)
        for name in state.organisation_work.keys() | waiting
    }
    left_ms, level_ms = sum(given_ms.values()), 0.0
    demands_ms = sorted(
        math.inf if name in waiting else work_ms
        for name, work_ms in given_ms.items()
    )
    for n, demand_ms in enumerate(demands_ms):
        level_ms = left_ms / (len(demands_ms) - n)
        if demand_ms > level_ms:
            break
        left_ms -= demand_ms
    return {name for name in waiting if given_ms[name] > level_ms}


def _blocks(state: states.GroupState, keys: list[int]) -> dict[int, int]:
    """Number the runs of requests of one priority in the queues' order."""
    blocks: dict[int, int] = {}
    block, last = 0, None
    for key in keys:
        priority = state.work[key].request.policy.priority
        block += last is not None and priority != last
        last = priority
        blocks[key] = block
    return blocks


def order(
    state: states.GroupState,
    now_ms: int,
    keys: list[int],
    upstreams: collections.abc.Collection[str],
) -> list[int]:
    """Return waiting requests in the order in which to look for connections.

    Those of organisations that hold more of each upstream than their share go
    last, whatever their priority. The others remain in the order of the queues
    but for those of one priority that follow one another. Of these, the ones
    whose organisation was given more slot time than others that wait go last.
    Before them go those whose organisation has an idle connection, which might
    be closed for another organisation otherwise, as each new connection takes
    a slot that statements need; and those that have waited for long, so that
    no organisation waits for the others' queues to end.
    """
    waiting = {state.work[key].request.organisation for key in keys}
    if len(waiting) < 2:
        return keys
    connected = {
        connection.organisation
        for name in upstreams
        for connection in states.idle_connections(state, name)
    }
    counted = count_waiting(state)
    shares = [
        (
            measure_connections(state, name, counted),
            measure_statements(state, name, counted),
        )
        for name in upstreams
    ]
    above = {
        name
        for name in waiting
        if all(
            by_connections.is_above(name, 1) or by_statements.is_above(name, 1)
            for by_connections, by_statements in shares
        )
    }
    state.above_share |= above
    was_given_more = _above_work_share(state, now_ms, waiting)

    blocks = _blocks(state, keys)

    def rank(key: int) -> tuple[bool, int, bool, bool]:
        request = state.work[key].request
        name = request.organisation
        waits_long = now_ms - request.arrived_ms >= MAX_PASSED_OVER_MS
        return (
            name in above,
            blocks[key],
            name in was_given_more,
            name not in connected and not waits_long,
        )

    return sorted(keys, key=rank)


def report(
    state: states.GroupState, now_ms: int
) -> list[messages.LogDecision]:
    """Return a log event with the organisations that were held back.

    There is at most one event each `REPORT_INTERVAL_MS`.
    """
    if now_ms - state.shares_reported_ms < REPORT_INTERVAL_MS:
        return []
    if not state.above_share:
        return []
    names = sorted(
        state.above_share,
        key=lambda name: -recent_work_ms(state, now_ms, name),
    )
    state.above_share.clear()
    state.shares_reported_ms = now_ms
    state.counters['organisation_above_share'] += len(names)
    inputs = {
        'organisations': {
            name: round(recent_work_ms(state, now_ms, name))
            for name in names[:MAX_REPORTED]
        },
        'count': len(names),
        'share': state.connection_share,
    }
    return [messages.LogDecision('organisations above share', inputs=inputs)]


def choose_replaced(
    state: states.GroupState,
    now_ms: int,
    upstream: str,
    organisation: str,
) -> states.Connection | None:
    """Return the idle connection to close for one of another organisation.

    It is one of the organisation that holds most beyond its share, otherwise
    the least recently used. One that a waiting request of its organisation
    could use is kept, unless the other one has waited for long: an
    organisation above its share never takes it.
    """
    shares = measure_connections(state, upstream, count_waiting(state))
    counts = collections.Counter(
        connection.organisation
        for connection in states.connections_to(state, upstream)
    )
    may_take_any = _waits_long(state, now_ms, upstream, organisation)
    if shares.is_above(organisation, 1):
        # It may still take what nobody needs.
        may_take_any = False

    def excess(name: str) -> int:
        return max(0, counts[name] - shares.level)

    candidates = [
        connection
        for connection in states.idle_connections(state, upstream)
        if connection.organisation != organisation
        and (
            may_take_any
            or not shares.waiting[connection.organisation]
            or excess(connection.organisation)
        )
    ]
    return min(
        candidates,
        key=lambda c: (-excess(c.organisation), c.served_ms, c.number),
        default=None,
    )


def _waits_long(
    state: states.GroupState, now_ms: int, upstream: str, organisation: str
) -> bool:
    at_primary = upstream == state.primary
    return any(
        now_ms - work.request.arrived_ms >= MAX_PASSED_OVER_MS
        for work in state.work.values()
        if work.is_queued
        and work.request.organisation == organisation
        and (at_primary or not work.primary_only)
    )


def rest_limit_ms(policy: messages.Policy) -> int:
    """Return how long callers may rest in a transaction while others wait.

    Callers know the time limit of a statement: a transaction rests no longer
    than its caller would let a statement take.
    """
    limit_ms = max(MIN_REST_MS, policy.timeout_ms)
    return min(policy.transaction_idle_ms, limit_ms)


def end_long_rests(
    state: states.GroupState, now_ms: int
) -> list[states.Connection]:
    """Return the connections whose resting transactions are to be ended.

    They are of organisations that hold more than their share of an upstream's
    connections while another has waited for one below its own. The longest
    rest ends first, and none before the bound that its callers know.
    """
    if not state.serves_organisations or not state.transactions:
        return []
    # Their callers wait for an answer; it may be held for a proof.
    in_progress = {work.request.transaction for work in state.work.values()}
    counted = count_waiting(state)
    ended = []
    for name in state.upstreams:
        if not _is_short_of_connections(state, now_ms, name):
            continue
        shares = measure_connections(state, name, counted)
        resting = [
            connection
            for connection in states.connections_to(state, name)
            if connection.phase is states.Phase.IDLE
            and connection.transaction
            and connection.transaction not in in_progress
            and now_ms - connection.idle_since_ms
            >= state.transactions[connection.transaction].contended_limit_ms
        ]
        for connection in sorted(resting, key=lambda c: c.idle_since_ms):
            if shares.is_above(connection.organisation):
                shares.held[connection.organisation] -= 1
                ended.append(connection)
    return ended


def _is_short_of_connections(
    state: states.GroupState, now_ms: int, upstream: str
) -> bool:
    """Return whether requests have waited while all connections are in use."""
    connections = states.connections_to(state, upstream)
    if len(connections) < state.connection_share:
        return False
    if not all(is_in_use(connection) for connection in connections):
        return False
    at_primary = upstream == state.primary
    return any(
        work.is_queued
        and now_ms - work.request.arrived_ms >= MAX_PASSED_OVER_MS
        and (at_primary or not work.primary_only)
        for work in state.work.values()
    )
