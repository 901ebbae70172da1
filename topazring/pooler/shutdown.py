"""Leave: let callers go, finish what is under way, answer what is left."""

import asyncio
import dataclasses
import typing

from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import caller_task
from topazring.pooler import group_task
from topazring.pooler import hop_server
from topazring.pooler import promotion_lease as duties
from topazring.pooler import router
from topazring.pooler import settings

__all__ = ['ShutdownHost', 'flush_answers', 'drain', 'limit_timeout']

# The balancer asks once a second and turns away after two misses; a third
# covers that its questions and the signal are not in step.
ROTATION_S = 2.4
# Of the grace this part is for open transactions.
TRANSACTIONS_SHARE = 0.5
# In the last part of the grace nothing new is begun: what is under way has
# this long, less the margin, to be answered. Statements take some 20 ms, and
# one that waits for a lost answer 1.5 s at most.
REFUSE_NEW_S = 1.4
# Giving back the lease takes a quarter of a second at most.
EXIT_MARGIN_S = 0.4
POLL_INTERVAL_S = 0.05
# Answers that are ready are written within a few turns of the loop.
FLUSH_TIMEOUT_S = 0.1
FLUSH_POLL_INTERVAL_S = 0.005


class ShutdownHost(typing.Protocol):
    """Say what has to come to its end in a process that leaves."""

    config: settings.PoolerSettings
    log: events.EventLog
    shutdown_phase: caller_task.ShutdownPhase
    exit_deadline_ms: int | None
    callers: set[caller_task.CallerTask]
    groups: dict[str, group_task.GroupTask]
    router: router.Router
    hop_server: hop_server.Server
    promotion_lease: duties.PromotionLease


def limit_timeout(
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


async def drain(leaver: ShutdownHost) -> None:
    """Finish what is open within the grace.

    First the balancer turns new callers away, then sessions end where they
    are between operations, then open transactions end, then new operations
    are refused, and what is under way is answered.
    """
    grace_s = leaver.config.grace_s
    began_ms = clock.boottime_ms()
    leaver.exit_deadline_ms = began_ms + int((grace_s - EXIT_MARGIN_S) * 1000)
    leaver.log.emit(
        'process', 'stop begins', inputs={'sessions': len(leaver.callers)}
    )
    giving_back = asyncio.create_task(leaver.promotion_lease.close())
    await _until(leaver, began_ms, min(ROTATION_S, grace_s * 0.4))
    leaver.shutdown_phase = caller_task.ShutdownPhase.CLOSE_IDLE
    await _until(leaver, began_ms, grace_s * TRANSACTIONS_SHARE)
    leaver.shutdown_phase = caller_task.ShutdownPhase.CLOSE_TRANSACTIONS
    await _until(leaver, began_ms, grace_s - REFUSE_NEW_S)
    leaver.shutdown_phase = caller_task.ShutdownPhase.REFUSE_NEW
    await _until(leaver, began_ms, grace_s - EXIT_MARGIN_S)
    giving_back.cancel()


async def _until(leaver: ShutdownHost, began_ms: int, after_s: float) -> None:
    """Let quiet sessions go until a moment, or until none is left."""
    while clock.boottime_ms() - began_ms < after_s * 1000:
        if leaver.shutdown_phase is not caller_task.ShutdownPhase.RUNNING:
            for caller in list(leaver.callers):
                caller.close_if_idle()
            if not leaver.callers and not leaver.hop_server.is_busy():
                return
        await asyncio.sleep(POLL_INTERVAL_S)


async def flush_answers(leaver: ShutdownHost) -> None:
    """Give up all that is under way, and let it be told."""
    leaver.router.close()
    for group in leaver.groups.values():
        group.close()
    until_ms = clock.boottime_ms() + int(FLUSH_TIMEOUT_S * 1000)
    while clock.boottime_ms() < until_ms:
        answering = any(caller.busy for caller in leaver.callers)
        if not answering and not leaver.hop_server.is_busy():
            return
        await asyncio.sleep(FLUSH_POLL_INTERVAL_S)
