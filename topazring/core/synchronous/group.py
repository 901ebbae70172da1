"""Dispatch the messages of one group in one proxy to their handlers."""

import collections.abc

from topazring.core import groups
from topazring.core import outcomes
from topazring.core.synchronous import acknowledgement_fence
from topazring.core.synchronous import arrival
from topazring.core.synchronous import completion
from topazring.core.synchronous import connections
from topazring.core.synchronous import dispatch
from topazring.core.synchronous import expiry
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import freshness
from topazring.core.synchronous import isolation
from topazring.core.synchronous import member_queries
from topazring.core.synchronous import member_record
from topazring.core.synchronous import member_replies
from topazring.core.synchronous import membership
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import outstanding_resumes
from topazring.core.synchronous import primary
from topazring.core.synchronous import primary_availability
from topazring.core.synchronous import promotion
from topazring.core.synchronous import promotion_commands
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import promotion_order
from topazring.core.synchronous import proof_report
from topazring.core.synchronous import proofs
from topazring.core.synchronous import queue_report
from topazring.core.synchronous import results
from topazring.core.synchronous.scheduling import upstream_room
from topazring.core.synchronous import state as states

__all__ = [
    'LEASE_RECHECK_PAUSE_MS',
    'SYNCHRONOUS',
    'TICK_MS',
    'step',
    'tick_interval_ms',
]

SYNCHRONOUS = 'synchronous'

# Interval of leadership checks of all members while no confirmed write shows
# the lag of the replicas. With a much longer one, reads with short staleness
# bounds go to the primary; a much shorter one costs processor time without a
# benefit.
SAMPLE_INTERVAL_MS = 300
# Interval for the holder of the promotion lease: the primary is considered
# lost after three misses.
LEASE_HOLDER_INTERVAL_MS = 100
# Interval at which the lease holder also queries the log positions of the
# replicas: twice before they count as silent.
REPLICA_CHECK_INTERVAL_MS = 250
# Interval of checks of every upstream while no primary is known.
SEARCH_INTERVAL_MS = 50
# A third of the shortest lease: after a longer pause of its process, the
# holder checks whether it still holds the lease.
LEASE_RECHECK_PAUSE_MS = 1000
# A timer that fires this late means that the process was paused.
PROCESS_PAUSE_MS = 200
# Tick intervals: deadlines are met to within one while any request is in
# progress, and losses are noticed within one while connections are open.
BUSY_TICK_MS = 20
TICK_MS = 50
# A group that this proxy does not own needs no supervision. With 195 proxies
# and ten groups, each group is owned by one proxy in two dozen. A tick takes
# about 60 us: 20 per second and group used 1.2% of a core, most of the load of
# an idle proxy, and five use 0.3%.
RESTING_TICK_MS = 200


def tick_interval_ms(state: states.GroupState) -> int:
    """Return the time until the next tick of a group, in milliseconds."""
    if state.work:
        return BUSY_TICK_MS
    if state.connections or state.holds_promotion_lease:
        return TICK_MS
    return RESTING_TICK_MS


Handler = collections.abc.Callable[[states.GroupState, int, object], list]
_handlers: dict[type, Handler] = {}


def _handles(kind: type) -> collections.abc.Callable[[Handler], Handler]:
    """Register the handler of one message type."""

    def register(handler: Handler) -> Handler:
        _handlers[kind] = handler
        return handler

    return register


@groups.register_step(SYNCHRONOUS)
def step(state: states.GroupState, now_ms: int, message: object) -> list:
    """Handle one message and return the resulting messages."""
    if not state.created_ms:
        state.created_ms = now_ms
    state.stepped_ms = now_ms
    outs = _handle_late_message(state, now_ms, message)
    return outs + _handlers[type(message)](state, now_ms, message)


_handles(messages.Submit)(arrival.submit)
_handles(messages.Withdraw)(arrival.withdraw)
_handles(messages.PromotionLeaseSeen)(promotion_lease.handle_lease_change)
_handles(messages.RegistrationSeen)(acknowledgement_fence.record_registration)
_handles(messages.MembersRecorded)(member_record.note_record)
_handles(messages.FenceAcknowledgements)(acknowledgement_fence.fence)
_handles(messages.CheckFence)(acknowledgement_fence.check_fence)
_handles(messages.AcknowledgementsReported)(promotion.handle_acknowledgements)


@_handles(messages.InstancesSeen)
def _instances_seen(
    state: states.GroupState, now_ms: int, message: messages.InstancesSeen
) -> list:
    outs: list = upstream_room.note_owners(state, message)
    return outs + connections.update_share(state, now_ms, message)


@_handles(messages.FenceReleased)
def _fence_released(
    state: states.GroupState, now_ms: int, message: messages.FenceReleased
) -> list:
    outs = acknowledgement_fence.release(state, now_ms, message)
    return outs + completion.answer_proven(state, now_ms)


@_handles(messages.HandOverReported)
def _hand_over_reported(
    state: states.GroupState, now_ms: int, message: messages.HandOverReported
) -> list:
    outs = acknowledgement_fence.note_hand_over(state, now_ms, message)
    return outs + completion.answer_proven(state, now_ms)


