"""Notice that this proxy is cut off together with the primary.

Behind a partition a primary goes on answering, and nothing that it takes is
confirmed. On the other side another is promoted meanwhile. A replica that
joins the old one in this moment would confirm its writes, and they would be
acknowledged to callers here and be gone with the old primary. One notices by
acknowledged writes of this side that the next primary lacks.

So writes that hang while no replica can be reached from here are given up as
unknown before a promotion can be over, and new ones are refused before they
run: their callers reach the other side through another proxy. Silent replicas
alone say nothing: it may be this proxy alone that is cut off from them. But
then nothing tells whether a confirmation is sound, so one write that waits for
that is enough. And a replica that has just come and is reached on this side is
the one that would confirm them, and it speaks for nobody.
"""

from topazring.core.synchronous import confirmations
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = ['HANGING_MS', 'is_probing', 'update']

# A write is confirmed within some ten ms. Noticing a loss takes another
# proxy 300 ms and a promotion 300 more at least.
HANGING_MS = 300
# From then on replicas are asked whether they can be reached.
PROBE_AFTER_MS = 120


def update(state: states.GroupState, now_ms: int) -> list:
    """Take in whether this proxy is cut off with the primary."""
    if state.isolated_with and not _holds(state, now_ms):
        decided = messages.LogDecision(
            'isolation ended', inputs={'primary': state.primary}
        )
        state.isolated_with = ''
        return [decided]
    if state.isolated_with or not _begins(state, now_ms):
        return []
    state.isolated_with = state.primary
    state.isolated_since_ms = now_ms
    state.counters['isolated'] += 1
    inputs = {'primary': state.primary, 'term': state.term}
    return [messages.LogDecision('isolated with the primary', inputs=inputs)]


def is_probing(state: states.GroupState, now_ms: int) -> bool:
    """Say whether replicas have to be asked whether they can be reached."""
    if state.isolated_with:
        return True
    since_ms = failure_detection.writes_hanging_since(state, state.primary)
    return since_ms is not None and now_ms - since_ms >= PROBE_AFTER_MS


def _begins(state: states.GroupState, now_ms: int) -> bool:
    if not state.primary or not confirmations.are_replicas_unreachable(
        state, now_ms
    ):
        return False
    if confirmations.is_acknowledgement_stalled(state, now_ms):
        return True
    since_ms = failure_detection.writes_hanging_since(state, state.primary)
    if since_ms is not None and now_ms - since_ms >= HANGING_MS:
        return True
    return any(
        not replica.is_established for replica in states.other_members(state)
    )


def _holds(state: states.GroupState, now_ms: int) -> bool:
    """Say whether nothing has been heard since that speaks against it.

    That writes are confirmed does not: by whom is not told.
    """
    if state.primary != state.isolated_with:
        return False
    if state.primary not in state.upstreams:
        return False
    return all(
        replica.last_received_ms <= state.isolated_since_ms
        for replica in states.other_members(state)
        if replica.is_established
    )
