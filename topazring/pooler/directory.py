"""Follow the platform's store: configuration, upstreams, proxies, lease."""

import asyncio
import collections.abc
import dataclasses
import random

from topazring.core import revisions
from topazring.core.synchronous import listing as listings
from topazring import key_value
from topazring.plumbing import change_reports
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.plumbing import supervision
from topazring.pooler import follower_client
from topazring.pooler import peers
from topazring.pooler import ports
from topazring.pooler import proxy_entries
from topazring.pooler import proxy_history
from topazring.pooler import stored_values

__all__ = ['Directory', 'OWN_PREFIX', 'PROXY_PREFIX']

OWN_PREFIX = 'topazring/'
PROXY_PREFIX = 'topazring/proxies/'
# One watch covers all keys: each waiting watch is a call that is paid for.
ALL_KEYS_PREFIX = ''
# While a fleet starts, its proxies and their upstreams are listed one after
# the other. Answers are batched then: each entry alone would cost every proxy
# a call.
STARTUP_S = 8.0
STARTUP_BATCH_S = 0.4
RETRY_S = 0.15
MAX_RETRY_S = 1.2
EXPIRY_INTERVAL_S = 0.25
# At worst the store refuses a third of a fleet; in one case of thirty all
# three peers asked are among those.
PEERS_TO_ASK = 3
# A promotion waits until the listing is current. The store and peers answer
# in milliseconds; each gets this long.
CATCH_UP_TIMEOUT_S = 0.1


