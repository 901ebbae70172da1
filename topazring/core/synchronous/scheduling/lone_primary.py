"""Decide when a primary that serves alone is replaced.

Replicas that apply late have received every acknowledged write, but cannot
serve a read that needs what they have not applied, so all requests go to the
primary. A replica that is promoted leads with all that it has received, and
the replaced primary, which has applied everything, serves reads as a replica
at once. Two upstreams then share the load instead of one.

Writes wait meanwhile, for about as long as after the loss of a primary. So the
primary is replaced only if it has been saturated for a while, and if the
platform has just accepted an order.
"""

import collections.abc

from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = ['WHY', 'decide', 'is_due', 'note_begun']

WHY = 'it serves alone'
# Replicas count as late once they lack what was written this long ago. Reads
# accept data of about this age, so hardly any can be sent to them.
LATE_MS = 1500
# The primary has to be saturated at two checks in a row, which are a second
# or two apart. A short burst ends sooner.
CONFIRM_MS = 2500
# How long the platform may take to accept an order that changes nothing.
VERIFY_MS = 400
# Writes wait about a second for each replacement. If the primary serves alone
# again soon, replacing it does not help, and the interval is doubled.
MIN_INTERVAL_MS = 10_000
MAX_INTERVAL_MS = 320_000

Reports = collections.abc.Mapping[str, statements.StatusReport]


def decide(
    state: states.GroupState, now_ms: int, reports: Reports
) -> list[messages.LogDecision]:
    """Decide from recent status reports whether to replace the primary."""
    if not _is_overloaded(state, now_ms, reports):
        state.saturated_alone_ms = states.NEVER_MS
        return []
    before_ms, state.saturated_alone_ms = state.saturated_alone_ms, now_ms
    if now_ms - before_ms > CONFIRM_MS or now_ms < state.next_relief_ms:
        return []
    candidates = _candidates(state, now_ms, reports)
    if not candidates:
        return []
    state.relief_decided_ms = now_ms
    state.relief_until_ms = now_ms + VERIFY_MS
    inputs = {
        'primary': state.primary,
        'busy': reports[state.primary].busy,
        'slots': state.upstreams[state.primary].slots,
        'candidates': candidates,
        'lag_ms': {
            name: report.lag_ms
            for name, report in reports.items()
            if name != state.primary
        },
    }
    return [messages.LogDecision('primary serves alone', '', inputs)]


def is_due(state: states.GroupState, now_ms: int) -> bool:
    """Return whether it was decided, and the platform accepted an order since.

    The order names the present primary and changes nothing. A platform that
    checks no tokens is sent none: the replacement itself verifies the lease,
    and waits until no order is outstanding.
    """
    is_accepted = state.order_accepted_sent_ms >= state.relief_decided_ms
    return (
        now_ms < state.relief_until_ms
        and (is_accepted or not state.limits.checks_tokens)
        and not state.needs_fencing
        and not outstanding_orders.blocks(state, now_ms, '')
        and state.proven_primary == state.primary
    )


def note_begun(state: states.GroupState, now_ms: int) -> None:
    """Record that a replacement began; the next one has to wait."""
    interval_ms = MIN_INTERVAL_MS
    if now_ms - state.next_relief_ms < state.relief_interval_ms:
        interval_ms = min(2 * state.relief_interval_ms, MAX_INTERVAL_MS)
    state.relief_until_ms = states.NEVER_MS
    state.relief_interval_ms = interval_ms
    state.next_relief_ms = now_ms + interval_ms
    state.counters['lone_primary_replaced'] += 1


def _is_overloaded(
    state: states.GroupState, now_ms: int, reports: Reports
) -> bool:
    """Return whether all slots of a primary without helpers are busy."""
    primary = state.upstreams.get(state.primary)
    report = reports.get(state.primary)
    if primary is None or report is None or not primary.slots:
        return False
    if report.busy < primary.slots:
        return False
    if report.role is not statements.Role.PRIMARY:
        return False
    late_place = freshness.position_at(state, now_ms - LATE_MS)
    replicas = states.other_members(state)
    if late_place is None or not replicas:
        return False
    return all(replica.place < late_place for replica in replicas)


def _candidates(
    state: states.GroupState, now_ms: int, reports: Reports
) -> list[str]:
    """Return the replicas that receive what the primary writes."""
    is_settled = (
        state.proven_primary == state.primary
        and not state.needs_fencing
        and not state.successor_gone
        and not state.upstreams[state.primary].leaving
    )
    recent = freshness.position_at(
        state, now_ms - failure_detection.REPLICATION_STALLED_MS
    )
    if not is_settled or recent is None:
        return []
    return [
        replica.name
        for replica in states.other_members(state)
        if not replica.leaving
        and not states.is_closed_by_operator(state, now_ms, replica.name)
        and replica.is_established
        and not proofs.is_unreachable(state, now_ms, replica)
        and replica.name in reports
        and not reports[replica.name].held_term
        and reports[replica.name].received >= recent
    ]
