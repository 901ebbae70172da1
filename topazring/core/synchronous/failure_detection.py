"""Detect the loss of a primary.

Silence on one connection is a failure of that connection only. Full slots do
not cause silence either: a leadership check takes no slot, so a live upstream
answers it under any load. A primary counts as lost if neither its connections
nor a new dial are answered, or if it answers and cannot get a write confirmed,
which is the symptom of a primary that is cut off from its replicas.
"""

import dataclasses

from topazring.core.synchronous import freshness
from topazring.core.synchronous import member_record
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'Loss',
    'detect_loss',
    'detect_silence',
    'is_recreated',
    'is_unanswered',
    'needs_dial',
    'unanswered_since',
    'waits_for_replica',
    'writes_hanging_since',
]

# The holder of the promotion lease sends leadership checks every 100 ms, and
# they are answered within a few ms. Three missed in a row indicate a failure.
SILENT_MS = 300
# A new dial checks a silent connection after this long; a dial takes 12 to
# 27 ms.
DIAL_AFTER_MS = 120
# A dial that is unanswered for this long counts as silence.
DIAL_SILENT_MS = 150
# A write takes some 10 ms, and some 100 ms behind a full queue of the
# upstream. One that hangs for longer is not confirmed by any replica.
HANGING_MS = 600
# Replicas receive entries within milliseconds. One that lacks an entry that
# the primary had this long ago does not follow it, or applies late.
REPLICATION_STALLED_MS = 500
# Minimum interval between queries of what replicas have received, while they
# apply late.
STALL_RECHECK_MS = 1000
# A running promotion shows a result within a second at most; a group without a
# primary for longer than this needs another promotion.
NO_PRIMARY_MS = 1500
# After a pause of this process, silence counts only once the replies that were
# in flight could be read.
RESUME_GRACE_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Describe why a primary counts as lost."""

    upstream: str
    why: str
    since_ms: int
    # The primary answers, but its replicas do not confirm its writes.
    unconfirmed: bool = False
    # The primary answers, but was replaced.
    replaced: bool = False


def is_recreated(state: states.GroupState, name: str) -> bool:
    """Return whether the last primary was recreated under the same name."""
    upstream = state.upstreams.get(name)
    if upstream is None or name != state.last_primary:
        return False
    return upstream.born_ms != state.last_primary_born_ms


def detect_loss(state: states.GroupState, now_ms: int) -> Loss | None:
    """Return the loss of the primary, or None while it may be alive."""
    if now_ms - state.resumed_ms < RESUME_GRACE_MS and state.resumed_ms:
        return None
    last = state.last_primary
    if state.primary in ('', last) and is_recreated(state, last):
        return Loss(last, 'it began again', now_ms)
    if not state.primary and not state.successor_gone:
        return _no_primary(state, now_ms)
    name = state.primary or state.last_primary
    upstream = state.upstreams.get(name)
    if upstream is None:
        return Loss(name, 'it is listed no more', now_ms)
    loss = detect_silence(state, now_ms, upstream)
    if loss is not None:
        return loss
    if state.successor_gone:
        why = 'its successor is gone'
        return Loss(upstream.name, why, now_ms, replaced=True)
    hanging = _hanging_writes(state, now_ms, upstream)
    if hanging is not None:
        return hanging
    return _stalled_replication(state, now_ms, upstream)


def _no_primary(state: states.GroupState, now_ms: int) -> Loss | None:
    """Return a loss if a promotion was abandoned and left no primary.

    This process may have started after that; then the record of the members
    shows that the group is not new.
    """
    since_ms = state.primary_lost_ms
    if member_record.has_seen_no_primary(state) and state.upstreams:
        since_ms = state.listed_ms
    if since_ms is None or now_ms - since_ms < NO_PRIMARY_MS:
        return None
    return Loss('', 'nobody leads', since_ms)


def detect_silence(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> Loss | None:
    """Return a loss if neither its connections nor a new dial are answered."""
    since_ms = unanswered_since(state, upstream)
    if since_ms is None or now_ms - since_ms < SILENT_MS:
        return None
    if upstream.failed_dials >= 1:
        return Loss(upstream.name, 'it refuses or is silent', since_ms)
    for connection in states.connections_to(state, upstream.name):
        if connection.phase is not states.Phase.OPENING:
            continue
        if now_ms - connection.sent_ms >= DIAL_SILENT_MS:
            return Loss(upstream.name, 'a new dial is silent', since_ms)
    return None


def unanswered_since(
    state: states.GroupState, upstream: states.Upstream
) -> int | None:
    """Return the time since which an upstream has answered nothing.

    None if no command to it awaits a reply.
    """
    sent_ms = [
        connection.sent_ms
        for connection in states.connections_to(state, upstream.name)
        if connection.phase is not states.Phase.IDLE
        and connection.sent_ms > upstream.last_received_ms
    ]
    if upstream.unresponsive_since_ms is not None:
        sent_ms.append(upstream.unresponsive_since_ms)
    return min(sent_ms, default=None)


def is_unanswered(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    for_ms: int,
) -> bool:
    """Return whether an upstream has answered nothing for `for_ms`."""
    since_ms = unanswered_since(state, upstream)
    return since_ms is not None and now_ms - since_ms >= for_ms


def needs_dial(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Return whether a new connection is needed to check for silence."""
    return is_unanswered(state, now_ms, upstream, DIAL_AFTER_MS)


def _hanging_writes(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> Loss | None:
    """Return a loss if writes hang while other commands are answered."""
    since_ms = writes_hanging_since(state, upstream.name)
    if since_ms is None or now_ms - since_ms < HANGING_MS:
        return None
    return Loss(upstream.name, 'its writes are not confirmed', since_ms, True)


def writes_hanging_since(state: states.GroupState, name: str) -> int | None:
    """Return the time since which an upstream has had no write confirmed.

    None if no write waits for a confirmation. If later writes were confirmed
    meanwhile, only the reply was lost.
    """
    waiting_ms = [
        connection.sent_ms
        for connection in states.connections_to(state, name)
        if waits_for_replica(connection)
    ]
    upstream = state.upstreams.get(name)
    if upstream is None or not waiting_ms:
        return None
    since_ms = min(waiting_ms)
    return None if upstream.confirmed_ms > since_ms else since_ms


def _stalled_replication(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> Loss | None:
    """Return a loss if no replica appears to follow the primary.

    The log positions compared are those that replicas have applied, so
    replicas that apply late cause the same symptom. A promotion therefore
    first queries what they have received.
    """
    if now_ms - state.replication_checked_ms < STALL_RECHECK_MS:
        return None
    if unanswered_since(state, upstream) is not None:
        # It must first be determined whether the primary answers at all.
        return None
    before = freshness.position_at(state, now_ms - REPLICATION_STALLED_MS)
    if before is None:
        return None
    replicas = states.other_members(state)
    if not replicas or any(
        other.place >= before
        or now_ms - other.place_ms > REPLICATION_STALLED_MS
        for other in replicas
    ):
        return None
    why = 'no replica follows it'
    return Loss(upstream.name, why, now_ms - REPLICATION_STALLED_MS, True)


def waits_for_replica(connection: states.Connection) -> bool:
    """Return whether a write or a COMMIT is in flight on a connection."""
    if connection.purpose is not states.Purpose.STATEMENT:
        return False
    last = connection.commands[-1]
    if isinstance(last, statements.Commit):
        return True
    return connection.is_writing and not connection.transaction
