"""Prove that nobody but the primary leads.

A promotion does not depose the old primary at once: cut off from its
successor it goes on taking transactions, and its reads lack what the
successor has acknowledged. So a BEGIN that succeeds shows only that an
upstream leads in its own eyes. One would notice by reads that miss saved
work on one side of a partition.

What proves that no other had acknowledged anything by a moment, asked at
that moment or later:

- every other member refuses BEGIN. It takes no slot;
- or all others but one say that they are replicas of no newer term. Each
  acknowledged write is held by two members, so the silent one, should it
  lead, has acknowledged nothing. That question takes a slot, so it is asked
  only while a member is silent and somebody waits for the answer;
- or, where one of them took a BEGIN and has refused none since, all others
  but that one say that they are replicas of the very term that the primary
  leads and has written in. A primary that went dark stays such a one, and
  reads at its successor would be refused until it is listed no more, for
  some 5 s;
- or a replica that vouches has confirmed a write to the primary. A promotion
  pauses all members before its order, so none had been ordered.

A replica that has just come may confirm what it should not: whoever ordered
may not have known it, and it may have come to the wrong side of a partition.
So a confirmation proves something only where it is sound.

A read at the primary runs at once and is answered when the lead is proved
for the time of its arrival.
"""

import collections.abc

from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'UNPROVEN_AFTER_MS',
    'claims_to_lead',
    'contests_leadership',
    'is_leadership_unproven',
    'is_superseded',
    'is_unreachable',
    'leads_newest_term',
    'required_proof_ms',
    'needs_proof',
    'note_confirmed',
    'note_refusal',
    'note_report',
    'proven_until_ms',
    'apply_proof',
    'request_proof',
]

# A new member is known to whoever promotes within milliseconds, and within
# 1.2 s to one that the platform's store turns away and that asks its peers.
ESTABLISHED_AFTER_MS = 2000
# A replica that left so much unanswered cannot be reached.
UNREACHABLE_AFTER_MS = 150
# After so long without a proof none is to be had from here, and callers are
# better served by another proxy. A lost answer costs 250 ms.
UNPROVEN_AFTER_MS = 300


def leads_newest_term(
    state: states.GroupState, upstream: states.Upstream
) -> bool:
    """Say whether no term is known that is newer than an upstream's own."""
    return _own_term(upstream) >= state.term


def _own_term(upstream: states.Upstream) -> int:
    """Return the newest term that an upstream is known to have led or held."""
    return max(upstream.lead_term, upstream.place.log_term)


def is_superseded(state: states.GroupState, upstream: states.Upstream) -> bool:
    """Say whether an upstream is known to lead an old term only."""
    return bool(upstream.lead_term) and not leads_newest_term(state, upstream)


def proven_until_ms(state: states.GroupState) -> int:
    """Return the last moment at which none but the primary led."""
    primary = state.upstreams.get(state.primary)
    if primary is None or not leads_newest_term(state, primary):
        return states.NEVER_MS
    others = states.other_members(state)
    if not others:
        # Nobody is listed who could be promoted.
        return primary.begin_accepted_sent_ms
    refused_ms = min(upstream.begin_refused_sent_ms for upstream in others)
    if any(claims_to_lead(upstream) for upstream in others):
        # A replaced primary may state its successor's term before it steps
        # down, and so do those that follow the successor. Entries of that
        # term are in the successor's log alone.
        return max(
            refused_ms, _by_all_but_one(u.same_term_sent_ms for u in others)
        )
    return max(
        refused_ms,
        _by_all_but_one(u.witness_sent_ms for u in others),
        primary.confirmed_sent_ms,
    )


def _by_all_but_one(answered_ms: collections.abc.Iterable[int]) -> int:
    """Return until when all members but one have answered.

    With a single other there is nobody to ask.

    >>> _by_all_but_one([7, states.NEVER_MS, 5])
    5
    >>> _by_all_but_one([7]) == states.NEVER_MS
    True
    """
    oldest_first = sorted(answered_ms)
    return oldest_first[1] if len(oldest_first) > 1 else states.NEVER_MS


def claims_to_lead(upstream: states.Upstream) -> bool:
    """Say whether an upstream last took a transaction, and was not outranked.

    >>> one = states.Upstream('u', 'u:1', 'here', 'replica', 1)
    >>> claims_to_lead(one)
    False
    """
    return upstream.begin_accepted_sent_ms > upstream.begin_refused_sent_ms


