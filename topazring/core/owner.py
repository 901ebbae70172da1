"""Step function of an owner: handles messages on one database."""

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

# Period of heartbeats while the primary is suspected or a probe of it failed.
SUSPECTED_HEARTBEAT_MS = 50

Handler = collections.abc.Callable[[states.OwnerState, int, object], list]
_handlers: dict[type, Handler] = {}


def handles(kind: type) -> collections.abc.Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of a message type."""

    def register(handler: Handler) -> Handler:
        _handlers[kind] = handler
        return handler

    return register


@groups.register_step(MAJORITY)
def step(state: states.OwnerState, now_ms: int, message: object) -> list:
    """Handle one message; return the messages to send."""
    outs = _handlers[type(message)](state, now_ms, message)
    outs += dispatch.dispatch(state, now_ms)
    outs += _start_round(state, now_ms)
    return outs


def _start_round(state: states.OwnerState, now_ms: int) -> list:
    replicas = [
        name for name in state.view.upstreams if name != state.view.primary
    ]
    requests = rounds.start_round(state.round_state, now_ms, replicas)
    for request in requests:
        state.status_requested_ms[request.upstream] = now_ms
    return requests


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
    """Request the status of the primary and of replicas outside of rounds."""
    outs = []
    suspected = state.suspected_since_ms is not None
    is_alarmed = suspected or suspicion.has_failure(state.evidence)
    for name in state.view.upstreams:
        period_ms = state.limits.heartbeat_ms
        if is_alarmed:
            # The replicas' reports now determine how long writes are blocked,
            # and show whether another owner has promoted already.
            period_ms = min(period_ms, SUSPECTED_HEARTBEAT_MS)
        if name != state.view.primary:
            # Longer than the primary's period, so that the round started by
            # the primary's reply comes first.
            period_ms += period_ms // 2
        if now_ms - state.status_requested_ms.get(name, -10_000) < period_ms:
            continue
        state.status_requested_ms[name] = now_ms
        outs.append(
            messages.RequestStatus(name, 0, 0, log_positions.ORIGIN, 0)
        )
    return outs
