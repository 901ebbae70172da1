"""Record in the store which promotion orders may still be carried out.

An order that was accepted takes effect some hundred ms later and, where the
platform checks no tokens, one that got no answer may be carried out after any
later one. So the next holder of the promotion lease has to know of it. One
value names the holder's first token and, by service, the upstreams that its
orders may still promote. It is written before an order is sent, and again once
the order is settled.

A platform that checks tokens is sent the order also if the store does not
answer at once: a primary that is lost while the store is away has to be
replaced. The next holder then does not know of the order until it is recorded.

The value also names the members that may still obey a resume of a holder: it
is written before they are resumed, and again once all have answered.

Acquiring the lease writes the value too, on condition of the revision that
was read. A holder that was replaced therefore records no further order.
"""

import asyncio
import collections.abc
import contextlib

import msgspec

from topazring.core import revisions
from topazring import key_value
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.plumbing import supervision
from topazring.pooler import directory as directories
from topazring.pooler import stored_values

__all__ = ['KEY', 'OrderRecords']

KEY = directories.OWN_PREFIX + 'orders'
# A group without a primary waits for the record.
RECORD_TIMEOUT_S = 1.0
# The same for an order that is sent without a record as well, and for a
# resume, which is tried again.
OPTIONAL_RECORD_TIMEOUT_S = 0.1
RETRY_S = 0.05
# A settled order that is still recorded only makes the next holder wait.
SETTLED_RETRY_S = 0.5


class _Record(msgspec.Struct, omit_defaults=True):
    """Value of the record."""

    # First token of the holder that wrote it.
    token: int
    # By service, the upstreams that orders may still promote.
    upstreams: dict[str, list[str]] = {}
    # Orders for other upstreams may be carried out as well.
    is_incomplete: bool = False
    # By service, the members that may still obey a resume.
    resumed: dict[str, list[str]] = {}


_decode = msgspec.json.Decoder(_Record).decode


