"""Weigh the evidence that a primary is lost.

Silence on one connection condemns that connection. Full slots are not
silence either: a guard takes no slot, so an upstream that lives answers it
whatever its load. What condemns a primary is that neither its connections
nor a new dial are answered, or that it answers and cannot get a write
confirmed, which is how one looks that is cut off from its replicas.
"""

import dataclasses

from topazring.core.synchronous import freshness
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'Loss',
    'is_recreated',
    'writes_hanging_since',
    'is_unanswered',
    'detect_loss',
    'needs_dial',
    'detect_silence',
    'unanswered_since',
    'waits_for_replica',
]

# Guards go out every 100 ms while a loss would be noticed here, and are
# answered within a few. Three missed in a row are no accident.
SILENT_MS = 300
# A silent connection is checked by a new dial after that long; a dial takes
# 12 to 27 ms.
DIAL_AFTER_MS = 120
# A dial that is unanswered for so long counts as silence.
DIAL_SILENT_MS = 150
# A write takes some ten ms, and some hundred behind a full queue of the
# upstream. One that hangs longer is not confirmed by any replica.
HANGING_MS = 600
# Replicas receive within milliseconds. One that lacks what the primary held so
# long ago does not follow, or applies late.
REPLICATION_STALLED_MS = 500
# While they apply late they are asked no more often what they received.
STALL_RECHECK_MS = 1000
# A promotion that is under way shows within its own time, which is at most a
# second; a group without a primary for longer needs another.
NO_PRIMARY_MS = 1500
# After a pause of this process, silence counts again once answers that were
# under way had time to be read.
RESUME_GRACE_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Report why a primary counts as lost."""

    upstream: str
    why: str
    since_ms: int
    # It answers, but its replicas do not confirm its writes.
    unconfirmed: bool = False
    # It answers, and was replaced all the same.
    replaced: bool = False


def is_recreated(state: states.GroupState, name: str) -> bool:
    """Say whether another bears the name of the last primary now."""
    upstream = state.upstreams.get(name)
    if upstream is None or name != state.last_primary:
        return False
    return upstream.born_ms != state.last_primary_born_ms


def detect_loss(state: states.GroupState, now_ms: int) -> Loss | None:
    """Return the loss of the primary, None while it may be alive."""
    if now_ms - state.resumed_ms < RESUME_GRACE_MS and state.resumed_ms:
        return None
    last = state.last_primary
    if state.primary in ('', last) and is_recreated(state, last):
        return Loss(last, 'it began again', now_ms)
    if not state.primary and not state.successor_gone:
        return _absent(state, now_ms)
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
    hanging = _hanging(state, now_ms, upstream)
    if hanging is not None:
        return hanging
    return _standing(state, now_ms, upstream)


def _absent(state: states.GroupState, now_ms: int) -> Loss | None:
    """Return a loss if nobody leads: a promotion was broken off."""
    since_ms = state.primary_lost_ms
    if since_ms is None or now_ms - since_ms < NO_PRIMARY_MS:
        return None
    return Loss('', 'nobody leads', since_ms)


def detect_silence(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> Loss | None:
    """Return a loss if nothing gets an answer, a new dial neither."""
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
    """Return since when everything sent to an upstream is unanswered."""
    asked = [
        connection.sent_ms
        for connection in states.connections_to(state, upstream.name)
        if connection.phase is not states.Phase.IDLE
        and connection.sent_ms > upstream.last_received_ms
    ]
    if upstream.unresponsive_since_ms is not None:
        asked.append(upstream.unresponsive_since_ms)
    return min(asked, default=None)


def is_unanswered(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    for_ms: int,
) -> bool:
    """Say whether an upstream has answered nothing for so long."""
    since_ms = unanswered_since(state, upstream)
    return since_ms is not None and now_ms - since_ms >= for_ms


def needs_dial(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Say whether silence is to be checked by a new connection."""
    return is_unanswered(state, now_ms, upstream, DIAL_AFTER_MS)


def _hanging(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> Loss | None:
    """Return a loss if writes hang while everything else is answered."""
    since_ms = writes_hanging_since(state, upstream.name)
    if since_ms is None or now_ms - since_ms < HANGING_MS:
        return None
    return Loss(upstream.name, 'its writes are not confirmed', since_ms, True)


def writes_hanging_since(state: states.GroupState, name: str) -> int | None:
    """Return since when no write of an upstream has been confirmed.

    None if none waits. If others were confirmed meanwhile, the answer alone
    is lost.
    """
    waiting = [
        connection.sent_ms
        for connection in states.connections_to(state, name)
        if waits_for_replica(connection)
    ]
    upstream = state.upstreams.get(name)
    if upstream is None or not waiting:
        return None
    since_ms = min(waiting)
    return None if upstream.confirmed_ms > since_ms else since_ms


def _standing(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> Loss | None:
    """Return a loss if no replica is known to have followed the primary.

    Places are those that replicas have applied, so that also looks like
    this when they apply late. Whoever takes it up looks first.
    """
    if now_ms - state.replication_checked_ms < STALL_RECHECK_MS:
        return None
    if unanswered_since(state, upstream) is not None:
        # Whether it answers at all is to be seen first.
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
    """Say whether a write or a COMMIT is under way on a connection."""
    if connection.purpose is not states.Purpose.STATEMENT:
        return False
    last = connection.commands[-1]
    if isinstance(last, statements.Commit):
        return True
    return connection.is_writing and not connection.transaction
