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
from topazring.core.synchronous import evidence
from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states

__all__ = ['ELSEWHERE_MS', 'judge', 'lost_since', 'note_gap']

Reason = outcomes.Reason

# Of a new gap so much enters the estimate.
GAP_WEIGHT = 0.3
LEAST_GAP_MS = 400
MOST_GAP_MS = 2500
# A promotion that takes this many times as long as usual is overdue.
OVERDUE_TIMES = 1.3
# When to come back to another proxy, which has room at once.
ELSEWHERE_MS = 50


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
    since_ms = evidence.unanswered_since(state, upstream)
    if since_ms is None or now_ms - since_ms < evidence.SILENT_MS:
        return None
    return since_ms


def judge(
    state: states.GroupState, now_ms: int, work: states.Work
) -> outcomes.NotRun | None:
    """Return the refusal of a request that the primary cannot serve in time.

    A single write needs no proof of the lead: its confirmation is one.
    """
    if state.isolated_with:
        return outcomes.NotRun(Reason.NO_PRIMARY, ELSEWHERE_MS)
    if connections.is_excluded_by_limit(state, state.primary):
        return outcomes.NotRun(Reason.CONNECTION_LIMIT, ELSEWHERE_MS)
    since_ms = lost_since(state, now_ms)
    if since_ms is None:
        if _would_be_unsure(state, now_ms, work.request):
            return outcomes.NotRun(Reason.NOT_CONFIRMED, ELSEWHERE_MS)
        needs_proof = proofs.needs_proof(work.request)
        if needs_proof and proofs.in_doubt(state, now_ms):
            return outcomes.NotRun(Reason.UNPROVEN, ELSEWHERE_MS)
        return None
    if now_ms - since_ms > state.gap_ms * OVERDUE_TIMES:
        return outcomes.NotRun(Reason.NO_PRIMARY, ELSEWHERE_MS)
    back_ms = since_ms + int(state.gap_ms)
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
    return confirmations.is_unsure(state, now_ms)


def note_gap(state: states.GroupState, gap_ms: int) -> None:
    """Learn from a gap that ended."""
    gap_ms = min(MOST_GAP_MS, max(LEAST_GAP_MS, gap_ms))
    state.gap_ms += (gap_ms - state.gap_ms) * GAP_WEIGHT