class OrderRecords:
    """Write the record while this process holds the promotion lease."""

    def __init__(
        self,
        store: key_value.Store,
        directory: directories.Directory,
        log: events.EventLog,
        late_order_ms: int,
        handle_lost: collections.abc.Callable[[str], None],
        is_optional: bool = False,
    ):
        self.store = store
        self.directory = directory
        self.log = log
        self.late_order_ms = late_order_ms
        # Called when another process has acquired the lease.
        self.handle_lost = handle_lost
        # Whether an order is also sent if it cannot be recorded.
        self.is_optional = is_optional
        # First token of this holder, 0 while the lease is not held.
        self.token = 0
        # What was recorded when the lease was acquired.
        self.earlier: dict[str, frozenset[str]] = {}
        self.earlier_resumed: dict[str, frozenset[str]] = {}
        self.is_earlier_incomplete = False
        # Until when orders may be carried out that nobody has recorded.
        self.incomplete_until_ms = 0
        # What the record is to hold, and what the store surely holds; None
        # from a write until its answer, or until the record was read.
        self.wanted: dict[str, frozenset[str]] = {}
        self.stored: dict[str, frozenset[str]] | None = {}
        self.wanted_resumed: dict[str, frozenset[str]] = {}
        self.stored_resumed: dict[str, frozenset[str]] = {}
        self.is_stored_incomplete = False
        # Revision of the record, None while it is not known.
        self.revision: int | None = None
        # A write got no answer. It may be done later, as long as the record
        # has the revision that it names.
        self.is_unresolved = False
        self.lock = asyncio.Lock()
        self.settled = asyncio.Event()
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start removing settled orders from the record."""
        self.task = supervision.start(
            'order_records', self._write_settled_forever, self.log
        )

    def close(self) -> None:
        """Stop writing."""
        if self.task is not None:
            self.task.cancel()

    # ---- the lease ----

    def claim(
        self, token: int, last_token: int | None, least_token: int
    ) -> key_value.Value:
        """Return the write that belongs to acquiring the lease.

        `last_token` names the last block of tokens that was reserved, None
        without one, and `least_token` the first one of the present era of the
        store. The record is complete if the holder of that block wrote it, in
        this era.
        """
        listed = self.directory.own_value(KEY)
        record = None if listed is None else self._decode(listed.value)
        self.is_earlier_incomplete = not _is_complete(
            record, last_token, least_token
        )
        self.earlier, self.earlier_resumed = {}, {}
        if record is not None:
            self.earlier = _as_sets(record.upstreams)
            self.earlier_resumed = _as_sets(record.resumed)
        text = _encode(
            token,
            self.earlier,
            self.is_earlier_incomplete,
            self.earlier_resumed,
        )
        return key_value.Value(KEY, text, _revision(listed))

    def begin(self, token: int) -> None:
        """Begin to record orders: the lease was acquired with the claim."""
        self.token = token
        self.wanted = dict(self.earlier)
        self.stored = dict(self.earlier)
        self.wanted_resumed = dict(self.earlier_resumed)
        self.stored_resumed = dict(self.earlier_resumed)
        self.revision = None
        # The write of the claim moved the revision.
        self.is_unresolved = False
        self.is_stored_incomplete = self.is_earlier_incomplete
        if self.is_earlier_incomplete:
            now_ms = clock.boottime_ms()
            self.incomplete_until_ms = now_ms + self.late_order_ms
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_order_ms / 1000, self.settled.set)
        inputs = {
            'token': token,
            'upstreams': {
                name: sorted(self.earlier[name]) for name in self.earlier
            },
            'is_incomplete': self.is_earlier_incomplete,
            'resumed': {
                name: sorted(self.earlier_resumed[name])
                for name in self.earlier_resumed
            },
        }
        self.log.emit('duty', 'earlier orders', inputs=inputs)
        # Reads the revision now, so that an order need not wait for it.
        self.settled.set()

    def end(self) -> None:
        """Record no further orders: the lease is not held any more."""
        self.token = 0

    # ---- orders ----

    async def record(self, service: str, upstream: str) -> bool:
        """Record an order; return whether the store holds the record."""
        if not self.token:
            return False
        self.wanted[service] = self.outstanding(service) | {upstream}
        is_recorded = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._timeout_s()):
                is_recorded = await self._record(service, upstream)
        if not is_recorded:
            inputs = {'upstream': upstream}
            self.log.emit('duty', 'order not recorded', '', service, inputs)
            self.settled.set()
        return is_recorded

    def _timeout_s(self) -> float:
        """Return how long an order waits for its record."""
        if not self.is_optional:
            return RECORD_TIMEOUT_S
        if self.directory.unavailable_since_ms is not None:
            # It is written as soon as the store is back.
            return 0.0
        return OPTIONAL_RECORD_TIMEOUT_S

    async def _record(self, service: str, upstream: str) -> bool:
        """Write until the store holds an order, or it is not to any more."""
        token = self.token
        while not self._is_stored(service, upstream):
            if not await self._write():
                await asyncio.sleep(RETRY_S)
            is_wanted = upstream in self.outstanding(service)
            if self.token != token or not is_wanted:
                return False
        return self.token == token

    def keep_only(
        self, service: str, upstreams: collections.abc.Set[str]
    ) -> None:
        """Remove the settled orders of a service from the record soon."""
        if not self.token:
            return
        self.wanted[service] = frozenset(upstreams)
        if not upstreams:
            del self.wanted[service]
        self.settled.set()

    async def record_resumes(
        self, service: str, members: frozenset[str]
    ) -> bool:
        """Record which members may still obey a resume.

        Return whether the store holds the record.
        """
        if not self.token:
            return False
        self.wanted_resumed[service] = members
        if not members:
            del self.wanted_resumed[service]
        self.settled.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OPTIONAL_RECORD_TIMEOUT_S):
                if await self._store_resumes(service, members):
                    return True
        inputs = {'members': sorted(members)}
        self.log.emit('duty', 'resumes not recorded', '', service, inputs)
        return False

    async def _store_resumes(
        self, service: str, members: frozenset[str]
    ) -> bool:
        """Write until the store holds these members, or others are wanted."""
        token = self.token
        while not self._is_up_to_date():
            if not await self._write():
                await asyncio.sleep(RETRY_S)
            if self.token != token or self.resumed(service) != members:
                return False
        return self.token == token

    def resumed(self, service: str) -> frozenset[str]:
        """Return the members that may still obey a resume, by this record."""
        return self.wanted_resumed.get(service, frozenset())

    def outstanding(self, service: str) -> frozenset[str]:
        """Return the upstreams that orders may promote, by this record."""
        return self.wanted.get(service, frozenset())

    def _is_stored(self, service: str, upstream: str) -> bool:
        if self.stored is None or self.is_unresolved:
            return False
        return upstream in self.stored.get(service, frozenset())

    def is_incomplete(self) -> bool:
        """Return whether orders may be carried out that nobody recorded."""
        return clock.boottime_ms() < self.incomplete_until_ms

    def _is_up_to_date(self) -> bool:
        return (
            self.wanted == self.stored
            and self.wanted_resumed == self.stored_resumed
            and self.is_stored_incomplete == self.is_incomplete()
            and not self.is_unresolved
        )

    def _is_ready(self) -> bool:
        return self.revision is not None and self._is_up_to_date()

    async def _write_settled_forever(self) -> None:
        while True:
            await self.settled.wait()
            self.settled.clear()
            while self.token and not self._is_ready():
                if not await self._write():
                    await asyncio.sleep(SETTLED_RETRY_S)

    async def _write(self) -> bool:
        """Write the record once; return whether the store holds it."""
        async with self.lock:
            token = self.token
            if not token:
                return False
            if self.revision is None and not await self._read(token):
                return False
            if self._is_up_to_date():
                return True
            wanted = dict(self.wanted)
            resumed = dict(self.wanted_resumed)
            is_incomplete = self.is_incomplete()
            text = _encode(token, wanted, is_incomplete, resumed)
            revision, self.revision = self.revision, None
            self.stored = None
            self.is_unresolved = True
            answer = await self.store.put_all(
                (key_value.Value(KEY, text, revision),)
            )
            if not isinstance(answer, key_value.Written):
                # Whether it took effect shows when the record is read.
                return False
            if self.token == token:
                self.revision = answer.revision
                self.stored = wanted
                self.stored_resumed = resumed
                self.is_stored_incomplete = is_incomplete
                self.is_unresolved = False
            return True

    async def _read(self, token: int) -> bool:
        """Read the record; give the lease up if it is another's."""
        answer = await self.store.get(KEY)
        if isinstance(answer, key_value.Unavailable) or self.token != token:
            return False
        record = None
        if isinstance(answer, key_value.Found):
            record = self._decode(answer.value)
        if record is None or record.token != token:
            self.handle_lost('the record of orders is of another')
            return False
        self.revision = answer.revision
        self.stored = _as_sets(record.upstreams)
        self.stored_resumed = _as_sets(record.resumed)
        self.is_stored_incomplete = record.is_incomplete
        return True

    def _decode(self, text: str) -> _Record | None:
        return stored_values.decode(self.log, KEY, text, _decode)


