"""Follow the platform's store: configuration, upstreams, proxies, duty."""

import asyncio
import collections.abc
import random

from topazring.core import revisions
from topazring.core.synchronous import listing as listings
from topazring import key_value
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import ports

__all__ = ['Directory', 'OWN_PREFIX', 'PROXY_PREFIX']

OWN_PREFIX = 'topazring/'
PROXY_PREFIX = 'topazring/proxies/'
# One watch for everything: each that waits is a call that is paid for.
EVERYTHING = ''
# A watch is ended by us after that long, in case the service has forgotten
# it while the connection lives. Shorter costs more calls, longer delays a
# configuration in that case.
WATCH_MS = 8000
RETRY_S = 0.15
MOST_RETRY_S = 1.2
EXPIRE_S = 0.25


class Directory:
    """Keep a listing up to date and tell what it concerns."""

    def __init__(
        self,
        adapter: ports.Adapter,
        log: events.EventLog,
        changed: collections.abc.Callable[[set[str]], None],
    ):
        self.adapter = adapter
        self.log = log
        self.changed = changed
        self.listing = listings.Listing()
        self.revision = 0
        # When the listing was last known to be complete.
        self.confirmed_ms = -(10**9)
        self.away_since_ms: int | None = None
        # The product's own values, by key: the duty and its tokens.
        self.own: dict[str, revisions.Change] = {}
        self.own_changed = asyncio.Event()
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin to follow."""
        self.tasks = [
            asyncio.create_task(self._follow_forever()),
            asyncio.create_task(self._expire_forever()),
        ]

    def close(self) -> None:
        """Stop following."""
        for task in self.tasks:
            task.cancel()

    async def _follow_forever(self) -> None:
        failures = 0
        while True:
            asked_ms = clock.suspended_ms()
            answer = await self._ask()
            if isinstance(answer, key_value.Changes):
                failures = 0
                self._back(asked_ms)
                continue
            if isinstance(answer, key_value.HistoryLost):
                self.log.emit(
                    'directory',
                    'history lost',
                    inputs={
                        'revision': self.revision,
                    },
                )
                self.revision = 0
                continue
            self._away(answer)
            failures += 1
            pause_s = min(RETRY_S * 2 ** min(failures, 5), MOST_RETRY_S)
            if self.listing.configuration is None:
                # Nothing can be served until it is back.
                pause_s = RETRY_S
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))

    async def _ask(self):
        """Ask once and take in what is answered."""
        asked_ms = clock.suspended_ms()
        if not self.revision:
            answer = await self.adapter.store.everything(EVERYTHING)
            if isinstance(answer, key_value.Changes):
                self._take_all(asked_ms, answer)
            return answer
        answer = await self.adapter.store.changes(
            EVERYTHING, self.revision, WATCH_MS
        )
        if isinstance(answer, key_value.Changes):
            self._take_changes(answer)
        return answer

    def _away(self, answer: key_value.Unavailable) -> None:
        if self.away_since_ms is None:
            self.away_since_ms = clock.suspended_ms()
            self.log.emit(
                'directory', 'store lost', inputs={'detail': answer.detail}
            )

    def _back(self, asked_ms: int) -> None:
        now_ms = clock.suspended_ms()
        if self.away_since_ms is not None:
            away_ms = now_ms - self.away_since_ms
            self.away_since_ms = None
            # What lapsed meanwhile has its time to come back from now on.
            for key in self.listing.lapsed_ms:
                self.listing.lapsed_ms[key] = now_ms
            self.log.emit(
                'directory', 'store regained', inputs={'away_ms': away_ms}
            )
        self.confirmed_ms = now_ms

    def _take_all(self, asked_ms: int, answer: key_value.Changes) -> None:
        present = {change.key for change in answer.changes}
        now_ms = clock.suspended_ms()
        services = listings.forget_missing(self.listing, now_ms, present)
        for key in list(self.own):
            if key not in present:
                del self.own[key]
                self.own_changed.set()
        for change in answer.changes:
            services |= self._take(now_ms, change)
        self.revision = answer.upto
        self.log.emit(
            'directory',
            'read everything',
            inputs={
                'entries': len(answer.changes),
                'revision': answer.upto,
                'took_ms': now_ms - asked_ms,
            },
        )
        self._tell(services)

    def _take_changes(self, answer: key_value.Changes) -> None:
        now_ms = clock.suspended_ms()
        services: set[str] = set()
        for change in answer.changes:
            services |= self._take(now_ms, change)
        self.revision = max(self.revision, answer.upto)
        self._tell(services)

    def _take(self, now_ms: int, change: revisions.Change) -> set[str]:
        if change.key.startswith(OWN_PREFIX):
            return self._take_own(now_ms, change)
        if change.value is None:
            return listings.take_gone(self.listing, now_ms, change.key)
        record = self.adapter.decode(change.key, change.value, change.revision)
        if record is None:
            return set()
        if isinstance(record, listings.Configuration):
            self.log.emit(
                'directory',
                'configuration',
                inputs={
                    'version': record.version,
                    'revision': change.revision,
                    'databases': len(record.policies),
                },
            )
        return listings.take(
            self.listing, now_ms, self.confirmed_ms, change.key, record
        )

    def _take_own(self, now_ms: int, change: revisions.Change) -> set[str]:
        if change.key.startswith(PROXY_PREFIX):
            if change.value is None:
                return listings.take_gone(self.listing, now_ms, change.key)
            name = change.key.removeprefix(PROXY_PREFIX)
            record = listings.ProxyRecord(name, change.value)
            return listings.take(
                self.listing, now_ms, now_ms, change.key, record
            )
        if change.value is None:
            self.own.pop(change.key, None)
        else:
            self.own[change.key] = change
        self.own_changed.set()
        return set()

    def _tell(self, services: set[str]) -> None:
        if services:
            self.changed(services)

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            now_ms = clock.suspended_ms()
            self._tell(
                listings.expire(self.listing, now_ms, self.away_since_ms)
            )
