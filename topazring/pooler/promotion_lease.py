"""Hold, as one of all proxies, the duty to promote.

A value under a lease names the holder. With it comes a block of tokens: each
order that means something else takes the next one, so that an order that
arrives late is outdone by a newer, and no call is needed at the moment of a
loss. The blocks are counted in a value without a lease: a later holder's
tokens are always higher.
"""

import asyncio
import collections.abc
import random

import msgspec

from topazring.core import revisions
from topazring import key_value
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import directory as directories

__all__ = ['PromotionLease']

LEASE_KEY = directories.OWN_PREFIX + 'duty'
TOKEN_BLOCK_KEY = directories.OWN_PREFIX + 'block'
# Orders that one holder can tell apart in its time; a promotion takes one,
# so thousands of promotions fit.
BLOCK_TOKENS = 10_000
# Until the lease of a holder that died has ended nobody can be promoted. It
# has to outlast one renewal that is swallowed: two periods, and the time that
# one waits for its answer. On a replayed day a lost holder was followed 3.0 s
# later; with a lease of 3 s, 4.2 s later.
TTL_MS = 2000
RENEW_INTERVAL_S = 0.6
# While the service is away nobody else can take the duty, and the holder
# goes on. If it is this instance alone that is turned away, another takes
# over with higher tokens, and peers tell; past this it stops in any case.
MAX_HOLD_BEYOND_LEASE_MS = 15_000
# All see at the same time that the duty is free.
JITTER_S = 0.15
# A fleet that starts does, and its proxies do not know each other yet. The
# first of eight is there after a tenth of a second, of two hundred at once.
STARTUP_JITTER_S = 1.0
# Who only hears what changes leaves the duty to those that follow the
# service: of a large fleet hundreds would write for it at once.
NON_FOLLOWER_DELAY_S = 1.0
RETRY_S = 0.5
# Right before an order the holder asks for so long whether it still holds the
# duty. The store and peers answer in milliseconds; each 100 ms more keep a
# group without a primary for as long.
ORDER_CHECK_TIMEOUT_S = 0.25
# Partitions last for seconds; if all others are as badly off, this one tries
# again after that.
YIELD_PAUSE_MS = 3000


class _Holder(msgspec.Struct):
    """Hold what the duty's value says."""

    holder: str
    token: int


# What reading the duty's value gives; a value that names nobody is missing.
_HolderRead = _Holder | key_value.Missing | key_value.Unavailable


