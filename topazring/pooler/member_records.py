"""Keep each group's record of its members in the store.

The holder of the promotion lease writes it when the members change, one call
per change and group. A write that fails is repeated until the record is as
the group needs it or the lease is lost. Without the lease a record is only
created.
"""

import asyncio
import collections.abc
import typing

import msgspec

from topazring.core import revisions
from topazring import key_value
from topazring.plumbing import events
from topazring.plumbing import supervision
from topazring.pooler import directory as directories
from topazring.pooler import stored_values

__all__ = ['KEY_PREFIX', 'MemberRecords']

KEY_PREFIX = directories.OWN_PREFIX + 'members/'
# An older record only makes a later start wait longer for a member.
RETRY_S = 0.5
MAX_KEY_BYTES = 200

# Counts services whose names are too long for a key of the store.
UNWRITABLE = 'member_record_unwritable'

Members = frozenset[tuple[str, int]]
_Name = typing.Annotated[str, msgspec.Meta(min_length=1)]
_BornMs = typing.Annotated[int, msgspec.Meta(ge=0)]


class _Record(msgspec.Struct):
    """Value of the record of one group."""

    # Names and the start times of their processes.
    members: typing.Annotated[
        list[tuple[_Name, _BornMs]], msgspec.Meta(min_length=1)
    ]
    # The era of the store in which it was written.
    era: typing.Annotated[int, msgspec.Meta(ge=0)] = 0


_decode = msgspec.json.Decoder(_Record).decode


class MemberRecords:
    """Read the records of all groups, and write those that change."""

    def __init__(
        self,
        store: key_value.Store,
        directory: directories.Directory,
        log: events.EventLog,
        holds_lease: collections.abc.Callable[[], bool],
    ):
        self.store = store
        self.directory = directory
        self.log = log
        self.holds_lease = holds_lease
        # By service, records that are not yet written.
        self.pending: dict[str, Members] = {}
        # By key, the revision that this process last wrote.
        self.written: dict[str, int] = {}
        # By key, the value of the last write.
        self.sent: dict[str, str] = {}
        # Services whose names are too long for a key.
        self.unwritable: set[str] = set()
        log.counters[UNWRITABLE] += 0
        self.requested = asyncio.Event()
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start writing records."""
        self.task = supervision.start(
            'member_records', self._write_forever, self.log
        )

    def close(self) -> None:
        """Stop writing records."""
        if self.task is not None:
            self.task.cancel()

    def read(self, service: str) -> Members | None:
        """Return the recorded members, None without a valid record."""
        record = self._read(service)
        return None if record is None else frozenset(record.members)

    def is_current(self, service: str) -> bool:
        """Return whether no newer record may have been lost by the store."""
        record = self._read(service)
        return record is not None and record.era >= self.directory.era

    def _read(self, service: str) -> _Record | None:
        change = self.directory.own_value(KEY_PREFIX + service)
        if change is None:
            return None
        return stored_values.decode(
            self.log, change.key, change.value, _decode
        )

    def is_own(self, service: str) -> bool:
        """Return whether this process wrote a record, or has replaced it.

        Its writes replace only what it had read.
        """
        key = KEY_PREFIX + service
        change = self.directory.own_value(key)
        if change is None or not self.is_current(service):
            return False
        is_older = change.revision <= self.written.get(key, 0)
        return is_older or change.value == self.sent.get(key)

    def write(self, service: str, members: Members) -> None:
        """Write a record soon, instead of any that is not yet written.

        A group whose name is too long for a key of the store has no record.
        """
        if len((KEY_PREFIX + service).encode()) > MAX_KEY_BYTES:
            self._report_unwritable(service)
            return
        self.pending[service] = members
        self.requested.set()

    def _report_unwritable(self, service: str) -> None:
        if service in self.unwritable:
            return
        self.unwritable.add(service)
        self.log.count(UNWRITABLE)
        self.log.emit('members', 'name too long for a record', '', service)

    async def _write_forever(self) -> None:
        while True:
            await self.requested.wait()
            self.requested.clear()
            for service, members in list(self.pending.items()):
                if not self._may_write(service):
                    del self.pending[service]
                    continue
                is_written = await self._write(service, members)
                if is_written and self.pending.get(service) == members:
                    del self.pending[service]
            if self.pending:
                await asyncio.sleep(RETRY_S)
                self.requested.set()

    def _may_write(self, service: str) -> bool:
        """Return whether this process holds the lease or creates a record."""
        key = KEY_PREFIX + service
        is_absent = self.directory.own_value(key) is None
        return self.holds_lease() or (is_absent and key not in self.written)

    async def _write(self, service: str, members: Members) -> bool:
        """Write a record; return whether the store holds it."""
        if self.directory.unavailable_since_ms is not None:
            return False
        key = KEY_PREFIX + service
        change = self.directory.own_value(key)
        if self.is_current(service) and self.read(service) == members:
            if change.revision >= self.written.get(key, 0):
                return True
        record = _Record(sorted(members), self.directory.era)
        text = msgspec.json.encode(record).decode()
        self.sent[key] = text
        answer = await self.store.put_all(
            (key_value.Value(key, text, self._revision(key, change)),)
        )
        if not isinstance(answer, key_value.Written):
            # The watch soon shows a write of unknown result, or of another.
            self.written.pop(key, None)
            return False
        self.written[key] = answer.revision
        return True

    def _revision(self, key: str, change: revisions.Change | None) -> int:
        """Return the newest known revision of a record, 0 if it is absent."""
        listed = 0 if change is None else change.revision
        return max(listed, self.written.get(key, 0))
