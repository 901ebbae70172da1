"""Recreate a group whose state violated an invariant.

The bad state of one request must not end a process that serves other groups
and holds the sessions of their callers. The connections of the group are
closed, which rolls back their open transactions, its requests are answered,
and its upstreams are discovered again as after a start of the process.
"""

from topazring.core import outcomes
from topazring.core.synchronous import completion
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import state as states

__all__ = ['outcome_after_restart', 'recreate_state']

# Connections are dialled within about 10 ms and the leadership of the primary
# is proved after two ticks; an earlier retry finds no upstream to serve it.
RETRY_MS = 200


def outcome_after_restart(
    state: states.GroupState, key: int
) -> outcomes.Outcome:
    """Return the outcome of a request once all connections are closed.

    For a request that the broken state no longer holds it is unknown whether
    it ran: its answer may have been about to be sent.
    """
    reason = outcomes.Reason.GROUP_RESTARTED
    work = state.work.get(key)
    if work is None:
        return outcomes.Unknown(reason)
    was_sent = work.first_sent_ms is not None
    return completion.unserved_outcome(work, reason, RETRY_MS, was_sent)


def recreate_state(state: states.GroupState) -> states.GroupState:
    """Return the state to restart a group with.

    Connection numbers continue, so that late messages of an old connection
    match none of the new ones. Tokens continue: an earlier promotion order may
    still be in flight, and later ones need a higher token. The acknowledged
    log position and the departed members are kept so that a promotion does
    not lose a write.
    """
    renewed = states.make_group(state.service, state.data_centre, state.limits)
    renewed.next_connection = state.next_connection
    renewed.connection_share = state.connection_share
    renewed.starting_share = state.starting_share
    renewed.serves_organisations = state.serves_organisations
    renewed.began_ms = state.began_ms
    renewed.token = state.token
    renewed.granted_token = state.granted_token
    outstanding_orders.give_up_in_flight(state)
    renewed.outstanding_orders = state.outstanding_orders
    renewed.recorded_orders = state.recorded_orders
    renewed.outstanding_resumes = state.outstanding_resumes
    renewed.recorded_resumes = state.recorded_resumes
    renewed.wanted_resumes = state.wanted_resumes
    renewed.unknown_orders_until_ms = state.unknown_orders_until_ms
    renewed.term = state.term
    renewed.acknowledged = state.acknowledged
    renewed.departed_members = state.departed_members
    renewed.is_first_owner = state.is_first_owner
    renewed.member_record = state.member_record
    renewed.created_ms = state.created_ms
    renewed.acknowledged_until = state.acknowledged_until
    renewed.fence_term = state.fence_term
    renewed.fenced_ms = state.fenced_ms
    renewed.acknowledgements_asked_ms = state.acknowledgements_asked_ms
    renewed.is_fence_checked = state.is_fence_checked
    renewed.no_promotion_ms = state.no_promotion_ms
    renewed.no_promotion_term = state.no_promotion_term
    renewed.registered_ms = state.registered_ms
    renewed.registered_until_ms = state.registered_until_ms
    renewed.position_history = state.position_history
    renewed.ended_term = state.ended_term
    renewed.term_ended_ms = state.term_ended_ms
    renewed.successor_gone = state.successor_gone
    renewed.successor_led = state.successor_led
    renewed.counters = state.counters
    renewed.service_counts = state.service_counts
    renewed.counters['group_restarted'] += 1
    return renewed
