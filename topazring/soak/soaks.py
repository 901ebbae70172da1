"""Run one schedule of faults and collect the violations."""

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
# Writes must succeed within this time after all disturbances have ended.
RECOVERY_S = 12.0
POLL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Hold the result of a soak."""

    schedule: schedules.Schedule
    violations: list[checks.Violation]
    # The start of the schedule; its times are relative to this.
    began_ms: float
    counts: dict[str, int]
    # Faults that raised an exception: name and error of each.
    failed: list[str]


async def run_schedule(
    env: environment.Environment,
    schedule: schedules.Schedule,
    report_progress: collections.abc.Callable[[str], None] = lambda text: None,
) -> Outcome:
    """Run a schedule and return its outcome.

    Everything that was started is stopped, also on cancellation.
    """
    failed: list[str] = []
    injections: set[asyncio.Task] = set()
    try:
        await env.start()
        began_ms = environment.now_ms()
        all_callers = [
            callers.Caller(env, number, schedule)
            for number in range(schedule.callers)
        ]
        for caller in all_callers:
            caller.start()
        for step in schedule.steps:
            await _sleep_until(began_ms + step.at_ms)
            report_progress(f'{step.at_ms / 1000:6.1f} s {step.fault}')
            injection = asyncio.create_task(_inject(env, step, failed))
            injections.add(injection)
        if injections:
            await asyncio.wait(injections)
            # Afterwards the checks with a time limit apply again.
            await asyncio.sleep(STABILIZATION_S)
        await _sleep_until(began_ms + schedule.seconds * 1000)
        serves = await _wait_for_recovery(env)
        await asyncio.gather(*(caller.close() for caller in all_callers))
        finished = observations.Finished(
            environment.now_ms(), env.final_log(), serves
        )
        env.oracle.note(finished)
    finally:
        for task in injections:
            task.cancel()
        await env.close()
    oracle = env.oracle
    return Outcome(
        schedule, oracle.violations, began_ms, oracle.facts.counts, failed
    )


async def _sleep_until(at_ms: float) -> None:
    await asyncio.sleep(max(0.0, (at_ms - environment.now_ms()) / 1000))


async def _inject(
    env: environment.Environment, step: faults.Step, failed: list[str]
) -> None:
    try:
        await faults.inject(env, step)
    except Exception as error:
        # A fault that cannot be injected must not end the soak.
        failed.append(f'{step.fault}: {error!r}')


async def _wait_for_recovery(env: environment.Environment) -> bool:
    """Wait for a new acknowledged commit; return whether one was seen."""
    facts = env.oracle.facts
    before, until_ms = (
        set(facts.acked),
        environment.now_ms() + RECOVERY_S * 1000,
    )
    while not facts.acked.keys() - before and environment.now_ms() < until_ms:
        await asyncio.sleep(POLL_S)
    return bool(facts.acked.keys() - before)
