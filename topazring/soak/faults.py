"""Name the faults of a soak, and cause them.

A fault is a function of the stage and of its step; it returns once the fault
is over. It tells the oracle what it troubles, for promises hold with a time
only where nothing else went on.
"""

import asyncio
import collections.abc
import dataclasses
import signal

from topazring.soak import facts
from topazring.soak import sightings
from topazring.soak import stages

__all__ = ['Fault', 'Step', 'cause', 'families', 'known']

# A process that was told to stop is ended past its grace and this.
PAST_GRACE_S = 1.0
# One that starts takes about so long.
START_MS = 1500


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


Cause = collections.abc.Callable[
    [stages.Stage, Step], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Hold a kind of fault and how often it is drawn within its family."""

    name: str
    family: str
    weight: int
    cause: Cause


_faults: dict[str, Fault] = {}


def fault(
    family: str, weight: int = 2
) -> collections.abc.Callable[[Cause], Cause]:
    """Register a fault under its function's name."""

    def register(function: Cause) -> Cause:
        name = function.__name__
        _faults[name] = Fault(name, family, weight, function)
        return function

    return register


def known() -> dict[str, Fault]:
    """Return all faults by name."""
    return dict(_faults)


def families() -> list[str]:
    """Return the families in their order."""
    return list(dict.fromkeys(f.family for f in _faults.values()))


async def cause(stage: stages.Stage, step: Step) -> None:
    """Cause a fault and wait for its end."""
    await _faults[step.fault].cause(stage, step)


def _pick(stage: stages.Stage, choice: float) -> stages.Instance:
    found = stage.instances
    return found[int(choice * len(found)) % len(found)]


def _trouble(
    stage: stages.Stage, where: str, for_ms: float, planned: bool = False
) -> None:
    now = stages.now_ms()
    trouble = sightings.Disturbed(now, now + for_ms, where, planned)
    stage.oracle.note(trouble)


def _runs(instance: stages.Instance) -> bool:
    process = instance.process
    return process is not None and process.returncode is None


def _signal(instance: stages.Instance, number: signal.Signals) -> None:
    """Signal the instance's own process, if it still runs."""
    if _runs(instance):
        instance.process.send_signal(number)


async def _stop(
    stage: stages.Stage, instance: stages.Instance, pause_ms: float
) -> None:
    """Stop an instance in its grace, then start it again."""
    if not _runs(instance):
        return
    process = instance.process
    grace_ms = (stage.grace_s + PAST_GRACE_S) * 1000
    _trouble(stage, instance.name, grace_ms, planned=True)
    _signal(instance, signal.SIGTERM)
    try:
        async with asyncio.timeout(stage.grace_s + PAST_GRACE_S):
            await process.wait()
    except TimeoutError:
        if instance.process is process:
            _trouble(stage, instance.name, START_MS)
            _signal(instance, signal.SIGKILL)
            await process.wait()
    await asyncio.sleep(pause_ms / 1000)
    _trouble(stage, instance.name, START_MS, planned=True)
    await instance.restart()


async def _freeze(
    stage: stages.Stage, instance: stages.Instance, for_ms: float
) -> None:
    _trouble(stage, instance.name, for_ms + 200)
    process = instance.process
    _signal(instance, signal.SIGSTOP)
    await asyncio.sleep(for_ms / 1000)
    if instance.process is process:
        _signal(instance, signal.SIGCONT)


async def _kill(
    stage: stages.Stage, instance: stages.Instance, for_ms: float
) -> None:
    _trouble(stage, instance.name, for_ms + START_MS)
    if _runs(instance):
        _signal(instance, signal.SIGKILL)
        await instance.process.wait()
    await asyncio.sleep(for_ms / 1000)
    await instance.restart()


# ---- planned work ----


@fault('planned')
async def stop(stage: stages.Stage, step: Step) -> None:
    """Stop one instance and start it again."""
    await _stop(stage, _pick(stage, step.choice), step.gap_ms)


@fault('planned', weight=1)
async def roll(stage: stages.Stage, step: Step) -> None:
    """Stop all instances, one after the other or overlapping."""
    stopping = []
    for instance in stage.instances:
        stopping.append(asyncio.create_task(_stop(stage, instance, 0)))
        await asyncio.sleep(step.for_ms / 1000)
    await asyncio.gather(*stopping)


@fault('planned')
async def reload(stage: stages.Stage, step: Step) -> None:
    """Change settings and tell the instance, twice in a row at times."""
    instance = _pick(stage, step.choice)
    for _ in range(1 + int(step.choice * 10) % 2):
        _trouble(stage, instance.name, 1000, planned=True)
        stage.rewrite_settings(instance)
        _signal(instance, signal.SIGHUP)
        await asyncio.sleep(step.gap_ms / 1000)


@fault('planned', weight=3)
async def configure(stage: stages.Stage, step: Step) -> None:
    """Have the operator write a version, or several in a row."""
    for _ in range(1 + int(step.choice * 10) % 3):
        await stage.configure()
        await asyncio.sleep(step.gap_ms / 1000)


# ---- signals ----


@fault('signals')
async def freeze(stage: stages.Stage, step: Step) -> None:
    """Stop an instance without ending it, then let it go on."""
    await _freeze(stage, _pick(stage, step.choice), step.for_ms)


@fault('signals')
async def kill(stage: stages.Stage, step: Step) -> None:
    """Kill an instance and start it again."""
    await _kill(stage, _pick(stage, step.choice), step.gap_ms)


@fault('signals', weight=1)
async def kill_all(stage: stages.Stage, step: Step) -> None:
    """Kill all instances at once."""
    await asyncio.gather(
        *(_kill(stage, each, step.gap_ms) for each in stage.instances)
    )


@fault('signals', weight=1)
async def kill_in_its_grace(stage: stages.Stage, step: Step) -> None:
    """Tell an instance to stop, and kill it before it has."""
    instance = _pick(stage, step.choice)
    _signal(instance, signal.SIGTERM)
    _trouble(stage, instance.name, step.gap_ms + START_MS)
    await asyncio.sleep(step.gap_ms / 1000)
    await _kill(stage, instance, 100)


@fault('signals', weight=1)
async def freeze_in_its_grace(stage: stages.Stage, step: Step) -> None:
    """Tell an instance to stop while it is frozen, and to reload."""
    instance = _pick(stage, step.choice)
    freezing = asyncio.create_task(_freeze(stage, instance, step.for_ms))
    await asyncio.sleep(0.05)
    _signal(instance, signal.SIGHUP)
    await asyncio.gather(freezing, _stop(stage, instance, step.gap_ms))


@fault('signals', weight=1)
async def freeze_in_turn(stage: stages.Stage, step: Step) -> None:
    """Freeze all instances, each before the last one goes on."""
    freezing = []
    for instance in stage.instances:
        one = _freeze(stage, instance, step.for_ms)
        freezing.append(asyncio.create_task(one))
        await asyncio.sleep(step.for_ms / 2000)
    await asyncio.gather(*freezing)


# ---- releases of upstreams ----


@fault('releases', weight=3)
async def release(stage: stages.Stage, step: Step) -> None:
    """Replace an upstream; the new one is listed late."""
    await stage.upstreams.release(step.choice, step.gap_ms)


@fault('releases', weight=2)
async def release_in_turn(stage: stages.Stage, step: Step) -> None:
    """Replace several, each before the last one has gone."""
    releasing = []
    for turn in range(2 + int(step.choice * 10) % 2):
        choice = (step.choice + turn * 0.37) % 1
        one = stage.upstreams.release(choice, step.gap_ms)
        releasing.append(asyncio.create_task(one))
        await asyncio.sleep((400 + step.gap_ms) / 1000)
    await asyncio.gather(*releasing)


@fault('releases', weight=2)
async def release_beside_deaf(stage: stages.Stage, step: Step) -> None:
    """Have only the unlisted new replica receive; then lose the primary."""
    upstreams = stage.upstreams
    unlisted_ms = 900 + step.gap_ms
    _trouble(stage, upstreams.primary_name(), step.for_ms + unlisted_ms)
    releasing = asyncio.create_task(
        upstreams.release(step.choice, unlisted_ms)
    )
    await asyncio.sleep(0.15)
    upstreams.deafen(upstreams.listed_replicas(), step.for_ms + 1500)
    await asyncio.sleep(0.3 + step.choice * 0.2)
    primary = upstreams.primary_name()
    if step.choice < 0.5:
        await upstreams.crash(primary, 3000, empty=False)
    else:
        await upstreams.isolate(step.for_ms)
    await releasing


# ---- upstreams that fail ----


@fault('upstreams', weight=3)
async def crash(stage: stages.Stage, step: Step) -> None:
    """Crash an upstream; it comes back with its log."""
    name = stage.upstreams.choose(step.choice)
    _trouble(stage, name, step.for_ms)
    await stage.upstreams.crash(name, step.for_ms, empty=False)


@fault('upstreams', weight=2)
async def crash_primary(stage: stages.Stage, step: Step) -> None:
    """Crash the primary; it comes back with its log."""
    name = stage.upstreams.primary_name()
    _trouble(stage, name, step.for_ms)
    await stage.upstreams.crash(name, step.for_ms, empty=False)


@fault('upstreams')
async def born_again(stage: stages.Stage, step: Step) -> None:
    """Have an upstream begin again, empty, under its name."""
    name = stage.upstreams.choose(step.choice)
    _trouble(stage, name, step.for_ms)
    await stage.upstreams.crash(name, step.for_ms, empty=True)


@fault('upstreams')
async def silence(stage: stages.Stage, step: Step) -> None:
    """Have an upstream go silent."""
    name = stage.upstreams.choose(step.choice)
    _trouble(stage, name, step.for_ms)
    await stage.upstreams.silence(name, step.for_ms)


@fault('upstreams')
async def deafen(stage: stages.Stage, step: Step) -> None:
    """Have a replica, or all of them, receive nothing."""
    replicas = stage.upstreams.listed_replicas()
    if step.choice < 0.7:
        replicas = replicas[int(step.choice * 10) % 2 :][:1]
    _trouble(stage, 'upstreams', step.for_ms)
    stage.upstreams.deafen(replicas, step.for_ms)
    await asyncio.sleep(step.for_ms / 1000)


@fault('upstreams')
async def isolate(stage: stages.Stage, step: Step) -> None:
    """Cut the primary off from its group; it goes on when replaced."""
    _trouble(stage, stage.upstreams.primary_name(), step.for_ms)
    await stage.upstreams.isolate(step.for_ms)


# ---- the platform's service ----


async def _service(stage: stages.Stage, step: Step, how: str) -> None:
    _trouble(stage, facts.SERVICE, step.for_ms + 200)
    stage.service(how, step.choice)
    await asyncio.sleep(step.for_ms / 1000)
    stage.service('well', step.choice)


@fault('service')
async def service_down(stage: stages.Stage, step: Step) -> None:
    """Have the service refuse everybody."""
    await _service(stage, step, 'down')


@fault('service')
async def service_silent(stage: stages.Stage, step: Step) -> None:
    """Have the service take calls and never answer."""
    await _service(stage, step, 'silent')


@fault('service')
async def service_slow(stage: stages.Stage, step: Step) -> None:
    """Have the service answer late."""
    await _service(stage, step, 'slow')


@fault('service')
async def service_loses_answers(stage: stages.Stage, step: Step) -> None:
    """Have the service carry writes out without an answer."""
    await _service(stage, step, 'loses answers')


@fault('service')
async def service_forgets(stage: stages.Stage, step: Step) -> None:
    """Have the service drop its history."""
    await _service(stage, step, 'forgets')


@fault('service')
async def service_turns_away(stage: stages.Stage, step: Step) -> None:
    """Have the service serve some instances only."""
    await _service(stage, step, 'turns away')


# ---- links ----


async def _link(stage: stages.Stage, step: Step, how: str) -> None:
    name = stage.link(how, step.choice)
    _trouble(stage, name, step.for_ms + 200)
    await asyncio.sleep(step.for_ms / 1000)
    stage.mend_link(name)


@fault('links')
async def link_delayed(stage: stages.Stage, step: Step) -> None:
    """Have a link pass bytes late."""
    await _link(stage, step, 'delayed')


@fault('links')
async def link_reset(stage: stages.Stage, step: Step) -> None:
    """Reset a link's connections, and refuse new ones for a moment."""
    await _link(stage, step, 'reset')


@fault('links')
async def link_one_way(stage: stages.Stage, step: Step) -> None:
    """Have requests pass and answers wait."""
    await _link(stage, step, 'one way')


@fault('links')
async def link_silent(stage: stages.Stage, step: Step) -> None:
    """Have nothing pass, and nothing close."""
    await _link(stage, step, 'silent')


@fault('links')
async def link_loses(stage: stages.Stage, step: Step) -> None:
    """Have open connections lose answers for good; new ones work."""
    await _link(stage, step, 'loses')
