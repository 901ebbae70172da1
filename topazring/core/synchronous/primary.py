"""Decide which upstream leads its group.

A reply on a connection takes precedence over an entry in the list of
upstreams: the entry of a crashed primary remains until it expires, and a
replaced primary that cannot reach the list is still listed as the primary.

Two upstreams may claim to lead at the same time. The one of the newer term is
the primary; the other was replaced without learning of it, and every proxy
that can reach it demotes it.
"""

from topazring.core import log_positions
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import connections
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import position_records
from topazring.core.synchronous import primary_availability
from topazring.core.synchronous import proofs
from topazring.core.synchronous import sent_orders
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'adopt_listed_primary',
    'note_begin_accepted',
    'note_log_position',
    'note_not_leading',
    'note_report',
    'resolve_claims',
]

# A replaced primary is sent the next DEMOTE no earlier than this.
DEMOTE_RETRY_MS = 200
# Why an upstream counts as the primary that no reply has shown to lead.
LISTED = 'the list says so'
# Minimum interval between term queries to an upstream that claims to lead.
TERM_QUERY_INTERVAL_MS = 100


def note_log_position(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    position: log_positions.LogPosition | None,
) -> None:
    """Record a reply of an upstream, and its log position if there is one."""
    upstream.last_received_ms = now_ms
    upstream.unresponsive_since_ms = None
    upstream.failed_dials = 0
    if position is None:
        return
    # Not the maximum: a promotion may roll a replica back.
    upstream.place = position
    upstream.place_ms = now_ms
    state.term = max(state.term, position.log_term)


def note_begin_accepted(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    sent_ms: int,
) -> list:
    """Record that an upstream accepted a transaction sent at `sent_ms`.

    It becomes the primary unless a newer term has been seen, or the current
    primary may still lead and is not outranked by it. While the term of either
    claim is unknown, the current primary stays.
    """
    upstream.refuted_ms = None
    upstream.begin_accepted_sent_ms = max(
        upstream.begin_accepted_sent_ms, sent_ms
    )
    if not proofs.leads_newest_term(state, upstream):
        _note_stale_claim(state, upstream, sent_ms)
        return []
    rival = state.upstreams.get(state.primary)
    if rival is None or rival is upstream:
        return _accept_primary(state, now_ms, upstream)
    if not _may_still_lead(state, now_ms, rival):
        return _accept_primary(state, now_ms, upstream)
    if not upstream.lead_term or not rival.lead_term:
        upstream.has_pending_claim = not upstream.lead_term
        rival.has_pending_claim = not rival.lead_term
        return []
    if _rank(upstream) > _rank(rival):
        return _accept_primary(state, now_ms, upstream)
    if _rank(upstream) < _rank(rival):
        _note_outranked(upstream, sent_ms)
    return []


def _rank(upstream: states.Upstream) -> tuple[int, int]:
    """Return the sort key that orders upstreams that claim to lead.

    A replaced primary may already report the term of its successor; only the
    successor's log has entries of that term.
    """
    return (upstream.lead_term, upstream.place.log_term)


def _note_outranked(upstream: states.Upstream, sent_ms: int) -> None:
    """Record that an upstream did not lead when it was asked."""
    proofs.note_refusal(upstream, sent_ms)
    upstream.claimed_ms = states.NEVER_MS
    upstream.needs_demotion = True


