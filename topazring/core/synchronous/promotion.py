"""Replace a primary that is lost or leaving: pause, compare logs, promote.

Every acknowledged write is in the log of some replica. A paused replica
confirms no further writes, so the log position in its reply to the pause
bounds everything that it can have confirmed. If the primary is lost, all
replicas are paused and the one with the longest log is promoted. If the
primary is leaving, all replicas but the successor are paused. From then on
every write needs the successor's confirmation. Once the successor holds
everything that the paused replicas reported, it holds all acknowledged
writes, and it can be promoted without interrupting writes.

A primary that responds but gets no writes confirmed is demoted first: it is
cut off from its replicas and may reach one of them again at any moment. Its
log holds all acknowledged writes, so it is promoted again if no replica
provably holds them all.

A replica that cannot be queried may be the only one that holds an
acknowledged write. No member is promoted before every replica has replied,
or if its log ends before the position known to be acknowledged: the only
replica still listed may have received nothing for a while. The list of
upstreams is read again during the attempt, because a replica that only other
proxies have seen may also hold such a write.
"""

from topazring.core import log_positions
from topazring.core.synchronous import acknowledgement_fence
from topazring.core.synchronous import attempts
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import member_record
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import outstanding_resumes
from topazring.core.synchronous import position_records
from topazring.core.synchronous import promotion_commands
from topazring.core.synchronous import promotion_end
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import promotion_order
from topazring.core.synchronous import proofs
from topazring.core.synchronous.scheduling import lone_primary
from topazring.core.synchronous import state as states

__all__ = [
    'advance',
    'handle_acknowledgements',
    'handle_list_read',
    'tick',
]

# A promotion takes a few hundred ms after the order is sent. If there is no
# new primary after this long, the attempt has failed and the group is
# evaluated again.
LEAD_TIMEOUT_MS = 3000
# Paused replicas confirm no writes. If the primary is alive after all, its
# writes block in the meantime, so an attempt that cannot choose a new primary
# within this time is ended and the replicas are resumed.
CHOICE_TIMEOUT_MS = 800


def tick(state: states.GroupState, now_ms: int) -> list:
    """Start, continue or end an attempt; resume paused members."""
    if not state.holds_promotion_lease:
        return []
    attempt = state.promotion
    if attempt is not None:
        return advance(state, now_ms, attempt)
    if promotion_lease.is_another_promoting(state, now_ms):
        return _yield_lease(state)
    if now_ms < state.next_promotion_ms:
        return []
    loss = _detect_loss(state, now_ms)
    if loss is not None:
        return _begin_attempt(state, now_ms, loss.upstream, loss.why, loss)
    if lone_primary.is_due(state, now_ms):
        return _begin_relief(state, now_ms)
    primary = state.upstreams.get(state.primary)
    if primary is not None and primary.leaving:
        successor = _choose_successor(state, now_ms)
        if successor and not outstanding_orders.blocks(
            state, now_ms, successor
        ):
            why = 'it leaves'
            return _begin_attempt(
                state, now_ms, primary.name, why, None, successor
            )
    return promotion_commands.resume_paused(state, now_ms)


def _detect_loss(
    state: states.GroupState, now_ms: int
) -> failure_detection.Loss | None:
    """Return the loss of the primary unless it works and has to stay.

    While an order for another upstream may be carried out, a primary that
    answers is needed: that upstream may still lack what it holds.
    """
    loss = failure_detection.detect_loss(state, now_ms)
    is_kept = (
        loss is not None
        and loss.replaced
        and outstanding_orders.blocks(state, now_ms, loss.upstream)
    )
    return None if is_kept else loss


def _yield_lease(state: states.GroupState) -> list:
    """Yield the promotion lease to the proxy that paused the members."""
    state.holds_promotion_lease = False
    state.promotion = None
    state.counters['promotion_left_to_another'] += 1
    held_terms = {u.name: u.held_term for u in state.upstreams.values()}
    inputs = {'term': state.term, 'held_terms': held_terms}
    decided = messages.LogDecision('another promotes', inputs=inputs)
    return [decided, messages.YieldPromotionLease('another promotes')]


