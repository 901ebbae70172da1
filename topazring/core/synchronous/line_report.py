"""Tell how a group's line stands, and what its connections are doing.

A request that waits for its whole time leaves one line in the log, and that
says nothing of what it waited for: connections that transactions keep, busy
upstreams, or reads that found no replica look alike. Once a second, while
somebody waits for long, this tells them apart.
"""

import dataclasses

from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import waiting

__all__ = ['UseOfConnections', 'describe', 'tell', 'use_of']

# A calm line moves on within a few statements of 10 to 20 ms.
LONG_MS = 100
# A line of some 600 bytes: 0.6 KB/s for a group that is in trouble, nothing
# for others.
PERIOD_MS = 1000


@dataclasses.dataclass(slots=True)
class UseOfConnections:
    """Count the connections to one upstream by what they do."""

    opening: int = 0
    idle: int = 0
    # Statements of nobody's transaction.
    statements: int = 0
    # In a transaction: with a statement under way, and waiting for the caller.
    working: int = 0
    pausing: int = 0
    # Questions, undoing, steps of a promotion.
    other: int = 0

    def __str__(self) -> str:
        return (
            f'opening {self.opening} idle {self.idle} '
            f'statements {self.statements} working {self.working} '
            f'pausing {self.pausing} other {self.other}'
        )


def use_of(state: states.GroupState, upstream: str) -> UseOfConnections:
    """Count what the connections to an upstream are doing."""
    use = UseOfConnections()
    for connection in state.connections.values():
        if connection.upstream != upstream:
            continue
        name = _use(connection)
        setattr(use, name, getattr(use, name) + 1)
    return use


def _use(connection: states.Connection) -> str:
    if connection.phase is states.Phase.OPENING:
        return 'opening'
    if connection.phase is states.Phase.IDLE:
        return 'pausing' if connection.transaction else 'idle'
    if connection.errand is states.Errand.BEGINNING:
        return 'working'
    if connection.errand is not states.Errand.STATEMENT:
        return 'other'
    return 'working' if connection.transaction else 'statements'


def tell(state: states.GroupState, now_ms: int) -> list[messages.Decided]:
    """Tell how the line stands if somebody waits for long."""
    if now_ms - state.line_told_ms < PERIOD_MS:
        return []
    oldest_ms = max(
        (
            now_ms - state.work[key].request.arrived_ms
            for primary_only in (True, False)
            for key in waiting.heads(state, primary_only)
        ),
        default=0,
    )
    if oldest_ms < LONG_MS:
        return []
    state.line_told_ms = now_ms
    inputs = {'oldest_ms': oldest_ms, **describe(state, now_ms)}
    return [messages.Decided('line stands', inputs=inputs)]


def describe(state: states.GroupState, now_ms: int) -> dict[str, object]:
    """Return who waits for what, and what each upstream is used for."""
    for_primary = [state.work[k] for k in waiting.heads(state, True)]
    newest_ms = freshness.newest_ms(state)
    return {
        'for_primary': len(for_primary),
        'of_them_reads_moved': sum(w.moved for w in for_primary),
        'for_any': len(waiting.heads(state, False)),
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
    told = f'{use_of(state, upstream.name)} ms {upstream.service_ms:.0f}'
    lately = now_ms - upstream.lacked_ms < upstream.lacked_pause_ms
    if lately:
        told += f' lacks {upstream.lacked}'
    if upstream.is_full:
        told += ' full'
    return f'{told} place {upstream.place}'
