"""Simulate a group with synchronous replicas, logs and terms, on sockets.

A commit is answered once a replica has received it. Members receive nothing
while they are paused, deaf (see `deaf_until_ms`), down, or partitioned from
the primary.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random
import time

from topazring.core.synchronous import statements
from topazring.platform.tests import fake_upstreams
from topazring.soak import observations

Entry = observations.Entry
Verb = statements.Verb

# Time for which a replaced primary that was cut off from its successor still
# acts as primary after it can reach the successor again.
STEP_DOWN_MS = 1000
TICK_S = 0.03
MAX_DELAY_MS = 6.0
BUSY_SHARE = 0.005


def now_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


@dataclasses.dataclass
class Member(fake_upstreams.Member):
    """Hold one upstream with its log and faults."""

    log: list[Entry] = dataclasses.field(default_factory=list)
    # Number of log entries that are applied.
    applied: int = 0
    lag_ms: float = 10.0
    # It receives nothing from its primary before this time.
    deaf_until_ms: float = 0.0
    # Whether its process or machine is down; its log is retained.
    is_down: bool = False
    listed: bool = False
    leaving: bool = False
    born_ms: int = 1
    # Time since which a replaced primary has been able to reach its
    # successor.
    superseded_since_ms: float | None = None
    # Term, position and waiter of each commit that no replica has received.
    waiting: list[tuple[int, int, asyncio.Future]] = dataclasses.field(
        default_factory=list
    )

    def position_text(self, upto: int) -> str:
        """Return the log position of an entry as text."""
        return f'{self.log[upto - 1].term}.{upto}' if upto else '0.0'


class Group(fake_upstreams.FakeGroup):
    """Run upstreams that each have a log of their own."""

    def __init__(
        self,
        service: str,
        ports: list[int],
        note: collections.abc.Callable[[object], None],
        promote_ms: float,
    ):
        super().__init__(service, ports)
        self.note = note
        self.promote_ms = promote_ms
        self.rng = random.Random()
        self.term = 1
        self.cut_pairs: set[frozenset[str]] = set()
        self.items: dict[str, list[tuple[Entry, str]]] = (
            collections.defaultdict(list)
        )
        # Called with each member whose store entry has to be updated.
        self.changed: collections.abc.Callable[[Member], None] = print
        self.ticking: asyncio.Task | None = None
        first = Entry(1, 1, '')
        self.members: list[Member] = [
            Member(m.name, m.port, m.role, log=[first], applied=1)
            for m in self.members
        ]

    def start(self) -> None:
        """Start every upstream and the replication."""
        super().start()
        leader = self.members[0]
        self.note(observations.Led(now_ms(), leader.name, 1, leader.log))
        self.ticking = asyncio.create_task(self._tick())

    def close(self) -> None:
        """Stop the replication and every upstream."""
        self.ticking.cancel()
        super().close()

    def make_server(self, member: Member) -> fake_upstreams.Server:
        """Return a server for a member."""
        return Server(self, member)

    def member(self, name: str) -> Member | None:
        """Return a member, or None if it was removed."""
        return next((m for m in self.members if m.name == name), None)

    def primary(self) -> Member:
        """Return the primary of the newest term.

        Without any primary, returns a member with the newest term.
        """
        leading = [m for m in self.members if m.role == 'primary']
        return max(leading or self.members, key=lambda m: m.term)

    # ---- replication ----

    async def _tick(self) -> None:
        while True:
            for member in self.members:
                if member.role == 'primary':
                    self.replicate(member)
                    self._step_down(member)
            await asyncio.sleep(TICK_S)

    def call_after(self, after_ms: float, step, *arguments) -> None:
        """Call `step` after a delay."""
        loop = asyncio.get_running_loop()
        loop.call_later(after_ms / 1000, step, *arguments)

    def delay_ms(self) -> float:
        """Return a random delay for a message between members."""
        return self.rng.uniform(0.5, MAX_DELAY_MS)

    def replicate(self, primary: Member) -> None:
        """Send the log to all members that are behind."""
        for member in self.members:
            behind = len(member.log) < len(primary.log)
            if member is not primary and (
                behind or member.term < primary.term
            ):
                self.call_after(
                    self.delay_ms(), self._receive, primary, member
                )

    def is_far(self, member: Member) -> bool:
        """Return whether a split is between a member and the store."""
        return False

    def is_cut(self, one: Member, other: Member) -> bool:
        """Return whether two members cannot reach each other."""
        if self.is_far(one) != self.is_far(other):
            return True
        pair = frozenset((one.name, other.name))
        return one.is_down or other.is_down or pair in self.cut_pairs

    def _receive(self, primary: Member, member: Member) -> None:
        if primary.role != 'primary' or member.role == 'primary':
            return
        if member.paused_for_term or member not in self.members:
            return
        if now_ms() < member.deaf_until_ms or self.is_cut(primary, member):
            return
        if member.term > primary.term or self._reaches_newer_primary(
            member, primary
        ):
            return
        same = member.term == primary.term
        if same and len(member.log) >= len(primary.log):
            return
        self.truncate_log(member, primary)
        member.term = primary.term
        member.log.extend(primary.log[len(member.log) :])
        received = len(member.log)
        self.call_after(self.delay_ms(), self._confirm, primary, received)
        self.call_after(
            member.lag_ms, self._apply, member, member.log, received
        )

    def _reaches_newer_primary(self, member: Member, primary: Member) -> bool:
        return any(
            other.role == 'primary'
            and other.term > primary.term
            and not self.is_cut(other, member)
            for other in self.members
        )

    def _apply(self, member: Member, log: list[Entry], upto: int) -> None:
        if member.log is log:
            member.applied = max(member.applied, min(upto, len(log)))

    def _confirm(self, primary: Member, upto: int) -> None:
        if primary.role != 'primary' or primary.is_down:
            return
        remaining = []
        for term, number, waiter in primary.waiting:
            if term != primary.term or number > upto:
                remaining.append((term, number, waiter))
            elif not waiter.done():
                waiter.set_result(True)
        primary.waiting = remaining

    def truncate_log(self, other: Member, primary: Member) -> None:
        """Truncate a member's log to the prefix shared with its primary."""
        shared = min(len(other.log), len(primary.log))
        while shared and other.log[shared - 1] is not primary.log[shared - 1]:
            shared -= 1
        del other.log[shared:]
        other.applied = min(other.applied, shared)

    async def append(
        self, member: Member, request_id: str, writes: list[tuple[str, str]]
    ) -> bool:
        """Commit; return whether a replica has received the entry.

        Waits until one has, or until the member stops being the primary.
        """
        number = len(member.log) + 1
        entry = Entry(member.term, number, request_id, tuple(writes))
        self.note(observations.Committed(now_ms(), member.name, entry))
        member.log.append(entry)
        member.applied = number
        for item, data in writes:
            self.items[item].append((entry, data))
        waiter = asyncio.get_running_loop().create_future()
        member.waiting.append((member.term, number, waiter))
        self.replicate(member)
        return await waiter

    def read(self, member: Member, item: str) -> str | None:
        """Return an item's value in the applied state of a member."""
        for entry, data in reversed(self.items[item]):
            at = entry.position
            if at <= member.applied and member.log[at - 1] is entry:
                return data
        return None

    def _fail_waiting(self, member: Member) -> None:
        for _, _, waiter in member.waiting:
            if not waiter.done():
                waiter.set_result(False)
        member.waiting = []

    # ---- promotion ----

    def promote(self, service: str, name: str) -> bool:
        """Make a member the next primary after `promote_ms`.

        Returns whether the order is accepted.
        """
        member = self.member(name)
        if member is None or member.is_down or service != self.service:
            return False
        if member.role != 'primary':
            self.call_after(
                self.promote_ms, self._lead, member, member.born_ms
            )
        return True

    def _lead(self, member: Member, born_ms: int) -> None:
        gone = member not in self.members or member.born_ms != born_ms
        if gone or member.is_down or member.role == 'primary':
            return
        self.term += 1
        led = observations.Led(now_ms(), member.name, self.term, member.log)
        self.note(led)
        for other in self.members:
            if other is member:
                continue
            if other.role == 'primary':
                self._demote_replaced(other, member)
            elif not self.is_cut(other, member):
                self.truncate_log(other, member)
                other.paused_for_term = 0
                other.term = self.term
        member.role = 'primary'
        member.term = self.term
        member.paused_for_term = 0
        member.applied = len(member.log)
        self.changed(member)
        self.replicate(member)

    def _demote_replaced(self, old: Member, successor: Member) -> None:
        if self.is_cut(old, successor):
            # It stays primary until it can reach its successor.
            old.superseded_since_ms = None
            return
        self.become_replica(old)

    def become_replica(self, old: Member) -> None:
        """Demote a primary; its waiting commits fail."""
        old.role = 'replica'
        old.superseded_since_ms = None
        self._fail_waiting(old)
        self.changed(old)

    def _step_down(self, old: Member) -> None:
        # The successor may have been demoted since.
        newest = max(
            self.members, key=lambda each: (each.term, each.role == 'primary')
        )
        if newest is old or newest.term <= old.term:
            return
        if self.is_cut(old, newest):
            old.superseded_since_ms = None
        elif old.superseded_since_ms is None:
            old.superseded_since_ms = now_ms()
        elif now_ms() - old.superseded_since_ms >= STEP_DOWN_MS:
            self.become_replica(old)

    # ---- membership and crashes ----

    def add_replica(self, port: int) -> Member:
        """Start a new replica that is not listed yet."""
        name = f'i-{port}'
        member = Member(name, port, 'replica', term=0, born_ms=_wall_ms())
        self.members.append(member)
        self.listen(member)
        self.replicate(self.primary())
        return member

    def remove_member(self, member: Member) -> None:
        """Remove a member and its log permanently."""
        self.crash(member.name)
        self.members.remove(member)

    def crash(self, name: str) -> None:
        """Crash one upstream and close its connections."""
        member = self.member(name)
        member.is_down = True
        self._fail_waiting(member)
        if name in self.servers:
            super().crash(name)

    def restart_member(self, member: Member, empty: bool = False) -> None:
        """Restart a crashed member, with its log or with an empty one."""
        member.is_down = False
        member.paused_for_term = 0
        if empty:
            member.log, member.applied, member.term = [], 0, 0
            member.role = 'replica'
            member.born_ms = _wall_ms()
        elif member.role == 'primary' and member.term < self.term:
            member.role = 'replica'
        self.listen(member)
        self.changed(member)

    def is_replicated_elsewhere(self, member: Member) -> bool:
        """Return whether a listed, staying member has all of its log."""
        return any(
            other is not member
            and other.listed
            and not (other.is_down or other.leaving)
            and len(other.log) >= len(member.log)
            and other.term >= member.term
            for other in self.members
        )


