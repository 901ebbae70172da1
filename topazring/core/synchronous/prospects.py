"""Foresee when a request that needs the primary can be served.

While a promotion is under way a request waits if the next primary is
expected within its time: its caller would use up its tries on proxies that
are no better off. It is refused at once if the primary comes too late for
it, and also once a promotion is overdue: then it is probably this proxy that
is cut off, and another can serve the caller.
"""

import dataclasses

from topazring.core import outcomes
from topazring.core.synchronous import connections
from topazring.core.synchronous import evidence
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states

__all__ = ['ELSEWHERE_MS', 'Hopeless', 'judge', 'lost_since', 'note_gap']

# Of a new gap so much enters the estimate.
GAP_WEIGHT = 0.3
LEAST_GAP_MS = 400
MOST_GAP_MS = 2500
# A promotion that takes this many times as long as usual is overdue.
OVERDUE_TIMES = 1.3
# When to come back to another proxy, which has room at once.
ELSEWHERE_MS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Hopeless:
    """Report that a request cannot be served, and when to come back."""

    retry_after_ms: int
    reason: outcomes.Reason = outcomes.Reason.NO_PRIMARY


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
    state: states.GroupState,
    now_ms: int,
    deadline_ms: int,
    needs_proof: bool = True,
) -> Hopeless | None:
    """Return whether a request that needs the primary is hopeless.

    A single write needs no proof of the lead: its confirmation is one.
    """
    if state.isolated_with:
        return Hopeless(ELSEWHERE_MS)
    if connections.is_shut_out(state, state.primary):
        return Hopeless(ELSEWHERE_MS, outcomes.Reason.CONNECTION_LIMIT)
    since_ms = lost_since(state, now_ms)
    if since_ms is None:
        if needs_proof and proofs.in_doubt(state, now_ms):
            return Hopeless(ELSEWHERE_MS, outcomes.Reason.UNPROVEN)
        return None
    if now_ms - since_ms > state.gap_ms * OVERDUE_TIMES:
        return Hopeless(ELSEWHERE_MS)
    back_ms = since_ms + int(state.gap_ms)
    if back_ms > deadline_ms:
        return Hopeless(back_ms - now_ms)
    return None


def note_gap(state: states.GroupState, gap_ms: int) -> None:
    """Learn from a gap that ended."""
    gap_ms = min(MOST_GAP_MS, max(LEAST_GAP_MS, gap_ms))
    state.gap_ms += (gap_ms - state.gap_ms) * GAP_WEIGHT
