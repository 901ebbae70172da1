"""Decide when a confirmed write may be acknowledged.

A primary answers a write once one replica has received it, and does not say
which. It may be one that has just started and that nobody has listed yet. The
write outlives the primary if whoever promotes hears of it: from a member that
is listed for long enough to be known to all, and so is paused and asked before
anyone is chosen.

That members can be reached, or were not paused when the write went out, does
not tell: a write that is under way as they are paused, or while they receive
nothing, is confirmed by the one that was not asked. So a confirmed write is
answered

- once a member that vouches says that its own log holds the write. All are
  asked the moment it is confirmed, which takes no slot, and mostly hold it by
  then;
- or once a member that has been listed for a moment says so, and one that
  vouches says, asked after that, that it is not paused. So no promotion has
  begun, and whoever begins one now has heard of the holder.

Neither counts while a member says that it is paused for a later term: then
somebody is replacing the primary, and may have chosen already. While a leaving
primary hands over the others are paused by design, and all that are not have
to hold the write: its heir is among them. Whoever ordered a successor itself
knows which one has to. Nothing counts while another is named as the primary,
or was named and is gone: the one that is believed to lead goes on until it
learns of that.
"""

from topazring.core import log_positions
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import position_records
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'are_replicas_unreachable',
    'is_in_successor_log',
    'is_durable',
    'is_acknowledgement_stalled',
    'note_successor_gone',
    'note_log_position',
    'note_report',
    'pending_confirmations',
    'witnesses',
]

# The term of a group whose primary was never replaced.
FIRST_TERM = 1
# Proxies hear of a new member within milliseconds of each other.
LISTING_DELAY_MS = 300
# A hand-over takes no longer: a successor that was silent before it began
# would not have been chosen.
HAND_OVER_MS = 3000
# Whoever holds the duty has heard as well that a successor is gone, and has
# promoted another by then. If it has not, it knows better, or never will.
ENDED_TERM_MS = 5000
# A confirmed write that waits for so long to be acknowledged shows that the
# next would wait as well. Members answer within a few ms, and receive within
# some ten at most.
STALLED_AFTER_MS = 150
# After one was given up the next is tried only then: each is unknown to its
# caller, and one that is refused may be tried at another proxy.
STALL_RETRY_MS = 500


def witnesses(state: states.GroupState) -> list[states.Upstream]:
    """Return the members whose word counts.

    Where none of the others has been there for long enough, all of them are
    asked.
    """
    return _vouching(state) or states.other_members(state)


def _vouching(state: states.GroupState) -> list[states.Upstream]:
    return [u for u in states.other_members(state) if u.is_established]


def is_durable(
    state: states.GroupState,
    now_ms: int,
    confirmation: position_records.Confirmation,
) -> bool:
    """Say whether a confirmed write survives the loss of its primary."""
    listed = state.primary in state.upstreams
    if not listed or confirmation.upstream != state.primary:
        return False
    if _is_contested(state) or _is_outdated(state, confirmation):
        return False
    if not states.other_members(state):
        # Nobody is listed who could be promoted.
        return True
    chosen = _ordered_successor(state)
    if chosen is not None:
        return _holds(chosen, confirmation)
    if state.upstreams[state.primary].leaving:
        return _heir_holds(state, now_ms, confirmation)
    if _is_any_paused(state, confirmation):
        return False
    if any(_holds(u, confirmation) for u in _vouching(state)):
        return True
    return _is_known_to_hold(state, confirmation)


