"""Define the faults of a soak, and inject them.

A fault is a function of the environment and of a step of the schedule; it
returns once the fault is over. It reports to the oracle what it disturbs:
checks with a time limit apply only to what was not disturbed meanwhile.
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

__all__ = [
    'Fault',
    'Step',
    'families',
    'faults_by_name',
    'freeze_instance',
    'inject',
]

# A process that still runs this long after its grace period is killed.
KILL_DELAY_S = 1.0
# The approximate time that a process takes to start.
START_DURATION_MS = 1500
# A split outlasts the entries of the members on its far side.
SPLIT_MIN_MS = 4000
SPLIT_MAX_MS = 10_000
SPLIT_SCALE = 2.5
# Drawn only if asked for, so that each seed keeps the families it draws.
OPTIONAL_FAMILIES = ('splits', 'returns', 'orders', 'refusals', 'pauses')
# From the loss of a primary to the end of the faults around its successor.
PROMOTION_MS = 8000
# The effects of a fault may last this long after its end.
AFTEREFFECT_MS = 2000
# For so long after an order without an answer, it may be that nobody else is
# promoted.
LATE_ORDERS_MS = 12_000


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Hold one fault of a schedule and its parameters."""

    at_ms: int
    fault: str
    # From 0 to 1: selects among the targets that exist at that moment.
    choice: float
    for_ms: int
    # The pause between the steps of a fault that has several.
    gap_ms: int


