"""Callers that send statements and report each answer to the oracle."""

import asyncio
import contextlib
import itertools
import random

from topazring.core.synchronous import statements
from topazring.soak import environment
from topazring.soak import observations
from topazring.soak import texts

__all__ = ['Caller']

Verb = statements.Verb
ITEM_COUNT = 12
# Names of prepared statements collide between callers.
PREPARED_NAMES = ('s', 's1', 'q1')
EXECUTED_SHARE = 0.4
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
        items = random.Random(schedule.seed)
        self.items = [f'k{number}' for number in range(ITEM_COUNT // 2)]
        while len(self.items) < ITEM_COUNT:
            self.items.append(texts.word(items))
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
        # Access and shape by name.
        self.prepared: dict[str, tuple[Verb, str]] = {}

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
        self.values, self.prepared = {}, {}
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
            name = self.rng.choice(('a', 'b', texts.word(self.rng)))
            value = self._text_around(f'v{next(self.ids)}')
            await self._set_up(f'SET {name} {value}')
            self.values[name] = value
        elif draw < 0.06 and self.prepared:
            name = self.rng.choice(sorted(self.prepared))
            await self._set_up(f'DEALLOC {name}')
            del self.prepared[name]
        elif draw < 0.20:
            await self._transaction()
        else:
            await self._read_or_write('')

    async def _read_or_write(self, transaction: str) -> observations.Answer:
        item, data = self.rng.choice(self.items), ''
        verb = Verb.READ if self.rng.random() < 0.6 else Verb.WRITE
        if verb is Verb.WRITE:
            data = self._text_around(f'd{self.session}x{next(self.ids)}')
        elif self.rng.random() < 0.1:
            item = texts.text(self.rng)
        if self.rng.random() > EXECUTED_SHARE:
            return await self._send(verb, item, data, transaction)
        name = self.rng.choice(PREPARED_NAMES)
        if self.prepared.get(name, ('',))[0] is not verb:
            await self._prepare(name, verb, transaction)
        return await self._send(verb, item, data, transaction, name)

    async def _prepare(
        self, name: str, access: Verb, transaction: str
    ) -> None:
        shape = texts.shape(self.rng)
        text = f'PREPARE {name} {access.upper()} {shape}'
        await self._set_up(text, transaction)
        self.prepared[name] = (access, shape)

    def _text_around(self, unique: str) -> str:
        """Return a word, half of the time with any text on one side."""
        if self.rng.random() < 0.5:
            return unique
        text = texts.text(self.rng)
        return self.rng.choice((f'{text}{unique}', f'{unique}{text}'))

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

    async def _set_up(self, text: str, transaction: str = '') -> None:
        """Send SET, PREPARE or DEALLOC; abandon the session on an error."""
        word, _, rest = text.partition(' ')
        verb = Verb.DEALLOCATE if word == 'DEALLOC' else Verb(word.lower())
        ask = observations.Ask(self._next_id(), verb, rest)
        answer = await self._request(ask, text, transaction)
        if answer.kind is not observations.Kind.DONE:
            raise _SessionAbandoned

    async def _send(
        self,
        verb: Verb,
        item: str = '',
        data: str = '',
        transaction: str = '',
        name: str = '',
    ) -> observations.Answer:
        """Send a statement, under the name of a prepared shape if given."""
        shape = self.prepared[name][1] if name else ''
        words = [f'EXECUTE {name}' if name else verb.upper(), item, data]
        text = ' '.join(word for word in words if word)
        ask = observations.Ask(self._next_id(), verb, item, data, shape)
        return await self._request(ask, text, transaction)

    def _next_id(self) -> str:
        return f'q{self.number}x{next(self.ids)}'

    async def _request(
        self, ask: observations.Ask, text: str, transaction: str
    ) -> observations.Answer:
        note = self.env.oracle.note
        for line in self.connection.unasked:
            unasked = observations.Unasked(
                environment.now_ms(), self.session, self.instance.name, line
            )
            note(unasked)
        request_id = ask.request_id
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
                text,
            )
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await self.connection.execute(request_id, text)
        except environment.SessionEnded:
            note(observations.Cut(environment.now_ms(), request_id))
            raise
        except TimeoutError:
            # The request stays unanswered; the oracle reports that at the end.
            raise _SessionAbandoned from None
        note(observations.Answered(environment.now_ms(), request_id, answer))
        return answer