@_handles(messages.UpstreamsSeen)
def _upstreams_seen(
    state: states.GroupState, now_ms: int, message: messages.UpstreamsSeen
) -> list:
    outs = membership.handle_upstream_list(state, now_ms, message)
    outs += member_record.record_members(state)
    outs += primary.adopt_listed_primary(state, now_ms)
    outs += connections.open_missing(state, now_ms)
    outs += _continue_promotion(state, now_ms)
    return outs + dispatch.start_waiting(state, now_ms)


@_handles(messages.UpstreamsClosed)
def _upstreams_closed(
    state: states.GroupState, now_ms: int, message: messages.UpstreamsClosed
) -> list:
    membership.handle_closures(state, message)
    return dispatch.start_waiting(state, now_ms)


def _continue_promotion(state: states.GroupState, now_ms: int) -> list:
    """Let a running promotion query a new or newly reached member at once.

    A new replica that is not paused confirms writes of the old primary. Until
    it is paused, each tick is time in which such a write may be lost.
    """
    if state.promotion is None:
        return []
    return promotion.tick(state, now_ms)


@_handles(messages.LeaseVerified)
def _lease_verified(
    state: states.GroupState, now_ms: int, message: messages.LeaseVerified
) -> list:
    outs = promotion_lease.handle_lease_verified(state, now_ms, message)
    return outs + _continue_promotion(state, now_ms)


@_handles(messages.PromotionOrdered)
def _ordered(
    state: states.GroupState, now_ms: int, message: messages.PromotionOrdered
) -> list:
    return promotion_order.handle_order_result(state, now_ms, message)


@_handles(messages.ResumesRecorded)
def _resumes_recorded(
    state: states.GroupState, now_ms: int, message: messages.ResumesRecorded
) -> list:
    outstanding_resumes.handle_recorded(state, message)
    if not state.holds_promotion_lease or state.promotion is not None:
        return []
    return promotion_commands.resume_paused(state, now_ms)


@_handles(messages.UpstreamListRead)
def _list_read(
    state: states.GroupState, now_ms: int, message: messages.UpstreamListRead
) -> list:
    return promotion.handle_list_read(state, now_ms, message)


@_handles(messages.Opened)
def _opened(
    state: states.GroupState, now_ms: int, message: messages.Opened
) -> list:
    connection = state.connections.get(message.connection)
    if connection is None:
        return [messages.Close(message.connection)]
    outs = connections.handle_opened(state, now_ms, connection)
    upstream = states.upstream_of(state, connection)
    if upstream is None:
        return outs
    primary.note_log_position(state, now_ms, upstream, message.place)
    outs += primary.resolve_claims(state, now_ms)
    outs += _continue_promotion(state, now_ms)
    outs += connections.open_missing(state, now_ms)
    return outs + dispatch.start_waiting(state, now_ms)


@_handles(messages.Replied)
def _replied(
    state: states.GroupState, now_ms: int, message: messages.Replied
) -> list:
    connection = state.connections.get(message.connection)
    if connection is None:
        return []
    if connection.purpose is states.Purpose.CONTROL:
        outs = _control_replied(state, now_ms, connection, message)
    else:
        outs = results.handle_replies(state, now_ms, connection, message)
        outs += promotion_lease.fence_earlier_orders(state, now_ms)
    outs += completion.answer_proven(state, now_ms)
    outs += primary.resolve_claims(state, now_ms)
    return outs + dispatch.start_waiting(state, now_ms)


def _control_replied(
    state: states.GroupState,
    now_ms: int,
    connection: states.Connection,
    message: messages.Replied,
) -> list:
    outs = results.record_log_positions(
        state, now_ms, connection, message.replies
    )
    reply = message.replies[-1]
    outs += member_replies.handle_control_reply(
        state, now_ms, connection, reply
    )
    if states.upstream_of(state, connection) is None:
        return outs + connections.close_connection(state, connection)
    connections.mark_idle(connection, now_ms)
    return outs


@_handles(messages.Closed)
def _closed(
    state: states.GroupState, now_ms: int, message: messages.Closed
) -> list:
    connection = state.connections.get(message.connection)
    if connection is None:
        return []
    outs = results.handle_closed(state, now_ms, connection, message)
    outs += connections.open_missing(state, now_ms)
    return outs + dispatch.start_waiting(state, now_ms)


