"""Send the commands of a promotion to a group's members."""

from topazring.core.synchronous import attempts
from topazring.core.synchronous import connections
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import messages
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = ['resume_paused', 'send_commands']

# A member that has not replied is sent the command again after this long, on
# another connection.
COMMAND_RETRY_MS = 200
# Interval between status queries to a successor while it catches up.
STATUS_INTERVAL_MS = 30


def send_commands(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """Send members a pause, a demotion or a status query."""
    outs: list = []
    for name in attempts.members_to_query(state, attempt):
        asked_ms = attempt.asked_ms.get(name)
        again_ms = (
            STATUS_INTERVAL_MS
            if name == attempt.successor
            else COMMAND_RETRY_MS
        )
        if name != attempt.successor and attempts.has_fresh_report(
            attempt, now_ms, name
        ):
            continue
        if asked_ms is not None and now_ms - asked_ms < again_ms:
            continue
        command: statements.Command = statements.Pause(attempt.term)
        if name == attempt.successor or attempt.is_query_only:
            command = statements.Status()
        elif _is_to_demote(state, attempt, name):
            command = statements.Demote(attempt.term)
        sent = send_control(state, now_ms, name, command)
        outs += sent
        if not any(isinstance(out, messages.Send) for out in sent):
            # Only a dial was started; the command is sent once it succeeds.
            continue
        attempt.asked_ms[name] = now_ms
        if isinstance(command, statements.Pause):
            state.paused.add(name)
    return outs


def _is_to_demote(
    state: states.GroupState, attempt: attempts.Attempt, name: str
) -> bool:
    if name in attempt.stale_primaries:
        return True
    return name == attempt.old_primary and not failure_detection.is_recreated(
        state, name
    )


def send_control(
    state: states.GroupState,
    now_ms: int,
    upstream: str,
    command: statements.Command,
) -> list:
    """Send one command, on a new connection where none is free."""
    free = states.idle_connections(state, upstream)
    if free:
        purpose = states.Purpose.CONTROL
        return [connections.send(free[0], now_ms, purpose, (command,))]
    return connections.dial_beyond_share(state, now_ms, upstream)


def resume_paused(state: states.GroupState, now_ms: int) -> list:
    """Resume replication on every replica that an attempt had paused."""
    outs: list = []
    if not promotion_lease.may_resume(state):
        return outs
    for name in sorted(state.paused):
        upstream = state.upstreams.get(name)
        if upstream is None or name == state.primary:
            state.paused.discard(name)
            continue
        is_in_flight = any(
            connection.purpose is states.Purpose.CONTROL
            for connection in states.connections_to(state, name)
        )
        if not is_in_flight:
            outs += send_control(state, now_ms, name, statements.Resume())
    return outs
