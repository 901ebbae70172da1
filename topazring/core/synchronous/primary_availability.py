"""Foresee when a request that needs the primary can be served.

While a promotion is under way a request waits if the next primary is
expected within its time: its caller would use up its tries on proxies that
are no better off. It is refused at once if the primary comes too late for
it, and also once a promotion is overdue: then it is probably this proxy that
is cut off, and another can serve the caller.
"""

from topazring.core import outcomes
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import connections
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states

__all__ = [
    'OTHER_PROXY_RETRY_MS',
    'early_refusal',
    'lost_since',
    'note_outage',
]

Reason = outcomes.Reason

# Of a new gap so much enters the estimate.
OUTAGE_WEIGHT = 0.3
MIN_OUTAGE_MS = 400
MAX_OUTAGE_MS = 2500
# A promotion that takes this many times as long as usual is overdue.
OVERDUE_FACTOR = 1.3
# When to come back to another proxy, which has room at once.
OTHER_PROXY_RETRY_MS = 50


def lost_since(state: states.GroupState, now_ms: int) -> int | None:
    """Return since when no primary can be reached from here."""
    if not state.primary:
        return state.primary_lost_ms
    upstream = state.upstreams.get(state.primary)
    if upstream is None:
        return now_ms
    if states.is_closed_to_work(upstream, now_ms):
        # It leaves, and was not replaced in time.
        return upstream.closed_to_work_ms
    since_ms = failure_detection.unanswered_since(state, upstream)
    if since_ms is None or now_ms - since_ms < failure_detection.SILENT_MS:
        return None
    return since_ms


def early_refusal(
    state: states.GroupState, now_ms: int, work: states.Work
) -> outcomes.NotRun | None:
    """Return the refusal of a request that the primary cannot serve in time.

    A single write needs no proof of the lead: its confirmation is one.
    """
    if state.isolated_with:
        return outcomes.NotRun(Reason.NO_PRIMARY, OTHER_PROXY_RETRY_MS)
    if connections.is_excluded_by_limit(state, state.primary):
        return outcomes.NotRun(Reason.CONNECTION_LIMIT, OTHER_PROXY_RETRY_MS)
    since_ms = lost_since(state, now_ms)
    if since_ms is None:
        if _would_be_unsure(state, now_ms, work.request):
            return outcomes.NotRun(Reason.NOT_CONFIRMED, OTHER_PROXY_RETRY_MS)
        needs_proof = proofs.needs_proof(work.request)
        if needs_proof and proofs.is_leadership_unproven(state, now_ms):
            return outcomes.NotRun(Reason.UNPROVEN, OTHER_PROXY_RETRY_MS)
        return None
    if now_ms - since_ms > state.typical_outage_ms * OVERDUE_FACTOR:
        return outcomes.NotRun(Reason.NO_PRIMARY, OTHER_PROXY_RETRY_MS)
    back_ms = since_ms + int(state.typical_outage_ms)
    if back_ms > work.deadline_ms:
        return outcomes.NotRun(Reason.NO_PRIMARY, back_ms - now_ms)
    return None


def _would_be_unsure(
    state: states.GroupState, now_ms: int, request: messages.Request
) -> bool:
    """Say whether a write would be confirmed, and could not be acknowledged.

    Refused before it runs its caller may try again at another proxy, which
    may reach what this one cannot; afterwards it is unknown.
    """
    opens = request.begins and not request.read_only
    if not request.writes and not opens:
        return False
    return confirmations.is_acknowledgement_stalled(state, now_ms)


def note_outage(state: states.GroupState, gap_ms: int) -> None:
    """Learn from a gap that ended."""
    gap_ms = min(MAX_OUTAGE_MS, max(MIN_OUTAGE_MS, gap_ms))
    state.typical_outage_ms += (
        gap_ms - state.typical_outage_ms
    ) * OUTAGE_WEIGHT