def _may_still_lead(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Return whether an upstream may still consider itself the primary."""
    if upstream.refuted_ms is not None or not upstream.last_received_ms:
        return False
    return failure_detection.detect_silence(state, now_ms, upstream) is None


def _accept_primary(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list:
    if not state.proven_primary:
        state.departed_members.record_first_place(now_ms, upstream.place)
    elif state.proven_primary != upstream.name:
        # A new primary's log starts with every write acknowledged before.
        state.acknowledged = max(state.acknowledged, upstream.place)
    if state.proven_primary != upstream.name:
        state.proven_primary = upstream.name
        state.proven_ms = now_ms
    state.proven_term = proofs.own_term(upstream)
    if state.primary_start.upstream != upstream.name:
        state.primary_start = position_records.PrimaryStart(
            upstream.name, upstream.place
        )
    if state.primary == upstream.name:
        return []
    return _set_primary(state, now_ms, upstream, 'it took a transaction')


def _note_stale_claim(
    state: states.GroupState, upstream: states.Upstream, sent_ms: int
) -> None:
    """Record a claim of an upstream that seems to lead an old term."""
    # Its last reported term may be older than its current leadership.
    upstream.has_pending_claim = True
    leader = state.upstreams.get(state.primary)
    if leader is None or not upstream.lead_term:
        return
    if _rank(upstream) < _rank(leader):
        _note_outranked(upstream, sent_ms)


def resolve_claims(state: states.GroupState, now_ms: int) -> list:
    """Query the terms of upstreams that claim to lead; demote replaced ones.

    A replaced primary steps down by itself only a second after it reaches its
    successor, and until then writes sent to it hang.
    """
    outs: list = []
    for upstream in state.upstreams.values():
        if upstream.needs_demotion:
            outs += _demote_replaced(state, now_ms, upstream)
        if upstream.has_pending_claim:
            outs += _query_term(state, now_ms, upstream)
    return outs


def _query_term(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list:
    free = states.idle_connections(state, upstream.name)
    if not free or now_ms - upstream.claim_checked_ms < TERM_QUERY_INTERVAL_MS:
        return []
    upstream.claim_checked_ms = now_ms
    purpose = states.Purpose.STATUS_QUERY
    return [connections.send(free[0], now_ms, purpose, (statements.Status(),))]


def _demote_replaced(
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
    purpose = states.Purpose.STATUS_QUERY
    return [decided, connections.send(free[0], now_ms, purpose, demote)]


def note_report(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    sent_ms: int,
    report: statements.StatusReport,
    running_since_ms: int,
) -> list:
    """Record the role and term that an upstream reports."""
    upstream.has_pending_claim = False
    confirmations.note_report(upstream, sent_ms, report, running_since_ms)
    proofs.note_report(state, upstream, sent_ms, report)
    if report.role is statements.Role.REPLICA:
        return note_not_leading(state, now_ms, upstream)
    return note_begin_accepted(state, now_ms, upstream, sent_ms)


def note_not_leading(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> list:
    """Record that an upstream refused a request because it does not lead."""
    upstream.refuted_ms = now_ms
    upstream.lead_term = 0
    upstream.claimed_ms = states.NEVER_MS
    upstream.has_pending_claim = False
    if state.primary != upstream.name:
        return []
    state.primary = ''
    state.primary_lost_ms = now_ms
    _discard_proofs(state)
    # A list newer than the refusal may already name the next primary.
    return [
        messages.LogDecision(
            'primary deposed', inputs={'upstream': upstream.name}
        ),
        *adopt_listed_primary(state, now_ms),
    ]


def _discard_proofs(state: states.GroupState) -> None:
    """Discard pending leadership proofs when the primary changes."""
    state.pending_samples.clear()
    state.newest_needed_ms = states.NEVER_MS
    state.oldest_unproven_ms = None
    state.unproven_write_ms = states.NEVER_MS


def adopt_listed_primary(state: states.GroupState, now_ms: int) -> list:
    """Adopt the listed primary unless a reply has refuted its entry."""
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
            _may_still_lead(state, now_ms, current)
            and current.begin_accepted_sent_ms > 0
        ):
            # The current primary accepts transactions, so the terms decide
            # once both are queried. An entry states its writer's view, which
            # may be outdated.
            proofs.request_proof(state, now_ms)
            return []
    return _set_primary(state, now_ms, newest, LISTED)


def _set_primary(
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
    if why != LISTED and state.limits.checks_tokens:
        outstanding_orders.note_leads(state, upstream.name)
    state.last_primary = upstream.name
    state.last_primary_born_ms = upstream.born_ms
    state.primary_lost_ms = None
    _discard_proofs(state)
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
                'place': str(upstream.place),
                'gap_ms': 0 if lost_ms is None else now_ms - lost_ms,
            },
        ),
        *sent_orders.log_earlier_order(state, now_ms, upstream.name),
    ]
