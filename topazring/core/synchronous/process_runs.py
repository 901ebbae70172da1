"""Track for how long the process of an upstream has run for sure.

A restart ends the pause of a member, and no reply tells of it. It ends all
connections, though, so a process has run at least since the oldest of its
connections was opened, and two connections that were open at the same time
lead to the same process.
"""

from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = ['longest_run', 'note_opened', 'note_replied']


def note_opened(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> list[messages.LogDecision]:
    """Record that a dial succeeded; log it if no other connection is open."""
    connection.dialled_ms = connection.sent_ms
    connection.opened_ms = now_ms
    connection.running_since_ms = now_ms
    state.opened_ms = now_ms
    upstream = states.upstream_of(state, connection)
    if upstream is None or not upstream.last_received_ms:
        return []
    if any(
        other.phase is not states.Phase.OPENING and other is not connection
        for other in states.connections_to(state, connection.upstream)
    ):
        return []
    inputs = {
        'upstream': upstream.name,
        'unheard_ms': now_ms - upstream.last_received_ms,
    }
    what = 'upstream may have restarted'
    return [messages.LogDecision(what, inputs=inputs)]


def note_replied(
    state: states.GroupState, connection: states.Connection
) -> None:
    """Record that a process ran from this connection's opening to a reply.

    Connections that were dialled and opened in between lead to it as well.
    """
    since_ms = connection.running_since_ms
    for other in states.connections_to(state, connection.upstream):
        if other.phase is states.Phase.OPENING:
            continue
        is_dialled_after = other.dialled_ms >= since_ms
        if is_dialled_after and other.opened_ms < connection.sent_ms:
            other.running_since_ms = min(other.running_since_ms, since_ms)


def longest_run(connections: list[states.Connection]) -> states.Connection:
    """Return the connection whose process is known to run for longest."""
    return min(connections, key=lambda c: c.running_since_ms)
