"""Hold the promotion lease: one proxy of all may order promotions.

A value in the store, written under a store lease, names the holder. Acquiring
it reserves a block of tokens. Each order with a new meaning takes the next
token, so that a newer order supersedes one that arrives late, if the platform
checks tokens. No call to the store is then needed when a primary is lost;
elsewhere see `order_records`. The last block is recorded in a value without a
lease: the tokens of a later holder are always higher.

The store may return from an older copy. It may then name a holder that has
been replaced since, or none, and a block of tokens that has been used. So a
holder gives up when a new era of the store begins, the tokens of an era are
higher than those of earlier ones, and nobody acquires the lease for a while.
"""

import asyncio
import collections.abc
import contextlib
import random
import typing

import msgspec

from topazring.core import revisions
from topazring.core.synchronous import listing as listings
from topazring.core.synchronous import promotion_lease as lease_rules
from topazring import key_value
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.plumbing import supervision
from topazring.pooler import directory as directories
from topazring.pooler import order_records
from topazring.pooler import stored_values

__all__ = ['PromotionLease', 'listed_holder']

LEASE_KEY = directories.OWN_PREFIX + 'duty'
TOKEN_BLOCK_KEY = directories.OWN_PREFIX + 'block'
# Tokens that one holder can use. A promotion takes one, so a block is enough
# for thousands of promotions.
BLOCK_TOKENS = 10_000
# Tokens of one era of the store.
ERA_TOKENS = 1_000_000_000
# JSON numbers are exact up to here.
MAX_TOKEN = 2**53
# Nobody can be promoted until the lease of a dead holder has ended. The lease
# has to outlast one renewal that gets no answer: two renewal intervals and
# the timeout of that call. In a replayed day a lost holder was replaced after
# 3.0 s; with a lease of 3 s, after 4.2 s.
TTL_MS = 2000
# After a return of the store: a holder of the era before may rely on its lease
# for as long as that lasts, and a member whose entry was lost, which may hold
# acknowledged writes, is listed again within the grace period of upstreams.
RETURN_PAUSE_MS = max(TTL_MS, listings.UPSTREAM_GRACE_MS)
RENEW_INTERVAL_S = 0.6
# While the store is unavailable to all, nobody else can acquire the lease, and
# the holder continues. If the store refuses only this instance, another proxy
# takes over with higher tokens, and peers report it. After this time beyond
# its lease the holder stops in any case.
MAX_HOLD_BEYOND_LEASE_MS = 15_000
# All proxies see at the same time that the lease is free.
JITTER_S = 0.15
# All proxies of a fleet that starts together see a free lease too, before
# they have read about each other. With this jitter the first attempt comes
# after a tenth of a second among eight proxies, at once among two hundred.
STARTUP_JITTER_S = 1.0
# A proxy that reads changes from a follower leaves the lease to proxies that
# read the store: in a large fleet hundreds would write to the store at once.
NON_FOLLOWER_DELAY_S = 1.0
RETRY_S = 0.5
# How long the holder checks, right before an order, that it still holds the
# lease. The store and peers answer in milliseconds; each additional 100 ms
# keeps a group without a primary for as long.
ORDER_CHECK_TIMEOUT_S = 0.25
# How long the lease has to last beyond a check where the platform would carry
# out an order that a later holder has overtaken.
MIN_VALID_MS = lease_rules.VERIFIED_FOR_MS
# Pause after yielding. Partitions last for seconds; if all other proxies are
# affected too, this one tries again after that.
YIELD_PAUSE_MS = 3000
# The store measures a lease with a clock of its own, which may run faster.
CLOCK_DRIFT_MARGIN_MS = 100


class _Holder(msgspec.Struct):
    """Value of the lease key."""

    holder: str
    token: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKEN)]


_decode_holder = msgspec.json.Decoder(_Holder).decode
# Result of reading the lease key; a value without a holder counts as missing.
_HolderResult = _Holder | key_value.Missing | key_value.Unavailable


