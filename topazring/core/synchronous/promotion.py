"""Replace a primary that is lost or leaves: pause, look, order.

Every acknowledged write is in the log of some replica. Once a replica is
paused it confirms nothing more, so what it reports in its answer to the
pause is all that it can have confirmed. For a lost primary all replicas are
paused and the highest is promoted. For one that leaves, all but the
successor are paused: from then on every write needs the successor, and once
that holds what the paused ones reported it holds all that was acknowledged,
without a stop of writes.

A primary that answers but gets nothing confirmed is demoted first: cut off
from its replicas it may reach one again at any moment. Its log holds all
that was acknowledged, so if no replica provably does, it is promoted anew.

A replica that cannot be asked may be the only one that holds an acknowledged
write. Nobody is promoted without its answer, nor anyone whose log ends
before what is known to be acknowledged: the last replica that is listed may
be one that received nothing for a while. The list of upstreams is read anew
meanwhile, for one that only others know may hold it as well.
"""

from topazring.core.synchronous import attempts
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import messages
from topazring.core.synchronous import position_records
from topazring.core.synchronous import promotion_commands
from topazring.core.synchronous import promotion_end
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import promotion_order
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states

__all__ = ['advance', 'handle_list_read', 'tick']

# A promotion takes some hundred ms after the order. One that shows nothing
# for so long failed, and the group is looked at anew.
LEAD_TIMEOUT_MS = 3000
# A paused replica confirms nothing. If the primary lives after all, writes
# stand still meanwhile, so an attempt that cannot choose lets go again.
CHOICE_TIMEOUT_MS = 800


def tick(state: states.GroupState, now_ms: int) -> list:
    """Begin, go on with, or end an attempt; resume who was paused."""
    if not state.holds_promotion_lease:
        return []
    attempt = state.promotion
    if attempt is not None:
        return advance(state, now_ms, attempt)
    if promotion_lease.is_another_promoting(state, now_ms):
        return _yield_to_another(state)
    if now_ms < state.next_promotion_ms:
        return []
    loss = failure_detection.detect_loss(state, now_ms)
    if loss is not None:
        return _begin(state, now_ms, loss.upstream, loss.why, loss)
    old = state.upstreams.get(state.primary)
    if old is not None and old.leaving:
        heir = _heir(state, now_ms)
        if heir:
            why = 'it leaves'
            return _begin(state, now_ms, old.name, why, None, heir)
    return promotion_commands.resume_paused(state, now_ms)


def _yield_to_another(state: states.GroupState) -> list:
    """Leave the duty to whoever paused the members of the group."""
    state.holds_promotion_lease = False
    state.promotion = None
    state.counters['promotion_left_to_another'] += 1
    paused = {u.name: u.held_term for u in state.upstreams.values()}
    inputs = {'term': state.term, 'held_terms': paused}
    decided = messages.LogDecision('another promotes', inputs=inputs)
    return [decided, messages.YieldPromotionLease('another promotes')]


def _heir(state: states.GroupState, now_ms: int) -> str:
    """Return the replica to follow a leaving primary.

    It stays, can be asked, and its log is ahead.
    """
    staying = [
        upstream
        for upstream in state.upstreams.values()
        if not upstream.leaving and upstream.name != state.primary
    ]
    if not staying:
        return ''
    reached = [
        upstream
        for upstream in staying
        if not proofs.is_unreachable(state, now_ms, upstream)
    ]
    ahead = max(
        reached or staying, key=lambda u: (u.place, u.is_established, u.name)
    )
    return ahead.name


