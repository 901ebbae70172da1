"""Begin a group anew whose state broke an invariant.

One request's bad state must not end a process that serves other groups and
holds their callers' sessions. The group's connections are closed, which rolls
back what was open on them, its requests are answered, and it learns its
upstreams again as a process that has just started does.
"""

from topazring.core import outcomes
from topazring.core.synchronous import completion
from topazring.core.synchronous import state as states

__all__ = ['outcome_after_restart', 'recreate_state']

# Connections are dialled within some ten ms and the primary proved after two
# ticks; what comes back sooner finds nothing to serve it.
RETRY_MS = 200


def outcome_after_restart(
    state: states.GroupState, key: int
) -> outcomes.Outcome:
    """Say what is kept of a request once all connections are closed.

    Whether one ran that the broken state holds no more is not known: its
    answer may have been on its way out.
    """
    reason = outcomes.Reason.GROUP_RESTARTED
    work = state.work.get(key)
    if work is None:
        return outcomes.Unknown(reason)
    was_sent = work.first_sent_ms is not None
    return completion.unserved_outcome(work, reason, RETRY_MS, was_sent)


def recreate_state(state: states.GroupState) -> states.GroupState:
    """Return the state to begin anew with.

    Numbers of connections go on, so that what an old one still tells is
    nobody's. Tokens go on: an order may be on its way, and whatever is
    ordered from now on has to outdo it. What is known to be acknowledged, and
    who departed with it, keeps a promotion from losing a write.
    """
    renewed = states.make_group(state.service, state.data_centre, state.limits)
    renewed.next_connection = state.next_connection
    renewed.connection_share = state.connection_share
    renewed.starting_share = state.starting_share
    renewed.began_ms = state.began_ms
    renewed.token = state.token
    renewed.acknowledged = state.acknowledged
    renewed.departed_members = state.departed_members
    renewed.counters = state.counters
    renewed.counters['group_restarted'] += 1
    return renewed