class PromotionLease:
    """Acquire, renew and release the promotion lease."""

    def __init__(
        self,
        incarnation: str,
        store: key_value.Store,
        directory: directories.Directory,
        log: events.EventLog,
        on_change: collections.abc.Callable[[bool, int], None],
        records: order_records.OrderRecords | None = None,
    ):
        self.incarnation = incarnation
        self.store = store
        self.directory = directory
        self.log = log
        self.on_change = on_change
        # None in tests that need no record of orders.
        self.records = records
        self.holds = False
        self.token = 0
        self.lease = 0
        self.valid_until_ms = 0
        # Newest era of the store that was noted; None before the first read.
        self.era: int | None = None
        # When the pause after a return of the store ends.
        self.free_from_ms = 0
        self.recheck_requested = asyncio.Event()
        self.yielded_ms = -YIELD_PAUSE_MS
        self.jitter_s = STARTUP_JITTER_S
        self.ending_task: asyncio.Task | None = None
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start trying to acquire the lease."""
        self.task = supervision.start('promotion_lease', self._run, self.log)

    async def close(self) -> None:
        """Release the lease."""
        if self.task is not None:
            self.task.cancel()
        lease, self.lease = self.lease, 0
        if self.holds:
            self._record_lost('leaves')
        if lease:
            await self.store.end(lease)

    def surely_holds(self, for_ms: int = 0) -> bool:
        """Return whether no other process can hold the lease for a while."""
        until_ms = self.valid_until_ms - CLOCK_DRIFT_MARGIN_MS - for_ms
        is_valid = self.holds and clock.boottime_ms() < until_ms
        return is_valid and not self._has_store_returned()

    async def is_surely_held(self) -> bool:
        """Return whether nobody can have acquired the lease in a second.

        Called where the platform carries out any order, also one of a replaced
        holder. Peers are not asked: behind a partition they know of no
        successor either. The lease is renewed if it does not last for long.
        """
        self._note_era()
        if self.holds and not self.surely_holds(MIN_VALID_MS):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ORDER_CHECK_TIMEOUT_S):
                    await self._renew_once()
            self._note_era()
        return self.surely_holds(MIN_VALID_MS)

    def _has_store_returned(self) -> bool:
        return self.era is not None and self._newest_era() > self.era

    def _newest_era(self) -> int:
        read_era = revisions.era_of(self.directory.known.seen)
        return max(self.store.era, read_era)

    def _note_era(self) -> None:
        """Stop holding if a new era of the store has begun.

        Another proxy may have acquired the lease in what the store has lost.
        """
        if not self.directory.known.seen:
            return
        if self.era is None:
            self.era = self._newest_era()
            if self._may_have_just_begun(self.era):
                self.free_from_ms = clock.boottime_ms() + RETURN_PAUSE_MS
        if self._has_store_returned():
            self.era = self._newest_era()
            self.free_from_ms = clock.boottime_ms() + RETURN_PAUSE_MS
            self.give_up('the store has returned from an older copy')

    def _may_have_just_begun(self, era: int) -> bool:
        """Return whether nobody has acquired the lease in an era yet.

        A process that starts does not know when the store returned.
        """
        last_token = self._last_token()
        return last_token is not None and last_token < era * ERA_TOKENS

    def _last_token(self) -> int | None:
        """Return the first token of the last block, None without one."""
        block = self.directory.own_value(TOKEN_BLOCK_KEY)
        if block is None:
            return None
        return stored_values.decode(
            self.log, TOKEN_BLOCK_KEY, block.value, _parse_token
        )

    def _is_block_unreadable(self) -> bool:
        """Return whether the tokens that were used are not known.

        A token that is lower than an earlier one must not be used, so nobody
        acquires the lease until an operator has mended the value.
        """
        block = self.directory.own_value(TOKEN_BLOCK_KEY)
        return block is not None and self._last_token() is None

    def request_recheck(self) -> None:
        """Request a check with the store, as after a refused order."""
        self.recheck_requested.set()

    def yield_lease(self, why: str) -> None:
        """Release the lease and leave it to other proxies for a while."""
        if not self.holds:
            return
        self.yielded_ms = clock.boottime_ms()
        lease, self.lease = self.lease, 0
        self._record_lost(why)
        if lease:
            self.ending_task = asyncio.create_task(self.store.end(lease))

    async def verify_holder(self) -> bool:
        """Return whether this process still holds the lease.

        Called right before an order, where the platform checks tokens: a
        process that was paused, partitioned, or refused by the store while its
        lease went to another is to find that out. While the store does not
        answer, a peer has to confirm that it has seen no successor; a holder
        that reaches neither assumes that it is partitioned.
        """
        self._note_era()
        if not self.holds:
            return False
        if self.directory.unavailable_since_ms is None:
            answer = await self._read_holder_in_time()
            self._note_era()
            if isinstance(answer, _Holder):
                return self._is_own_lease(answer)
            if isinstance(answer, key_value.Missing):
                self.give_up('the duty has no holder')
                return False
        if not await self.directory.ask_peers(ORDER_CHECK_TIMEOUT_S):
            self.give_up('neither store nor peers answer')
            return False
        self._note_era()
        successor = self._find_successor()
        if successor:
            self.give_up(f'{successor} holds it')
        return self.holds

    async def _read_holder_in_time(self) -> _HolderResult:
        """Read the holder within the time limit of the check."""
        try:
            async with asyncio.timeout(ORDER_CHECK_TIMEOUT_S):
                return await self._read_holder()
        except TimeoutError:
            return key_value.Unavailable('no answer in time')

    async def _read_holder(self) -> _HolderResult:
        answer = await self.store.get(LEASE_KEY)
        if isinstance(answer, key_value.Found):
            found = self._decode(answer.value)
            return found or key_value.Missing()
        return answer

    def _decode(self, text: str) -> _Holder | None:
        """Return the holder, None if the value is unreadable."""
        return stored_values.decode(self.log, LEASE_KEY, text, _decode_holder)

    def _is_own_lease(self, found: _Holder) -> bool:
        """Return whether this process is the holder; if not, stop holding."""
        if found.holder == self.incarnation:
            return self.holds
        self.give_up(f'{found.holder} holds it')
        return False

    def give_up(self, why: str) -> None:
        """Stop holding the lease: another process may have acquired it."""
        self.lease = 0
        if self.holds:
            self._record_lost(why)

    async def _run(self) -> None:
        while True:
            self._note_era()
            if self.holds:
                await self._renew()
            elif self._is_free():
                await self._try_acquire()
            else:
                await self._wait_for_change()

    def _is_free(self) -> bool:
        self._note_era()
        now_ms = clock.boottime_ms()
        if now_ms - self.yielded_ms < YIELD_PAUSE_MS:
            return False
        if now_ms < self.free_from_ms:
            return False
        seen = self.directory.known.seen
        if not seen or revisions.era_of(seen) < self._newest_era():
            return False
        if self._is_block_unreadable():
            return False
        if self.directory.own_value(LEASE_KEY) is None:
            return True
        return self._own_of_earlier_era() is not None

    def _own_of_earlier_era(self) -> revisions.Change | None:
        """Return the lease that this process held before a return, if any.

        The copy has kept it, with a token that may be lower than later ones.
        """
        listed = self.directory.own_value(LEASE_KEY)
        if listed is None:
            return None
        found = self._decode(listed.value)
        if found is None or found.holder != self.incarnation:
            return None
        least = revisions.era_of(listed.revision) * ERA_TOKENS
        return listed if found.token < least else None

    async def _wait_for_change(self) -> None:
        self.directory.own_changed.clear()
        try:
            async with asyncio.timeout(RETRY_S):
                await self.directory.own_changed.wait()
        except TimeoutError:
            # Check again in any case: the event may have been missed.
            return

    async def _try_acquire(self) -> None:
        pause_s = random.uniform(0, self.jitter_s)
        self.jitter_s = JITTER_S
        if not self.directory.follows:
            pause_s += NON_FOLLOWER_DELAY_S
        await asyncio.sleep(pause_s)
        if not self._is_free():
            return
        sent_ms = clock.boottime_ms()
        leased = await self.store.lease(TTL_MS)
        if not isinstance(leased, key_value.Leased):
            await asyncio.sleep(RETRY_S)
            return
        if not self._is_free():
            return
        # Use a new store lease: one from an earlier attempt would end before
        # its first renewal, and the promotion lease with it.
        self.lease = leased.lease
        replaced = self._own_of_earlier_era()
        block = self.directory.own_value(TOKEN_BLOCK_KEY)
        era = revisions.era_of(self.directory.known.seen)
        last_token = self._last_token()
        token = _next_block(last_token, era)
        holder = _Holder(self.incarnation, token)
        text = msgspec.json.encode(holder).decode()
        values = [
            key_value.Value(LEASE_KEY, text, _revision(replaced), self.lease),
            key_value.Value(TOKEN_BLOCK_KEY, str(token), _revision(block)),
        ]
        if self.records is not None:
            least_token = era * ERA_TOKENS
            values.append(self.records.claim(token, last_token, least_token))
        answer = await self.store.put_all(tuple(values))
        is_written = isinstance(answer, key_value.Written)
        if isinstance(answer, key_value.Unavailable):
            is_written = await self._resolve_write(token)
        if is_written and self._newest_era() == era:
            self._record_acquired(token, sent_ms)
            return
        if is_written:
            # The token is of an earlier era.
            await self.store.end(self.lease)
        await asyncio.sleep(JITTER_S)

    async def _resolve_write(self, token: int) -> bool:
        """Return whether a write without an answer took effect."""
        found = await self._read_holder()
        return found == _Holder(self.incarnation, token)

    def _record_acquired(self, token: int, sent_ms: int) -> None:
        self.holds = True
        self.token = token
        self.valid_until_ms = sent_ms + TTL_MS
        self.log.emit('duty', 'duty gained', inputs={'token': token})
        if self.records is not None:
            self.records.begin(token)
        self.on_change(True, token)

    def _record_lost(self, why: str) -> None:
        self.holds = False
        if self.records is not None:
            self.records.end()
        self.log.emit(
            'duty', 'duty lost', inputs={'why': why, 'token': self.token}
        )
        self.on_change(False, 0)

    async def _renew(self) -> None:
        if await self._wait_for_recheck():
            self.recheck_requested.clear()
            await self._recheck()
            return
        successor = self._find_successor()
        if successor:
            self.give_up(f'{successor} holds it')
            return
        await self._renew_once()

    async def _renew_once(self) -> None:
        sent_ms = clock.boottime_ms()
        lease = self.lease
        answer = await self.store.renew_lease(lease)
        if lease != self.lease:
            # It was lost meanwhile, and perhaps acquired again.
            return
        if isinstance(answer, key_value.Leased):
            self.valid_until_ms = max(self.valid_until_ms, sent_ms + TTL_MS)
        elif isinstance(answer, key_value.Missing):
            self.give_up('the lease has ended')
        elif (
            clock.boottime_ms()
            > self.valid_until_ms + MAX_HOLD_BEYOND_LEASE_MS
        ):
            self.give_up('the service has been away for too long')

    def _find_successor(self) -> str:
        """Return the proxy that has taken the lease over, empty if none has.

        A holder that the store refuses receives this from its peers, which
        can still read the store. Otherwise it would act beside its successor
        until MAX_HOLD_BEYOND_LEASE_MS: its orders are refused, but it resumes
        replicas that the successor has paused.
        """
        change = self.directory.own_value(LEASE_KEY)
        if change is None:
            return ''
        found = self._decode(change.value)
        is_newer = found is not None and found.token > self.token
        return found.holder if is_newer else ''

    async def _wait_for_recheck(self) -> bool:
        """Wait for the next renewal; return whether a recheck is requested."""
        try:
            async with asyncio.timeout(RENEW_INTERVAL_S):
                return await self.recheck_requested.wait()
        except TimeoutError:
            return False

    async def _recheck(self) -> None:
        """Check that the lease is still held after an order was refused."""
        found = await self._read_holder()
        self._note_era()
        if not self.holds:
            return
        if isinstance(found, _Holder) and found.holder == self.incarnation:
            self.on_change(True, self.token)
            return
        if isinstance(found, key_value.Unavailable):
            # The holder is unknown, so stop holding.
            self.log.emit(
                'duty', 'duty in doubt', inputs={'detail': found.detail}
            )
        self.give_up('an order was refused')


def listed_holder(
    directory: directories.Directory, log: events.EventLog
) -> str:
    """Return the holder's incarnation, empty if none is known."""
    change = directory.own_value(LEASE_KEY)
    if change is None:
        return ''
    found = stored_values.decode(log, LEASE_KEY, change.value, _decode_holder)
    return '' if found is None else found.holder


def _next_block(last_token: int | None, era: int) -> int:
    return max(last_token or 0, era * ERA_TOKENS) + BLOCK_TOKENS


def _parse_token(text: str) -> int:
    token = int(text)
    if not 0 <= token <= MAX_TOKEN:
        raise ValueError('a token is out of range')
    return token


def _revision(listed: revisions.Change | None) -> int:
    return 0 if listed is None else listed.revision
