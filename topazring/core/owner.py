"""Drive one database at one owner: messages in, messages out."""

import collections.abc

from topazring.core import arrival
from topazring.core import dispatch
from topazring.core import expiry
from topazring.core import failover
from topazring.core import groups
from topazring.core import log_positions
from topazring.core import messages
from topazring.core import observations
from topazring.core import results
from topazring.core import rounds
from topazring.core import state as states
from topazring.core import suspicion

__all__ = ['MAJORITY', 'handles', 'step']

MAJORITY = 'majority'

# The period of heartbeats while a loss is suspected.
ALARMED_MS = 50

Handler = collections.abc.Callable[[states.OwnerState, int, object], list]
_handlers: dict[type, Handler] = {}


def handles(kind: type) -> collections.abc.Callable[[Handler], Handler]:
    """Register the handler of one kind of message."""

    def register(handler: Handler) -> Handler:
        _handlers[kind] = handler
        return handler

    return register


@groups.register_step(MAJORITY)
def step(state: states.OwnerState, now_ms: int, message: object) -> list:
    """Take in one message; return what is to be done about it."""
    outs = _handlers[type(message)](state, now_ms, message)
    outs += dispatch.dispatch(state, now_ms)
    outs += _ask_replicas(state, now_ms)
    return outs


def _ask_replicas(state: states.OwnerState, now_ms: int) -> list:
    replicas = [
        name for name in state.view.upstreams if name != state.view.primary
    ]
    asks = rounds.start_round(state.round_state, now_ms, replicas)
    for ask in asks:
        state.status_requested_ms[ask.upstream] = now_ms
    return asks


handles(messages.Submit)(arrival.submit)
handles(messages.Withdraw)(expiry.withdraw)
handles(messages.Abandon)(expiry.abandon)
handles(messages.StatusReceived)(observations.handle_status)
handles(messages.LinkOpened)(observations.handle_link_opened)
handles(messages.ProbeFailed)(observations.handle_probe_failed)
handles(messages.PeerSuspicion)(observations.handle_peer_suspicion)
handles(messages.OwnersChanged)(observations.handle_owners)
handles(messages.GrantsReceived)(observations.handle_grants)
handles(messages.UpstreamsLeaving)(observations.handle_leaving)
handles(messages.FenceReply)(failover.handle_fence_reply)
handles(messages.LeadReply)(failover.handle_lead_reply)


@handles(messages.Executed)
def _executed(
    state: states.OwnerState, now_ms: int, message: messages.Executed
) -> list:
    outs = []
    result = message.result
    if isinstance(result, messages.Refused) and result.status is not None:
        if result.status.accepted_term > state.view.term:
            outs += observations.update_view(state, now_ms, result.status)
    return outs + results.handle_executed(state, now_ms, message)


@handles(messages.Tick)
def _tick(
    state: states.OwnerState, now_ms: int, message: messages.Tick
) -> list:
    suspicion.note_pause(state.evidence, now_ms, message.paused_ms)
    outs = expiry.expire(state, now_ms)
    outs += _heartbeat(state, now_ms)
    outs += failover.check_primary(state, now_ms)
    return outs


def _heartbeat(state: states.OwnerState, now_ms: int) -> list:
    """Ask the primary, and each replica that no round asks, how it is."""
    outs = []
    suspected = state.suspected_since_ms is not None
    alarmed = suspected or suspicion.has_failure(state.evidence)
    for name in state.view.upstreams:
        period_ms = state.limits.heartbeat_ms
        if alarmed:
            # What the replicas say now decides how long writes stand still,
            # and whether another owner has promoted already.
            period_ms = min(period_ms, ALARMED_MS)
        if name != state.view.primary:
            # The round that the primary's own reply starts comes first.
            period_ms += period_ms // 2
        if now_ms - state.status_requested_ms.get(name, -10_000) < period_ms:
            continue
        state.status_requested_ms[name] = now_ms
        outs.append(
            messages.RequestStatus(name, 0, 0, log_positions.ORIGIN, 0)
        )
    return outs
