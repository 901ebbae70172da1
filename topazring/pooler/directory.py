"""Follow the platform's store: configuration, upstreams, proxies, duty."""

import asyncio
import collections.abc
import random

import msgspec

from topazring.core import revisions
from topazring.core.synchronous import listing as listings
from topazring import key_value
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import follower_client
from topazring.pooler import peers
from topazring.pooler import ports

__all__ = ['Directory', 'OWN_PREFIX', 'PROXY_PREFIX', 'ProxyValue']

OWN_PREFIX = 'topazring/'
PROXY_PREFIX = 'topazring/proxies/'
# One watch for everything: each that waits is a call that is paid for.
ALL_KEYS_PREFIX = ''
# While a fleet starts, its proxies and their upstreams enter the list one
# after the other; each entry alone would cost every proxy a call.
STARTUP_S = 8.0
STARTUP_BATCH_S = 0.4
RETRY_S = 0.15
MAX_RETRY_S = 1.2
EXPIRY_INTERVAL_S = 0.25
# Of what is wrong with an entry so many characters are told.
MAX_ERROR_CHARS = 200
# Of those that the store turns away, a third of a fleet at the worst, all
# three are asked in one case of thirty.
PEERS_TO_ASK = 3
# A promotion waits for what is listed by now: the service and peers answer in
# milliseconds, and each has so long.
CATCH_UP_TIMEOUT_S = 0.1


class ProxyValue(msgspec.Struct):
    """Hold what a proxy says of itself in the store."""

    data_centre: str
    # Where other proxies ask it; empty if they cannot.
    peer_address: str = ''
    # Where other proxies send it requests; empty if it takes none.
    hop_address: str = ''


