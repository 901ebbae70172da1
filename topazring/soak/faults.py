"""Name the faults of a soak, and cause them.

A fault is a function of the stage and of its step; it returns once the fault
is over. It tells the oracle what it troubles, for promises hold with a time
only where nothing else went on.
"""

import asyncio
import collections.abc
import dataclasses
import functools
import signal
import typing
import weakref

from topazring.soak import environment
from topazring.soak import observations

__all__ = ['Fault', 'Step', 'inject', 'families', 'faults_by_name']

# A process that was told to stop is ended past its grace and this.
KILL_DELAY_S = 1.0
# One that starts takes about so long.
START_DURATION_MS = 1500
# What troubles have done is over a moment after them.
AFTEREFFECT_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Hold one fault of a schedule."""

    at_ms: int
    fault: str
    # Chooses among what there is at that moment, from 0 to 1.
    choice: float
    for_ms: int
    # Between the parts of a fault in series.
    gap_ms: int


Instance = typing.Any
Injector = collections.abc.Callable[
    [environment.Environment, Step], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Hold a kind of fault and how often it is drawn within its family."""

    name: str
    family: str
    weight: int
    inject: Injector


_faults: dict[str, Fault] = {}
# The processes that were told to stop.
_told: weakref.WeakSet = weakref.WeakSet()


def fault(
    family: str, weight: int = 2
) -> collections.abc.Callable[[Injector], Injector]:
    """Register a fault under its function's name."""

    def register(function: Injector) -> Injector:
        name = function.__name__
        _faults[name] = Fault(name, family, weight, function)
        return function

    return register


def faults_by_name() -> dict[str, Fault]:
    """Return all faults by name."""
    return dict(_faults)


def families() -> list[str]:
    """Return the families in their order."""
    return list(dict.fromkeys(f.family for f in _faults.values()))


async def inject(stage: environment.Environment, step: Step) -> None:
    """Cause a fault and wait for its end."""
    await _faults[step.fault].inject(stage, step)


def _pick(stage: environment.Environment, choice: float) -> Instance:
    found = stage.instances
    return found[int(choice * len(found)) % len(found)]


def _trouble(
    stage: environment.Environment,
    where: str,
    for_ms: float,
    planned: bool = False,
) -> None:
    now = environment.now_ms()
    stage.oracle.note(
        observations.Disturbed(now, now + for_ms, where, planned)
    )


def _runs(instance: Instance) -> bool:
    process = instance.process
    return process is not None and process.returncode is None


def _signal(instance: Instance, number: signal.Signals) -> None:
    """Signal the instance's own process, if it still runs."""
    if _runs(instance):
        instance.process.send_signal(number)


def _tell_to_stop(instance: Instance) -> None:
    _told.add(instance.process)
    _signal(instance, signal.SIGTERM)


async def _restart(stage: environment.Environment, instance: Instance) -> None:
    if not _runs(instance):
        started = observations.Started(environment.now_ms(), instance.name)
        stage.oracle.note(started)
        await instance.restart()


async def _stop(
    stage: environment.Environment, instance: Instance, pause_ms: float
) -> None:
    """Stop an instance in its grace, then start it again."""
    process = instance.process
    # Told twice, a process ends at once, which no platform asks for.
    if not _runs(instance) or process in _told:
        return
    grace_ms = (stage.grace_s + KILL_DELAY_S) * 1000
    _trouble(stage, instance.name, grace_ms, planned=True)
    _tell_to_stop(instance)
    try:
        async with asyncio.timeout(stage.grace_s + KILL_DELAY_S):
            await process.wait()
    except TimeoutError:
        if instance.process is process:
            _trouble(stage, instance.name, START_DURATION_MS)
            _signal(instance, signal.SIGKILL)
            await process.wait()
    await asyncio.sleep(pause_ms / 1000)
    _trouble(stage, instance.name, START_DURATION_MS, planned=True)
    await _restart(stage, instance)


async def _freeze(
    stage: environment.Environment, instance: Instance, for_ms: float
) -> None:
    _trouble(stage, instance.name, for_ms + 200)
    process = instance.process
    _signal(instance, signal.SIGSTOP)
    await asyncio.sleep(for_ms / 1000)
    if instance.process is process:
        _signal(instance, signal.SIGCONT)


async def _kill(
    stage: environment.Environment, instance: Instance, for_ms: float
) -> None:
    _trouble(stage, instance.name, for_ms + START_DURATION_MS)
    if _runs(instance):
        _signal(instance, signal.SIGKILL)
        await instance.process.wait()
    await asyncio.sleep(for_ms / 1000)
    await _restart(stage, instance)