def is_in_successor_log(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool | None:
    """Say whether the heir of a write's primary began with the write.

    None while that may still be learned: until its first entry an heir's log
    ends where it began, in the term before.
    """
    before = state.upstreams.get(confirmation.upstream)
    if before is None or not before.leaving:
        return False
    successor = state.upstreams.get(state.primary)
    if successor is None or state.proven_primary != state.primary:
        return None
    if _holds(successor, confirmation):
        return True
    asked = successor.log_end_sent_ms >= confirmation.sent_ms
    return False if asked else None


def _is_outdated(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool:
    """Say whether the term of the write is known to be over."""
    place = confirmation.place
    if place is not None and place.log_term < state.term:
        return True
    if confirmation.sent_ms - state.term_ended_ms >= ENDED_TERM_MS:
        return False
    return place is None or place.log_term <= state.ended_term


def _is_contested(state: states.GroupState) -> bool:
    """Say whether another is named as the primary and was not asked yet.

    A replica that cannot reach it follows the old one, and confirms.
    """
    return any(
        proofs.contests_leadership(state, upstream)
        for upstream in states.other_members(state)
    )


def _ordered_successor(state: states.GroupState) -> states.Upstream | None:
    """Return the member that this proxy has ordered to lead, until it does."""
    attempt = state.promotion
    if attempt is None or attempt.chosen in ('', state.primary):
        return None
    return state.upstreams.get(attempt.chosen)


def _heir_holds(
    state: states.GroupState,
    now_ms: int,
    confirmation: position_records.Confirmation,
) -> bool:
    """Say whether the successor of a leaving primary holds a write.

    Which member that is only the promoter knows; it is not paused. One that
    restarted is not either, and the successor is not held to its log. One
    that is silent may be cut off from here alone. If only new ones are left,
    all others may have been paused because the primary was lost.
    """
    if confirmation.place is None:
        return False
    term = confirmation.place.log_term
    unpaused = [
        upstream
        for upstream in states.other_members(state)
        if upstream.held_term <= term
        and not failure_detection.is_unanswered(
            state, now_ms, upstream, HAND_OVER_MS
        )
    ]
    is_any_known = any(
        upstream.is_established or _is_known(upstream, confirmation)
        for upstream in unpaused
    )
    return is_any_known and all(_holds(u, confirmation) for u in unpaused)


def _is_known(
    upstream: states.Upstream, confirmation: position_records.Confirmation
) -> bool:
    """Say whether a member was listed long before a write was sent."""
    return confirmation.sent_ms - upstream.first_listed_ms >= LISTING_DELAY_MS


def _is_known_to_hold(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool:
    """Say whether a promotion that begins now hears of a new member's log.

    One that began again may have been paused and chosen from before that.
    """
    holders = [
        upstream
        for upstream in states.other_members(state)
        if _is_known(upstream, confirmation)
        and not upstream.is_recreated
        and _holds(upstream, confirmation)
    ]
    if not holders:
        return False
    held_ms = min(upstream.log_end_sent_ms for upstream in holders)
    return any(u.answered_status_sent_ms >= held_ms for u in witnesses(state))


def _is_any_paused(
    state: states.GroupState, confirmation: position_records.Confirmation
) -> bool:
    """Say whether a member was paused for a promotion when last asked.

    One that was not reached when its promotion ended is left paused for a
    term that has begun.
    """
    if confirmation.place is None:
        return False
    return any(
        upstream.held_term > confirmation.place.log_term
        and upstream.answered_status_sent_ms >= confirmation.sent_ms
        for upstream in witnesses(state)
    )


def _holds(
    upstream: states.Upstream, confirmation: position_records.Confirmation
) -> bool:
    """Say whether a member's log holds a write.

    A place of another term says nothing: its log may go another way.
    """
    end, place = upstream.log_end, confirmation.place
    if place is None or upstream.log_end_sent_ms < confirmation.sent_ms:
        return False
    return end.log_term == place.log_term and end >= place


def are_replicas_unreachable(state: states.GroupState, now_ms: int) -> bool:
    """Say whether no member that vouches can be reached from here."""
    vouching = _vouching(state)
    return bool(vouching) and all(
        proofs.is_unreachable(state, now_ms, upstream) for upstream in vouching
    )


def is_acknowledgement_stalled(state: states.GroupState, now_ms: int) -> bool:
    """Say whether a write would be confirmed, but not acknowledged.

    One has waited long for that, or was given up a moment ago.
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
    held = (state.work.get(key) for key in state.awaiting_proof)
    return [
        work.confirmation
        for work in held
        if work is not None and work.confirmation is not None
    ]


def note_successor_gone(state: states.GroupState, now_ms: int) -> None:
    """Take in that one is gone that was to follow the last primary."""
    state.successor_gone = True
    state.ended_term = max(state.term, FIRST_TERM)
    state.term_ended_ms = now_ms


def note_log_position(
    upstream: states.Upstream, sent_ms: int, place: log_positions.LogPosition
) -> None:
    """Take in what a member has applied, asked at a time.

    It holds that at least, and may have received more of the same term.
    """
    if sent_ms < upstream.log_end_sent_ms:
        return
    end = upstream.log_end
    if place.log_term == end.log_term and place < end:
        return
    upstream.log_end = place
    upstream.log_end_sent_ms = sent_ms


def note_report(
    upstream: states.Upstream,
    sent_ms: int,
    report: statements.StatusReport,
) -> None:
    """Take in a member's own word on its log, and whether it is paused."""
    if sent_ms < upstream.answered_status_sent_ms:
        return
    upstream.answered_status_sent_ms = sent_ms
    upstream.held_term = report.held_term
    if sent_ms >= upstream.log_end_sent_ms:
        upstream.log_end = report.received
        upstream.log_end_sent_ms = sent_ms
