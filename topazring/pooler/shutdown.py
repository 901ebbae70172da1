"""Shut down: close sessions, finish requests in flight, answer the rest."""

import asyncio
import dataclasses
import typing

from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import caller_task
from topazring.pooler import group_task
from topazring.pooler import hop_server
from topazring.pooler import promotion_lease as promotion_leases
from topazring.pooler import router
from topazring.pooler import settings

__all__ = ['ShutdownHost', 'flush_answers', 'drain', 'limit_timeout']

# The load balancer probes once a second and removes a proxy after two failed
# probes; the third covers that probes and the signal are not synchronised.
ROTATION_S = 2.4
# Share of the grace period in which open transactions may end by themselves.
TRANSACTIONS_SHARE = 0.5
# New operations are refused in this last part of the grace period. Requests in
# flight have this long, less the margin, to be answered. Statements take some
# 20 ms, and one that waits for a lost answer takes 1.5 s at most.
REFUSE_NEW_S = 1.4
# Releasing the lease takes a quarter of a second at most.
EXIT_MARGIN_S = 0.4
POLL_INTERVAL_S = 0.05
# Answers that are ready are written within a few iterations of the event loop.
FLUSH_TIMEOUT_S = 0.1
FLUSH_POLL_INTERVAL_S = 0.005


class ShutdownHost(typing.Protocol):
    """Parts of a process that its shutdown uses."""

    config: settings.PoolerSettings
    log: events.EventLog
    shutdown_phase: caller_task.ShutdownPhase
    exit_deadline_ms: int | None
    callers: set[caller_task.CallerTask]
    groups: dict[str, group_task.GroupTask]
    router: router.Router
    hop_server: hop_server.Server
    promotion_lease: promotion_leases.PromotionLease


def limit_timeout(
    request: messages.Request, exit_deadline_ms: int | None
) -> messages.Request:
    """Limit a request's timeout to the time until the process exits.

    Otherwise its session could end without an answer: another proxy that
    serves the request continues after the exit, and the caller cannot find out
    whether a write is kept.
    """
    if exit_deadline_ms is None:
        return request
    left_ms = max(0, exit_deadline_ms - request.arrived_ms)
    if request.policy.timeout_ms <= left_ms:
        return request
    policy = dataclasses.replace(request.policy, timeout_ms=left_ms)
    return dataclasses.replace(request, policy=policy)


async def drain(host: ShutdownHost) -> None:
    """Finish open work within the grace period.

    First the load balancer stops sending callers. Then sessions are closed
    between operations, then sessions with open transactions, then new
    operations are refused and requests in flight are answered.
    """
    grace_s = host.config.grace_s
    began_ms = clock.boottime_ms()
    host.exit_deadline_ms = began_ms + int((grace_s - EXIT_MARGIN_S) * 1000)
    host.log.emit(
        'process', 'stop begins', inputs={'sessions': len(host.callers)}
    )
    lease_release = asyncio.create_task(host.promotion_lease.close())
    await _close_idle_until(host, began_ms, min(ROTATION_S, grace_s * 0.4))
    host.shutdown_phase = caller_task.ShutdownPhase.CLOSE_IDLE
    await _close_idle_until(host, began_ms, grace_s * TRANSACTIONS_SHARE)
    host.shutdown_phase = caller_task.ShutdownPhase.CLOSE_TRANSACTIONS
    await _close_idle_until(host, began_ms, grace_s - REFUSE_NEW_S)
    host.shutdown_phase = caller_task.ShutdownPhase.REFUSE_NEW
    await _close_idle_until(host, began_ms, grace_s - EXIT_MARGIN_S)
    lease_release.cancel()


async def _close_idle_until(
    host: ShutdownHost, began_ms: int, after_s: float
) -> None:
    """Close idle sessions until a time, or until no work is left."""
    while clock.boottime_ms() - began_ms < after_s * 1000:
        if host.shutdown_phase is not caller_task.ShutdownPhase.RUNNING:
            for caller in list(host.callers):
                caller.close_if_idle()
            if not host.callers and not host.hop_server.is_busy():
                return
        await asyncio.sleep(POLL_INTERVAL_S)


async def flush_answers(host: ShutdownHost) -> None:
    """End all requests in flight, and let their answers be sent."""
    host.router.close()
    for group in host.groups.values():
        group.close()
    until_ms = clock.boottime_ms() + int(FLUSH_TIMEOUT_S * 1000)
    while clock.boottime_ms() < until_ms:
        answering = any(caller.busy for caller in host.callers)
        if not answering and not host.hop_server.is_busy():
            return
        await asyncio.sleep(FLUSH_POLL_INTERVAL_S)
