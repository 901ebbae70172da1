"""Log the requests that are unanswered after their time limit.

Each request is answered by its deadline. One that is not would leave no other
trace than its caller, which waits.
"""

import asyncio
import typing

from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.plumbing import supervision
from topazring.pooler import caller_task
from topazring.pooler import group_task
from topazring.pooler import router

__all__ = ['OverdueReport']

PERIOD_S = 1.0
# A process that was paused, and one that is busy, answer this late at times.
LATE_MS = 1000


class Host(typing.Protocol):
    """Parts of a process that the report reads."""

    log: events.EventLog
    callers: set[caller_task.CallerTask]
    groups: dict[str, group_task.GroupTask]
    router: router.Router


class OverdueReport:
    """Log once a second which requests are overdue, and where they wait."""

    def __init__(self, host: Host):
        self.host = host
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the timer."""
        self.task = supervision.start(
            'overdue_report', self._report_forever, self.host.log
        )

    def close(self) -> None:
        """Stop the timer."""
        if self.task is not None:
            self.task.cancel()

    async def _report_forever(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_S)
            self.report()

    def report(self) -> None:
        """Log each request that is overdue, here and where it is served."""
        now_ms = clock.boottime_ms()
        for caller in self.host.callers:
            if caller.request is not None:
                wait = self.host.router.describe_wait(caller.request.key)
                self._report(now_ms, 'answer overdue', caller.request, wait)
        for group in self.host.groups.values():
            for key, request in group.pending_requests.items():
                # Without it, the core has lost the request.
                inputs = {'is_known': group.is_known(key)}
                self._report(now_ms, 'request overdue', request, inputs)

    def _report(
        self,
        now_ms: int,
        event: str,
        request: messages.Request,
        inputs: dict[str, object],
    ) -> None:
        """Log a request if it is overdue."""
        late_ms = now_ms - request.arrived_ms - request.policy.timeout_ms
        if late_ms < LATE_MS:
            return
        verb = str(request.statement.verb)
        self.host.log.emit(
            'session',
            event,
            request.statement.request_id,
            request.policy.service,
            {'late_ms': late_ms, 'verb': verb, **inputs},
        )
