"""Decide when a confirmed write may be acknowledged.

A primary confirms a write once one replica has received it, and does not
report which one. It may be a replica that has just started and is not listed
yet. The write is durable, that is, survives the loss of its primary, if the
promoting proxy learns of it. It does if the write is in the log of a member
that has been listed for so long that all proxies have seen it: such a member
is paused and queried before a successor is chosen.

That members are reachable, or were not paused when the write was sent, proves
nothing. A write in flight while they are paused, or while they receive
nothing, is confirmed by the replica that was not queried. A confirmed write is
therefore acknowledged in one of three cases:

- An established member reports that its own log contains the write, and its
  process has run since before the lease holder last reported that no promotion
  was under way. All members are queried as soon as the write is confirmed,
  which takes no slot, and mostly have received it by then.
- All other members, two at least, report that their logs contain the write,
  and no member that may be alive is missing from the list.
- A member that has been listed for LISTING_DELAY_MS reports that its log
  contains the write, and an established member that is queried later reports
  that it is not paused; both have run for as long. Then no promotion has
  begun, and a proxy that begins one from now on has seen the holder in the
  list.

A restart ends a pause. A member that restarts after a successor was chosen
from its report confirms writes that the successor lacks, and reports that it
holds them and is not paused. One that has run since nobody was being promoted
was either not paused, or had the write when it was, and reported it. If all
members have the write, so has the successor, unless it is one that this proxy
does not list yet and all others have restarted since they were paused. Without
this case no write would be acknowledged after all proxies have started anew,
until one of them has gained the promotion lease.

Neither counts while a member reports that it is paused for a later term: the
primary is being replaced, and the successor may have been chosen already.
While a leaving primary hands over, the other members are paused by design, and
all members that are not paused must have the write, since the successor is one
of them. The proxy that ordered a successor checks that member alone. Another
order may come first, whose promoter must have queried that member. Nothing
counts while another member is named as the primary, or was named and has left
the list: the current primary keeps accepting writes until it learns that it
was replaced.
"""

from topazring.core import log_positions
from topazring.core.synchronous import position_records
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'are_replicas_unreachable',
    'is_acknowledgement_stalled',
    'is_durable',
    'is_in_successor_log',
    'note_log_position',
    'note_report',
    'note_successor_gone',
    'note_term_ended',
    'pending_confirmations',
    'proves_leadership',
    'waits_for_lease_holder',
    'witnesses',
]

# The term of a group whose primary was never replaced.
FIRST_TERM = 1
# Proxies see a new member in the list within milliseconds of each other.
LISTING_DELAY_MS = 300
# How long writes of an ended term are not acknowledged. By then the holder of
# the promotion lease has also seen that the successor left the list, and has
# promoted another. If it has not, it either has newer information on the
# successor or will not promote another at all.
ENDED_TERM_MS = 5000
# Members that must all have a write that none of them vouches for.
MIN_HOLDERS = 2
# If a confirmed write has waited for this long to be acknowledged, the next
# write would wait as well. Members reply within a few ms, and receive entries
# within some 10 ms at most.
STALLED_AFTER_MS = 150
# How long writes are refused after one was given up: the outcome of a write
# that is given up is unknown to its caller, while one that is refused may be
# retried at another proxy.
STALL_RETRY_MS = 500


def witnesses(state: states.GroupState) -> list[states.Upstream]:
    """Return the members whose reports count for durability.

    These are the established members, or all others if none is established.
    """
    return _established(state) or states.other_members(state)


def _established(state: states.GroupState) -> list[states.Upstream]:
    return [u for u in states.other_members(state) if u.is_established]


