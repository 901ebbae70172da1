"""Test that tasks go on after an error, which is reported."""

import asyncio
import collections
from unittest import mock

import testtools

from topazring.plumbing import supervision


class Reporter:
    """Count failures and keep the errors."""

    def __init__(self):
        self.counters: collections.Counter[str] = collections.Counter()
        self.errors: list[BaseException] = []

    def register(self, task: str) -> None:
        """Begin to count at 0."""
        self.counters[task] += 0

    def report_failure(self, task: str, error: BaseException) -> None:
        """Count a failure."""
        self.counters[task] += 1
        self.errors.append(error)


class SupervisionTest(testtools.TestCase):
    """Guards against a process that serves by what an ended task last did."""

    def setUp(self):
        """Run without pauses, which are recorded."""
        super().setUp()
        self.reporter = Reporter()
        self.runs = 0
        self.pauses_s: list[float] = []
        self.real_sleep = asyncio.sleep

    async def sleep(self, pause_s: float) -> None:
        """Record a pause."""
        self.pauses_s.append(pause_s)
        await self.real_sleep(0)

    async def fail(self) -> None:
        """Fail in another way each time, as often as there are errors."""
        errors = [RecursionError('deep'), OverflowError(), KeyError('k')]
        self.runs += 1
        if self.runs <= len(errors):
            raise errors[self.runs - 1]

    def test_failing_task(self):
        """It runs again after pauses that grow, and each error is counted."""

        async def run():
            with mock.patch.object(asyncio, 'sleep', self.sleep):
                await supervision.start('work', self.fail, self.reporter)

        asyncio.run(run())
        self.assertEqual(4, self.runs)
        self.assertEqual({'work': 3}, dict(self.reporter.counters))
        bounds_s = [supervision.FIRST_PAUSE_S * 2**n for n in range(3)]
        for pause_s, bound_s in zip(self.pauses_s, bounds_s, strict=True):
            self.assertTrue(bound_s / 2 <= pause_s <= bound_s, self.pauses_s)

    def test_pauses_are_bounded(self):
        """Guards against a task that is away for long after a long fault."""

        async def always() -> None:
            self.runs += 1
            if self.runs < 20:
                raise ValueError

        async def run():
            with mock.patch.object(asyncio, 'sleep', self.sleep):
                await supervision.start('work', always, self.reporter)

        asyncio.run(run())
        self.assertLessEqual(max(self.pauses_s), supervision.MAX_PAUSE_S)

    def test_cancelled_task(self):
        """A cancelled task ends and is no failure."""

        async def run():
            wait = asyncio.Event().wait
            task = supervision.start('work', wait, self.reporter)
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])
            return task.cancelled()

        self.assertTrue(asyncio.run(run()))
        self.assertEqual({'work': 0}, dict(self.reporter.counters))

    def test_cancellation_of_what_it_waits_for(self):
        """Guards against a task that ends as another one is cancelled."""

        async def wait_for_another() -> None:
            self.runs += 1
            if self.runs == 1:
                another = asyncio.create_task(asyncio.Event().wait())
                another.cancel()
                await another

        async def run():
            with mock.patch.object(asyncio, 'sleep', self.sleep):
                task = supervision.start(
                    'work', wait_for_another, self.reporter
                )
                await asyncio.wait([task])

        asyncio.run(run())
        self.assertEqual(2, self.runs)
        self.assertEqual({'work': 1}, dict(self.reporter.counters))

    def test_task_that_nobody_awaits(self):
        """Guards against an error that leaves no trace."""

        async def run():
            loop = asyncio.get_running_loop()
            supervision.report_unhandled(loop, self.reporter)
            loop.call_soon(lambda: {}['callback'])
            task = asyncio.create_task(self.fail())
            await asyncio.wait([task])

        asyncio.run(run())
        kinds = [type(error) for error in self.reporter.errors]
        self.assertEqual({KeyError, RecursionError}, set(kinds))
        counted = self.reporter.counters[supervision.UNHANDLED]
        self.assertEqual(2, counted)

    def test_description(self):
        """Guards against logs that quote callers' data."""
        try:
            raise OverflowError('data of a caller')
        except OverflowError as error:
            found = supervision.describe(error)
        self.assertEqual('OverflowError', found['error'])
        self.assertIn('test_supervision.py', found['where'][0])
        self.assertIn('test_description', found['where'][0])
