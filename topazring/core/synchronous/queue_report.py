"""Tell how a group's line stands, and what its connections are doing.

A request that waits for its whole time leaves one line in the log, and that
says nothing of what it waited for: connections that transactions keep, busy
upstreams, or reads that found no replica look alike. Once a second, while
somebody waits for long, this tells them apart.
"""

import collections
import enum

from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = ['ConnectionUse', 'report_long_waits', 'count_uses']

# A calm line moves on within a few statements of 10 to 20 ms.
LONG_WAIT_MS = 100
# A line of some 600 bytes: 0.6 KB/s for a group that is in trouble, nothing
# for others.
PERIOD_MS = 1000


class ConnectionUse(enum.StrEnum):
    """Name what a connection to an upstream is used for."""

    OPENING = 'opening'
    IDLE = 'idle'
    # A statement of nobody's transaction.
    STATEMENTS = 'statements'
    # In a transaction: with a statement under way, and waiting for the caller.
    WORKING = 'working'
    PAUSING = 'pausing'
    # Questions, undoing, steps of a promotion.
    OTHER = 'other'


def count_uses(
    state: states.GroupState, upstream: str
) -> collections.Counter[ConnectionUse]:
    """Count the connections to an upstream by what they are used for."""
    return collections.Counter(
        _use(connection)
        for connection in states.connections_to(state, upstream)
    )


def _use(connection: states.Connection) -> ConnectionUse:
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
    if connection.purpose is not states.Purpose.STATEMENT:
        return ConnectionUse.OTHER
    return (
        ConnectionUse.WORKING
        if connection.transaction
        else ConnectionUse.STATEMENTS
    )


def report_long_waits(
    state: states.GroupState, now_ms: int
) -> list[messages.LogDecision]:
    """Tell how the line stands if somebody waits for long."""
    if now_ms - state.queue_reported_ms < PERIOD_MS:
        return []
    line = [work for work in state.work.values() if work.is_queued]
    since_ms = min((work.request.arrived_ms for work in line), default=now_ms)
    if now_ms - since_ms < LONG_WAIT_MS:
        return []
    state.queue_reported_ms = now_ms
    inputs = {'oldest_ms': now_ms - since_ms, **_describe(state, now_ms, line)}
    return [messages.LogDecision('line stands', inputs=inputs)]


def _describe(
    state: states.GroupState, now_ms: int, line: list[states.Work]
) -> dict[str, object]:
    """Return who waits for what, and what each upstream is used for."""
    for_primary = sum(work.primary_only for work in line)
    newest_ms = freshness.newest_sample_ms(state)
    return {
        'for_primary': for_primary,
        'of_them_reads_moved': sum(work.is_moved_to_primary for work in line),
        'for_any': len(line) - for_primary,
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
    counted = count_uses(state, upstream.name)
    told = ' '.join(f'{use} {counted[use]}' for use in ConnectionUse)
    told += f' ms {upstream.service_ms:.0f}'
    if states.is_recently_lagging(upstream, now_ms):
        told += f' lacks {upstream.missing_place}'
    if upstream.is_full:
        told += ' full'
    return f'{told} place {upstream.place}'
