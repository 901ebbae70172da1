"""Log the state of a group's queues and the use of its connections.

A request that waits until its deadline leaves one log entry, which does not
show what it waited for: connections held by transactions, busy upstreams and
reads without a suitable replica look the same. This report, logged once a
second while a request has been waiting for long, distinguishes them.
"""

import collections
import enum

from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = ['ConnectionUse', 'count_uses', 'report_long_waits']

# In normal operation a queue moves on within a few statements of 10 to 20 ms.
LONG_WAIT_MS = 100
# A log entry has some 600 bytes: 0.6 KB/s for a group whose requests wait,
# nothing for other groups.
PERIOD_MS = 1000


class ConnectionUse(enum.StrEnum):
    """What a connection to an upstream is used for."""

    OPENING = 'opening'
    IDLE = 'idle'
    # Running a statement outside a transaction.
    STATEMENTS = 'statements'
    # In a transaction: running a statement, and waiting for the caller.
    WORKING = 'working'
    PAUSING = 'pausing'
    # Leadership checks, status queries, rollbacks, steps of a promotion.
    OTHER = 'other'


def count_uses(
    state: states.GroupState, upstream: str
) -> collections.Counter[ConnectionUse]:
    """Count the connections to an upstream by what they are used for."""
    return collections.Counter(
        _connection_use(connection)
        for connection in states.connections_to(state, upstream)
    )


def _connection_use(connection: states.Connection) -> ConnectionUse:
    if connection.phase is states.Phase.OPENING:
        return ConnectionUse.OPENING
    if connection.phase is states.Phase.IDLE:
        return (
            ConnectionUse.PAUSING
            if connection.transaction
            else ConnectionUse.IDLE
        )
    if connection.purpose is states.Purpose.BEGIN_TRANSACTION:
        return ConnectionUse.WORKING
    if connection.purpose not in (
        states.Purpose.STATEMENT,
        states.Purpose.SESSION_SETUP,
    ):
        return ConnectionUse.OTHER
    return (
        ConnectionUse.WORKING
        if connection.transaction
        else ConnectionUse.STATEMENTS
    )


def report_long_waits(
    state: states.GroupState, now_ms: int
) -> list[messages.LogDecision]:
    """Return a log event with the state of the queues if a wait is long.

    There is at most one event each `PERIOD_MS`.
    """
    if now_ms - state.queue_reported_ms < PERIOD_MS:
        return []
    waiting = [work for work in state.work.values() if work.is_queued]
    oldest_ms = min(
        (work.request.arrived_ms for work in waiting), default=now_ms
    )
    if now_ms - oldest_ms < LONG_WAIT_MS:
        return []
    state.queue_reported_ms = now_ms
    inputs = {
        'oldest_ms': now_ms - oldest_ms,
        **_describe(state, now_ms, waiting),
    }
    return [messages.LogDecision('line stands', inputs=inputs)]


def _describe(
    state: states.GroupState, now_ms: int, waiting: list[states.Work]
) -> dict[str, object]:
    """Return what the requests wait for and how each upstream is used."""
    for_primary = sum(work.primary_only for work in waiting)
    newest_ms = freshness.newest_sample_ms(state)
    return {
        'for_primary': for_primary,
        'of_them_reads_moved': sum(
            work.is_moved_to_primary for work in waiting
        ),
        'for_any': len(waiting) - for_primary,
        'primary': state.primary,
        'sample_age_ms': None if newest_ms is None else now_ms - newest_ms,
        'share': state.connection_share,
        'upstreams': {
            upstream.name: _describe_upstream(state, now_ms, upstream)
            for upstream in state.upstreams.values()
        },
    }


def _describe_upstream(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> str:
    counts = count_uses(state, upstream.name)
    text = ' '.join(f'{use} {counts[use]}' for use in ConnectionUse)
    text += f' ms {upstream.service_ms:.0f}'
    if states.is_recently_lagging(upstream, now_ms):
        text += f' lacks {upstream.missing_place}'
    if upstream.is_full:
        text += ' full'
    return f'{text} place {upstream.place}'