def contests_leadership(
    state: states.GroupState, upstream: states.Upstream
) -> bool:
    """Say whether another claims to lead since the primary is believed to.

    By the list or by taking a transaction, and nothing has refuted it. A
    primary that went dark took its last one before its successor led.
    """
    if upstream.name == state.primary:
        return False
    took_ms = states.NEVER_MS
    if claims_to_lead(upstream):
        took_ms = upstream.begin_accepted_sent_ms
    return max(took_ms, upstream.claimed_ms) > state.primary_since_ms


def _vouch(state: states.GroupState, proven: int) -> None:
    """Let members vouch for the lead that were there when it was proved."""
    for upstream in state.upstreams.values():
        if (
            not upstream.is_established
            and proven - upstream.first_listed_ms >= ESTABLISHED_AFTER_MS
        ):
            upstream.is_established = True


def is_unreachable(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Say whether a member leaves unanswered what it is asked."""
    return failure_detection.is_unanswered(
        state, now_ms, upstream, UNREACHABLE_AFTER_MS
    )


def request_proof(state: states.GroupState, at_ms: int) -> None:
    """Have the lead proved for a moment.

    Without a primary there is nothing to prove, and nothing to doubt.
    """
    if not state.primary:
        return
    state.newest_needed_ms = max(state.newest_needed_ms, at_ms)
    if (
        state.oldest_unproven_ms is None
        and proven_until_ms(state) < state.newest_needed_ms
    ):
        state.oldest_unproven_ms = at_ms


def required_proof_ms(
    commands: tuple[statements.Command, ...], request: messages.Request
) -> int | None:
    """Return for when the lead has to be proved before a read is answered.

    None for what a place bounds, and for writes: their answer is the proof.
    """
    begin = commands[-1]
    if isinstance(begin, statements.Begin):
        bounded = begin.read_only and begin.after is not None
        return None if bounded else request.arrived_ms
    after = getattr(begin, 'after', None)
    if request.writes or after is not None or request.transaction:
        return None
    return request.arrived_ms


def needs_proof(request: messages.Request) -> bool:
    """Say whether a request at the primary is answered only on a proof."""
    return not request.writes or bool(request.transaction)


def is_leadership_unproven(state: states.GroupState, now_ms: int) -> bool:
    """Say whether no proof can be had from here."""
    since_ms = state.oldest_unproven_ms
    return since_ms is not None and now_ms - since_ms >= UNPROVEN_AFTER_MS


def apply_proof(state: states.GroupState) -> None:
    """Use what is proved: places become samples, doubts end."""
    proven = proven_until_ms(state)
    _vouch(state, proven)
    while state.pending_samples and state.pending_samples[0].sent_ms <= proven:
        freshness.add_sample(state, state.pending_samples.popleft())
    if state.oldest_unproven_ms is None or proven < state.oldest_unproven_ms:
        return
    state.oldest_unproven_ms = None
    if proven < state.newest_needed_ms:
        state.oldest_unproven_ms = state.newest_needed_ms


def note_refusal(upstream: states.Upstream, sent_ms: int) -> None:
    """Take in that an upstream, when it was asked, led no newer term."""
    upstream.begin_refused_sent_ms = max(
        upstream.begin_refused_sent_ms, sent_ms
    )


def note_confirmed(upstream: states.Upstream, sent_ms: int) -> None:
    """Take in that a write of an upstream is sure to last.

    A member that vouches received it, so it was not paused when the write
    was sent.
    """
    upstream.confirmed_sent_ms = max(upstream.confirmed_sent_ms, sent_ms)


def note_report(
    state: states.GroupState,
    upstream: states.Upstream,
    sent_ms: int,
    report: statements.StatusReport,
) -> None:
    """Take in what an upstream says of its part and term."""
    state.term = max(state.term, report.term)
    if report.role is statements.Role.PRIMARY:
        upstream.lead_term = report.term
        return
    note_refusal(upstream, sent_ms)
    primary = state.upstreams.get(state.primary)
    if primary is None or upstream is primary:
        return
    if report.term <= _own_term(primary):
        upstream.witness_sent_ms = max(upstream.witness_sent_ms, sent_ms)
    # Before its first entry a new primary's log ends with the old term, which
    # a replica that still follows the old primary states as well.
    wrote = primary.lead_term == primary.place.log_term
    if upstream.is_established and wrote and report.term == primary.lead_term:
        upstream.same_term_sent_ms = max(upstream.same_term_sent_ms, sent_ms)
