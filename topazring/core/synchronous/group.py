"""Drive one group at one proxy: messages in, messages out."""

import collections.abc

from topazring.core import groups
from topazring.core import outcomes
from topazring.core.synchronous import arrival
from topazring.core.synchronous import completion
from topazring.core.synchronous import connections
from topazring.core.synchronous import dispatch
from topazring.core.synchronous import expiry
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import freshness
from topazring.core.synchronous import isolation
from topazring.core.synchronous import member_queries
from topazring.core.synchronous import member_replies
from topazring.core.synchronous import membership
from topazring.core.synchronous import messages
from topazring.core.synchronous import primary
from topazring.core.synchronous import primary_availability
from topazring.core.synchronous import promotion
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import promotion_order
from topazring.core.synchronous import proofs
from topazring.core.synchronous import queue_report
from topazring.core.synchronous import results
from topazring.core.synchronous import state as states

__all__ = [
    'LEASE_RECHECK_PAUSE_MS',
    'SYNCHRONOUS',
    'TICK_MS',
    'step',
    'tick_interval_ms',
]

SYNCHRONOUS = 'synchronous'

# Without confirmed writes guards at all members keep the age of replicas
# known. Much longer, and short staleness bounds send reads to the primary;
# much shorter costs processor time for nothing.
SAMPLE_MS = 300
# The holder of the duty asks more often: a loss shows after three misses.
HEARTBEAT_MS = 100
# And it asks the replicas where they are, twice before their silence tells.
FOLLOW_MS = 250
# While no primary is known every upstream is asked.
SEARCH_MS = 50
# A third of the shortest lease: after a longer pause its holder asks whether
# it still holds it.
LEASE_RECHECK_PAUSE_MS = 1000
# A timer that fires so late means that this process did not run.
PAUSE_MS = 200
# Ticks are due so often: deadlines are met to within one while any request
# is in hand, and what is lost is noticed within one while connections are
# held.
BUSY_TICK_MS = 20
TICK_MS = 50
# A group that this proxy does not own has nothing to look after. Of 195
# proxies before ten groups each owns one in two dozen. A tick takes some 60
# us: 20 a second and group were 1.2% of a core, most of what an idle proxy
# spends, and five are 0.3%.
RESTING_TICK_MS = 200


def tick_interval_ms(state: states.GroupState) -> int:
    """Return how soon a group's next tick is due."""
    if state.work:
        return BUSY_TICK_MS
    if state.connections or state.holds_promotion_lease:
        return TICK_MS
    return RESTING_TICK_MS


Handler = collections.abc.Callable[[states.GroupState, int, object], list]
_handlers: dict[type, Handler] = {}


def _handles(kind: type) -> collections.abc.Callable[[Handler], Handler]:
    """Register the handler of one kind of message."""

    def register(handler: Handler) -> Handler:
        _handlers[kind] = handler
        return handler

    return register


@groups.register_step(SYNCHRONOUS)
def step(state: states.GroupState, now_ms: int, message: object) -> list:
    """Take in one message; return what is to be done about it."""
    outs = _notice_pause(state, now_ms, message)
    return outs + _handlers[type(message)](state, now_ms, message)


_handles(messages.Submit)(arrival.submit)
_handles(messages.Withdraw)(arrival.withdraw)
_handles(messages.InstancesSeen)(connections.update_share)
_handles(messages.PromotionLeaseSeen)(promotion_lease.handle_lease_change)


@_handles(messages.UpstreamsSeen)
def _upstreams_seen(
    state: states.GroupState, now_ms: int, message: messages.UpstreamsSeen
) -> list:
    outs = membership.handle_upstream_list(state, now_ms, message)
    outs += primary.adopt_listed_primary(state, now_ms)
    outs += connections.open_missing(state, now_ms)
    outs += _go_on_promoting(state, now_ms)
    return outs + dispatch.start_waiting(state, now_ms)


def _go_on_promoting(state: states.GroupState, now_ms: int) -> list:
    """Ask a member at once that has just come, or been reached.

    A new replica that is not paused confirms writes of the old primary. Each
    tick that its pause waits is time in which one may be lost.
    """
    if state.promotion is None:
        return []
    return promotion.tick(state, now_ms)


