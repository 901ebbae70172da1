"""Fence acknowledgements, so that a promotion need not wait for lost members.

Members that are lost may hold writes that no candidate holds. Whether such a
write was acknowledged is known to the proxies alone. The promoting proxy
therefore queries every other proxy for the highest position that it has
acknowledged. By answering, a proxy stops acknowledging writes of earlier
terms: it is fenced. If the candidate's log reaches all these positions, it
holds all acknowledged writes, whichever members are lost.

This is conclusive only if every proxy that may have acknowledged a write is
queried. A proxy that is listed in the store is found there. One that is not
surely listed, or has started since a promotion may have begun, acknowledges a
write only once all other members hold it. What a proxy acknowledged before it
ended is covered if the candidate holds a position that the primary had later.
Behind a partition some proxy does not answer, and no member is promoted.

Where the members alone show that a candidate is complete, nobody is waited
for. The other owners of the group are fenced all the same.

A fence ends with the start of a new term, or once the holder of the promotion
lease reports that no promotion is under way. It then still applies to terms
before the newest one that the holder has seen: the promotion may have ended
with a new primary that this proxy does not reach.
"""

from topazring.core import log_positions
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import process_runs
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states

__all__ = [
    'check_fence',
    'covers',
    'fence',
    'fence_own',
    'holds_reported',
    'note_hand_over',
    'query_acknowledgements',
    'query_fence',
    'record_registration',
    'release',
]

# Minimum interval between two queries of all proxies: in a long partition the
# query is in vain for as long as that lasts.
QUERY_INTERVAL_MS = 2000
# How long a confirmed write waits for other members before the lease holder is
# queried, unless a fence holds the write back.
RELEASE_QUERY_AFTER_MS = 100
RELEASE_QUERY_INTERVAL_MS = 100


def record_registration(
    state: states.GroupState, now_ms: int, message: messages.RegistrationSeen
) -> list:
    """Record until when this proxy is surely listed in the store.

    A promoting proxy may have read the list while this one was not listed, so
    the lease holder has to be asked again after that.
    """
    if now_ms >= state.registered_until_ms:
        state.is_fence_checked = False
        state.registered_ms = now_ms
    state.registered_until_ms = message.valid_until_ms
    return []


def fence(
    state: states.GroupState,
    now_ms: int,
    message: messages.FenceAcknowledgements,
) -> list:
    """Stop acknowledging writes of earlier terms; report what was."""
    # A promoter that has missed a term must not end with a newer one.
    _set_fence(state, now_ms, max(message.term, state.term + 1))
    state.counters['acknowledgements_fenced'] += 1
    if message.position > log_positions.ORIGIN:
        state.acknowledgements_asked_ms = now_ms
    complete_ms = freshness.complete_until_ms(state, message.position)
    return [
        messages.AcknowledgementsFenced(
            message.key,
            state.acknowledged_until,
            now_ms - state.created_ms,
            None if complete_ms is None else now_ms - complete_ms,
        ),
    ]


def _set_fence(state: states.GroupState, now_ms: int, term: int) -> None:
    state.fence_term = max(state.fence_term, term)
    state.fenced_ms = now_ms


def fence_own(state: states.GroupState, now_ms: int) -> None:
    """Acknowledge only what all members hold until the next release.

    An order of this proxy may still be carried out, whatever term it begins.
    """
    state.is_fence_checked = False
    state.fenced_ms = now_ms


def release(
    state: states.GroupState, now_ms: int, message: messages.FenceReleased
) -> list:
    """Limit the fence to ended terms if the holder was asked late enough.

    That is after the fence was last set and after this proxy was listed. An
    answer that is overtaken by a later one tells nothing new.
    """
    if message.asked_ms <= state.fenced_ms:
        return []
    if message.asked_ms < state.registered_ms:
        return []
    if message.asked_ms < state.no_promotion_ms:
        return []
    state.no_promotion_ms = message.asked_ms
    state.no_promotion_term = max(state.no_promotion_term, message.term)
    state.fence_term = state.no_promotion_term
    state.is_fence_checked = True
    return []


def query_fence(state: states.GroupState, now_ms: int) -> list:
    """Query the lease holder if a write, or a proof, waits for its answer.

    Or before that, if a member was dialled since it was last asked.
    """
    if state.primary not in state.upstreams:
        return []
    if now_ms - state.fence_queried_ms < RELEASE_QUERY_INTERVAL_MS:
        return []
    if _is_proof_delayed(state, now_ms) or _is_write_delayed(state, now_ms):
        state.fence_queried_ms = now_ms
        state.counters['fence_queried'] += 1
        return [messages.QueryFence(is_urgent=True)]
    if now_ms - state.fence_queried_ahead_ms < RELEASE_QUERY_INTERVAL_MS:
        return []
    if not _is_any_interrupted(state):
        return []
    state.fence_queried_ahead_ms = now_ms
    state.counters['fence_queried_ahead'] += 1
    return [messages.QueryFence(is_urgent=False)]