@_handles(messages.Tick)
def _tick(
    state: states.GroupState, now_ms: int, message: messages.Tick
) -> list:
    outs: list = []
    if message.paused_ms >= PROCESS_PAUSE_MS:
        outs += _discard_stale_state(state, now_ms, message.paused_ms)
    outs += isolation.update(state, now_ms)
    outs += queue_report.report_long_waits(state, now_ms)
    outs += proof_report.report_unproven(state, now_ms)
    outs += expiry.expire(state, now_ms)
    outs += expiry.expire_connections(state, now_ms)
    outs += completion.answer_proven(state, now_ms)
    outs += membership.close_leaving_connections(state, now_ms)
    outs += acknowledgement_fence.query_fence(state, now_ms)
    outs += member_record.record_members(state)
    outs += promotion.tick(state, now_ms)
    outs += outstanding_orders.expire(state, now_ms)
    outs += outstanding_resumes.expire(state, now_ms)
    outs += _send_leadership_checks(state, now_ms)
    outs += primary.resolve_claims(state, now_ms)
    outs += connections.apply_larger_share(state, now_ms)
    outs += connections.close_excess(state, now_ms)
    outs += connections.open_missing(state, now_ms)
    return outs + dispatch.start_waiting(state, now_ms)


def _handle_late_message(
    state: states.GroupState, now_ms: int, message: object
) -> list:
    """Reset stale state before the first message after a process pause.

    Replies received during a pause are read before the timer fires. They are
    old: an upstream whose leadership was proved before the pause may have
    been replaced during it. Without the reset, promotion orders could bring a
    replaced primary back.
    """
    if isinstance(message, messages.Tick):
        state.last_tick_ms = now_ms
        return []
    silent_ms = now_ms - state.last_tick_ms
    usual_ms = max(TICK_MS, tick_interval_ms(state))
    if not state.last_tick_ms or silent_ms < PROCESS_PAUSE_MS + usual_ms:
        return []
    state.last_tick_ms = now_ms
    return _discard_stale_state(state, now_ms, silent_ms)


def _discard_stale_state(
    state: states.GroupState, now_ms: int, paused_ms: int
) -> list:
    """Discard state from before a pause of this process.

    After a long pause this includes the promotion lease: if it expired,
    another proxy may have promoted an upstream meanwhile, and demoting that
    one would leave the group without a primary.
    """
    state.resumed_ms = now_ms
    outs: list = []
    if paused_ms >= LEASE_RECHECK_PAUSE_MS:
        outs = promotion_lease.handle_lease_change(
            state, now_ms, messages.PromotionLeaseSeen(False)
        )
    freshness.discard_samples(state)
    for upstream in state.upstreams.values():
        upstream.unresponsive_since_ms = None
        upstream.failed_dials = 0
    decision = messages.LogDecision('woke', inputs={'paused_ms': paused_ms})
    return [decision, *outs]


def _send_leadership_checks(state: states.GroupState, now_ms: int) -> list:
    """Send periodic leadership checks to the primary or to all members."""
    lost = primary_availability.lost_since(state, now_ms) is not None
    searching = lost or not state.primary or state.promotion is not None
    searching = searching or isolation.is_probing(state, now_ms)
    searching = searching or proofs.is_leadership_unproven(state, now_ms)
    if searching:
        period_ms = SEARCH_INTERVAL_MS
    elif state.holds_promotion_lease:
        period_ms = LEASE_HOLDER_INTERVAL_MS
    else:
        period_ms = SAMPLE_INTERVAL_MS
    if now_ms - state.leadership_checked_ms < period_ms:
        return []
    newest_ms = freshness.newest_sample_ms(state)
    if (
        not searching
        and not state.holds_promotion_lease
        and newest_ms is not None
    ):
        if now_ms - newest_ms < period_ms:
            return []
    state.leadership_checked_ms = now_ms
    names = list(state.upstreams)
    if not searching and not _must_check_replicas(state, now_ms):
        names = [state.primary]
    else:
        # Request a proof as reads do, so that a witness is queried in place
        # of a silent member.
        proofs.request_proof(state, now_ms)
    outs: list = []
    for name in names:
        outs += _check_member(state, now_ms, name)
    return outs


def _must_check_replicas(state: states.GroupState, now_ms: int) -> bool:
    """Return whether replicas are to be sent leadership checks as well.

    A log position becomes a sample only once it is proved that no other
    member led at its time. The holder of the promotion lease also has to see
    whether the replicas follow: they refuse the check and report their
    position with the refusal, which takes no slot.
    """
    if not state.holds_promotion_lease:
        return True
    if now_ms - state.replicas_checked_ms < REPLICA_CHECK_INTERVAL_MS:
        return False
    state.replicas_checked_ms = now_ms
    return True


def _check_member(state: states.GroupState, now_ms: int, name: str) -> list:
    upstream = state.upstreams.get(name)
    if upstream is None:
        return []
    outs: list = []
    if state.holds_promotion_lease and failure_detection.needs_dial(
        state, now_ms, upstream
    ):
        outs += connections.dial_beyond_share(state, now_ms, name)
    return outs + member_queries.check_member(state, now_ms, upstream)


@_handles(messages.Shutdown)
def _shut_down(
    state: states.GroupState, now_ms: int, message: messages.Shutdown
) -> list:
    outs: list = []
    for work in list(state.work.values()):
        outs += completion.give_up(
            state,
            now_ms,
            work,
            outcomes.Reason.DRAINING,
            0,
            maybe_ran=completion.may_have_run(state, work),
        )
    for connection in list(state.connections.values()):
        outs += connections.close_connection(state, connection)
    state.transactions.clear()
    return outs