# ---- planned work ----


@fault('planned')
async def stop(stage: environment.Environment, step: Step) -> None:
    """Stop one instance and start it again."""
    await _stop(stage, _pick(stage, step.choice), step.gap_ms)


@fault('planned', weight=1)
async def roll(stage: environment.Environment, step: Step) -> None:
    """Stop all instances, one after the other or overlapping."""
    stopping = []
    for instance in stage.instances:
        stopping.append(asyncio.create_task(_stop(stage, instance, 0)))
        await asyncio.sleep(step.for_ms / 1000)
    await asyncio.gather(*stopping)


@fault('planned')
async def reload(stage: environment.Environment, step: Step) -> None:
    """Change settings and tell the instance, twice in a row at times."""
    instance = _pick(stage, step.choice)
    for _ in range(1 + int(step.choice * 10) % 2):
        stage.rewrite_settings(instance)
        _signal(instance, signal.SIGHUP)
        await asyncio.sleep(step.gap_ms / 1000)


@fault('planned', weight=3)
async def configure(stage: environment.Environment, step: Step) -> None:
    """Have the operator write a version, or several in a row."""
    for _ in range(1 + int(step.choice * 10) % 3):
        await stage.configure()
        await asyncio.sleep(step.gap_ms / 1000)


# ---- signals ----


@fault('signals')
async def freeze(stage: environment.Environment, step: Step) -> None:
    """Stop an instance without ending it, then let it go on."""
    await _freeze(stage, _pick(stage, step.choice), step.for_ms)


@fault('signals')
async def kill(stage: environment.Environment, step: Step) -> None:
    """Kill an instance and start it again."""
    await _kill(stage, _pick(stage, step.choice), step.gap_ms)


@fault('signals', weight=1)
async def kill_all(stage: environment.Environment, step: Step) -> None:
    """Kill all instances at once."""
    await asyncio.gather(
        *(_kill(stage, each, step.gap_ms) for each in stage.instances)
    )


@fault('signals', weight=1)
async def kill_in_its_grace(
    stage: environment.Environment, step: Step
) -> None:
    """Tell an instance to stop, and kill it before it has."""
    instance = _pick(stage, step.choice)
    _tell_to_stop(instance)
    _trouble(stage, instance.name, step.gap_ms + START_DURATION_MS)
    await asyncio.sleep(step.gap_ms / 1000)
    await _kill(stage, instance, 100)


@fault('signals', weight=1)
async def freeze_in_its_grace(
    stage: environment.Environment, step: Step
) -> None:
    """Tell an instance to stop while it is frozen, and to reload."""
    instance = _pick(stage, step.choice)
    freezing = asyncio.create_task(_freeze(stage, instance, step.for_ms))
    await asyncio.sleep(0.05)
    _signal(instance, signal.SIGHUP)
    await asyncio.gather(freezing, _stop(stage, instance, step.gap_ms))


@fault('signals', weight=1)
async def freeze_in_turn(stage: environment.Environment, step: Step) -> None:
    """Freeze all instances, each before the last one goes on."""
    freezing = []
    for instance in stage.instances:
        one = _freeze(stage, instance, step.for_ms)
        freezing.append(asyncio.create_task(one))
        await asyncio.sleep(step.for_ms / 2000)
    await asyncio.gather(*freezing)


# ---- upstreams, the platform's service, links ----

# By family: how often each is drawn. The stage says what is troubled.
_AROUND = {
    'releases': {'release': 3, 'release in turn': 2, 'release beside deaf': 2},
    'upstreams': {
        'crash': 3,
        'crash primary': 2,
        'born again': 2,
        'silence': 2,
        'deafen': 2,
        'isolate': 2,
    },
    'service': {
        'down': 2,
        'silent': 2,
        'slow': 2,
        'loses answers': 2,
        'forgets': 2,
        'turns away': 2,
    },
    'links': {
        'delayed': 2,
        'reset': 2,
        'one way': 2,
        'no way': 2,
        'loses answers for good': 2,
    },
}


async def _around(
    family: str, how: str, stage: environment.Environment, step: Step
) -> None:
    if family != 'releases' or how == 'release beside deaf':
        _trouble(stage, family, step.for_ms + step.gap_ms + AFTEREFFECT_MS)
    choice, for_ms, gap_ms = step.choice, step.for_ms, step.gap_ms
    await stage.disturb(family, how, choice, for_ms, gap_ms)


for _family, _hows in _AROUND.items():
    for _how, _weight in _hows.items():
        _cause = functools.partial(_around, _family, _how)
        _faults[_how] = Fault(_how, _family, _weight, _cause)