class PromotionLease:
    """Take, keep and give back the duty."""

    def __init__(
        self,
        incarnation: str,
        store: key_value.Store,
        directory: directories.Directory,
        log: events.EventLog,
        told: collections.abc.Callable[[bool, int], None],
    ):
        self.incarnation = incarnation
        self.store = store
        self.directory = directory
        self.log = log
        self.told = told
        self.holds = False
        self.token = 0
        self.lease = 0
        self.valid_until_ms = 0
        self.doubted = asyncio.Event()
        self.yielded_ms = -YIELD_PAUSE_MS
        self.jitter_s = STARTUP_JITTER_S
        self.ending: asyncio.Task | None = None
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to try for the duty."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Give the duty back."""
        if self.task is not None:
            self.task.cancel()
        lease, self.lease = self.lease, 0
        if self.holds:
            self._lose('leaves')
        if lease:
            await self.store.end(lease)

    def request_recheck(self) -> None:
        """Ask the service again: an order was refused."""
        self.doubted.set()

    def yield_lease(self, why: str) -> None:
        """Give the duty up, and leave it to others for a while."""
        if not self.holds:
            return
        self.yielded_ms = clock.boottime_ms()
        lease, self.lease = self.lease, 0
        self._lose(why)
        if lease:
            self.ending = asyncio.create_task(self.store.end(lease))

    async def verify_holder(self) -> bool:
        """Make sure, right before an order, that the duty is still ours.

        The platform may carry out whatever it is told, also by a holder that
        was overtaken: frozen, cut off, or turned away by the store while its
        lease was given to another. One would notice by an order with a lower
        token than one that went before, which undoes the successor's choice.
        While the store does not answer a peer has to say that it knows of no
        successor: who reaches neither is cut off.
        """
        if not self.holds:
            return False
        if self.directory.unavailable_since_ms is None:
            answer = await self._check_holder()
            if isinstance(answer, _Holder):
                return self._is_ours(answer)
            if isinstance(answer, key_value.Missing):
                self._give_up('the duty has no holder')
                return False
        if not await self.directory.ask_peers(ORDER_CHECK_TIMEOUT_S):
            self._give_up('neither store nor peers answer')
            return False
        successor = self._successor()
        if successor:
            self._give_up(f'{successor} holds it')
        return self.holds

    async def _check_holder(self) -> _HolderRead:
        """Read who holds the duty in the time that an order has for it."""
        try:
            async with asyncio.timeout(ORDER_CHECK_TIMEOUT_S):
                return await self._read_holder()
        except TimeoutError:
            return key_value.Unavailable('no answer in time')

    async def _read_holder(self) -> _HolderRead:
        answer = await self.store.get(LEASE_KEY)
        if isinstance(answer, key_value.Found):
            found = self._decode(answer.value)
            return found or key_value.Missing()
        return answer

    def _decode(self, text: str) -> _Holder | None:
        """Return who holds the duty, None if somebody else wrote the value."""
        try:
            return msgspec.json.decode(text, type=_Holder)
        except msgspec.MsgspecError as error:
            self.log.emit('duty', 'bad entry', inputs={'error': str(error)})
            return None

    def _is_ours(self, found: _Holder) -> bool:
        """Say whether a holder is this process; if not, it is overtaken."""
        if found.holder == self.incarnation:
            return self.holds
        self._give_up(f'{found.holder} holds it')
        return False

    def _give_up(self, why: str) -> None:
        self.lease = 0
        if self.holds:
            self._lose(why)

    async def _run(self) -> None:
        while True:
            if self.holds:
                await self._keep()
            elif self._is_free():
                await self._try()
            else:
                await self._changed()

    def _is_free(self) -> bool:
        if clock.boottime_ms() - self.yielded_ms < YIELD_PAUSE_MS:
            return False
        known = self.directory.known.seen > 0
        return known and self.directory.own_value(LEASE_KEY) is None

    async def _changed(self) -> None:
        self.directory.own_changed.clear()
        try:
            async with asyncio.timeout(RETRY_S):
                await self.directory.own_changed.wait()
        except TimeoutError:
            # Looked at again in any case: the event may have been missed.
            return

    async def _try(self) -> None:
        pause_s = random.uniform(0, self.jitter_s)
        self.jitter_s = JITTER_S
        if not self.directory.follows:
            pause_s += NON_FOLLOWER_DELAY_S
        await asyncio.sleep(pause_s)
        if not self._is_free():
            return
        asked_ms = clock.boottime_ms()
        leased = await self.store.lease(TTL_MS)
        if not isinstance(leased, key_value.Leased):
            await asyncio.sleep(RETRY_S)
            return
        # Never one of an earlier try: it would end before its first renewal,
        # and the duty with it.
        self.lease = leased.lease
        block = self.directory.own_value(TOKEN_BLOCK_KEY)
        token = _next_block(block)
        holder = _Holder(self.incarnation, token)
        text = msgspec.json.encode(holder).decode()
        answer = await self.store.put_all(
            (
                key_value.Value(LEASE_KEY, text, 0, self.lease),
                key_value.Value(
                    TOKEN_BLOCK_KEY, str(token), block.revision if block else 0
                ),
            )
        )
        if isinstance(answer, key_value.Written):
            self._gain(token, asked_ms)
            return
        if isinstance(answer, key_value.Unavailable):
            await self._look(asked_ms)
        await asyncio.sleep(JITTER_S)

    async def _look(self, asked_ms: int) -> None:
        """Find out whether a write without an answer took effect."""
        found = await self._read_holder()
        if isinstance(found, _Holder) and found.holder == self.incarnation:
            self._gain(found.token, asked_ms)

    def _gain(self, token: int, asked_ms: int) -> None:
        self.holds = True
        self.token = token
        self.valid_until_ms = asked_ms + TTL_MS
        self.log.emit('duty', 'duty gained', inputs={'token': token})
        self.told(True, token)

    def _lose(self, why: str) -> None:
        self.holds = False
        self.log.emit(
            'duty', 'duty lost', inputs={'why': why, 'token': self.token}
        )
        self.told(False, 0)

    async def _keep(self) -> None:
        if await self._is_doubted():
            self.doubted.clear()
            await self._confirm()
            return
        successor = self._successor()
        if successor:
            self._give_up(f'{successor} holds it')
            return
        asked_ms = clock.boottime_ms()
        answer = await self.store.renew_lease(self.lease)
        if isinstance(answer, key_value.Leased):
            self.valid_until_ms = asked_ms + TTL_MS
        elif isinstance(answer, key_value.Missing):
            self._give_up('the lease has ended')
        elif (
            clock.boottime_ms()
            > self.valid_until_ms + MAX_HOLD_BEYOND_LEASE_MS
        ):
            self._give_up('the service has been away for too long')

    def _successor(self) -> str:
        """Return who has taken the duty over, empty if nobody is known to.

        A holder that the service turns away learns it from its peers, who
        still read there. Without that it acts beside its successor until it
        is past its lease for long: its orders are refused, but it resumes
        replicas that the other has paused.
        """
        change = self.directory.own_value(LEASE_KEY)
        if change is None:
            return ''
        found = self._decode(change.value)
        newer = found is not None and found.token > self.token
        return found.holder if newer else ''

    async def _is_doubted(self) -> bool:
        """Wait until the next renewal, or until the duty is in doubt."""
        try:
            async with asyncio.timeout(RENEW_INTERVAL_S):
                return await self.doubted.wait()
        except TimeoutError:
            return False

    async def _confirm(self) -> None:
        """Ask whether the duty is still ours after an order was refused."""
        found = await self._read_holder()
        if isinstance(found, _Holder) and found.holder == self.incarnation:
            self.told(True, self.token)
            return
        if isinstance(found, key_value.Unavailable):
            # Whether another holds it cannot be told, so do nothing.
            self.log.emit(
                'duty', 'duty in doubt', inputs={'detail': found.detail}
            )
        self._give_up('an order was refused')


def _next_block(block: revisions.Change | None) -> int:
    return BLOCK_TOKENS + (int(block.value) if block is not None else 0)
