"""Run again the tasks that fail, and report each failure.

A process acts on what its tasks last did. One that ends unnoticed leaves it
serving by what is out of date, with nothing to be seen from outside.
"""

import asyncio
import collections
import collections.abc
import random
import traceback
import typing

from topazring.plumbing import clock

__all__ = [
    'Counts',
    'MAX_PAUSE_S',
    'Reporter',
    'UNHANDLED',
    'describe',
    'report_unhandled',
    'start',
]

FIRST_PAUSE_S = 0.1
# A failure may persist, as an unavailable store does. A task that works again
# has to do so within the time in which a change must be in force.
MAX_PAUSE_S = 1.2
# A task that has run for this long begins again with the first pause.
RECOVERED_MS = 30_000
# Errors of callbacks and of tasks that nobody awaits.
UNHANDLED = 'unhandled'
MAX_FRAMES = 4

Run = collections.abc.Callable[[], collections.abc.Coroutine[None, None, None]]


class Reporter(typing.Protocol):
    """Count the failures of tasks by name, and log them."""

    def register(self, task: str) -> None:
        """Begin to count at 0."""

    def report_failure(self, task: str, error: BaseException) -> None:
        """Count a failure and log its cause."""


class Counts:
    """Count failures of tasks, and other faults, by name."""

    def __init__(self):
        self.counters: collections.Counter[str] = collections.Counter()

    def count(self, what: str) -> None:
        """Count one event."""
        self.counters[what] += 1

    def register(self, task: str) -> None:
        """Begin to count the failures of a task."""
        self.counters[f'task_failed_{task}'] += 0

    def count_failure(self, task: str) -> None:
        """Count a failure of a task."""
        self.count(f'task_failed_{task}')


def start(name: str, run: Run, reporter: Reporter) -> asyncio.Task:
    """Start a task that runs until it is cancelled, whatever it meets."""
    reporter.register(name)
    return asyncio.create_task(_run_forever(name, run, reporter), name=name)


async def _run_forever(name: str, run: Run, reporter: Reporter) -> None:
    pause_s = FIRST_PAUSE_S
    while True:
        began_ms = clock.monotonic_ms()
        try:
            return await run()
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                raise
            # What it waited for was cancelled, not the task itself.
            reporter.report_failure(name, error)
        except Exception as error:
            reporter.report_failure(name, error)
        if clock.monotonic_ms() - began_ms >= RECOVERED_MS:
            pause_s = FIRST_PAUSE_S
        # All proxies meet the same entry at the same moment.
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(pause_s * 2, MAX_PAUSE_S)


def report_unhandled(
    loop: asyncio.AbstractEventLoop, reporter: Reporter
) -> None:
    """Report the errors of callbacks, and of tasks that nobody awaits."""
    reporter.register(UNHANDLED)

    def handle(
        loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        error = context.get('exception')
        if error is None:
            loop.default_exception_handler(context)
        else:
            reporter.report_failure(UNHANDLED, error)

    loop.set_exception_handler(handle)


def describe(error: BaseException) -> dict[str, object]:
    """Return an error and where it was raised, for log lines.

    Its text is left out, as it may quote callers' data.
    """
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return {
        'error': type(error).__name__,
        'where': [
            f'{frame.filename.rpartition("/")[2]}:{frame.lineno} {frame.name}'
            for frame in frames
        ],
    }