Instance = typing.Any
Injector = collections.abc.Callable[
    [environment.Environment, Step], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Hold a kind of fault and the weight that it is drawn with."""

    name: str
    family: str
    weight: int
    inject: Injector


_faults: dict[str, Fault] = {}
# The processes that were sent SIGTERM.
_stopping_processes: weakref.WeakSet = weakref.WeakSet()


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
    """Return the families in order of registration."""
    return list(dict.fromkeys(f.family for f in _faults.values()))


async def inject(env: environment.Environment, step: Step) -> None:
    """Inject a fault and wait for its end."""
    await _faults[step.fault].inject(env, step)


def _choose_instance(env: environment.Environment, choice: float) -> Instance:
    found = env.instances
    return found[int(choice * len(found)) % len(found)]


def _note_disturbance(
    env: environment.Environment,
    where: str,
    for_ms: float,
    planned: bool = False,
) -> None:
    now = environment.now_ms()
    env.oracle.note(observations.Disturbed(now, now + for_ms, where, planned))


def _is_running(instance: Instance) -> bool:
    process = instance.process
    return process is not None and process.returncode is None


def _signal(instance: Instance, number: signal.Signals) -> None:
    """Send a signal to the process of an instance, if it still runs."""
    if _is_running(instance):
        instance.process.send_signal(number)


def _terminate(instance: Instance) -> None:
    _stopping_processes.add(instance.process)
    _signal(instance, signal.SIGTERM)


async def _restart(env: environment.Environment, instance: Instance) -> None:
    if not _is_running(instance):
        started = observations.Started(environment.now_ms(), instance.name)
        env.oracle.note(started)
        await instance.restart()


async def _stop(
    env: environment.Environment, instance: Instance, pause_ms: float
) -> None:
    """Stop an instance, kill it after its grace period, and restart it."""
    process = instance.process
    # A second SIGTERM ends a process at once; no platform sends one.
    if not _is_running(instance) or process in _stopping_processes:
        return
    grace_ms = (env.grace_s + KILL_DELAY_S) * 1000
    _note_disturbance(env, instance.name, grace_ms, planned=True)
    _terminate(instance)
    try:
        async with asyncio.timeout(env.grace_s + KILL_DELAY_S):
            await process.wait()
    except TimeoutError:
        if instance.process is process:
            _note_disturbance(env, instance.name, START_DURATION_MS)
            _signal(instance, signal.SIGKILL)
            await process.wait()
    await asyncio.sleep(pause_ms / 1000)
    _note_disturbance(env, instance.name, START_DURATION_MS, planned=True)
    await _restart(env, instance)


async def freeze_instance(
    env: environment.Environment, instance: Instance, for_ms: float
) -> None:
    """Pause the process of an instance, then continue it."""
    _note_disturbance(env, instance.name, for_ms + 200)
    process = instance.process
    _signal(instance, signal.SIGSTOP)
    await asyncio.sleep(for_ms / 1000)
    if instance.process is process:
        _signal(instance, signal.SIGCONT)


async def _kill(
    env: environment.Environment, instance: Instance, for_ms: float
) -> None:
    _note_disturbance(env, instance.name, for_ms + START_DURATION_MS)
    if _is_running(instance):
        _signal(instance, signal.SIGKILL)
        await instance.process.wait()
    await asyncio.sleep(for_ms / 1000)
    await _restart(env, instance)


# ---- planned work ----


@fault('planned')
async def stop(env: environment.Environment, step: Step) -> None:
    """Stop one instance and restart it."""
    await _stop(env, _choose_instance(env, step.choice), step.gap_ms)


@fault('planned', weight=1)
async def roll(env: environment.Environment, step: Step) -> None:
    """Restart all instances, one after the other or overlapping."""
    stopping = []
    for instance in env.instances:
        stopping.append(asyncio.create_task(_stop(env, instance, 0)))
        await asyncio.sleep(step.for_ms / 1000)
    await asyncio.gather(*stopping)


@fault('planned')
async def reload(env: environment.Environment, step: Step) -> None:
    """Rewrite the settings and send SIGHUP, at times twice in a row."""
    instance = _choose_instance(env, step.choice)
    for _ in range(1 + int(step.choice * 10) % 2):
        env.rewrite_settings(instance)
        _signal(instance, signal.SIGHUP)
        await asyncio.sleep(step.gap_ms / 1000)


@fault('planned', weight=3)
async def configure(env: environment.Environment, step: Step) -> None:
    """Write a version of the configuration, or several in a row."""
    for _ in range(1 + int(step.choice * 10) % 3):
        await env.configure()
        await asyncio.sleep(step.gap_ms / 1000)


# ---- signals ----


@fault('signals')
async def freeze(env: environment.Environment, step: Step) -> None:
    """Pause the process of an instance with SIGSTOP, then continue it."""
    await freeze_instance(env, _choose_instance(env, step.choice), step.for_ms)


@fault('signals')
async def kill(env: environment.Environment, step: Step) -> None:
    """Kill an instance and restart it."""
    await _kill(env, _choose_instance(env, step.choice), step.gap_ms)


@fault('signals', weight=1)
async def kill_all(env: environment.Environment, step: Step) -> None:
    """Kill all instances at once and restart them."""
    await asyncio.gather(
        *(_kill(env, each, step.gap_ms) for each in env.instances)
    )


@fault('signals', weight=1)
async def kill_in_its_grace(env: environment.Environment, step: Step) -> None:
    """Kill an instance during the grace period of its stop."""
    instance = _choose_instance(env, step.choice)
    _terminate(instance)
    _note_disturbance(env, instance.name, step.gap_ms + START_DURATION_MS)
    await asyncio.sleep(step.gap_ms / 1000)
    await _kill(env, instance, 100)


@fault('signals', weight=1)
async def freeze_in_its_grace(
    env: environment.Environment, step: Step
) -> None:
    """Have an instance reload and stop while its process is paused."""
    instance = _choose_instance(env, step.choice)
    freezing = asyncio.create_task(freeze_instance(env, instance, step.for_ms))
    await asyncio.sleep(0.05)
    _signal(instance, signal.SIGHUP)
    await asyncio.gather(freezing, _stop(env, instance, step.gap_ms))


@fault('signals', weight=1)
async def freeze_in_turn(env: environment.Environment, step: Step) -> None:
    """Pause all instances in turn; each overlaps the one before."""
    freezing = []
    for instance in env.instances:
        one = freeze_instance(env, instance, step.for_ms)
        freezing.append(asyncio.create_task(one))
        await asyncio.sleep(step.for_ms / 2000)
    await asyncio.gather(*freezing)


# ---- upstreams, the platform's service, links ----

# By family: the weight of each fault. The environment selects the target.
_ENVIRONMENT_FAULTS = {
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
    'splits': {'split': 2, 'split primary and replica': 2},
    'returns': {'return older': 3, 'return older twice': 1},
    'orders': {
        'late orders': 3,
        'late orders beside crash primary': 2,
        'late orders beside crash in turn': 4,
        'late orders beside isolate': 2,
        'late orders beside down': 1,
        'late orders beside loses answers': 1,
        'late orders beside turns away': 1,
    },
    'pauses': {
        'part': 4,
        'part and freeze': 4,
        'crash and freeze': 1,
        'hand over': 1,
    },
    'refusals': {'refuse setups': 2, 'refuse setups at the primary': 3},
    'links': {
        'delayed': 2,
        'reset': 2,
        'one way': 2,
        'no way': 2,
        'loses answers for good': 2,
    },
}


async def _disturb_environment(
    family: str, how: str, env: environment.Environment, step: Step
) -> None:
    choice, for_ms, gap_ms = step.choice, step.for_ms, step.gap_ms
    if family == 'splits':
        for_ms = min(SPLIT_MIN_MS + int(SPLIT_SCALE * for_ms), SPLIT_MAX_MS)
    if family == 'pauses':
        for_ms = PROMOTION_MS
    if family != 'releases' or how == 'release beside deaf':
        # Orders are late beside faults of the platform's service, and
        # members lose their pauses beside splits.
        where = {'orders': 'service', 'pauses': 'splits'}.get(family, family)
        _note_disturbance(env, where, for_ms + gap_ms + AFTEREFFECT_MS)
    if family == 'orders':
        _note_disturbance(env, family, for_ms + LATE_ORDERS_MS)
    await env.disturb(family, how, choice, for_ms, gap_ms)


for _family, _weights in _ENVIRONMENT_FAULTS.items():
    for _name, _weight in _weights.items():
        _cause = functools.partial(_disturb_environment, _family, _name)
        _faults[_name] = Fault(_name, _family, _weight, _cause)