@_handles(messages.PromotionOrdered)
def _ordered(
    state: states.GroupState, now_ms: int, message: messages.PromotionOrdered
) -> list:
    return promotion_order.handle_order_result(state, now_ms, message)


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
    upstream = state.upstreams.get(connection.upstream)
    if upstream is None:
        return outs
    primary.note_log_position(state, now_ms, upstream, message.place)
    outs += primary.resolve_claims(state, now_ms)
    outs += _go_on_promoting(state, now_ms)
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
    if connection.upstream not in state.upstreams:
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
    if message.paused_ms >= PAUSE_MS:
        outs += _wake(state, now_ms, message.paused_ms)
    outs += isolation.update(state, now_ms)
    outs += queue_report.report_long_waits(state, now_ms)
    outs += expiry.expire(state, now_ms)
    outs += expiry.expire_connections(state, now_ms)
    outs += completion.answer_proven(state, now_ms)
    outs += membership.close_leaving_connections(state, now_ms)
    outs += promotion.tick(state, now_ms)
    outs += _guard(state, now_ms)
    outs += primary.resolve_claims(state, now_ms)
    outs += connections.apply_larger_share(state, now_ms)
    outs += connections.close_excess(state, now_ms)
    outs += connections.open_missing(state, now_ms)
    return outs + dispatch.start_waiting(state, now_ms)


def _notice_pause(
    state: states.GroupState, now_ms: int, message: object
) -> list:
    """Wake before the first message after a pause, whatever it is.

    Answers that came during a pause are read before the timer is due. They
    are old: an upstream that proved to lead before the pause may have been
    replaced in it. One would notice by orders that bring a replaced primary
    back.
    """
    if isinstance(message, messages.Tick):
        state.last_tick_ms = now_ms
        return []
    silent_ms = now_ms - state.last_tick_ms
    usual_ms = max(TICK_MS, tick_interval_ms(state))
    if not state.last_tick_ms or silent_ms < PAUSE_MS + usual_ms:
        return []
    state.last_tick_ms = now_ms
    return _wake(state, now_ms, silent_ms)


def _wake(state: states.GroupState, now_ms: int, paused_ms: int) -> list:
    """Trust nothing that was known before this process stood still.

    The duty least of all: another proxy has promoted meanwhile if its lease
    ran out, and demoting that one's choice would leave nobody to lead.
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
    woke = messages.LogDecision('woke', inputs={'paused_ms': paused_ms})
    return [woke, *outs]


def _guard(state: states.GroupState, now_ms: int) -> list:
    """Ask the primary whether it leads, or everyone while it is unknown."""
    lost = primary_availability.lost_since(state, now_ms) is not None
    searching = lost or not state.primary or state.promotion is not None
    searching = searching or isolation.is_probing(state, now_ms)
    searching = searching or proofs.is_leadership_unproven(state, now_ms)
    if searching:
        period_ms = SEARCH_MS
    elif state.holds_promotion_lease:
        period_ms = HEARTBEAT_MS
    else:
        period_ms = SAMPLE_MS
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
    if not searching and not _asks_all(state, now_ms):
        names = [state.primary]
    else:
        # Waited for as reads are: a member that is silent has a witness
        # asked instead.
        proofs.request_proof(state, now_ms)
    outs: list = []
    for name in names:
        outs += _guard_one(state, now_ms, name)
    return outs


def _asks_all(state: states.GroupState, now_ms: int) -> bool:
    """Say whether replicas are to be asked too whether they lead.

    A place is a sample only once nobody else led at its time. And the holder
    has to see whether they follow: they refuse the guard and say their place
    with the refusal, and that takes no slot.
    """
    if not state.holds_promotion_lease:
        return True
    if now_ms - state.replicas_checked_ms < FOLLOW_MS:
        return False
    state.replicas_checked_ms = now_ms
    return True


def _guard_one(state: states.GroupState, now_ms: int, name: str) -> list:
    upstream = state.upstreams.get(name)
    if upstream is None:
        return []
    outs: list = []
    if state.holds_promotion_lease and failure_detection.needs_dial(
        state, now_ms, upstream
    ):
        outs += connections.dial_beyond_share(state, now_ms, name)
    return outs + member_queries.send_leadership_check(state, now_ms, upstream)


@_handles(messages.Shutdown)
def _abandon(
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
            maybe_ran=completion.may_have_run(work),
        )
    for connection in list(state.connections.values()):
        outs += connections.close_connection(state, connection)
    state.transactions.clear()
    return outs