class Directory:
    """Keep a listing up to date and report which services a change affects."""

    def __init__(
        self,
        adapter: ports.Adapter,
        peer_client: peers.PeerClient,
        follower: follower_client.FollowerClient,
        log: events.EventLog,
        on_change: collections.abc.Callable[[set[str]], None],
        on_own_change: collections.abc.Callable[[str], None] | None = None,
    ):
        self.adapter = adapter
        self.peer_client = peer_client
        self.follower_client = follower
        self.log = log
        self.on_change = on_change
        # Called with the key of each of the proxies' own values that changes.
        self.on_own_change = on_own_change
        self.listing = listings.Listing()
        # Set once the whole store has been read.
        self.first_read = asyncio.Event()
        # Set by the first configuration.
        self.configured = asyncio.Event()
        # The last change of each key, up to `known.seen`.
        self.known = revisions.Revisions()
        self.history_lost = False
        # Set, and replaced by a new event, with each change.
        self.change_event = asyncio.Event()
        # When the listing was last confirmed to be complete.
        self.confirmed_ms = -(10**9)
        self.unavailable_since_ms: int | None = None
        self.own_changed = asyncio.Event()
        self.change_reports = change_reports.ChangeReports(
            'listing', lambda services: self.on_change(services), log
        )
        self.proxy_history = proxy_history.ProxyHistory(
            PROXY_PREFIX + follower.name, clock.boottime_ms()
        )
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start following the store."""
        self.proxy_history.record_gap(clock.boottime_ms())
        self.tasks = [
            supervision.start('directory', self._follow_forever, self.log),
            supervision.start('expiry', self._expire_forever, self.log),
        ]

    def close(self) -> None:
        """Stop following the store."""
        for task in self.tasks:
            task.cancel()
        self.peer_client.close()

    def own_value(self, key: str) -> revisions.Change | None:
        """Return one of the proxies' own values, None if it is not set."""
        change = self.known.changes.get(key)
        if change is None or change.value is None:
            return None
        return change

    @property
    def proxies_changed_ms(self) -> int:
        """Return when another proxy last went missing or was replaced."""
        return self.proxy_history.changed_ms

    @property
    def follows(self) -> bool:
        """Return whether this proxy reads the store itself, successfully."""
        is_unavailable = self.unavailable_since_ms is not None
        return (
            self.known.seen > 0
            and not self.follower_client.source
            and not is_unavailable
        )

    @property
    def era(self) -> int:
        """Return the era of the store up to which changes were read."""
        return revisions.era_of(self.known.seen)

    async def wait_for_era_after(self, era: int) -> None:
        """Wait until a later era of the store has been read."""
        while self.era <= era:
            await self.change_event.wait()

    async def changes_after(
        self, after: int, wait_ms: int = 0, knows_eras: bool = True
    ) -> peers.PeerAnswer:
        """Return the changes after a revision, for a peer.

        If there are none, wait up to `wait_ms` for the next, unless this
        proxy does not follow the store.
        """
        if not knows_eras:
            after = revisions.in_era(self.era, after) if after else 0
            answer = await self.changes_after(after, wait_ms)
            return peers.without_eras(answer)
        if wait_ms:
            await self._wait_for_change(after, wait_ms)
        seen = self.known.seen
        age_ms = max(0, clock.boottime_ms() - self.confirmed_ms)
        complete, changes = revisions.missing_changes(self.known, after)
        return peers.PeerAnswer(seen, complete, changes, self.follows, age_ms)

    async def _wait_for_change(self, after: int, wait_ms: int) -> None:
        if not self.follows or self.known.seen > after:
            return
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self.change_event.wait()
        except TimeoutError:
            # An answer without changes is valid too.
            return

    def _notify_waiters(self) -> None:
        self.change_event.set()
        self.change_event = asyncio.Event()

    # ---- reading ----

    async def _follow_forever(self) -> None:
        failures = 0
        lost_histories = 0
        started_ms = clock.boottime_ms()
        while True:
            is_full_read = self.history_lost
            answer = await self._poll_safely()
            if isinstance(
                answer, key_value.Changes | follower_client.FollowerAnswer
            ):
                failures = 0
                if not is_full_read:
                    lost_histories = 0
                self._record_available(answer)
                if clock.boottime_ms() - started_ms < STARTUP_S * 1000:
                    await asyncio.sleep(STARTUP_BATCH_S)
                continue
            if isinstance(answer, key_value.HistoryCompacted):
                self.log.emit(
                    'directory',
                    'history lost',
                    inputs=_describe(self.known.seen),
                )
                self.history_lost = True
                lost_histories += 1
                if lost_histories > 1:
                    # A full read did not help; others need the store too.
                    await asyncio.sleep(self._pause_s(lost_histories))
                continue
            self._record_unavailable(answer)
            await self.ask_peers(peers.ASK_TIMEOUT_S, count=1)
            failures += 1
            await asyncio.sleep(self._pause_s(failures))

    def _pause_s(self, failures: int) -> float:
        if self.listing.configuration is None:
            # Nothing can be served without a configuration.
            return RETRY_S
        pause_s = min(RETRY_S * 2 ** min(failures, 5), MAX_RETRY_S)
        return pause_s * random.uniform(0.5, 1.0)

    async def _poll_safely(self):
        """Read changes once; an unexpected error counts as no answer.

        Then peers are asked, and none of them takes this proxy as its source.
        """
        try:
            return await self._poll()
        except Exception as error:
            self.log.report_failure('directory', error)
            return key_value.Unavailable(f'{type(error).__name__}: {error}')

    async def _poll(self):
        """Read changes once, from a follower or the store, and apply them."""
        if not self.known.seen:
            return await self._read_everything()
        update = await self.follower_client.poll(
            self.listing.proxies.values(), self.known.seen
        )
        if update is not None:
            self.history_lost = False
            self._apply_peer_answer(update.answer)
            return update
        if self.history_lost:
            return await self._read_everything()
        return await self._read_changes(self._watch_ms())

    async def _read_changes(self, wait_ms: int):
        """Read changes from the store, wait for the first, and apply them."""
        answer = await self.adapter.store.changes(
            ALL_KEYS_PREFIX, self.known.seen, wait_ms
        )
        if isinstance(answer, key_value.Changes):
            self._apply(answer.changes, answer.upto)
        return answer

    def _watch_ms(self) -> int:
        """Return how long the store is to wait for a change.

        While it is unavailable, the call does not wait: a watch without an
        answer would delay the detection that the store is back.
        """
        if self.unavailable_since_ms is not None:
            return 0
        return self.follower_client.watch_ms(self.listing.proxies.values())

    async def _read_everything(self):
        sent_ms = clock.boottime_ms()
        answer = await self.adapter.store.read_all(ALL_KEYS_PREFIX)
        if isinstance(answer, key_value.Changes):
            self.history_lost = False
            self._apply_snapshot(answer.changes, answer.upto)
            self.log.emit(
                'directory',
                'read everything',
                inputs={
                    'entries': len(answer.changes),
                    **_describe(answer.upto),
                    'took_ms': clock.boottime_ms() - sent_ms,
                },
            )
        return answer

    async def catch_up(self) -> bool:
        """Read what has changed by now; return whether any source answered.

        Peers are asked if the store does not answer in time.
        """
        if self.unavailable_since_ms is None:
            try:
                async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                    if await self._read_now():
                        return True
            except TimeoutError:
                self.log.emit('directory', 'slow to catch up')
        return await self.ask_peers(CATCH_UP_TIMEOUT_S)

    async def read_store_now(self) -> bool:
        """Read what has changed by now from the store itself.

        Return whether the store answered in time.
        """
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                return await self._read_now()
        except TimeoutError:
            return False

    async def _read_now(self) -> bool:
        """Read changes without waiting; return whether the store answered."""
        if not self.known.seen:
            answer = await self._read_everything()
        else:
            answer = await self._read_changes(0)
        if isinstance(answer, key_value.HistoryCompacted):
            answer = await self._read_everything()
        return isinstance(answer, key_value.Changes)

    async def ask_peers(
        self, within_s: float, count: int = PEERS_TO_ASK
    ) -> bool:
        """Read changes from some peers; return whether any answered.

        Also return True if there is no peer to ask.
        """
        addresses = {
            proxy.peer_address
            for proxy in self.listing.proxies.values()
            if proxy.peer_address
        }
        chosen = self.peer_client.choose_peers(addresses, count)
        if not chosen:
            return True
        requests = [
            asyncio.create_task(
                self.peer_client.fetch_changes(address, self.known.seen)
            )
            for address in chosen
        ]
        done, pending = await asyncio.wait(requests, timeout=within_s)
        for task in pending:
            task.cancel()
        answers = [task.result() for task in done]
        for answer in answers:
            self._apply_peer_answer(answer)
        return any(answer is not None for answer in answers)

    def _apply_peer_answer(self, answer: peers.PeerAnswer | None) -> None:
        if answer is None or answer.revision <= self.known.seen:
            return
        if answer.changes:
            inputs = {
                **_describe(answer.revision),
                'before': revisions.number_of(self.known.seen),
                'changes': len(answer.changes),
                'complete': answer.complete,
            }
            self.log.emit('directory', 'told by a peer', inputs=inputs)
        if answer.complete:
            self._apply_snapshot(answer.changes, answer.revision)
        else:
            self._apply(answer.changes, answer.revision)

    def _record_unavailable(self, answer: key_value.Unavailable) -> None:
        if self.unavailable_since_ms is None:
            self.unavailable_since_ms = clock.boottime_ms()
            # Peers that wait here for changes have to choose another source.
            self._notify_waiters()
            self.log.emit(
                'directory', 'store lost', inputs={'detail': answer.detail}
            )

    def _record_available(
        self, answer: key_value.Changes | follower_client.FollowerAnswer
    ) -> None:
        now_ms = clock.boottime_ms()
        if self.unavailable_since_ms is not None:
            away_ms = now_ms - self.unavailable_since_ms
            self.unavailable_since_ms = None
            # Entries that expired meanwhile get their full grace period now.
            for key in self.listing.missing_since_ms:
                self.listing.missing_since_ms[key] = now_ms
            self.log.emit(
                'directory',
                'store regained',
                inputs={
                    'away_ms': away_ms,
                    'era': self.adapter.store.era,
                },
            )
        if isinstance(answer, follower_client.FollowerAnswer):
            now_ms = max(self.confirmed_ms, answer.confirmed_ms)
        self.confirmed_ms = now_ms

    # ---- applying changes ----

    def _apply_snapshot(
        self, changes: list[revisions.Change], upto: int
    ) -> None:
        """Apply a complete read; entries missing from it are removed."""
        ended = revisions.record_compaction(self.known, upto, changes)
        self._apply([*ended, *changes], upto)
        self.proxy_history.record_gap(clock.boottime_ms())

    def _apply(self, changes: list[revisions.Change], upto: int) -> None:
        changes = [self._redact(change) for change in changes]
        is_return = self._note_era(revisions.era_of(upto))
        new = revisions.merge(self.known, self.known.seen, upto, changes)
        self.first_read.set()
        now_ms = clock.boottime_ms()
        services: set[str] = set()
        for change in new or ():
            services |= self._apply_safely(now_ms, change, is_return)
        if new:
            self._notify_waiters()
        self._notify_services(services)

    def _note_era(self, era: int) -> bool:
        """Return whether the store has returned from an older copy."""
        if not self.known.seen or era <= self.era:
            return False
        self.log.emit(
            'directory',
            'store returned older',
            inputs={
                'era': era,
                'era_before': self.era,
                'revision_before': revisions.number_of(self.known.seen),
            },
        )
        self.proxy_history.record_return(clock.boottime_ms())
        return True

    def _redact(self, change: revisions.Change) -> revisions.Change:
        """Remove secrets, which must not be kept or sent to other proxies."""
        if change.value is None:
            return change
        try:
            value = self.adapter.redact(change.key, change.value)
        except Exception as error:
            stored_values.report_bad_entry(self.log, change.key, error)
            value = ''
        return dataclasses.replace(change, value=value)

    def _apply_safely(
        self, now_ms: int, change: revisions.Change, is_return: bool
    ) -> set[str]:
        """Apply a change; one that cannot be applied counts as a removal.

        It must not block the changes that follow. The earlier value is not
        valid any more: its writer counts as missing.
        """
        try:
            return self._apply_change(now_ms, change, is_return)
        except Exception as error:
            stored_values.report_bad_entry(self.log, change.key, error)
            return self._record_removal(now_ms, change.key)

    def _apply_change(
        self, now_ms: int, change: revisions.Change, is_return: bool
    ) -> set[str]:
        if change.key.startswith(OWN_PREFIX):
            self.own_changed.set()
            if not change.key.startswith(PROXY_PREFIX):
                if self.on_own_change is not None:
                    self.on_own_change(change.key)
                return set()
        if change.value is None:
            return self._record_removal(now_ms, change.key, is_return)
        record = self._decode(now_ms, change)
        if record is None:
            return set()
        services = listings.apply_record(
            self.listing, now_ms, self.confirmed_ms, change.key, record
        )
        if isinstance(record, listings.Configuration):
            self._record_configuration(record, change)
        return services

    def _record_removal(
        self, now_ms: int, key: str, is_return: bool = False
    ) -> set[str]:
        if key.startswith(PROXY_PREFIX):
            self.proxy_history.record_loss(now_ms, key)
        return listings.record_removal(self.listing, now_ms, key, is_return)

    def _decode(
        self, now_ms: int, change: revisions.Change
    ) -> listings.Record | None:
        if change.key.startswith(PROXY_PREFIX):
            name = change.key.removeprefix(PROXY_PREFIX)
            entry = proxy_entries.decode(name, change.value)
            self.proxy_history.record_entry(
                now_ms, change.key, entry.incarnation
            )
            return entry.record
        return self.adapter.decode(change.key, change.value, change.revision)

    def _record_configuration(
        self, record: listings.Configuration, change: revisions.Change
    ) -> None:
        self.configured.set()
        self.log.emit(
            'directory',
            'configuration',
            inputs={
                'version': record.version,
                **_describe(change.revision),
                'databases': len(record.policies),
                'in_force': self.listing.configuration.version,
            },
        )

    def _notify_services(self, services: set[str]) -> None:
        if services:
            self.change_reports.add(services)

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._notify_services(self._remove_expired())
            self.change_reports.retry()

    def _remove_expired(self) -> set[str]:
        now_ms = clock.boottime_ms()
        before = set(self.listing.proxies)
        services = listings.remove_expired(
            self.listing, now_ms, self.unavailable_since_ms
        )
        for key in before - self.listing.proxies.keys():
            self.proxy_history.record_loss(now_ms, key)
        return services


def _describe(revision: int) -> dict[str, int]:
    """Return the parts of a revision, for log lines."""
    return {
        'revision': revisions.number_of(revision),
        'era': revisions.era_of(revision),
    }
