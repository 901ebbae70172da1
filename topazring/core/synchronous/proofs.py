"""Prove that the primary is the only upstream that leads its group.

A promotion does not demote the old primary at once. While it is cut off from
its successor it keeps accepting transactions, and its reads lack the writes
that the successor has acknowledged. A successful BEGIN therefore shows only
that an upstream considers itself the primary. Without a proof, reads on one
side of a partition would miss acknowledged writes.

Any of the following, requested at time T or later, proves that no other
upstream had acknowledged a write by T:

- Every other member refuses BEGIN. This takes no slot.
- All other members but one report that they are replicas of no newer term.
  Each acknowledged write is stored by two members, so the silent one has
  acknowledged nothing even if it leads. This query for the term takes a slot,
  so it is sent only while a member is silent and a request waits for the
  proof.
- If one member accepted a BEGIN and has refused none since, all other members
  but that one report that they are replicas of exactly the term that the
  primary leads and has written in. A primary that stopped responding
  remains in this state, and reads at its successor would otherwise be refused
  for some 5 s, until its entry leaves the list.
- An established replica has confirmed a write to the primary. A promotion
  pauses all members before it orders a successor, so no successor had been
  ordered.
- The holder of the promotion lease reports that no promotion is under way and
  that it has seen no term newer than the primary's own.

A member whose entry has expired may be alive, and may have been promoted by a
proxy that lists it. It counts as a silent member: refusals of all listed
members prove nothing, and the others are queried for their terms. If there are
several, or no other member is listed, only the lease holder can tell. While
another proxy asks this one what it has acknowledged, that proxy may promote a
member that is not listed here, and only the lease holder can tell.

A new replica may confirm a write that it should not: the promoting proxy may
not have seen it in the list, and it may have joined on the wrong side of a
partition. A confirmation therefore counts as a proof only if it is durable.

A read at the primary runs at once; its result is returned when the leadership
is proved for the time of its arrival.
"""

import collections.abc

from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'UNPROVEN_AFTER_MS',
    'apply_proof',
    'claims_to_lead',
    'contests_leadership',
    'depends_on_lease_holder',
    'is_leadership_unproven',
    'is_superseded',
    'is_unreachable',
    'leads_newest_term',
    'may_unlisted_member_lead',
    'must_query_terms',
    'needs_proof',
    'note_confirmed',
    'note_refusal',
    'note_report',
    'own_term',
    'proven_until_ms',
    'request_proof',
    'required_proof_ms',
]

# A promoting proxy sees a new member in the list within milliseconds, and
# within 1.2 s if the platform's store refuses it and it asks its peers.
ESTABLISHED_AFTER_MS = 2000
# A replica that has left commands unanswered for this long is unreachable.
UNREACHABLE_AFTER_MS = 150
# After this long without a proof this proxy is assumed to be unable to get
# one, and another proxy serves callers better. A lost reply costs 250 ms.
UNPROVEN_AFTER_MS = 300


def leads_newest_term(
    state: states.GroupState, upstream: states.Upstream
) -> bool:
    """Return whether no term newer than an upstream's own has been seen."""
    return own_term(upstream) >= state.term


def own_term(upstream: states.Upstream) -> int:
    """Return the newest term that an upstream led or has in its log."""
    return max(upstream.lead_term, upstream.place.log_term)


def is_superseded(state: states.GroupState, upstream: states.Upstream) -> bool:
    """Return whether an upstream leads only a term that has been replaced."""
    return bool(upstream.lead_term) and not leads_newest_term(state, upstream)


def proven_until_ms(state: states.GroupState) -> int:
    """Return the latest time at which only the primary is proved to lead."""
    primary = state.upstreams.get(state.primary)
    if primary is None or not leads_newest_term(state, primary):
        return states.NEVER_MS
    others = states.other_members(state)
    unlisted = state.departed_members.count_living()
    if not others and own_term(primary) <= state.ended_term:
        # The successor may lead although it is not listed.
        return states.NEVER_MS
    if not others and not unlisted:
        # There is no other member that could be promoted.
        return primary.begin_accepted_sent_ms
    never_answered = [states.NEVER_MS] * unlisted
    refused_ms = min(
        [*(u.begin_refused_sent_ms for u in others), *never_answered]
    )
    if any(claims_to_lead(upstream) for upstream in others):
        # A replaced primary may report its successor's term before it steps
        # down, and so do the replicas of the successor. Only the successor's
        # log has entries of that term.
        same_term = [u.same_term_sent_ms for u in others]
        return max(refused_ms, _by_all_but_one(same_term + never_answered))
    witnesses = [u.witness_sent_ms for u in others]
    by_members_ms = max(
        refused_ms,
        _by_all_but_one(witnesses + never_answered),
        primary.confirmed_sent_ms,
    )
    if may_unlisted_member_lead(state):
        by_members_ms = min(by_members_ms, state.acknowledgements_asked_ms)
    return max(by_members_ms, _by_lease_holder(state, primary))


def may_unlisted_member_lead(state: states.GroupState) -> bool:
    """Return whether a promotion of a member unknown here may be under way.

    A promoting proxy asks all others what they have acknowledged if it cannot
    query all members. It may list members that this proxy does not.
    """
    primary = state.upstreams.get(state.primary)
    return (
        primary is not None
        and state.acknowledgements_asked_ms != states.NEVER_MS
        and state.fence_term > own_term(primary)
    )


def _by_lease_holder(
    state: states.GroupState, primary: states.Upstream
) -> int:
    """Return the time up to which the lease holder excludes a promotion."""
    if own_term(primary) < state.no_promotion_term:
        return states.NEVER_MS
    return min(state.no_promotion_ms, primary.begin_accepted_sent_ms)