class Directory:
    """Keep a listing up to date and tell what it concerns."""

    def __init__(
        self,
        adapter: ports.Adapter,
        asker: peers.PeerClient,
        hearer: follower_client.FollowerClient,
        log: events.EventLog,
        changed: collections.abc.Callable[[set[str]], None],
    ):
        self.adapter = adapter
        self.peer_client = asker
        self.follower_client = hearer
        self.log = log
        self.changed = changed
        self.listing = listings.Listing()
        # Set when all that there is was read once.
        self.first_read = asyncio.Event()
        # Set with the first configuration.
        self.configured = asyncio.Event()
        # The last change of each key, up to `known.seen`.
        self.known = revisions.Revisions()
        self.history_lost = False
        # Set, and replaced, when something new is known.
        self.news = asyncio.Event()
        # When the listing was last known to be complete.
        self.confirmed_ms = -(10**9)
        self.unavailable_since_ms: int | None = None
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
        self.peer_client.close()

    def own_value(self, key: str) -> revisions.Change | None:
        """Return one of the product's own values, None if it is not set."""
        change = self.known.changes.get(key)
        if change is None or change.value is None:
            return None
        return change

    @property
    def follows(self) -> bool:
        """Say whether this proxy reads the service itself, and can."""
        away = self.unavailable_since_ms is not None
        return (
            self.known.seen > 0
            and not self.follower_client.source
            and not away
        )

    async def changes_after(
        self, after: int, wait_ms: int = 0
    ) -> peers.PeerAnswer:
        """Return what a peer lacks that knows all up to a revision.

        If that is nothing, wait for it, as long as this proxy follows.
        """
        if wait_ms:
            await self._wait_for_news(after, wait_ms)
        seen = self.known.seen
        age_ms = max(0, clock.boottime_ms() - self.confirmed_ms)
        complete, changes = revisions.missing_changes(self.known, after)
        return peers.PeerAnswer(seen, complete, changes, self.follows, age_ms)

    async def _wait_for_news(self, after: int, wait_ms: int) -> None:
        if not self.follows or self.known.seen > after:
            return
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self.news.wait()
        except TimeoutError:
            # That nothing is new is an answer as well.
            return

    def _tell_news(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    # ---- asking ----

    async def _follow_forever(self) -> None:
        failures = 0
        began_ms = clock.boottime_ms()
        while True:
            answer = await self._ask()
            if isinstance(
                answer, key_value.Changes | follower_client.FollowerAnswer
            ):
                failures = 0
                self._back(answer)
                if clock.boottime_ms() - began_ms < STARTUP_S * 1000:
                    await asyncio.sleep(STARTUP_BATCH_S)
                continue
            if isinstance(answer, key_value.HistoryCompacted):
                self.log.emit(
                    'directory',
                    'history lost',
                    inputs={'revision': self.known.seen},
                )
                self.history_lost = True
                continue
            self._away(answer)
            await self.ask_peers(peers.ASK_TIMEOUT_S, count=1)
            failures += 1
            await asyncio.sleep(self._pause_s(failures))

    def _pause_s(self, failures: int) -> float:
        if self.listing.configuration is None:
            # Nothing can be served until it is known.
            return RETRY_S
        pause_s = min(RETRY_S * 2 ** min(failures, 5), MAX_RETRY_S)
        return pause_s * random.uniform(0.5, 1.0)

    async def _ask(self):
        """Ask a follower or the service once; take in what is answered."""
        if not self.known.seen:
            return await self._read_everything()
        heard = await self.follower_client.poll(
            self.listing.proxies.values(), self.known.seen
        )
        if heard is not None:
            self.history_lost = False
            self._take_told(heard.told)
            return heard
        if self.history_lost:
            return await self._read_everything()
        return await self._read_changes(self._watch_ms())

    async def _read_changes(self, wait_ms: int):
        """Read what is new, waiting for the first of it; take it in."""
        answer = await self.adapter.store.changes(
            ALL_KEYS_PREFIX, self.known.seen, wait_ms
        )
        if isinstance(answer, key_value.Changes):
            self._take(answer.changes, answer.upto)
        return answer

    def _watch_ms(self) -> int:
        """Return how long the service is to wait for a change.

        While it is away only a short question finds out when it is back: a
        watch that it swallows would be waited for.
        """
        if self.unavailable_since_ms is not None:
            return 0
        return self.follower_client.watch_ms(self.listing.proxies.values())

    async def _read_everything(self):
        asked_ms = clock.boottime_ms()
        answer = await self.adapter.store.read_all(ALL_KEYS_PREFIX)
        if isinstance(answer, key_value.Changes):
            self.history_lost = False
            self._take_all(answer.changes, answer.upto)
            self.log.emit(
                'directory',
                'read everything',
                inputs={
                    'entries': len(answer.changes),
                    'revision': answer.upto,
                    'took_ms': clock.boottime_ms() - asked_ms,
                },
            )
        return answer

    async def catch_up(self) -> bool:
        """Learn what has changed by now; say whether anyone told it.

        Peers are asked where the service does not answer in time.
        """
        if self.unavailable_since_ms is None:
            try:
                async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                    if await self._read_now():
                        return True
            except TimeoutError:
                self.log.emit('directory', 'slow to catch up')
        return await self.ask_peers(CATCH_UP_TIMEOUT_S)

    async def _read_now(self) -> bool:
        """Read what is new without waiting; say whether it is known."""
        answer = await self._read_changes(0)
        if isinstance(answer, key_value.HistoryCompacted):
            answer = await self._read_everything()
        return isinstance(answer, key_value.Changes)

    async def ask_peers(
        self, within_s: float, count: int = PEERS_TO_ASK
    ) -> bool:
        """Learn from some peers at once; say whether any answered.

        Also true if there is no peer to ask.
        """
        addresses = {
            proxy.peer_address
            for proxy in self.listing.proxies.values()
            if proxy.peer_address
        }
        chosen = self.peer_client.choose_peers(addresses, count)
        if not chosen:
            return True
        asking = [
            asyncio.create_task(
                self.peer_client.fetch_changes(address, self.known.seen)
            )
            for address in chosen
        ]
        done, late = await asyncio.wait(asking, timeout=within_s)
        for task in late:
            task.cancel()
        answers = [task.result() for task in done]
        for told in answers:
            self._take_told(told)
        return any(told is not None for told in answers)

    def _take_told(self, told: peers.PeerAnswer | None) -> None:
        if told is None or told.revision <= self.known.seen:
            return
        if told.changes:
            inputs = {
                'revision': told.revision,
                'before': self.known.seen,
                'changes': len(told.changes),
                'complete': told.complete,
            }
            self.log.emit('directory', 'told by a peer', inputs=inputs)
        if told.complete:
            self._take_all(told.changes, told.revision)
        else:
            self._take(told.changes, told.revision)

    def _away(self, answer: key_value.Unavailable) -> None:
        if self.unavailable_since_ms is None:
            self.unavailable_since_ms = clock.boottime_ms()
            # Who waits here for news has to hear another.
            self._tell_news()
            self.log.emit(
                'directory', 'store lost', inputs={'detail': answer.detail}
            )

    def _back(
        self, answer: key_value.Changes | follower_client.FollowerAnswer
    ) -> None:
        now_ms = clock.boottime_ms()
        if self.unavailable_since_ms is not None:
            away_ms = now_ms - self.unavailable_since_ms
            self.unavailable_since_ms = None
            # What lapsed meanwhile has its time to come back from now on.
            for key in self.listing.missing_since_ms:
                self.listing.missing_since_ms[key] = now_ms
            self.log.emit(
                'directory', 'store regained', inputs={'away_ms': away_ms}
            )
        if isinstance(answer, follower_client.FollowerAnswer):
            now_ms = max(self.confirmed_ms, answer.confirmed_ms)
        self.confirmed_ms = now_ms

    # ---- taking in ----

    def _take_all(self, changes: list[revisions.Change], upto: int) -> None:
        """Take in everything there is; what is not there has ended."""
        ended = revisions.record_compaction(self.known, upto, changes)
        self._take([*ended, *changes], upto)

    def _take(self, changes: list[revisions.Change], upto: int) -> None:
        new = revisions.merge(self.known, self.known.seen, upto, changes)
        self.first_read.set()
        now_ms = clock.boottime_ms()
        services: set[str] = set()
        for change in new or ():
            services |= self._take_one(now_ms, change)
        if new:
            self._tell_news()
        self._tell(services)

    def _take_one(self, now_ms: int, change: revisions.Change) -> set[str]:
        if change.key.startswith(OWN_PREFIX):
            self.own_changed.set()
            if not change.key.startswith(PROXY_PREFIX):
                return set()
        if change.value is None:
            return listings.record_removal(self.listing, now_ms, change.key)
        try:
            record = self._decode(change)
        except (ValueError, KeyError) as error:
            # One bad entry must not stop all that come after it. What it
            # said before does not hold any more: its writer is missing.
            self.log.emit(
                'directory',
                'bad entry',
                inputs={
                    'key': change.key,
                    'error': str(error)[:MAX_ERROR_CHARS],
                },
            )
            return listings.record_removal(self.listing, now_ms, change.key)
        if record is None:
            return set()
        services = listings.apply_record(
            self.listing, now_ms, self.confirmed_ms, change.key, record
        )
        if isinstance(record, listings.Configuration):
            self._note_configuration(record, change)
        return services

    def _decode(self, change: revisions.Change) -> listings.Record | None:
        if change.key.startswith(PROXY_PREFIX):
            value = msgspec.json.decode(change.value, type=ProxyValue)
            name = change.key.removeprefix(PROXY_PREFIX)
            return listings.ProxyRecord(
                name, value.data_centre, value.peer_address, value.hop_address
            )
        return self.adapter.decode(change.key, change.value, change.revision)

    def _note_configuration(
        self, record: listings.Configuration, change: revisions.Change
    ) -> None:
        self.configured.set()
        self.log.emit(
            'directory',
            'configuration',
            inputs={
                'version': record.version,
                'revision': change.revision,
                'databases': len(record.policies),
                'in_force': self.listing.configuration.version,
            },
        )

    def _tell(self, services: set[str]) -> None:
        if services:
            self.changed(services)

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now_ms = clock.boottime_ms()
            self._tell(
                listings.remove_expired(
                    self.listing, now_ms, self.unavailable_since_ms
                )
            )
