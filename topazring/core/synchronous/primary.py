"""Decide which upstream leads its group.

What an upstream says on a connection goes before what a list says of it:
the entries of a crashed primary linger, and a replaced one that is cut off
from the list still stands there as the primary.

Two may claim to lead at a time. The one of the newer term does; the other
was replaced and has not learned of it, and is told by whoever reaches it.
"""

from topazring.core import log_positions
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import connections
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import messages
from topazring.core.synchronous import position_records
from topazring.core.synchronous import primary_availability
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'resolve_claims',
    'note_begin_accepted',
    'note_log_position',
    'note_not_leading',
    'note_report',
    'adopt_listed_primary',
]

# A replaced primary is told again after that long that it leads no more.
DEMOTE_RETRY_MS = 200
# Who claims to lead is asked for its term no more often.
TERM_QUERY_INTERVAL_MS = 100


def note_log_position(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    place: log_positions.LogPosition | None,
) -> None:
    """Take in where an upstream's log stands."""
    upstream.last_received_ms = now_ms
    upstream.unresponsive_since_ms = None
    upstream.failed_dials = 0
    if place is None:
        return
    # Not the highest: a replica that a promotion rolled back goes back too.
    upstream.place = place
    upstream.place_ms = now_ms
    state.term = max(state.term, place.log_term)


def note_begin_accepted(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    sent_ms: int,
) -> list:
    """Take in that an upstream took a transaction that was sent then."""
    upstream.refuted_ms = None
    upstream.begin_accepted_sent_ms = max(
        upstream.begin_accepted_sent_ms, sent_ms
    )
    if not proofs.leads_newest_term(state, upstream):
        _question(state, upstream, sent_ms)
        return []
    rival = state.upstreams.get(state.primary)
    if rival is None or rival is upstream:
        return _accept(state, now_ms, upstream)
    if not _claims(state, now_ms, rival):
        return _accept(state, now_ms, upstream)
    if not upstream.lead_term or not rival.lead_term:
        upstream.has_pending_claim = not upstream.lead_term
        rival.has_pending_claim = not rival.lead_term
        return []
    if _rank(upstream) > _rank(rival):
        return _accept(state, now_ms, upstream)
    if _rank(upstream) < _rank(rival):
        _outrank(upstream, sent_ms)
    return []


def _rank(upstream: states.Upstream) -> tuple[int, int]:
    """Return what orders two that claim to lead.

    A replaced primary may state the term of its successor already; entries
    of that term are in the successor's log alone.
    """
    return (upstream.lead_term, upstream.place.log_term)


def _outrank(upstream: states.Upstream, sent_ms: int) -> None:
    """Count an upstream, when it was asked, as one that does not lead."""
    proofs.note_refusal(upstream, sent_ms)
    upstream.claimed_ms = states.NEVER_MS
    upstream.needs_demotion = True


