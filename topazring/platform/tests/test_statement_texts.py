"""Callers send any text that the platform's page allows."""

import asyncio
import random

from topazring.platform.tests import line_oracle
from topazring.platform.tests import support
from topazring.soak import texts

SEED = 67
CALLERS = 12
TURNS = 25
# A fault comes again with each statement.
SHOWN_FAULTS = 5
# Names of prepared statements collide between callers.
NAMES = ('s', 's1', 'q1')


class TextCaller:
    """Send statements drawn by a seed, each noted before it is sent."""

    def __init__(self, case: 'StatementTextsTest', number: int):
        self.case = case
        self.number = number
        self.rng = random.Random(f'{SEED}/{number}')
        self.ids = 0
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.in_transaction = False

    async def run(self) -> None:
        """Use one session after the other."""
        while self.ids < TURNS:
            self.values, self.prepared = {}, {}
            self.in_transaction = False
            database = self.rng.choice(('exact', 'own', 'old'))
            self.caller = await self.case.session(database, self.number % 2)
            answer = ['READY I -']
            while self.ids < TURNS and answer[-1:] == ['READY I -']:
                answer = await self._operate()
                await asyncio.sleep(0.01)
            self.caller.close()

    async def _operate(self) -> list[str]:
        draw = self.rng.random()
        if draw < 0.1:
            return await self._set()
        if draw < 0.25 or not self.prepared:
            return await self._prepare()
        if draw < 0.4:
            return await self._transaction()
        return await self._statement()

    async def _set(self) -> list[str]:
        name, value = self.rng.choice('ab'), texts.text(self.rng)
        answer = await self._send(f'SET {name} {value}')
        if answer[0] == 'DONE -':
            self.values[name] = value
        return answer

    async def _prepare(self) -> list[str]:
        name = self.rng.choice(NAMES)
        access = self.rng.choice(('READ', 'READ', 'WRITE'))
        shape = texts.shape(self.rng)
        answer = await self._send(f'PREPARE {name} {access} {shape}')
        if answer[0] == 'DONE -':
            self.prepared[name] = (access, shape)
        return answer

    async def _transaction(self) -> list[str]:
        answer = await self._send('BEGIN')
        self.in_transaction = answer[-1] == 'READY T -'
        for _ in range(self.rng.randint(1, 3)):
            if answer[-1:] == ['READY T -']:
                answer = await self._statement()
        self.in_transaction &= answer[-1:] == ['READY T -']
        answer = await self._send(self.rng.choice(('COMMIT', 'ROLLBACK')))
        self.in_transaction = False
        return answer

    async def _statement(self) -> list[str]:
        item = texts.word(self.rng)
        data = texts.text(self.rng)
        name = self.rng.choice(sorted(self.prepared))
        draw = self.rng.random()
        if draw < 0.25:
            return await self._send(f'READ {texts.text(self.rng)}')
        if draw < 0.5:
            return await self._send(f'WRITE {item} {data}')
        text = f'EXECUTE {name} {item}'
        prepared = self.prepared[name]
        if prepared[0] == 'WRITE':
            text += f' {data}'
        answer = await self._send(text, prepared)
        if any(line.startswith('DONE') for line in answer):
            self.case.executed += ' ' in prepared[1]
        return answer

    async def _send(
        self, text: str, prepared: tuple[str, str] | None = None
    ) -> list[str]:
        self.ids += 1
        request_id = f'{texts.word(self.rng)}{self.number}.{self.ids}'
        sent = line_oracle.Sent(
            text,
            tuple(sorted(self.values.items())),
            prepared,
            self.in_transaction,
        )
        self.case.oracle.note_sent(request_id, sent)
        answer = await self.caller.send_line(f'QUERY {request_id} {text}')
        self.case.count(answer)
        return answer or ['']


class StatementTextsTest(support.PlatformTestCase):
    """An upstream gets each statement as its caller sent it."""

    def count(self, answer: list[str]) -> None:
        """Count answers by their first word, or the code of an error."""
        words = answer[0].split(' ') if answer else ['closed']
        word = words[1] if words[0] == 'ERROR' else words[0]
        self.answers[word] = self.answers.get(word, 0) + 1

    async def assert_nothing_refused(self) -> None:
        """Check that each text that the page allows was passed on."""
        for code in ('MALFORMED', 'TOOLARGE', 'NOSTMT', 'closed'):
            self.assertNotIn(code, self.answers)
        for proxy in self.proxies:
            metrics = await proxy.get('/metrics')
            for counter in ('refused_line', 'bad_reply'):
                self.assertIn(f'{{what="{counter}"}} 0\n', metrics)

    def test_any_text(self):
        """Guards against statements that run in another shape or text."""
        self.run_on_platform(self.any_text, proxies=2)

    async def any_text(self):
        self.answers = {}
        self.executed = 0
        self.oracle = line_oracle.LineOracle()
        self.group.line_oracle = self.oracle
        callers = [TextCaller(self, number) for number in range(CALLERS)]
        await asyncio.gather(*(caller.run() for caller in callers))
        self.assertEqual([], self.oracle.faults[:SHOWN_FAULTS])
        await self.assert_nothing_refused()
        # Shapes that hold spaces.
        self.assertGreater(self.executed, CALLERS)
        self.assertGreater(self.answers['DONE'], CALLERS * TURNS / 2)
        for verb in ('READ', 'WRITE', 'EXECUTE', 'COMMIT'):
            self.assertGreater(self.oracle.ran[verb], 0, verb)