def is_durable(
    state: states.GroupState,
    now_ms: int,
    confirmation: position_records.Confirmation,
) -> bool:
    """Return whether a confirmed write survives the loss of its primary."""
    listed = state.primary in state.upstreams
    if not listed or confirmation.upstream != state.primary:
        return False
    if _is_contested(state) or _is_outdated(state, confirmation):
        return False
    chosen = _ordered_successor(state)
    if not _is_fence_passed(state, now_ms, confirmation):
        return False
    if chosen is not None:
        return _is_counted(state, chosen, confirmation)
    if not states.other_members(state):
        return not state.departed_members.may_return()
    if state.upstreams[state.primary].leaving:
        return _successor_holds(state, confirmation)
    if _is_any_paused(state, confirmation):
        return False
    if any(_vouches(state, u, confirmation) for u in _established(state)):
        return True
    if _do_all_hold(state, confirmation):
        return True
    return _is_holder_listed(state, confirmation)


def proves_leadership(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool:
    """Return whether a write shows who leads, though it may not be durable.

    After all proxies have started anew beside members that left the list,
    neither the listed members nor the lease holder can tell: the holder
    itself needs a proof before it excludes a promotion. An established member
    that has the write, while none is paused, is taken for one then.
    """
    if state.primary not in state.upstreams:
        return False
    if confirmation.upstream != state.primary:
        return False
    if not proofs.depends_on_lease_holder(state):
        return False
    if _is_contested(state) or _is_outdated(state, confirmation):
        return False
    if _is_any_paused(state, confirmation):
        return False
    return any(_holds(u, confirmation) for u in _established(state))


def is_in_successor_log(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool | None:
    """Return whether the successor of a write's primary began with the write.

    None while this can still be found out: until its first entry, the log of
    a successor ends where it began, in the previous term.
    """
    before = state.upstreams.get(confirmation.upstream)
    if before is None or not before.leaving:
        return False
    successor = state.upstreams.get(state.primary)
    if successor is None or state.proven_primary != state.primary:
        return None
    if _holds(successor, confirmation):
        return True
    was_queried = successor.log_end_sent_ms >= confirmation.sent_ms
    return False if was_queried else None


def _is_outdated(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool:
    """Return whether the term of a write is known to have ended."""
    position = confirmation.place
    if position is not None and position.log_term < state.term:
        return True
    if confirmation.sent_ms - state.term_ended_ms >= ENDED_TERM_MS:
        return False
    return position is None or position.log_term <= state.ended_term


def _is_contested(state: states.GroupState) -> bool:
    """Return whether another member is named as the primary, not refuted yet.

    A replica that cannot reach it still follows the old primary and confirms
    its writes.
    """
    return any(
        proofs.contests_leadership(state, upstream)
        for upstream in states.other_members(state)
    )


def _is_fence_passed(
    state: states.GroupState,
    now_ms: int,
    confirmation: position_records.Confirmation,
) -> bool:
    """Return whether a promotion is sure to see that a write is acknowledged.

    A promoting proxy queries all proxies that are listed. If this proxy may
    not be listed, or a promotion may have begun before it was, all members
    that may be promoted must hold the write.
    """
    if state.fence_term > FIRST_TERM:
        position = confirmation.place
        if position is None or position.log_term < state.fence_term:
            return False
    if state.is_fence_checked and now_ms < state.registered_until_ms:
        return True
    return all(_holds(u, confirmation) for u in states.other_members(state))


def _ordered_successor(state: states.GroupState) -> states.Upstream | None:
    """Return the member that this proxy has ordered, until it leads."""
    attempt = state.promotion
    if attempt is None or attempt.chosen in ('', state.primary):
        return None
    return state.upstreams.get(attempt.chosen)


def _is_counted(
    state: states.GroupState,
    chosen: states.Upstream,
    confirmation: position_records.Confirmation,
) -> bool:
    """Return whether an ordered member holds a write, whoever promotes.

    Once its order is accepted, no earlier one can come first; before that,
    none may be outstanding. A later holder of the lease may order another
    member without the knowledge of this proxy. It learns of the write if the
    ordered member has kept its pause, and if it has seen it in the list.
    """
    if not _vouches(state, chosen, confirmation):
        return False
    if state.promotion.accepted:
        return True
    return not state.needs_fencing and (
        chosen.is_established or _is_listed_everywhere(chosen, confirmation)
    )


def _successor_holds(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool:
    """Return whether the successor of a leaving primary has a write.

    Only the promoting proxy has a record of which member that is. The
    successor is not paused, so all members that are not paused must have the
    write. A member that restarted is not paused either, and the successor
    need not match its log. A silent member may be unreachable from this proxy
    alone. If only new or restarted members are not paused, all others may have
    been paused because the primary was lost.
    """
    if confirmation.place is None:
        return False
    if _do_all_hold(state, confirmation):
        return True
    term = confirmation.place.log_term
    unpaused = [
        upstream
        for upstream in states.other_members(state)
        if upstream.held_term <= term
    ]
    is_any_reliable = any(
        _would_be_paused(upstream, confirmation)
        and _is_uninterrupted(state, upstream)
        for upstream in unpaused
    )
    required = unpaused + _planned_successors(state)
    return is_any_reliable and all(_holds(u, confirmation) for u in required)


def _planned_successors(state: states.GroupState) -> list[states.Upstream]:
    """Return the successor that this proxy itself is about to order, if any.

    It may be paused by an earlier attempt, whose order may be carried out.
    """
    attempt = state.promotion
    if attempt is None or attempt.successor not in state.upstreams:
        return []
    return [state.upstreams[attempt.successor]]


def _would_be_paused(
    upstream: states.Upstream, confirmation: position_records.Confirmation
) -> bool:
    """Return whether a promotion that began earlier would have paused it.

    A recreated member does not count before it is established: it may have
    been paused, and a successor chosen from its report, before that.
    """
    if upstream.is_established:
        return True
    return not upstream.is_recreated and _is_listed_everywhere(
        upstream, confirmation
    )


def _is_listed_everywhere(
    upstream: states.Upstream, confirmation: position_records.Confirmation
) -> bool:
    """Return whether all proxies saw a member before a write was sent."""
    return confirmation.sent_ms - upstream.first_listed_ms >= LISTING_DELAY_MS


def _is_holder_listed(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool:
    """Return whether a promotion that begins now would query a holder.

    A recreated member does not count: it may have been paused, and a
    successor chosen from its report, before it was recreated.
    """
    holders = [
        upstream
        for upstream in states.other_members(state)
        if _is_listed_everywhere(upstream, confirmation)
        and not upstream.is_recreated
        and _vouches(state, upstream, confirmation)
    ]
    if not holders:
        return False
    held_ms = min(upstream.log_end_sent_ms for upstream in holders)
    return any(
        u.answered_status_sent_ms >= held_ms and _is_uninterrupted(state, u)
        for u in witnesses(state)
    )


def _is_any_paused(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool:
    """Return whether a member was paused for a promotion when last queried.

    A member that was unreachable when its promotion ended remains paused for
    a term that has begun, and does not count.
    """
    if confirmation.place is None:
        return False
    return any(
        upstream.held_term > confirmation.place.log_term
        and upstream.answered_status_sent_ms >= confirmation.sent_ms
        for upstream in witnesses(state)
    )


def _do_all_hold(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool:
    """Return whether all members, several of them, have a write.

    With a single one, the successor may be a member that is not listed here
    yet, and that one may have restarted after it was paused.
    """
    others = states.other_members(state)
    if len(others) < MIN_HOLDERS or not _established(state):
        return False
    if state.departed_members.may_return():
        return False
    return all(_holds(upstream, confirmation) for upstream in others)


def _vouches(
    state: states.GroupState,
    upstream: states.Upstream,
    confirmation: position_records.Confirmation,
) -> bool:
    """Return whether each promoter learns from a member that it has a write.

    It is paused by each promotion that has begun since the lease holder
    reported that none was under way, and has not lost that pause.
    """
    is_held = _holds(upstream, confirmation)
    return is_held and _is_uninterrupted(state, upstream)


def _is_uninterrupted(
    state: states.GroupState, upstream: states.Upstream
) -> bool:
    """Return whether a member has run since nobody was being promoted.

    Or since nobody else was: a successor is not paused in a hand-over.
    """
    if upstream.log_end_sent_ms == states.NEVER_MS:
        return False
    excluded_ms = max(state.no_promotion_ms, upstream.named_successor_ms)
    return upstream.log_end_running_since_ms <= excluded_ms


def waits_for_lease_holder(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool:
    """Return whether the lease holder's answer may make a write durable.

    A member has it, and may have restarted since the lease holder was asked.
    """
    return any(
        _holds(upstream, confirmation)
        and not _is_uninterrupted(state, upstream)
        for upstream in states.other_members(state)
    )


def _holds(
    upstream: states.Upstream, confirmation: position_records.Confirmation
) -> bool:
    """Return whether a member's log contains a write.

    A log end of another term proves nothing, as that log may have diverged.
    """
    end, position = upstream.log_end, confirmation.place
    if position is None or upstream.log_end_sent_ms < confirmation.sent_ms:
        return False
    return end.log_term == position.log_term and end >= position


def are_replicas_unreachable(state: states.GroupState, now_ms: int) -> bool:
    """Return whether all established members are unreachable.

    False if no member is established.
    """
    established = _established(state)
    return bool(established) and all(
        proofs.is_unreachable(state, now_ms, upstream)
        for upstream in established
    )


def is_acknowledgement_stalled(state: states.GroupState, now_ms: int) -> bool:
    """Return whether a write would be confirmed, but not acknowledged.

    That is so if another write has waited for STALLED_AFTER_MS, or was given
    up within STALL_RETRY_MS.
    """
    if now_ms - state.unproven_write_ms < STALL_RETRY_MS:
        return True
    return any(
        now_ms - confirmation.confirmed_ms >= STALLED_AFTER_MS
        for confirmation in pending_confirmations(state)
        if confirmation.upstream == state.primary
    )


def pending_confirmations(
    state: states.GroupState,
) -> list[position_records.Confirmation]:
    """Return the confirmations whose writes wait to be acknowledged."""
    waiting = (state.work.get(key) for key in state.awaiting_proof)
    return [
        work.confirmation
        for work in waiting
        if work is not None and work.confirmation is not None
    ]


def note_successor_gone(
    state: states.GroupState, now_ms: int, has_led: bool = False
) -> None:
    """Record that the successor of the last primary may lead unseen."""
    state.successor_led = has_led or (
        state.successor_gone and state.successor_led
    )
    state.successor_gone = True
    note_term_ended(state, now_ms, state.term)


def note_term_ended(state: states.GroupState, now_ms: int, term: int) -> None:
    """Record that another upstream may lead a newer term than this."""
    state.ended_term = max(term, FIRST_TERM)
    state.term_ended_ms = now_ms


def note_log_position(
    upstream: states.Upstream,
    sent_ms: int,
    position: log_positions.LogPosition,
    running_since_ms: int,
) -> None:
    """Record the log position that a member had applied when asked.

    Its log reaches that position at least, and may have received more entries
    of the same term.
    """
    if sent_ms < upstream.log_end_sent_ms:
        return
    end = upstream.log_end
    if position.log_term == end.log_term and position < end:
        return
    _set_log_end(upstream, sent_ms, position, running_since_ms)


def _set_log_end(
    upstream: states.Upstream,
    sent_ms: int,
    position: log_positions.LogPosition,
    running_since_ms: int,
) -> None:
    upstream.log_end = position
    upstream.log_end_sent_ms = sent_ms
    upstream.log_end_running_since_ms = running_since_ms


def note_report(
    upstream: states.Upstream,
    sent_ms: int,
    report: statements.StatusReport,
    running_since_ms: int,
) -> None:
    """Record a member's status report on its log and on its pause."""
    if sent_ms < upstream.answered_status_sent_ms:
        return
    upstream.answered_status_sent_ms = sent_ms
    upstream.held_term = report.held_term
    upstream.reported_term = report.term
    if sent_ms >= upstream.log_end_sent_ms:
        _set_log_end(upstream, sent_ms, report.received, running_since_ms)
