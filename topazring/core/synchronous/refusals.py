"""Requeue requests that an upstream refused without running them."""

from topazring.core import outcomes
from topazring.core import retries
from topazring.core.synchronous import completion
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import primary
from topazring.core.synchronous import session_setup
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'FAILURES',
    'LAGGING_PAUSE_MS',
    'requeue_not_run',
    'requeue_unsent',
]

Reason = outcomes.Reason
Code = statements.Code

# An upstream whose queue was full has capacity again after about one
# statement.
BUSY_PAUSE_MS = 15
# Time allowed for finding the next primary before a request that was refused
# as read-only is sent again.
READ_ONLY_PAUSE_MS = 5
# A caller that is refused as its session could not be set up reaches another
# upstream, or the same one later.
SETUP_REFUSED_RETRY_MS = 100
# A replica that lacked a log position gets no reads of it for this long; the
# usual lag is 60 ms. The pause doubles each time: a replica whose lag was a
# hundred times the usual refused a tenth of all commands sent.
LAGGING_PAUSE_MS = 80
MAX_LAGGING_PAUSE_MS = 1280
# Whether what was refused has had an effect is unknown.
FAILURES = (Code.FAILED, Code.TIMEOUT, Code.OTHER)


def requeue_not_run(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
    reply: statements.Reply,
    commands: tuple[statements.Command, ...],
) -> list:
    """Requeue a request that certainly did not run.

    `commands` are the commands that were sent; the connection no longer
    holds them.
    """
    upstream = state.upstreams.get(connection.upstream)
    if reply.code is Code.LAGGING:
        if upstream is not None:
            _record_lagging(now_ms, upstream, commands)
        work.passed_over.add(connection.upstream)
        return completion.requeue(state, now_ms, work, Reason.REPLICA_BEHIND)
    if reply.code is Code.READ_ONLY:
        outs = []
        if upstream is not None:
            outs = primary.note_not_leading(state, now_ms, upstream)
        return outs + completion.requeue(
            state, now_ms, work, Reason.REPLACED, READ_ONLY_PAUSE_MS
        )
    if reply.code is Code.NO_STATEMENT:
        # The recorded set of prepared names does not match the connection.
        session_setup.forget(connection)
        return completion.requeue(state, now_ms, work, Reason.NO_STATEMENT)
    if reply.code is Code.BUSY:
        if upstream is not None:
            upstream.busy_until_ms = now_ms + BUSY_PAUSE_MS
            concurrency_limit.reduce_limit(state, upstream)
        return completion.requeue(state, now_ms, work, Reason.SLOTS_BUSY)
    return completion.requeue(
        state, now_ms, work, Reason.UPSTREAM_FAILED, BUSY_PAUSE_MS
    )


def requeue_unsent(
    state: states.GroupState,
    now_ms: int,
    work: states.Work,
    connection: states.Connection,
    reply: statements.Reply,
    commands: tuple[statements.Command, ...],
) -> list:
    """Requeue a request for whose session no connection could be set up.

    Another upstream is tried if there is one, within the retry budget.
    """
    if reply.code in FAILURES:
        state.counters['setup_refused'] += 1
        work.passed_over.add(connection.upstream)
        if not work.running and not retries.spend(state.budget):
            return completion.give_up(
                state,
                now_ms,
                work,
                Reason.UPSTREAM_FAILED,
                SETUP_REFUSED_RETRY_MS,
            )
    return requeue_not_run(state, now_ms, work, connection, reply, commands)


def _record_lagging(
    now_ms: int,
    upstream: states.Upstream,
    commands: tuple[statements.Command, ...],
) -> None:
    """Record the log position that a replica lacked, and extend its pause."""
    for command in commands:
        after = getattr(command, 'after', None)
        if after is not None:
            upstream.missing_place = after
            upstream.lagging_ms = now_ms
    upstream.lagging_pause_ms = min(
        max(LAGGING_PAUSE_MS, upstream.lagging_pause_ms * 2),
        MAX_LAGGING_PAUSE_MS,
    )
