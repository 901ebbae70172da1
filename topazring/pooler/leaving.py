"""Leave: let callers go, finish what is under way, answer what is left."""

import asyncio
import dataclasses
import typing

from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import caller_task
from topazring.pooler import duty as duties
from topazring.pooler import group_task
from topazring.pooler import hop_server
from topazring.pooler import router
from topazring.pooler import settings

__all__ = ['Leaver', 'answer_what_is_left', 'drain', 'in_time']

# The balancer asks once a second and turns away after two misses; a third
# covers that its questions and the signal are not in step.
ROTATION_S = 2.4
# Of the grace this part is for open transactions.
TRANSACTIONS_SHARE = 0.5
# In the last part of the grace nothing new is begun: what is under way has
# this long, less the margin, to be answered. Statements take some 20 ms, and
# one that waits for a lost answer 1.5 s at most.
LAST_S = 1.4
# Giving back the lease takes a quarter of a second at most.
EXIT_MARGIN_S = 0.4
POLL_S = 0.05
# Answers that are ready are written within a few turns of the loop.
ANSWER_S = 0.1
ANSWER_TURN_S = 0.005


class Leaver(typing.Protocol):
    """Say what has to come to its end in a process that leaves."""

    config: settings.PoolerSettings
    log: events.EventLog
    stopping: caller_task.Stopping
    ends_ms: int | None
    callers: set[caller_task.CallerTask]
    groups: dict[str, group_task.GroupTask]
    router: router.Router
    hop_server: hop_server.Server
    duty: duties.Duty


def in_time(
    request: messages.Request, ends_ms: int | None
) -> messages.Request:
    """Give a request no more time than its process has.

    Otherwise its session ends without an answer: whoever serves it for this
    process goes on when that is gone, and the caller cannot know whether a
    write of it is kept.
    """
    if ends_ms is None:
        return request
    left_ms = max(0, ends_ms - request.arrived_ms)
    if request.policy.timeout_ms <= left_ms:
        return request
    policy = dataclasses.replace(request.policy, timeout_ms=left_ms)
    return dataclasses.replace(request, policy=policy)


async def drain(leaver: Leaver) -> None:
    """Finish what is open within the grace.

    First the balancer turns new callers away, then sessions end where they
    are between operations, then open transactions end, then new operations
    are refused, and what is under way is answered.
    """
    grace_s = leaver.config.grace_s
    began_ms = clock.suspended_ms()
    leaver.ends_ms = began_ms + int((grace_s - EXIT_MARGIN_S) * 1000)
    leaver.log.emit(
        'process', 'stop begins', inputs={'sessions': len(leaver.callers)}
    )
    giving_back = asyncio.create_task(leaver.duty.close())
    await _until(leaver, began_ms, min(ROTATION_S, grace_s * 0.4))
    leaver.stopping = caller_task.Stopping.QUIET
    await _until(leaver, began_ms, grace_s * TRANSACTIONS_SHARE)
    leaver.stopping = caller_task.Stopping.ALL
    await _until(leaver, began_ms, grace_s - LAST_S)
    leaver.stopping = caller_task.Stopping.LAST
    await _until(leaver, began_ms, grace_s - EXIT_MARGIN_S)
    giving_back.cancel()


async def _until(leaver: Leaver, began_ms: int, after_s: float) -> None:
    """Let quiet sessions go until a moment, or until none is left."""
    while clock.suspended_ms() - began_ms < after_s * 1000:
        if leaver.stopping is not caller_task.Stopping.NO:
            for caller in list(leaver.callers):
                caller.end_if_quiet()
            if not leaver.callers and not leaver.hop_server.is_busy():
                return
        await asyncio.sleep(POLL_S)


async def answer_what_is_left(leaver: Leaver) -> None:
    """Give up all that is under way, and let it be told."""
    leaver.router.close()
    for group in leaver.groups.values():
        group.close()
    until_ms = clock.suspended_ms() + int(ANSWER_S * 1000)
    while clock.suspended_ms() < until_ms:
        answering = any(caller.busy for caller in leaver.callers)
        if not answering and not leaver.hop_server.is_busy():
            return
        await asyncio.sleep(ANSWER_TURN_S)
