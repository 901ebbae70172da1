"""Log what is known of each member when a leadership cannot be proved.

Reads at the primary are refused then. Which member prevents the proof, and
what it last reported, shows whether it is silent, leads or has missed a term.
"""

from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states

__all__ = ['report_unproven']


def report_unproven(state: states.GroupState, now_ms: int) -> list:
    """Log the members once in each period without a proof, and its end."""
    is_unproven = bool(state.primary) and proofs.is_leadership_unproven(
        state, now_ms
    )
    if is_unproven == state.is_unproven_logged:
        return []
    if is_unproven and not state.work:
        # No request is affected here; most proxies do not own the group.
        return []
    state.is_unproven_logged = is_unproven
    if not is_unproven:
        return [messages.LogDecision('leadership proved again')]
    state.counters['leadership_unproven'] += 1
    inputs = {
        'primary': state.primary,
        'term': state.term,
        'members': {
            upstream.name: _describe(now_ms, upstream)
            for upstream in state.upstreams.values()
        },
    }
    return [messages.LogDecision('leadership unproven', inputs=inputs)]


def _describe(now_ms: int, upstream: states.Upstream) -> str:
    """Return what a member last said, with its age in milliseconds."""
    parts = [f'own term {proofs.own_term(upstream)}']
    for what, sent_ms in (
        ('accepted', upstream.begin_accepted_sent_ms),
        ('refused', upstream.begin_refused_sent_ms),
        ('reported', upstream.answered_status_sent_ms),
        ('confirmed', upstream.confirmed_sent_ms),
    ):
        if sent_ms != states.NEVER_MS:
            parts.append(f'{what} {now_ms - sent_ms}')
    if upstream.answered_status_sent_ms != states.NEVER_MS:
        parts.append(
            f'term {upstream.reported_term} paused for {upstream.held_term}'
        )
    return ' '.join(parts)
