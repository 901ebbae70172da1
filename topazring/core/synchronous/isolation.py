"""Detect that this proxy is partitioned together with the primary.

Behind a partition a primary keeps answering, but none of its writes is
confirmed, while another upstream is promoted on the other side. A
replica that joins the old primary at this time would confirm its writes. They
would be acknowledged to callers and then lost with the old primary: the next
primary would lack acknowledged writes.

Therefore, writes that hang while no replica is reachable are given up as
unknown before a promotion can complete, and new writes are refused before they
run, since their callers reach the other side through another proxy. Silent
replicas alone prove nothing, as only this proxy may be cut off from them. In
that case it cannot be determined whether a confirmed write is durable, so a
single write that waits for this is enough. A new replica that is reachable on
this side could confirm these writes, and as it is not established it is no
evidence against the isolation.
"""

from topazring.core.synchronous import confirmations
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = ['HANGING_MS', 'is_probing', 'update']

# A write is confirmed within some 10 ms. Another proxy takes 300 ms to detect
# a loss, and a promotion takes 300 ms more at least.
HANGING_MS = 300
# Once a write has hung for this long, replicas are probed for reachability.
PROBE_AFTER_MS = 120


def update(state: states.GroupState, now_ms: int) -> list:
    """Update whether this proxy is isolated with the primary."""
    if state.isolated_with and not _persists(state, now_ms):
        decided = messages.LogDecision(
            'isolation ended', inputs={'primary': state.primary}
        )
        state.isolated_with = ''
        return [decided]
    if state.isolated_with or not _is_starting(state, now_ms):
        return []
    state.isolated_with = state.primary
    state.isolated_since_ms = now_ms
    state.counters['isolated'] += 1
    inputs = {'primary': state.primary, 'term': state.term}
    return [messages.LogDecision('isolated with the primary', inputs=inputs)]


def is_probing(state: states.GroupState, now_ms: int) -> bool:
    """Return whether replicas have to be probed for reachability."""
    if state.isolated_with:
        return True
    since_ms = failure_detection.writes_hanging_since(state, state.primary)
    return since_ms is not None and now_ms - since_ms >= PROBE_AFTER_MS


def _is_starting(state: states.GroupState, now_ms: int) -> bool:
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


def _persists(state: states.GroupState, now_ms: int) -> bool:
    """Return whether no evidence against the isolation was received since.

    Confirmed writes are no such evidence, since the primary does not report
    which replica confirmed them.
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
