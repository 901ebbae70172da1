"""Send a mix of reads and writes at a rate, and check every answer."""

import asyncio
import collections
import dataclasses
import random
import time

from hdrh import histogram
from tornado import httpclient

from topazring import client

__all__ = ['Load', 'Mix', 'Stats', 'TABLE']

TABLE = (
    'CREATE TABLE IF NOT EXISTS marks '
    '(session INTEGER PRIMARY KEY, n INTEGER NOT NULL)'
)
# Writes of one user may end in any order; the mark never goes down.
WRITE = (
    'INSERT INTO marks VALUES (?, ?) '
    'ON CONFLICT (session) DO UPDATE SET n = max(n, excluded.n)'
)
READ = 'SELECT n FROM marks WHERE session = ?'
MAX_LATENCY_MS = 120_000
RECONNECT_S = 0.05
# A write is repeated under its own id for that long after a loss.
WRITE_RETRY_LIMIT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """Describe a load."""

    sessions: int = 40
    rate: float = 200.0
    read_share: float = 0.9
    profile: str = 'browse'
    max_staleness_ms: int = 2000
    seconds: float = 10.0
    # The share of requests before which the session moves to another proxy.
    roam_share: float = 0.0
    seed: int = 1


@dataclasses.dataclass
class Stats:
    """Hold what a load has seen."""

    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    latency: dict = dataclasses.field(default_factory=dict)
    served_by: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    # Reads that missed the session's own work, went back, or were too old.
    violations: list = dataclasses.field(default_factory=list)
    # (time, upstream) of each acknowledged write.
    acknowledged: list = dataclasses.field(default_factory=list)
    roams: int = 0
    sent: int = 0
    # What became of each write, for the upstreams' ledgers to confirm.
    done_ids: set = dataclasses.field(default_factory=set)
    not_run_ids: set = dataclasses.field(default_factory=set)

    def record(self, kind: str, seconds: float) -> None:
        """Record how long an answer took."""
        recorded = self.latency.get(kind)
        if recorded is None:
            recorded = histogram.HdrHistogram(1, MAX_LATENCY_MS * 1000, 2)
            self.latency[kind] = recorded
        recorded.record_value(max(1, int(seconds * 1_000_000)))


@dataclasses.dataclass
class User:
    """Hold one session, what it wrote and what it has seen."""

    number: int
    session: client.Session
    sent: int = 0
    acked: int = 0
    seen: dict = dataclasses.field(default_factory=dict)
    roam_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)


