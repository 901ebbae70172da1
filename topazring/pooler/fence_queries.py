"""Put the fence queries that nobody waits for to the lease holder together.

One process holds the promotion lease for all groups of a fleet. After a fault
that all proxies see, each of their groups asks it. Those that only ask ahead
of need share a call a proxy, and leave the holder's time to the others.
"""

import asyncio
import collections.abc
import random
import urllib.parse

import msgspec

from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import supervision

__all__ = [
    'AheadQueries',
    'INTERVAL_MS',
    'MAX_LIST_CHARACTERS',
    'MAX_SERVICES',
    'MAX_UNANSWERED_INTERVAL_MS',
    'Reported',
    'UNANSWERED_INTERVAL_MS',
    'choose_services',
]

# Minimum interval between two calls.
INTERVAL_MS = 200
# Minimum interval after a call without an answer. The holder may have too many
# calls, or may know none of these. It is drawn from a range: the proxies that
# lost their calls together must not repeat them together.
UNANSWERED_INTERVAL_MS = 4000
MAX_UNANSWERED_INTERVAL_MS = 12_000
# The holder checks a list in one go, and answers nobody else meanwhile.
MAX_SERVICES = 100
# A server accepts a request line and headers of 65,536 bytes.
MAX_LIST_CHARACTERS = 16_000
_SEPARATOR = urllib.parse.quote_plus(',')

Reported = messages.FenceReleased | messages.HandOverReported

AskHolder = collections.abc.Callable[
    [list[str]], collections.abc.Awaitable[list[Reported | None] | None]
]


def choose_services(services: collections.abc.Iterable[str]) -> list[str]:
    """Return the first services, as many as fit in one call, at least one."""
    chosen: list[str] = []
    characters = 0
    for service in services:
        encoded = urllib.parse.quote_plus(msgspec.json.encode(service))
        characters += len(encoded) + len(_SEPARATOR)
        if chosen and characters > MAX_LIST_CHARACTERS:
            break
        chosen.append(service)
        if len(chosen) == MAX_SERVICES:
            break
    return chosen


class AheadQueries:
    """Collect queries ahead of need; have one call at most under way."""

    def __init__(self, ask_holder: AskHolder, log: supervision.Reporter):
        # Returns what is reported for each service, None without an answer.
        self.ask_holder = ask_holder
        self.log = log
        # By service, oldest first: where its group waits for the answer.
        self.pending: dict[str, asyncio.Future[Reported | None]] = {}
        self.next_call_ms = 0
        self.calls = 0
        # Calls without a known holder or without an answer.
        self.unanswered_calls = 0
        self.task: asyncio.Task | None = None
        self.is_closed = False

    def close(self) -> None:
        """Stop asking; those who wait get no answer."""
        self.is_closed = True
        if self.task is not None:
            self.task.cancel()
        self._settle(self.pending.copy(), None)

    async def query(self, service: str) -> Reported | None:
        """Return what the holder reports with the next call.

        Return None without an answer, or if a query for this service is
        pending.
        """
        if self.is_closed or service in self.pending:
            return None
        waiting = asyncio.get_running_loop().create_future()
        self.pending[service] = waiting
        self._ensure_running()
        try:
            return await waiting
        finally:
            self._forget(service, waiting)

    def _ensure_running(self) -> None:
        if self.task is None or self.task.done():
            self.task = supervision.start(
                'fence_queries', self._send_all, self.log
            )

    async def _send_all(self) -> None:
        """Send calls until no query is pending."""
        while self.pending:
            left_ms = self.next_call_ms - clock.boottime_ms()
            if left_ms > 0:
                await asyncio.sleep(left_ms / 1000)
            else:
                await self._send(choose_services(self.pending))

    async def _send(self, services: list[str]) -> None:
        self.calls += 1
        self.next_call_ms = clock.boottime_ms() + INTERVAL_MS
        asked = {service: self.pending[service] for service in services}
        reported = None
        try:
            reported = await self.ask_holder(services)
        finally:
            if reported is None:
                self._postpone()
            self._settle(asked, reported)

    def _postpone(self) -> None:
        """Wait for longer after a call without an answer."""
        self.unanswered_calls += 1
        interval_ms = random.randint(
            UNANSWERED_INTERVAL_MS, MAX_UNANSWERED_INTERVAL_MS
        )
        self.next_call_ms = clock.boottime_ms() + interval_ms

    def _settle(
        self,
        asked: dict[str, asyncio.Future[Reported | None]],
        reported: list[Reported | None] | None,
    ) -> None:
        """Hand each group what is reported for it."""
        if reported is None:
            reported = [None] * len(asked)
        for (service, waiting), each in zip(
            asked.items(), reported, strict=True
        ):
            self._forget(service, waiting)
            if not waiting.done():
                waiting.set_result(each)

    def _forget(
        self, service: str, waiting: asyncio.Future[Reported | None]
    ) -> None:
        # A new group of the service may have asked meanwhile.
        if self.pending.get(service) is waiting:
            del self.pending[service]
