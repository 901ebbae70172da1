"""Send reads, writes and transactions, and tell what became of each."""

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
# Longer than any time limit; an answer that takes longer counts as missing.
ANSWER_TIMEOUT_S = 13.0
RECONNECT_DELAY_S = 0.1
PAUSES_S = (0.0, 0.01, 0.03, 0.1)
LONG_PAUSE_S = 1.2


class _Left(Exception):
    """Say that the caller is done with its session."""


class Caller:
    """Own one caller that keeps a session open until it ends."""

    def __init__(self, stage: environment.Environment, number: int, schedule):
        self.stage = stage
        self.number = number
        self.rest_scale = schedule.rest_scale
        # What callers do need not be the same twice; their mix is.
        self.rng = random.Random(f'{schedule.seed}/{number}')
        self.ids = itertools.count(1)
        self.sessions = itertools.count(1)
        self.task: asyncio.Task | None = None
        self.leaving = False
        self.instance = None
        self.database: environment.Database | None = None
        self.talk = None
        self.session = ''
        self.values: dict[str, str] = {}

    def start(self) -> None:
        """Begin to call."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop after the answer that is waited for."""
        self.leaving = True
        await self.task

    async def _run(self) -> None:
        while not self.leaving:
            if not self.stage.rotation:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            self.instance = self.rng.choice(self.stage.rotation)
            self.database = self.rng.choice(self.stage.databases)
            try:
                self.talk = await self.stage.connect(
                    self.instance, self.database.name
                )
            except environment.SessionEnded:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            await self._use_session()
            self.talk.close()

    async def _use_session(self) -> None:
        self.session = f'c{self.number}s{next(self.sessions)}'
        self.values = {}
        with contextlib.suppress(environment.SessionEnded, _Left):
            while not self.leaving:
                await self._operation()
                await self._rest()

    async def _rest(self) -> None:
        rest_s = self.rng.choice(PAUSES_S) * self.rest_scale
        if self.rng.random() < 0.03:
            rest_s = LONG_PAUSE_S
        await asyncio.sleep(rest_s)

    async def _operation(self) -> None:
        how = self.rng.random()
        if how < 0.02:
            raise _Left
        if how < 0.05:
            name, value = self.rng.choice('ab'), f'v{next(self.ids)}'
            answer = await self._say(Verb.SET, name, value)
            if answer.kind is not observations.Kind.DONE:
                raise _Left
            self.values[name] = value
        elif how < 0.20:
            await self._transaction()
        else:
            await self._read_or_write('')

    async def _read_or_write(self, transaction: str) -> observations.Answer:
        item = f'k{self.rng.randrange(ITEM_COUNT)}'
        if self.rng.random() < 0.6:
            return await self._say(Verb.READ, item, transaction=transaction)
        data = f'd{self.session}x{next(self.ids)}'
        return await self._say(Verb.WRITE, item, data, transaction)

    async def _transaction(self) -> None:
        name = f'{self.session}t{next(self.ids)}'
        begun = await self._say(Verb.BEGIN, transaction=name)
        if begun.kind is not observations.Kind.DONE:
            return
        for _ in range(self.rng.randint(1, 4)):
            said = await self._read_or_write(name)
            if said.kind is not observations.Kind.DONE:
                await self._say(Verb.ROLLBACK, transaction=name)
                return
            if self.rng.random() < 0.02:
                raise _Left
            await asyncio.sleep(self.rng.choice(PAUSES_S))
        ends = Verb.COMMIT if self.rng.random() < 0.85 else Verb.ROLLBACK
        await self._say(ends, transaction=name)

    async def _say(
        self, verb: Verb, item: str = '', data: str = '', transaction: str = ''
    ) -> observations.Answer:
        note = self.stage.oracle.note
        for text in self.talk.unasked:
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
                answer = await self.talk.execute(ask)
        except environment.SessionEnded:
            note(observations.Cut(environment.now_ms(), request_id))
            raise
        except TimeoutError:
            # It stays without an answer, which the oracle finds in the end.
            raise _Left from None
        note(observations.Answered(environment.now_ms(), request_id, answer))
        return answer