class Load:
    """Own the sessions of one load."""

    def __init__(
        self,
        urls: list[str],
        organisation: str,
        key: str,
        database: str,
        mix: Mix,
    ):
        self.urls = urls
        self.organisation = organisation
        self.key = key
        self.database = database
        self.mix = mix
        self.stats = Stats()
        self.rng = random.Random(mix.seed)
        self.users: list[User] = []
        self.tasks: set[asyncio.Task] = set()
        # (time, n) of each user's acknowledged writes, for the age check.
        self.history: dict[int, list[tuple[float, int]]] = {}

    async def start(self) -> None:
        """Open the sessions and make the table."""
        for number in range(self.mix.sessions):
            session = await self._open(number, '')
            self.users.append(User(number, session))
        first = self.users[0].session
        await first.write(TABLE)

    async def close(self) -> None:
        """Wait for the answers under way, and close the sessions."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=60)
        for user in self.users:
            await user.session.close()

    async def _open(self, number: int, token: str) -> client.Session:
        """Open a session at some proxy, trying the others if it is gone."""
        attempt = 0
        while True:
            url = self.urls[(number + attempt) % len(self.urls)]
            session = client.Session(
                url,
                self.organisation,
                self.key,
                self.database,
                self.mix.profile,
                token,
            )
            try:
                answer = await session.start()
            except (OSError, client.ConnectionLost, httpclient.HTTPError):
                answer = None
            if answer is not None and answer.done:
                return session
            if answer is not None and answer.outcome == 'rejected':
                raise RuntimeError(f'{url}: {answer}')
            attempt += 1
            await asyncio.sleep(RECONNECT_S)

    async def run(self) -> Stats:
        """Send at the rate, whether or not answers keep up."""
        began = time.monotonic()
        sent = 0
        # Many slow loads in one process must not spend it on waking up.
        pause_s = min(0.02, max(0.001, 0.2 / self.mix.rate))
        while time.monotonic() - began < self.mix.seconds:
            due = int((time.monotonic() - began) * self.mix.rate)
            while sent < due:
                self._send_one(sent)
                sent += 1
            await asyncio.sleep(pause_s)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=60)
        return self.stats

    def _send_one(self, count: int) -> None:
        user = self.users[count % len(self.users)]
        self.stats.sent += 1
        if self.rng.random() < self.mix.read_share:
            self._spawn(self._read(user))
        else:
            self._spawn(self._write(user))

    def _note(self, kind: str, answer: client.Answer, began: float) -> None:
        name = f'{kind} {answer.outcome}'
        if answer.reason:
            name += f' {answer.reason}'
        self.stats.outcomes[name] += 1
        label = kind if answer.done else f'{kind} {answer.outcome}'
        self.stats.record(label, time.monotonic() - began)

    async def _write(self, user: User) -> None:
        user.sent += 1
        n = user.sent
        request_id = client.new_request_id()
        began = time.monotonic()
        repeat = False
        while True:
            session = await self._session_of(user)
            try:
                answer = await session.write(
                    WRITE, [user.number, n], request_id, repeat
                )
                break
            except client.ConnectionLost:
                if time.monotonic() - began > WRITE_RETRY_LIMIT_S:
                    self.stats.outcomes['write lost'] += 1
                    return
                repeat = True
                await self._roam(user, session)
        self._note('write', answer, began)
        if answer.outcome == 'not_run':
            self.stats.not_run_ids.add(request_id)
        if not answer.done:
            return
        self.stats.done_ids.add(request_id)
        now = time.monotonic()
        self.stats.acknowledged.append((now, answer.served_by))
        user.acked = max(user.acked, n)
        self.history.setdefault(user.number, []).append((now, user.acked))

    async def _session_of(self, user: User) -> client.Session:
        """Return the user's session, moved if its proxy is leaving.

        It also moves now and then by itself, if the mix says so.
        """
        session = user.session
        if session.leaving or self.rng.random() < self.mix.roam_share:
            await self._roam(user, session)
            self._spawn(self._close_when_quiet(session))
        return user.session

    async def _close_when_quiet(self, session: client.Session) -> None:
        while session.waiting:
            await asyncio.sleep(RECONNECT_S)
        await session.close()

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _roam(self, user: User, lost: client.Session) -> None:
        """Take the session to another proxy, once for all that wait."""
        async with user.roam_lock:
            if user.session is lost:
                self.stats.roams += 1
                number = self.rng.randrange(len(self.urls))
                user.session = await self._open(number, lost.token)

    async def _read(self, user: User) -> None:
        target = self.rng.choice((user, self.rng.choice(self.users)))
        own = user.acked if target is user else 0
        floor = max(own, user.seen.get(target.number, 0))
        began = time.monotonic()
        aged = self._acked_before(target, began)
        session = await self._session_of(user)
        try:
            answer = await session.read(READ, [target.number])
        except client.ConnectionLost:
            self.stats.outcomes['read lost'] += 1
            await self._roam(user, session)
            return
        self._note('read', answer, began)
        if not answer.done:
            return
        self.stats.served_by[answer.served_by] += 1
        n = answer.rows[0][0] if answer.rows else 0
        self._check(user, target, n, floor, aged)
        user.seen[target.number] = max(user.seen.get(target.number, 0), n)

    def _acked_before(self, target: User, now: float) -> int:
        """Return what a read that begins now has to show at least."""
        oldest = now - self.mix.max_staleness_ms / 1000
        for at, n in reversed(self.history.get(target.number, [])):
            if at <= oldest:
                return n
        return 0

    def _check(
        self, user: User, target: User, n: int, floor: int, aged: int
    ) -> None:
        """Note a read that broke a promise."""
        highest = max(floor, aged)
        if n >= highest:
            return
        what = 'too old' if n < aged else 'not its own or back'
        self.stats.violations.append(
            f'{what}: user {user.number} read {n} of {target.number}, '
            f'wanted {highest}'
        )
