"""An upstream fails a part of what it is sent, set-up included."""

import asyncio
import random

from topazring.platform.tests import support

SEED = 7
CALLERS = 8
TURNS = 30
FAILING_SHARE = 0.45
FAILING = ('begin', 'execute', 'prepare', 'read', 'reset', 'set', 'write')


class RefusedSetupTest(support.PlatformTestCase):
    """Callers with values of their own share the connections."""

    def test_values_of_each_statement(self):
        """Guards against statements with the values of another caller."""
        self.run_on_platform(self.values_of_each_statement, proxies=2)

    async def values_of_each_statement(self):
        draws = random.Random(SEED)
        primary = self.group.primary()
        self.acknowledged = {}
        self.done = 0
        callers = [
            asyncio.create_task(self.call(number)) for number in range(CALLERS)
        ]
        await asyncio.sleep(0.5)
        primary.fails = lambda verb: (
            verb in FAILING and draws.random() < FAILING_SHARE
        )
        await asyncio.sleep(2.0)
        primary.fails = lambda verb: False
        await asyncio.gather(*callers)
        wrong = [
            (request_id, text, values)
            for request_id, text, values in self.group.ran
            if values != self.acknowledged[request_id]
        ]
        self.assertEqual([], wrong)
        self.assertGreater(self.done, CALLERS * TURNS / 4)

    async def call(self, number: int) -> None:
        """Set a value and a name, then run statements that need them."""
        turn = 0
        while turn < TURNS:
            caller = await self.session('exact', number % 2)
            values = {'zone': f'z{number}'}
            if number % 2:
                values['lang'] = f'l{number}'
            for name, value in values.items():
                await caller.query(f'SET {name} {value}')
            await caller.query(f'PREPARE s WRITE q{number}')
            answer = ['READY I -']
            while turn < TURNS and answer[-1:] == ['READY I -']:
                turn += 1
                answer = await self.run_one(caller, number, turn, values)
                await asyncio.sleep(0.05)
            caller.close()

    async def run_one(
        self, caller: support.Caller, number: int, turn: int, values: dict
    ) -> list[str]:
        """Run one statement, each third one under the prepared name."""
        texts = (
            f'READ k{number}',
            f'WRITE k{number} v{turn}',
            f'EXECUTE s k{number} v{turn}',
        )
        request_id = f'q{id(caller)}x{caller.ids + 1}'
        self.acknowledged[request_id] = values
        answer = await caller.query(texts[turn % 3])
        self.done += answer[0].startswith(('ROW', 'DONE'))
        return answer
