"""Take in what members answer to the steps of a promotion."""

from topazring.core.synchronous import attempts
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import messages
from topazring.core.synchronous import primary
from topazring.core.synchronous import promotion
from topazring.core.synchronous import promotion_end
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = ['handle_control_reply']


def handle_control_reply(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    reply: statements.Reply,
) -> list:
    """Take in a member's answer to a pause, a look or a resume."""
    attempt = state.promotion
    command = connection.commands[0]
    name = connection.upstream
    upstream = state.upstreams.get(name)
    # That this proxy paused it tells nothing of what others do.
    own_step = isinstance(command, statements.Pause | statements.Demote)
    if upstream is not None and reply.report is not None and not own_step:
        confirmations.note_report(upstream, connection.sent_ms, reply.report)
    if isinstance(command, statements.Resume) and reply.code is None:
        state.paused.discard(name)
        return []
    if attempt is None or reply.report is None:
        return []
    if upstream is None:
        # Its entry lapsed while it was asked; it is no member any more.
        return []
    state.term = max(state.term, reply.report.term)
    if isinstance(command, statements.Pause):
        if command.term != attempt.term:
            return []
        return _paused(state, now_ms, attempt, connection, reply.report)
    if isinstance(command, statements.Demote):
        return _demoted(state, now_ms, attempt, name, reply.report)
    if name == attempt.successor or attempt.is_query_only:
        attempts.record_report(attempt, now_ms, name, reply.report)
    return promotion.advance(state, now_ms, attempt)


def _paused(
    state: states.GroupState,
    now_ms: int,
    attempt: attempts.Attempt,
    connection: states.Connection,
    report: statements.StatusReport,
) -> list:
    """Count a paused replica; a primary has paused nothing."""
    name = connection.upstream
    replaced = report.term < state.term
    if report.role is statements.Role.PRIMARY and replaced:
        # It has not learned yet that another led since. Taking it for one
        # that leads would end this attempt, and each after it, for a second.
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
        )
        return outs + promotion_end.finish(
            state, now_ms, attempt, 'another leads'
        )
    if report.held_term < attempt.term:
        # A term was newer than any that had been seen: it is not paused.
        attempt.term = state.term + 1
        attempts.forget_reports(attempt)
        return promotion.advance(state, now_ms, attempt)
    told = _tell_paused(state, now_ms, attempt, name, report)
    attempts.record_report(attempt, now_ms, name, report)
    return told + promotion.advance(state, now_ms, attempt)


def _tell_paused(
    state: states.GroupState,
    now_ms: int,
    attempt: attempts.Attempt,
    name: str,
    report: statements.StatusReport,
) -> list:
    """Tell where the log of a member ends, once an attempt."""
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


def _demoted(
    state: states.GroupState,
    now_ms: int,
    attempt: attempts.Attempt,
    name: str,
    report: statements.StatusReport,
) -> list:
    """Take in a primary that is one no more.

    One that had been replaced follows whoever leads from now on, and would
    confirm what nobody else holds. So it is a replica to be paused like any
    other before it counts. One would notice by an acknowledged write that is
    gone after a hand-over.
    """
    if report.role is statements.Role.PRIMARY:
        attempt.term = state.term + 1
        attempt.asked_ms.pop(name, None)
        return promotion.advance(state, now_ms, attempt)
    state.upstreams[name].refuted_ms = now_ms
    if name in attempt.stale_primaries:
        attempt.stale_primaries.discard(name)
        attempt.asked_ms.pop(name, None)
    else:
        attempts.record_report(attempt, now_ms, name, report)
    return promotion.advance(state, now_ms, attempt)