def must_query_terms(state: states.GroupState) -> bool:
    """Return whether refusals prove nothing, as a member is not listed."""
    return state.departed_members.may_return()


def depends_on_lease_holder(state: states.GroupState) -> bool:
    """Return whether the listed members together cannot prove leadership."""
    unlisted = state.departed_members.count_living()
    return unlisted > 1 or (unlisted == 1 and not states.other_members(state))


def _by_all_but_one(answered_ms: collections.abc.Iterable[int]) -> int:
    """Return the time up to which all members but one have answered.

    With a single other member there is none to query.

    >>> _by_all_but_one([7, states.NEVER_MS, 5])
    5
    >>> _by_all_but_one([7]) == states.NEVER_MS
    True
    """
    oldest_first = sorted(answered_ms)
    return oldest_first[1] if len(oldest_first) > 1 else states.NEVER_MS


def claims_to_lead(upstream: states.Upstream) -> bool:
    """Return whether an upstream has accepted a BEGIN and refused none since.

    A claim that a newer term has superseded counts as refused.

    >>> upstream = states.Upstream('u', 'u:1', 'here', 'replica', 1)
    >>> claims_to_lead(upstream)
    False
    """
    return upstream.begin_accepted_sent_ms > upstream.begin_refused_sent_ms


def contests_leadership(
    state: states.GroupState, upstream: states.Upstream
) -> bool:
    """Return whether another upstream claims to lead since the primary does.

    It claims to by its list entry or by accepting a transaction, as long as
    nothing has refuted the claim. A primary that stopped responding accepted
    its last transaction before its successor led.
    """
    if upstream.name == state.primary:
        return False
    took_ms = states.NEVER_MS
    if claims_to_lead(upstream):
        took_ms = upstream.begin_accepted_sent_ms
    return max(took_ms, upstream.claimed_ms) > state.primary_since_ms


def _mark_established(state: states.GroupState, proven_ms: int) -> None:
    """Mark members listed ESTABLISHED_AFTER_MS before the last proof."""
    for upstream in state.upstreams.values():
        if (
            not upstream.is_established
            and proven_ms - upstream.first_listed_ms >= ESTABLISHED_AFTER_MS
        ):
            upstream.is_established = True


def is_unreachable(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Return whether a member has left its last commands unanswered."""
    return failure_detection.is_unanswered(
        state, now_ms, upstream, UNREACHABLE_AFTER_MS
    )


def request_proof(state: states.GroupState, at_ms: int) -> None:
    """Request a leadership proof for a time.

    Without a primary there is nothing to prove, and the request is ignored.
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
    """Return the time for which a read needs a leadership proof, in ms.

    None for reads bounded by a log position, and for writes, whose
    confirmation is the proof.
    """
    begin = commands[-1]
    if isinstance(begin, statements.Begin):
        is_bounded = begin.read_only and begin.after is not None
        return None if is_bounded else request.arrived_ms
    after = getattr(begin, 'after', None)
    if request.writes or after is not None or request.transaction:
        return None
    return request.arrived_ms


def needs_proof(request: messages.Request) -> bool:
    """Return whether a request at the primary needs a leadership proof."""
    return not request.writes or bool(request.transaction)


def is_leadership_unproven(state: states.GroupState, now_ms: int) -> bool:
    """Return whether this proxy has waited too long for a proof."""
    since_ms = state.oldest_unproven_ms
    return since_ms is not None and now_ms - since_ms >= UNPROVEN_AFTER_MS


def apply_proof(state: states.GroupState) -> None:
    """Apply the latest proof.

    Established members are marked, log positions reported before the proof
    become samples, and the unproven period ends if the proof covers it.
    """
    proven_ms = proven_until_ms(state)
    _mark_established(state, proven_ms)
    while (
        state.pending_samples and state.pending_samples[0].sent_ms <= proven_ms
    ):
        freshness.add_sample(state, state.pending_samples.popleft())
    if (
        state.oldest_unproven_ms is None
        or proven_ms < state.oldest_unproven_ms
    ):
        return
    state.oldest_unproven_ms = None
    if proven_ms < state.newest_needed_ms:
        state.oldest_unproven_ms = state.newest_needed_ms


def note_refusal(upstream: states.Upstream, sent_ms: int) -> None:
    """Record that an upstream led no newer term when it was asked."""
    upstream.begin_refused_sent_ms = max(
        upstream.begin_refused_sent_ms, sent_ms
    )


def note_confirmed(upstream: states.Upstream, sent_ms: int) -> None:
    """Record that a write of an upstream is durable.

    A member received it that no promotion had paused when the write was sent.
    """
    upstream.confirmed_sent_ms = max(upstream.confirmed_sent_ms, sent_ms)


def note_report(
    state: states.GroupState,
    upstream: states.Upstream,
    sent_ms: int,
    report: statements.StatusReport,
) -> None:
    """Record the role and term that an upstream reports."""
    state.term = max(state.term, report.term)
    if report.role is statements.Role.PRIMARY:
        upstream.lead_term = report.term
        return
    note_refusal(upstream, sent_ms)
    primary = state.upstreams.get(state.primary)
    if primary is None or upstream is primary:
        return
    if report.term <= own_term(primary):
        upstream.witness_sent_ms = max(upstream.witness_sent_ms, sent_ms)
    # Before its first entry a new primary's log ends with the old term, which
    # a replica that still follows the old primary reports as well.
    has_written = primary.lead_term == primary.place.log_term
    if (
        upstream.is_established
        and has_written
        and report.term == primary.lead_term
    ):
        upstream.same_term_sent_ms = max(upstream.same_term_sent_ms, sent_ms)