def _encode(
    token: int,
    upstreams: collections.abc.Mapping[str, frozenset[str]],
    is_incomplete: bool,
    resumed: collections.abc.Mapping[str, frozenset[str]],
) -> str:
    record = _Record(
        token, _as_lists(upstreams), is_incomplete, _as_lists(resumed)
    )
    return msgspec.json.encode(record).decode()


def _as_lists(
    names: collections.abc.Mapping[str, frozenset[str]],
) -> dict[str, list[str]]:
    return {service: sorted(names[service]) for service in sorted(names)}


def _as_sets(
    names: collections.abc.Mapping[str, list[str]],
) -> dict[str, frozenset[str]]:
    return {service: frozenset(names[service]) for service in names}


def _is_complete(
    record: _Record | None,
    last_token: int | None,
    least_token: int,
) -> bool:
    """Return whether a record names all orders that earlier holders sent.

    It does if the holder of the last block of tokens wrote it, in the present
    era of the store. An older build, and a holder that took the platform to
    check tokens, write none.
    """
    if last_token is None:
        # Nobody has held the lease, or an older copy of the store lacks it.
        return not least_token
    return (
        record is not None
        and record.token == last_token >= least_token
        and not record.is_incomplete
    )


def _revision(listed: revisions.Change | None) -> int:
    return 0 if listed is None else listed.revision