def _begin(
    state: states.GroupState,
    now_ms: int,
    old: str,
    why: str,
    loss: failure_detection.Loss | None,
    heir: str = '',
) -> list:
    state.token += 1
    attempt = attempts.Attempt(
        old, why, now_ms, state.term + 1, state.token, heir
    )
    if loss is not None:
        attempt.unconfirmed = loss.unconfirmed or loss.replaced
        attempt.is_query_only = loss.unconfirmed
    attempt.since_ms = now_ms if loss is None else loss.since_ms
    state.promotion = attempt
    what = (
        'promotion considered' if attempt.is_query_only else 'promotion begins'
    )
    state.counters[what.replace(' ', '_')] += 1
    decided = messages.LogDecision(
        what,
        inputs={
            'old': old,
            'why': why,
            'heir': heir,
            'token': attempt.token,
            'since_ms': 0 if loss is None else now_ms - loss.since_ms,
        },
    )
    return [decided, *advance(state, now_ms, attempt)]


def advance(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """Take the next step of an attempt, or end it."""
    if attempt.is_query_only and promotion_lease.is_another_promoting(
        state, now_ms
    ):
        return _yield_to_another(state)
    ended = _end(state, now_ms, attempt)
    if ended is not None:
        return ended
    if attempt.chosen:
        return _stand_by(state, now_ms, attempt)
    outs = promotion_order.request_list(now_ms, attempt)
    outs += promotion_commands.send_commands(state, now_ms, attempt)
    chosen = attempts.choose_primary(state, now_ms, attempt)
    if not chosen:
        return outs
    if attempt.is_query_only and attempts.has_receiving_replica(
        state, now_ms, attempt
    ):
        return outs + promotion_end.finish(
            state, now_ms, attempt, 'replicas receive'
        )
    if attempt.is_query_only and chosen == attempt.old_primary:
        return outs + promotion_end.finish(
            state, now_ms, attempt, 'nobody may follow'
        )
    if attempt.is_query_only:
        return outs + _stop_looking(state, now_ms, attempt)
    return outs + promotion_order.order_promotion(
        state, now_ms, attempt, chosen
    )


def handle_list_read(
    state: states.GroupState, now_ms: int, message: messages.UpstreamListRead
) -> list:
    """Take in that all who are listed are known."""
    attempt = state.promotion
    if attempt is None or attempt.token != message.token:
        return []
    attempt.is_reading_list = False
    if not message.complete:
        # Asked again at the next tick.
        return []
    attempt.list_read_ms = now_ms
    return advance(state, now_ms, attempt)


def _stand_by(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """Keep replicas paused until the order is carried out.

    One that restarts is paused no more, one that just came never was, and
    either could confirm writes of a primary that is back. If one did, and
    the order is still open, another upstream has to be chosen.
    """
    if not attempt.accepted and _is_overtaken(attempt):
        return promotion_end.finish(state, now_ms, attempt, 'overtaken')
    outs = promotion_order.resend_order(state, now_ms, attempt)
    if not attempt.unconfirmed:
        outs += promotion_commands.send_commands(state, now_ms, attempt)
    return outs


def _is_overtaken(attempt: attempts.Attempt) -> bool:
    """Say whether somebody received more since the order went out."""
    if attempt.chosen in (attempt.old_primary, attempt.successor):
        # An heir goes on receiving; its place is older than the others'.
        return False
    # What the demoted primary holds beyond that was never confirmed.
    return any(
        report.received > attempt.chosen_position
        for name, report in attempt.reports.items()
        if name != attempt.old_primary
    )


def _stop_looking(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """Pause the replicas now that one of them could follow."""
    attempt.is_query_only = False
    attempts.forget_reports(attempt)
    state.counters['promotion_begins'] += 1
    inputs = {
        'old': attempt.old_primary,
        'why': attempt.why,
        'token': attempt.token,
        'since_ms': now_ms - attempt.since_ms,
    }
    decided = messages.LogDecision('promotion begins', inputs=inputs)
    return [decided, *promotion_commands.send_commands(state, now_ms, attempt)]


def _end(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list | None:
    """End an attempt that succeeded, or that nothing calls for any more."""
    leads = state.primary
    renewed = attempt.chosen == attempt.old_primary and attempt.accepted
    if leads and (leads != attempt.old_primary or renewed):
        if leads == attempt.chosen != attempt.successor:
            # An heir received more after it was chosen.
            state.primary_start = position_records.PrimaryStart(
                leads, attempt.chosen_position
            )
        state.successor_gone = False
        return promotion_end.finish(state, now_ms, attempt, 'succeeded')
    if attempt.successor_gone:
        return _lose_successor(state, now_ms, attempt)
    if attempt.chosen:
        # Without an answer the order stands, and it is repeated until there
        # is one. Meanwhile all are paused, so a primary that is back
        # acknowledges nothing that the chosen one lacks.
        if attempt.accepted and now_ms - attempt.ordered_ms > LEAD_TIMEOUT_MS:
            return promotion_end.finish(state, now_ms, attempt, 'nobody leads')
        return None
    if not attempt.successor and now_ms - attempt.began_ms > CHOICE_TIMEOUT_MS:
        if attempt.unconfirmed and not attempt.is_query_only:
            # It may have been demoted; the search for one that leads shows.
            state.primary = ''
            state.primary_lost_ms = attempt.began_ms
        return promotion_end.finish(
            state, now_ms, attempt, 'nobody may follow'
        )
    old = state.upstreams.get(attempt.old_primary)
    if attempt.is_query_only and old is not None:
        if failure_detection.detect_silence(state, now_ms, old) is not None:
            return promotion_end.finish(
                state, now_ms, attempt, 'lost meanwhile'
            )
    if attempt.successor:
        if (
            old is None
            or failure_detection.detect_loss(state, now_ms) is not None
        ):
            return promotion_end.finish(
                state, now_ms, attempt, 'lost meanwhile'
            )
        return _unblock(state, now_ms, attempt)
    if old is None:
        if attempt.unconfirmed:
            return promotion_end.finish(
                state, now_ms, attempt, 'lost meanwhile'
            )
        return None
    alive = old.last_received_ms > attempt.began_ms
    if attempt.unconfirmed:
        alive = old.confirmed_ms > attempt.began_ms
    if alive and leads == attempt.old_primary:
        return promotion_end.finish(state, now_ms, attempt, 'it is back')
    return None


def _lose_successor(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """End an attempt whose successor is gone.

    An order for it may have been carried out, or may be yet. So it is not
    repeated, for one that bears its name now is empty, and the primary that
    it was to replace is replaced by the next attempt, also if it is back.
    """
    if attempt.chosen:
        confirmations.note_successor_gone(state, now_ms)
    return promotion_end.finish(state, now_ms, attempt, 'lost meanwhile')


def _unblock(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list | None:
    """Demote a leaving primary whose hand-over waits for a silent member.

    The member may go on confirming writes that the heir lacks. A demoted
    primary gets nothing confirmed any more, and says what its log holds. It
    costs the time of a promotion without writes; waiting costs the time from
    the end of the primary's drain to its end, seconds.
    """
    if attempt.demoting_since_ms is None:
        waited_ms = now_ms - attempt.began_ms
        blocked = attempts.is_blocked(state, now_ms, attempt)
        if waited_ms > CHOICE_TIMEOUT_MS and blocked:
            attempt.demoting_since_ms = now_ms
            attempts.forget_reports(attempt)
            inputs = {'old': attempt.old_primary, 'heir': attempt.successor}
            decided = messages.LogDecision('hand-over blocked', inputs=inputs)
            return [
                decided,
                *promotion_commands.send_commands(state, now_ms, attempt),
            ]
        return None
    if now_ms - attempt.demoting_since_ms < CHOICE_TIMEOUT_MS:
        return None
    if attempts.has_fresh_report(attempt, now_ms, attempt.old_primary):
        # Its heir did not get all that it holds: it has to lead again.
        return promotion_order.order_promotion(
            state, now_ms, attempt, attempt.old_primary
        )
    return promotion_end.finish(state, now_ms, attempt, 'lost meanwhile')