def _claims(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Say whether an upstream may still lead in its own eyes."""
    if upstream.refuted_ms is not None or not upstream.last_received_ms:
        return False
    return failure_detection.detect_silence(state, now_ms, upstream) is None


def _accept(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list:
    if not state.proven_primary:
        state.departed_members.record_first_place(now_ms, upstream.place)
    elif state.proven_primary != upstream.name:
        # A new primary began with all that had been acknowledged before.
        state.acknowledged = max(state.acknowledged, upstream.place)
    if state.proven_primary != upstream.name:
        state.proven_primary = upstream.name
        state.proven_ms = now_ms
    if state.primary_start.upstream != upstream.name:
        state.primary_start = position_records.PrimaryStart(
            upstream.name, upstream.place
        )
    if state.primary == upstream.name:
        return []
    return _lead(state, now_ms, upstream, 'it took a transaction')


def _question(
    state: states.GroupState, upstream: states.Upstream, sent_ms: int
) -> None:
    """Take in the claim of one that leads an old term, as far as is known."""
    # Its word on its term may be older than its lead.
    upstream.has_pending_claim = True
    leader = state.upstreams.get(state.primary)
    if leader is None or not upstream.lead_term:
        return
    if _rank(upstream) < _rank(leader):
        _outrank(upstream, sent_ms)


def resolve_claims(state: states.GroupState, now_ms: int) -> list:
    """Ask for the terms of claims, and depose replaced primaries.

    One that was replaced would learn of it by itself a second after it
    reaches its successor, and until then keep hanging what is written there.
    """
    outs: list = []
    for upstream in state.upstreams.values():
        if upstream.needs_demotion:
            outs += _depose(state, now_ms, upstream)
        if upstream.has_pending_claim:
            outs += _ask_term(state, now_ms, upstream)
    return outs


def _ask_term(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list:
    free = states.idle_connections(state, upstream.name)
    if not free or now_ms - upstream.claim_checked_ms < TERM_QUERY_INTERVAL_MS:
        return []
    upstream.claim_checked_ms = now_ms
    errand = states.Purpose.STATUS_QUERY
    return [connections.send(free[0], now_ms, errand, (statements.Status(),))]


def _depose(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list:
    leader = state.upstreams.get(state.primary)
    if leader is None or _rank(leader) <= _rank(upstream):
        upstream.needs_demotion = False
        return []
    free = states.idle_connections(state, upstream.name)
    if not free or now_ms - upstream.demotion_sent_ms < DEMOTE_RETRY_MS:
        return []
    upstream.needs_demotion = False
    upstream.demotion_sent_ms = now_ms
    decided = messages.LogDecision(
        'deposes a replaced primary',
        inputs={
            'upstream': upstream.name,
            'its_term': upstream.lead_term,
            'primary': leader.name,
            'term': leader.lead_term,
        },
    )
    demote = (statements.Demote(leader.lead_term),)
    errand = states.Purpose.STATUS_QUERY
    return [decided, connections.send(free[0], now_ms, errand, demote)]


def note_report(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    sent_ms: int,
    report: statements.StatusReport,
) -> list:
    """Take in an upstream's own word on its part and term."""
    upstream.has_pending_claim = False
    confirmations.note_report(upstream, sent_ms, report)
    proofs.note_report(state, upstream, sent_ms, report)
    if report.role is statements.Role.REPLICA:
        return note_not_leading(state, now_ms, upstream)
    return note_begin_accepted(state, now_ms, upstream, sent_ms)


def note_not_leading(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list:
    """Take in that an upstream refused as one that does not lead."""
    upstream.refuted_ms = now_ms
    upstream.lead_term = 0
    upstream.claimed_ms = states.NEVER_MS
    upstream.has_pending_claim = False
    if state.primary != upstream.name:
        return []
    state.primary = ''
    state.primary_lost_ms = now_ms
    _forget_proofs(state)
    # A list that is newer than the refusal may name the next one already.
    return [
        messages.LogDecision(
            'primary deposed', inputs={'upstream': upstream.name}
        ),
        *adopt_listed_primary(state, now_ms),
    ]


def _forget_proofs(state: states.GroupState) -> None:
    """Want no proof any more of the lead of one that leads no more."""
    state.pending_samples.clear()
    state.newest_needed_ms = states.NEVER_MS
    state.oldest_unproven_ms = None
    state.unproven_write_ms = states.NEVER_MS


def adopt_listed_primary(state: states.GroupState, now_ms: int) -> list:
    """Believe the list where no connection has said otherwise."""
    claims = [
        upstream
        for upstream in state.upstreams.values()
        if upstream.listed_role is statements.Role.PRIMARY
        and upstream.refuted_ms is None
        and not proofs.is_superseded(state, upstream)
    ]
    if not claims:
        return []
    newest = max(claims, key=lambda upstream: upstream.listed_revision)
    current = state.upstreams.get(state.primary)
    if current is not None:
        if newest.listed_revision <= current.listed_revision:
            return []
        if (
            _claims(state, now_ms, current)
            and current.begin_accepted_sent_ms > 0
        ):
            # It takes transactions: terms decide, once both are asked. An
            # entry says what its writer believes, and may be late.
            proofs.request_proof(state, now_ms)
            return []
    return _lead(state, now_ms, newest, 'the list says so')


def _lead(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    why: str,
) -> list:
    before = state.primary
    if before == upstream.name:
        return []
    lost_ms = primary_availability.lost_since(state, now_ms)
    state.primary = upstream.name
    state.primary_since_ms = now_ms
    state.departed_members.record_leader(upstream.name)
    if upstream.name != state.last_primary:
        state.successor_gone = False
    state.last_primary = upstream.name
    state.last_primary_born_ms = upstream.born_ms
    state.primary_lost_ms = None
    _forget_proofs(state)
    if lost_ms is not None:
        primary_availability.note_outage(state, now_ms - lost_ms)
    return [
        messages.LogDecision(
            'primary',
            inputs={
                'upstream': upstream.name,
                'before': before,
                'why': why,
                'term': state.term,
                'gap_ms': 0 if lost_ms is None else now_ms - lost_ms,
            },
        )
    ]
