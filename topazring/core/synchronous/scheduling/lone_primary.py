"""Decide when a primary that serves alone hands its group over.

Replicas that apply late have received every acknowledged write, but cannot
serve a read that needs what they have not applied, so all requests go to the
primary. A replica that is promoted leads with all that it has received, and
the replaced primary, which has applied everything, serves reads as a replica
at once. Two upstreams then share the load instead of one.

The hand-over is that of a leaving primary: writes go on until the successor
leads. It is optional, so it ends without effect if it cannot be completed
within the time that any choice of a successor may take.
"""

import collections.abc

from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import freshness
from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = ['WHY', 'choose_successor', 'note_begun', 'note_not_ready']

WHY = 'it serves alone'
# Replicas count as late once they lack what was written this long ago. Reads
# accept data of about this age, so hardly any can be sent to them.
LATE_MS = 1500
# The primary has to be saturated at two checks in a row; a single burst ends
# sooner than a hand-over.
CONFIRM_MS = 2500
# Writes are interrupted for a moment by each hand-over.
MIN_INTERVAL_MS = 10_000
# A successor that did not catch up may have received nothing for a while;
# another one is tried, or the same one later.
RETRY_MS = 2000

Reports = collections.abc.Mapping[str, statements.StatusReport]


def choose_successor(
    state: states.GroupState, now_ms: int, reports: Reports
) -> tuple[str, list]:
    """Return the replica that should lead, or an empty name, and log events.

    `reports` are recent status reports of the members.
    """
    if not _is_overloaded(state, now_ms, reports):
        state.saturated_alone_ms = states.NEVER_MS
        return '', []
    before_ms, state.saturated_alone_ms = state.saturated_alone_ms, now_ms
    if now_ms - before_ms > CONFIRM_MS:
        return '', []
    if now_ms < state.next_relief_ms:
        return '', []
    candidates = _candidates(state, now_ms, reports)
    successor = max(
        candidates, key=lambda name: (reports[name].received, name), default=''
    )
    inputs = {
        'primary': state.primary,
        'busy': reports[state.primary].busy,
        'slots': state.upstreams[state.primary].slots,
        'successor': successor,
        'lag_ms': {
            name: report.lag_ms
            for name, report in reports.items()
            if name != state.primary
        },
    }
    return successor, [
        messages.LogDecision('primary serves alone', '', inputs)
    ]


def note_begun(state: states.GroupState, now_ms: int) -> None:
    """Record that a hand-over began; the next one has to wait."""
    state.next_relief_ms = now_ms + MIN_INTERVAL_MS
    state.counters['hand_over_of_lone_primary'] += 1


def note_not_ready(state: states.GroupState, now_ms: int) -> None:
    """Record that a hand-over ended without effect."""
    state.next_relief_ms = now_ms + RETRY_MS


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