def _wall_ms() -> int:
    return int(time.time() * 1000)


class Server(fake_upstreams.Server):
    """Serve the connections of one member."""

    def _position(self) -> str:
        return self.member.position_text(self.member.applied)

    def _is_behind(self, term: str, number: str) -> bool:
        member, at = self.member, int(number)
        if at == 0:
            return False
        is_applied = at <= member.applied
        return not is_applied or member.log[at - 1].term != int(term)

    def _record_run(
        self,
        session: fake_upstreams.Session,
        ask: observations.Ask,
        rows: tuple[str, ...] = (),
        inside: bool | None = None,
    ) -> str:
        signature = f'{ask.request_id}.{next(self.group.signatures)}'
        if inside is None:
            inside = session.read_only is not None
        values = tuple(sorted(session.values.items()))
        member = self.member
        self.group.note(
            observations.Ran(
                now_ms(),
                member.name,
                ask,
                signature,
                rows,
                member.log,
                member.applied,
                inside,
                values,
            )
        )
        return f'DONE {signature}'

    def _has_lost_leadership(self, session: fake_upstreams.Session) -> bool:
        lost = self.member.role != 'primary'
        return lost or session.term != self.member.term

    def _begin(self, session, request_id, rest):
        session.term = self.member.term
        return super()._begin(session, request_id, rest)

    def _execute(self, session, request_id, rest):
        if rest[0] not in session.prepared:
            return self._refuse(session, 'NOSTMT')
        access, shape = session.prepared[rest[0]]
        run = self._read if access == 'READ' else self._write
        return run(session, request_id, rest[1:], shape)

    def _read(self, session, request_id, rest, shape=''):
        if session.failed:
            return ['ERROR MALFORMED the transaction failed']
        if self.group.rng.random() < BUSY_SHARE:
            return self._refuse(session, 'BUSY')
        if session.read_only is False and self._has_lost_leadership(session):
            return self._refuse(session, 'READONLY')
        item = ' '.join(rest)
        data = self.group.read(self.member, item)
        written = [d for i, d in session.writes if i == item]
        data = written[-1] if written else data
        rows = () if data is None else (data,)
        ask = observations.Ask(request_id, Verb.READ, item, shape=shape)
        done = self._record_run(session, ask, rows)
        return [*(f'ROW {row}' for row in rows), done]

    async def _write(self, session, request_id, rest, shape=''):
        if session.failed:
            return ['ERROR MALFORMED the transaction failed']
        if self.group.rng.random() < BUSY_SHARE:
            return self._refuse(session, 'BUSY')
        inside = session.read_only is not None
        if self.member.role != 'primary' or (
            inside and self._has_lost_leadership(session)
        ):
            return self._refuse(session, 'READONLY')
        write = (rest[0], ' '.join(rest[1:]))
        ask = observations.Ask(request_id, Verb.WRITE, *write, shape)
        done = self._record_run(session, ask)
        if inside:
            session.writes.append(write)
            return [done]
        replicated = await self.group.append(self.member, request_id, [write])
        return [done] if replicated else None

    async def _commit(self, session, request_id, rest):
        if session.failed or session.read_only is None:
            return ['ERROR MALFORMED no transaction']
        writes = list(session.writes)
        if writes and self._has_lost_leadership(session):
            return self._refuse(session, 'READONLY')
        ask = observations.Ask(request_id, Verb.COMMIT)
        done = self._record_run(session, ask)
        session.read_only = None
        session.writes.clear()
        if writes:
            replicated = await self.group.append(
                self.member, request_id, writes
            )
            return [done] if replicated else None
        return [done]

    def _status(self, session, request_id, rest):
        member = self.member
        received = member.position_text(len(member.log))
        row = (
            f'{member.role} {member.term} {received} {member.paused_for_term}'
        )
        return [f'ROW {row} 0 0 {len(self.streams)}', 'DONE -']

    def _pause(self, session, request_id, rest):
        term = int(rest[0])
        if self.member.role == 'replica' and term > self.member.term:
            self.member.paused_for_term = term
        return self._status(session, request_id, rest)

    def _resume(self, session, request_id, rest):
        self.member.paused_for_term = 0
        return self._status(session, request_id, rest)

    def _demote(self, session, request_id, rest):
        member = self.member
        if member.role == 'primary' and member.term < int(rest[0]):
            self.group.become_replica(member)
        return self._status(session, request_id, rest)
