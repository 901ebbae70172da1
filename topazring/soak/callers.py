"""Callers that send statements and report each answer to the oracle."""

import asyncio
import contextlib
import itertools
import random

from topazring.core.synchronous import statements
from topazring.soak import environment
from topazring.soak import observations

__all__ = ['Caller']

Verb = statements.Verb
ITEM_COUNT = 12
# Longer than any time limit of a request; later answers count as missing.
ANSWER_TIMEOUT_S = 13.0
RECONNECT_DELAY_S = 0.1
PAUSES_S = (0.0, 0.01, 0.03, 0.1)
LONG_PAUSE_S = 1.2


class _SessionAbandoned(Exception):
    """Raised when the caller closes its session."""


class Caller:
    """A caller that opens one session after the other and uses it."""

    def __init__(self, env: environment.Environment, number: int, schedule):
        self.env = env
        self.number = number
        self.rest_scale = schedule.rest_scale
        # Timing makes operations differ between runs of a seed; their
        # distribution stays the same.
        self.rng = random.Random(f'{schedule.seed}/{number}')
        self.ids = itertools.count(1)
        self.sessions = itertools.count(1)
        self.task: asyncio.Task | None = None
        self.is_stopping = False
        self.instance = None
        self.database: environment.Database | None = None
        self.connection = None
        self.session = ''
        self.values: dict[str, str] = {}

    def start(self) -> None:
        """Start to send statements."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop once the pending request is answered."""
        self.is_stopping = True
        await self.task

    async def _run(self) -> None:
        while not self.is_stopping:
            if not self.env.rotation:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            self.instance = self.rng.choice(self.env.rotation)
            self.database = self.rng.choice(self.env.databases)
            try:
                self.connection = await self.env.connect(
                    self.instance, self.database.name
                )
            except environment.SessionEnded:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            await self._use_session()
            self.connection.close()

    async def _use_session(self) -> None:
        self.session = f'c{self.number}s{next(self.sessions)}'
        self.values = {}
        with contextlib.suppress(environment.SessionEnded, _SessionAbandoned):
            while not self.is_stopping:
                await self._run_operation()
                await self._pause()

    async def _pause(self) -> None:
        pause_s = self.rng.choice(PAUSES_S) * self.rest_scale
        if self.rng.random() < 0.03:
            pause_s = LONG_PAUSE_S
        await asyncio.sleep(pause_s)

    async def _run_operation(self) -> None:
        draw = self.rng.random()
        if draw < 0.02:
            raise _SessionAbandoned
        if draw < 0.05:
            name, value = self.rng.choice('ab'), f'v{next(self.ids)}'
            answer = await self._send(Verb.SET, name, value)
            if answer.kind is not observations.Kind.DONE:
                raise _SessionAbandoned
            self.values[name] = value
        elif draw < 0.20:
            await self._transaction()
        else:
            await self._read_or_write('')

    async def _read_or_write(self, transaction: str) -> observations.Answer:
        item = f'k{self.rng.randrange(ITEM_COUNT)}'
        if self.rng.random() < 0.6:
            return await self._send(Verb.READ, item, transaction=transaction)
        data = f'd{self.session}x{next(self.ids)}'
        return await self._send(Verb.WRITE, item, data, transaction)

    async def _transaction(self) -> None:
        name = f'{self.session}t{next(self.ids)}'
        begin_answer = await self._send(Verb.BEGIN, transaction=name)
        if begin_answer.kind is not observations.Kind.DONE:
            return
        for _ in range(self.rng.randint(1, 4)):
            answer = await self._read_or_write(name)
            if answer.kind is not observations.Kind.DONE:
                await self._send(Verb.ROLLBACK, transaction=name)
                return
            if self.rng.random() < 0.02:
                raise _SessionAbandoned
            await asyncio.sleep(self.rng.choice(PAUSES_S))
        end_verb = Verb.COMMIT if self.rng.random() < 0.85 else Verb.ROLLBACK
        await self._send(end_verb, transaction=name)

    async def _send(
        self, verb: Verb, item: str = '', data: str = '', transaction: str = ''
    ) -> observations.Answer:
        note = self.env.oracle.note
        for text in self.connection.unasked:
            unasked = observations.Unasked(
                environment.now_ms(), self.session, self.instance.name, text
            )
            note(unasked)
        request_id = f'q{self.number}x{next(self.ids)}'
        ask = observations.Ask(request_id, verb, item, data)
        note(
            observations.Asked(
                environment.now_ms(),
                ask,
                self.session,
                self.instance.name,
                self.database.freshness,
                self.database.max_staleness_ms,
                transaction,
                tuple(sorted(self.values.items())),
            )
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await self.connection.execute(ask)
        except environment.SessionEnded:
            note(observations.Cut(environment.now_ms(), request_id))
            raise
        except TimeoutError:
            # The request stays unanswered; the oracle reports that at the end.
            raise _SessionAbandoned from None
        note(observations.Answered(environment.now_ms(), request_id, answer))
        return answer
