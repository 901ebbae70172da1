"""Send the commands of a promotion to a group's members."""

import collections.abc

from topazring.core.synchronous import attempts
from topazring.core.synchronous import connections
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_resumes
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = ['note_pause_report', 'resume_paused', 'send_commands']

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
        is_working = attempt.is_optional and name == attempt.old_primary
        if is_working and not attempts.is_demotion_due(state, now_ms, attempt):
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
        attempt.is_demotion_sent |= is_working
        if isinstance(command, statements.Pause):
            state.paused.add(name)
            state.pause_sent_ms = now_ms
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
        if isinstance(command, statements.Resume):
            outstanding_resumes.note_sent(state, now_ms, free[0])
        return [connections.send(free[0], now_ms, purpose, (command,))]
    return connections.dial_beyond_share(state, now_ms, upstream)


def resume_paused(state: states.GroupState, now_ms: int) -> list:
    """Resume replication on every replica that an attempt had paused.

    Replicas that may be paused are queried first, and those that are to be
    resumed are recorded.
    """
    if not promotion_lease.may_resume(state):
        return []
    for name in list(state.may_be_paused):
        note_pause_report(state, name)
    queried = state.may_be_paused.keys()
    outs = _send_to_all(state, now_ms, queried, statements.Status())
    if promotion_lease.surely_held_recently(state, now_ms):
        outs += outstanding_resumes.record(state, now_ms)
        names = outstanding_resumes.may_be_resumed(state)
        outs += _send_to_all(state, now_ms, names, statements.Resume())
    return outs


def note_pause_report(state: states.GroupState, name: str) -> None:
    """Record whether a replica that may be paused reports that it is."""
    since_ms = state.may_be_paused.get(name)
    upstream = state.upstreams[name]
    if since_ms is None or upstream.answered_status_sent_ms < since_ms:
        return
    if upstream.held_term:
        state.paused.add(name)
    elif upstream.answered_status_sent_ms <= state.pause_sent_ms:
        return
    del state.may_be_paused[name]


def _send_to_all(
    state: states.GroupState,
    now_ms: int,
    names: collections.abc.Set[str],
    command: statements.Command,
) -> list:
    """Send a command to replicas to which none is in flight."""
    outs: list = []
    for name in sorted(names - {state.primary}):
        is_in_flight = any(
            connection.purpose is states.Purpose.CONTROL
            for connection in states.connections_to(state, name)
        )
        if not is_in_flight:
            outs += send_control(state, now_ms, name, command)
    return outs