def _is_any_interrupted(state: states.GroupState) -> bool:
    """Return whether a member was dialled since the holder was last asked.

    If it is asked before a write waits for it, writes go on beside a
    partition that parts this proxy from the holder.
    """
    if state.opened_ms <= state.no_promotion_ms or not state.connection_share:
        return False
    return any(
        _runs_since_ms(state, upstream) > state.no_promotion_ms
        for upstream in states.other_members(state)
    )


def _runs_since_ms(state: states.GroupState, upstream: states.Upstream) -> int:
    """Return since when a member has surely run, if it is connected."""
    usable = [
        connection
        for connection in states.connections_to(state, upstream.name)
        if connection.phase is not states.Phase.OPENING
    ]
    if not usable:
        return states.NEVER_MS
    return process_runs.longest_run(usable).running_since_ms


def _is_proof_delayed(state: states.GroupState, now_ms: int) -> bool:
    """Return whether the listed members do not prove the leadership."""
    if proofs.proven_until_ms(state) >= state.newest_needed_ms:
        return False
    if proofs.depends_on_lease_holder(state):
        return True
    if proofs.may_unlisted_member_lead(state):
        return True
    since_ms = state.oldest_unproven_ms
    return proofs.must_query_terms(state) and (
        since_ms is not None and now_ms - since_ms >= RELEASE_QUERY_AFTER_MS
    )


def _is_write_delayed(state: states.GroupState, now_ms: int) -> bool:
    waiting = confirmations.pending_confirmations(state)
    if any(confirmations.waits_for_lease_holder(state, c) for c in waiting):
        return True
    if state.is_fence_checked and state.fence_term <= state.term:
        return False
    is_fenced = state.fence_term > state.term
    after_ms = 0 if is_fenced else RELEASE_QUERY_AFTER_MS
    return any(
        now_ms - confirmation.confirmed_ms >= after_ms
        for confirmation in waiting
    )


def check_fence(
    state: states.GroupState, now_ms: int, message: messages.CheckFence
) -> list:
    """Report whether a promotion, or an order of it, may be under way.

    It is not under the conditions under which paused members are resumed,
    once the primary has been queried for its term since the lease was gained:
    the term is the least that the fence stays for.
    """
    primary = state.upstreams.get(state.primary)
    is_needed = (
        not state.holds_promotion_lease
        or (primary is not None and primary.has_pending_claim)
        or state.promotion is not None
        or not promotion_lease.may_resume(state)
    )
    successor = _hand_over_successor(state) if is_needed else ''
    return [
        messages.FenceChecked(message.key, is_needed, state.term, successor)
    ]


def _hand_over_successor(state: states.GroupState) -> str:
    """Return who a primary is handed over to, if nobody else can follow it."""
    attempt = state.promotion
    if attempt is None or not state.holds_promotion_lease:
        return ''
    if state.needs_fencing or attempt.demoting_since_ms is not None:
        return ''
    return attempt.successor


def note_hand_over(
    state: states.GroupState, now_ms: int, message: messages.HandOverReported
) -> list:
    """Record who a leaving primary was being handed over to when asked.

    In a term that was not seen here it may be another primary that leaves.
    """
    upstream = state.upstreams.get(message.successor)
    if upstream is None or message.term > state.term:
        return []
    if message.asked_ms > state.fenced_ms:
        upstream.named_successor_ms = max(
            upstream.named_successor_ms, message.asked_ms
        )
    return []


def query_acknowledgements(
    state: states.GroupState,
    now_ms: int,
    token: int,
    term: int,
    position: log_positions.LogPosition,
) -> list:
    """Fence all proxies and query what they have acknowledged."""
    is_recent = now_ms - state.acknowledgements_queried_ms < QUERY_INTERVAL_MS
    if is_recent and term <= state.acknowledgements_queried_term:
        return []
    state.acknowledgements_queried_ms = now_ms
    state.acknowledgements_queried_term = term
    state.counters['acknowledgements_queried'] += 1
    _set_fence(state, now_ms, term)
    return [messages.QueryAcknowledgements(token, term, position)]


def holds_reported(
    state: states.GroupState,
    report: messages.AcknowledgementsReported | None,
    position: log_positions.LogPosition,
) -> bool:
    """Return whether a log holds all that running proxies acknowledged."""
    if report is None or not report.complete:
        return False
    return max(report.position, state.acknowledged_until) <= position


def covers(
    state: states.GroupState,
    report: messages.AcknowledgementsReported | None,
    position: log_positions.LogPosition,
) -> bool:
    """Return whether a log holds everything that any proxy acknowledged."""
    if not holds_reported(state, report, position):
        return False
    known_ms = [
        complete_ms
        for complete_ms in (
            report.complete_until_ms,
            freshness.complete_until_ms(state, position),
        )
        if complete_ms is not None
    ]
    # A proxy that ended since then may have acknowledged more.
    return any(ms >= report.covered_since_ms for ms in known_ms)
