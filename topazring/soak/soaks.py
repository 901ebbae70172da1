"""Run one schedule of faults, and sum up what was seen."""

import asyncio
import collections.abc
import dataclasses

from topazring.soak import callers
from topazring.soak import checks
from topazring.soak import environment
from topazring.soak import faults
from topazring.soak import observations
from topazring.soak import schedules

__all__ = ['Outcome', 'run_schedule']

STABILIZATION_S = (checks.STABILITY_MS + faults.AFTEREFFECT_MS + 500) / 1000
# Once all trouble is over, writes succeed within that time.
RECOVERY_S = 12.0
POLL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Hold what one soak showed."""

    schedule: schedules.Schedule
    violations: list[checks.Violation]
    # Times count from here.
    began_ms: float
    counts: dict[str, int]
    # Faults that could not be caused, by name.
    failed: list[str]


async def run_schedule(
    stage: environment.Environment,
    schedule: schedules.Schedule,
    tell: collections.abc.Callable[[str], None] = lambda text: None,
) -> Outcome:
    """Run a schedule; whatever was started is ended, also on interruption."""
    failed: list[str] = []
    background: set[asyncio.Task] = set()
    try:
        await stage.start()
        began_ms = environment.now_ms()
        calling = [
            callers.Caller(stage, number, schedule)
            for number in range(schedule.callers)
        ]
        for caller in calling:
            caller.start()
        for step in schedule.steps:
            await _until(began_ms + step.at_ms)
            tell(f'{step.at_ms / 1000:6.1f} s {step.fault}')
            causing = asyncio.create_task(_cause(stage, step, failed))
            background.add(causing)
        if background:
            await asyncio.wait(background)
            # Promises that hold with a time hold again by then.
            await asyncio.sleep(STABILIZATION_S)
        await _until(began_ms + schedule.seconds * 1000)
        serves = await _recovers(stage)
        await asyncio.gather(*(caller.close() for caller in calling))
        finished = observations.Finished(
            environment.now_ms(), stage.final_log(), serves
        )
        stage.oracle.note(finished)
    finally:
        for task in background:
            task.cancel()
        await stage.close()
    oracle = stage.oracle
    return Outcome(
        schedule, oracle.violations, began_ms, oracle.facts.counts, failed
    )


async def _until(at_ms: float) -> None:
    await asyncio.sleep(max(0.0, (at_ms - environment.now_ms()) / 1000))


async def _cause(
    stage: environment.Environment, step: faults.Step, failed: list[str]
) -> None:
    try:
        await faults.inject(stage, step)
    except Exception as error:
        # One fault that fails must not hide what the others show.
        failed.append(f'{step.fault}: {error!r}')


async def _recovers(stage: environment.Environment) -> bool:
    """Wait for a commit that is acknowledged from now on."""
    facts = stage.oracle.facts
    before, until_ms = (
        set(facts.acked),
        environment.now_ms() + RECOVERY_S * 1000,
    )
    while not facts.acked.keys() - before and environment.now_ms() < until_ms:
        await asyncio.sleep(POLL_S)
    return bool(facts.acked.keys() - before)