def _choose_successor(state: states.GroupState, now_ms: int) -> str:
    """Return the replica that is to succeed a leaving primary.

    Of the replicas that are not leaving, it is the one with the longest log
    among those that can be reached, or among all if none can be reached. One
    that an operator has closed is chosen if there is no other.
    """
    staying = [
        upstream
        for upstream in state.upstreams.values()
        if not upstream.leaving and upstream.name != state.primary
    ]
    if not staying:
        return ''
    doubtful = outstanding_resumes.doubtful_members(state, now_ms)
    reachable = [
        upstream
        for upstream in staying
        if not proofs.is_unreachable(state, now_ms, upstream)
    ]
    longest = max(
        reachable or staying,
        key=lambda u: (
            outstanding_orders.is_outstanding(state, now_ms, u.name),
            u.name in doubtful,
            not states.is_closed_by_operator(state, now_ms, u.name),
            u.place,
            u.is_established,
            u.name,
        ),
    )
    return longest.name


def _begin_attempt(
    state: states.GroupState,
    now_ms: int,
    old_primary: str,
    why: str,
    loss: failure_detection.Loss | None,
    successor: str = '',
    is_optional: bool = False,
) -> list:
    state.token += 1
    attempt = attempts.Attempt(
        old_primary, why, now_ms, state.term + 1, state.token, successor
    )
    if member_record.has_seen_no_primary(state):
        state.counters['promotion_begins_without_primary'] += 1
    if loss is not None:
        attempt.unconfirmed = loss.unconfirmed or loss.replaced
        attempt.is_query_only = loss.unconfirmed and not is_optional
    attempt.is_optional = is_optional
    attempt.is_lease_shown = state.limits.checks_tokens
    attempt.since_ms = now_ms if loss is None else loss.since_ms
    state.promotion = attempt
    event = (
        'promotion considered' if attempt.is_query_only else 'promotion begins'
    )
    state.counters[event.replace(' ', '_')] += 1
    decided = messages.LogDecision(
        event,
        inputs={
            'old': old_primary,
            'why': why,
            'heir': successor,
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
        return _yield_lease(state)
    ended = _end_if_finished(state, now_ms, attempt)
    if ended is not None:
        return ended
    if not attempt.is_lease_shown:
        # Nothing is paused before, since no order could follow.
        return promotion_lease.verify(state, now_ms)
    if attempt.is_optional and attempt.list_read_ms is None:
        # Nothing is paused that could not be replaced.
        return promotion_order.request_list(now_ms, attempt)
    outs = _fence_owners(state, attempt)
    if attempt.chosen:
        return outs + _keep_paused(state, now_ms, attempt)
    outs += promotion_order.request_list(now_ms, attempt)
    outs += promotion_commands.send_commands(state, now_ms, attempt)
    chosen = attempts.choose_primary(state, now_ms, attempt)
    unverified = attempts.position_to_verify(state, now_ms, attempt)
    if unverified is not None and not attempt.is_query_only:
        outs += _query_acknowledgements(state, now_ms, attempt, unverified)
    if not chosen:
        return outs
    if attempt.is_query_only and attempts.has_receiving_replica(
        state, now_ms, attempt
    ):
        outs += promotion_end.finish(
            state, now_ms, attempt, 'replicas receive'
        )
        return outs + lone_primary.decide(state, now_ms, attempt.reports)
    if attempt.is_query_only and chosen == attempt.old_primary:
        return outs + promotion_end.finish(
            state, now_ms, attempt, 'nobody may follow'
        )
    if attempt.is_query_only:
        if outstanding_orders.blocks(state, now_ms, chosen):
            return outs + promotion_end.finish(
                state, now_ms, attempt, 'an order is outstanding'
            )
        return outs + _start_pausing(state, now_ms, attempt)
    return outs + promotion_order.order_promotion(
        state, now_ms, attempt, chosen
    )


def _begin_relief(state: states.GroupState, now_ms: int) -> list:
    """Begin to replace a primary that serves alone, once that was decided.

    Its log holds all acknowledged writes, so it leads again if no replica
    provably holds them.
    """
    lone_primary.note_begun(state, now_ms)
    loss = failure_detection.Loss(
        state.primary, lone_primary.WHY, now_ms, unconfirmed=True
    )
    return _begin_attempt(
        state, now_ms, state.primary, lone_primary.WHY, loss, is_optional=True
    )


def _fence_owners(state: states.GroupState, attempt: attempts.Attempt) -> list:
    """Fence the other owners once for each term that the attempt is to begin.

    A paused replica that restarts is not paused any more and reports so. An
    owner that reaches it, but not the ordered upstream, cannot detect the
    promotion, and would acknowledge what that replica confirms. During a
    hand-over writes go on, and what is acknowledged is in the successor's log.
    """
    if attempt.is_query_only or attempt.successor:
        return []
    if attempt.fenced_term >= attempt.term:
        return []
    attempt.fenced_term = attempt.term
    state.counters['owners_fenced'] += 1
    return [messages.FenceOwners(attempt.term)]


def _query_acknowledgements(
    state: states.GroupState,
    now_ms: int,
    attempt: attempts.Attempt,
    position: log_positions.LogPosition,
) -> list:
    outs = acknowledgement_fence.query_acknowledgements(
        state, now_ms, attempt.token, attempt.term, position
    )
    if outs:
        attempt.acknowledgements = None
        attempt.acknowledgements_queried_ms = now_ms
    return outs


def handle_list_read(
    state: states.GroupState, now_ms: int, message: messages.UpstreamListRead
) -> list:
    """Continue the attempt once the list of upstreams has been read."""
    attempt = state.promotion
    if attempt is None or attempt.token != message.token:
        return []
    attempt.is_reading_list = False
    if not message.complete:
        # The list is requested again at the next tick.
        return []
    attempt.list_read_ms = now_ms
    return advance(state, now_ms, attempt)


def handle_acknowledgements(
    state: states.GroupState,
    now_ms: int,
    message: messages.AcknowledgementsReported,
) -> list:
    """Continue the attempt once all proxies have been queried."""
    attempt = state.promotion
    if attempt is None or attempt.token != message.token:
        return []
    if message.term < attempt.term:
        # The term was raised meanwhile; the proxies are queried again.
        return []
    attempt.acknowledgements = message
    attempt.acknowledgements_ms = now_ms
    return advance(state, now_ms, attempt)


def _keep_paused(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """Keep replicas paused until the order is carried out.

    A replica that restarts loses its pause, and a new replica was never
    paused. Either could confirm writes of a primary that has returned. If
    one did and the order has not been accepted yet, another upstream has to
    be chosen.
    """
    if not attempt.accepted and _is_overtaken(attempt):
        return promotion_end.finish(state, now_ms, attempt, 'overtaken')
    outs = promotion_order.resend_order(state, now_ms, attempt)
    if not attempt.unconfirmed:
        outs += promotion_commands.send_commands(state, now_ms, attempt)
    return outs


def _is_overtaken(attempt: attempts.Attempt) -> bool:
    """Return whether a member received more than the chosen upstream.

    The comparison is with what the chosen one had received when the order
    was first sent.
    """
    if attempt.chosen == attempt.old_primary or attempt.is_choice_receiving:
        # One that keeps receiving has a recorded log position that is older
        # than the positions of the others.
        return False
    # Entries that only the demoted primary holds were never confirmed.
    return any(
        report.received > attempt.chosen_position
        for name, report in attempt.reports.items()
        if name != attempt.old_primary
    )


def _start_pausing(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """Pause the replicas once the status queries found a new primary."""
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


def _end_if_finished(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list | None:
    """End an attempt that succeeded, failed or is no longer needed.

    Return the resulting messages, or None if the attempt is to take its next
    step as usual.
    """
    primary = state.primary
    is_renewed = attempt.chosen == attempt.old_primary and attempt.accepted
    if primary and (primary != attempt.old_primary or is_renewed):
        if primary == attempt.chosen and not attempt.is_choice_receiving:
            # Otherwise it may have received more entries after it was chosen,
            # so the chosen position is not where its term started.
            state.primary_start = position_records.PrimaryStart(
                primary, attempt.chosen_position
            )
        if primary == attempt.chosen != attempt.old_primary:
            # It leads a newer term than any seen before, also if only the
            # list has shown that it leads.
            state.term = max(state.term, attempt.ordered_term)
        state.successor_gone = False
        if primary == attempt.chosen:
            outstanding_orders.note_leads(state, primary)
        return promotion_end.finish(state, now_ms, attempt, 'succeeded')
    if attempt.successor_gone:
        return _end_without_successor(state, now_ms, attempt)
    if attempt.chosen:
        # An unanswered order may still be carried out, so it is resent until
        # it is answered. All replicas stay paused in the meantime, so a
        # primary that has returned acknowledges nothing that the chosen
        # upstream lacks.
        if attempt.accepted and now_ms - attempt.ordered_ms > LEAD_TIMEOUT_MS:
            # The chosen upstream may lead out of reach of this proxy.
            confirmations.note_successor_gone(state, now_ms)
            return promotion_end.finish(state, now_ms, attempt, 'nobody leads')
        return None
    is_late = now_ms - attempt.began_ms > CHOICE_TIMEOUT_MS
    if is_late and not attempt.is_lease_shown:
        return promotion_end.finish(
            state, now_ms, attempt, 'lease not verified'
        )
    is_waiting = attempts.awaits_acknowledgements(attempt, now_ms)
    if is_late and attempt.is_optional and not attempt.is_demotion_sent:
        return promotion_end.finish(state, now_ms, attempt, 'not ready')
    if is_late and not attempt.successor and not is_waiting:
        if attempt.unconfirmed and not attempt.is_query_only:
            # The old primary may have been demoted. The search for the
            # current primary will show whether it was.
            state.primary = ''
            state.primary_lost_ms = attempt.began_ms
        how = _name_late_end(attempt)
        return promotion_end.finish(state, now_ms, attempt, how)
    old_primary = state.upstreams.get(attempt.old_primary)
    if attempt.is_query_only and old_primary is not None:
        if (
            failure_detection.detect_silence(state, now_ms, old_primary)
            is not None
        ):
            return promotion_end.finish(
                state, now_ms, attempt, 'lost meanwhile'
            )
    if attempt.successor:
        if (
            old_primary is None
            or failure_detection.is_recreated(state, old_primary.name)
            or failure_detection.detect_loss(state, now_ms) is not None
        ):
            return promotion_end.finish(
                state, now_ms, attempt, 'lost meanwhile'
            )
        return _unblock_hand_over(state, now_ms, attempt)
    if old_primary is None:
        if attempt.unconfirmed:
            return promotion_end.finish(
                state, now_ms, attempt, 'lost meanwhile'
            )
        return None
    is_alive = old_primary.last_received_ms > attempt.began_ms
    if attempt.unconfirmed:
        is_alive = old_primary.confirmed_ms > attempt.began_ms
    if is_alive and not attempt.is_optional and primary == attempt.old_primary:
        return promotion_end.finish(state, now_ms, attempt, 'it is back')
    return None


def _name_late_end(attempt: attempts.Attempt) -> str:
    """Return how an attempt ends that orders nobody in time."""
    if attempt.is_withheld:
        return 'order withheld'
    if attempt.is_wait_logged:
        return 'an order is outstanding'
    return 'nobody may follow'


def _end_without_successor(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list:
    """End an attempt whose successor or chosen upstream is gone.

    An order for it may have been carried out already, or may still be. The
    order is not resent, because an upstream recreated under the same name is
    empty. The next attempt replaces the old primary even if it has returned.
    """
    if attempt.chosen:
        confirmations.note_successor_gone(state, now_ms)
    return promotion_end.finish(state, now_ms, attempt, 'lost meanwhile')


def _unblock_hand_over(
    state: states.GroupState, now_ms: int, attempt: attempts.Attempt
) -> list | None:
    """Demote a leaving primary whose hand-over waits for a silent member.

    The silent member may keep confirming writes that the successor lacks. A
    demoted primary gets no further writes confirmed and reports its log
    position. Demoting it blocks writes for the duration of a promotion;
    waiting would block them from the end of the primary's drain until it
    stops, which is seconds.

    While an order of an earlier lease holder may have been carried out, the
    silent member may lead, and the log of this primary shows nothing. The
    attempt ends, so that earlier orders are fenced off first.
    """
    if attempt.demoting_since_ms is None:
        waited_ms = now_ms - attempt.began_ms
        is_blocked = attempts.is_blocked(state, now_ms, attempt)
        if waited_ms > CHOICE_TIMEOUT_MS and is_blocked:
            if state.needs_fencing:
                return promotion_end.finish(
                    state, now_ms, attempt, 'not fenced'
                )
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
        # The successor did not receive everything that the old primary holds,
        # so the old primary is promoted again.
        return promotion_order.order_promotion(
            state, now_ms, attempt, attempt.old_primary
        )
    return promotion_end.finish(state, now_ms, attempt, 'lost meanwhile')
