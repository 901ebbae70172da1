"""Handle the replies of members to the commands of a promotion."""

from topazring.core.synchronous import attempts
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_resumes
from topazring.core.synchronous import primary
from topazring.core.synchronous import promotion
from topazring.core.synchronous import promotion_commands
from topazring.core.synchronous import promotion_end
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = ['handle_control_reply']


def handle_control_reply(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    reply: statements.Reply,
) -> list:
    """Handle a reply to a pause, demotion, status query or resume."""
    attempt = state.promotion
    command = connection.commands[0]
    name = connection.upstream
    upstream = states.upstream_of(state, connection)
    # A pause by this proxy does not show whether other proxies paused it.
    is_own_pause = isinstance(command, statements.Pause | statements.Demote)
    if upstream is not None and reply.report is not None and not is_own_pause:
        confirmations.note_report(
            upstream,
            connection.sent_ms,
            reply.report,
            connection.running_since_ms,
        )
    if isinstance(command, statements.Resume):
        return _handle_resume_reply(state, now_ms, connection, reply)
    if upstream is None or reply.report is None:
        # Its entry may have expired while the command was in flight, so it is
        # no longer a member.
        return []
    if attempt is None:
        promotion_commands.note_pause_report(state, name)
        return promotion_lease.fence_earlier_orders(state, now_ms)
    state.term = max(state.term, reply.report.term)
    is_old = connection.sent_ms < state.resumed_ms
    if is_old or connection.sent_ms <= upstream.resume_answered_ms:
        # It may have been unread for as long as this process stood still, or a
        # resume that was sent before has ended the pause.
        attempt.asked_ms.pop(name, None)
        return promotion.advance(state, now_ms, attempt)
    if isinstance(command, statements.Pause):
        if command.term != attempt.term:
            return []
        return _handle_pause_reply(
            state, now_ms, attempt, connection, reply.report
        )
    if isinstance(command, statements.Demote):
        return _handle_demotion_reply(
            state, now_ms, attempt, name, reply.report
        )
    if name == attempt.successor or attempt.is_query_only:
        attempts.record_report(attempt, now_ms, name, reply.report)
    return promotion.advance(state, now_ms, attempt)


def _handle_resume_reply(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    reply: statements.Reply,
) -> list:
    name = connection.upstream
    outstanding_resumes.note_answered(state, connection)
    if reply.code is None:
        state.paused.discard(name)
    upstream = states.upstream_of(state, connection)
    attempt = state.promotion
    if upstream is None or attempt is None:
        return []
    # What the member has reported since may be of before the resume.
    upstream.resume_answered_ms = now_ms
    state.paused.add(name)
    attempts.forget_report(attempt, name)
    return promotion.advance(state, now_ms, attempt)


def _handle_pause_reply(
    state: states.GroupState,
    now_ms: int,
    attempt: attempts.Attempt,
    connection: states.Connection,
    report: statements.StatusReport,
) -> list:
    """Handle the report of a member that was sent a pause.

    A replica counts as paused; a primary ignores the pause.
    """
    name = connection.upstream
    is_replaced = report.term < state.term
    if report.role is statements.Role.PRIMARY and is_replaced:
        # It has not learned yet that another upstream has led since. If it
        # counted as the primary, this attempt and each later one would end,
        # for a second.
        attempt.stale_primaries.add(name)
        attempt.asked_ms.pop(name, None)
        return promotion.advance(state, now_ms, attempt)
    if report.role is statements.Role.PRIMARY:
        outs = primary.note_report(
            state,
            now_ms,
            state.upstreams[name],
            connection.sent_ms,
            report,
            connection.running_since_ms,
        )
        return outs + promotion_end.finish(
            state, now_ms, attempt, 'another leads'
        )
    if report.held_term < attempt.term:
        if attempts.awaits_leader(attempt, now_ms, report.term):
            # Search for it at the next tick.
            state.leadership_checked_ms = states.NEVER_MS
            return []
        # The member has seen a newer term than any seen here, so it is not
        # paused.
        attempts.raise_term(state, attempt)
        return promotion.advance(state, now_ms, attempt)
    decided = _log_paused(state, now_ms, attempt, name, report)
    attempts.record_report(attempt, now_ms, name, report)
    return decided + promotion.advance(state, now_ms, attempt)


def _log_paused(
    state: states.GroupState,
    now_ms: int,
    attempt: attempts.Attempt,
    name: str,
    report: statements.StatusReport,
) -> list:
    """Log where the log of a paused member ends, once per attempt."""
    if name in attempt.logged_paused:
        return []
    attempt.logged_paused.add(name)
    inputs = {
        'upstream': name,
        'received': str(report.received),
        'listed_for_ms': now_ms - state.upstreams[name].first_listed_ms,
        'began_ms_ago': now_ms - attempt.began_ms,
        'chosen': attempt.chosen,
        'token': attempt.token,
    }
    return [messages.LogDecision('member paused', inputs=inputs)]


def _handle_demotion_reply(
    state: states.GroupState,
    now_ms: int,
    attempt: attempts.Attempt,
    name: str,
    report: statements.StatusReport,
) -> list:
    """Handle the report of a primary that was sent a demotion.

    A replaced primary that is demoted follows the present leader and would
    confirm writes that no other replica has. It must therefore be paused like
    any other replica before its report counts; otherwise an acknowledged
    write is lost in a hand-over.
    """
    if report.role is statements.Role.PRIMARY:
        attempts.raise_term(state, attempt)
        return promotion.advance(state, now_ms, attempt)
    state.upstreams[name].refuted_ms = now_ms
    if name in attempt.stale_primaries:
        attempt.stale_primaries.discard(name)
        attempt.asked_ms.pop(name, None)
    else:
        attempts.record_report(attempt, now_ms, name, report)
    return promotion.advance(state, now_ms, attempt)
