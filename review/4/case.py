"""Start all proxies anew while the only copy of a write isn't listed."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))

import stage as stages  # noqa: E402

# As in the site file and in `kinds`: how long a replica receives nothing, and
# how long an upstream is cut off from the store.
DEAF_S = 6.5
CUT_S = 5.0
# Heartbeats come at multiples of this, from the moment of the cut on.
BEAT_S = stages.HEARTBEAT_S
EXPIRY_S = BEAT_S * stages.MISSED_HEARTBEATS
KILL_S = 3.0
DOWN_S = 0.7

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'notes',
            'type': 'primary',
            'service': 'records',
            'timeout-ms': 800,
            'latency-goal-ms': 150,
            'priority': 1,
        }
    ],
    'services': [{'name': 'records', 'max-conns': 23, 'sync-replicas': 1}],
    'limits': {'tx-idle-ms': 3000},
}


async def write_for(caller, seconds: float, acknowledged: set) -> None:
    """Write one item after the other; collect what was acknowledged."""
    until_s = stages.now_s() + seconds
    number = len(acknowledged)
    while stages.now_s() < until_s:
        number += 1
        item = f'n{number}'
        answer = await caller.query(f'WRITE {item} d{number}')
        if answer and answer[0].startswith('DONE'):
            acknowledged.add(item)
        await asyncio.sleep(0.05)


async def case(stage: stages.Stage, is_troubled: bool) -> int:
    group, record = stage.group, stage.record
    primary, deaf, cut = group.members
    acknowledged: set[str] = set()
    lost: list[str] = []

    def compare(member: stages.Upstream) -> None:
        held = {item for _, item, _ in member.log}
        missing = sorted(acknowledged - held)
        record.note(f'{member.name} leads without {missing}')
        lost.extend(missing)

    group.has_led = compare
    await stage.start(CONFIGURATION)
    caller = stages.Caller(record, 'c')
    answer = await caller.connect(stage.proxies[0].caller, 'notes', 'me')
    assert answer == ['READY I -'], answer
    await write_for(caller, 5.0, acknowledged)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    writing = asyncio.create_task(
        write_for(caller, KILL_S - 0.2, acknowledged)
    )

    def at(after_s: float, step, *arguments) -> None:
        loop.call_at(began_s + after_s, step, *arguments)

    def hear() -> None:
        record.note(f'{deaf.name} receives again')
        deaf.is_deaf = False
        group.catch_up(deaf)

    def spawn(step, member: stages.Upstream) -> None:
        stage.store.tasks.add(asyncio.create_task(step(member)))

    if is_troubled:
        record.note(f'{deaf.name} receives nothing')
        deaf.is_deaf = True
        at(DEAF_S, hear)
        record.note(f'{cut.name} is cut off from the store')
        at(EXPIRY_S, spawn, group.unlist, cut)
        # The first heartbeat after the cut.
        at(-(-CUT_S // BEAT_S) * BEAT_S, spawn, group.list_member, cut)
        # The last heartbeat of the primary before its end.
        at(KILL_S // BEAT_S * BEAT_S + EXPIRY_S, spawn, group.unlist, primary)
    await writing
    await asyncio.sleep(began_s + KILL_S - loop.time())
    if is_troubled:
        record.note(f'{primary.name} and all proxies end')
        group.stop(primary)
        await asyncio.gather(*(p.end(signal.SIGKILL) for p in stage.proxies))
        await asyncio.sleep(began_s + KILL_S + DOWN_S - loop.time())
        await asyncio.gather(*(p.start() for p in stage.proxies))
        record.note('the proxies are ready again')
    await asyncio.sleep(8)
    caller.close()
    verdict = (
        f'{len(acknowledged)} writes acknowledged, {len(lost)} of them not in '
        'the log of the upstream that was promoted'
    )
    record.note(verdict)
    print(verdict)
    return 1 if lost else 0


is_troubled = os.environ.get('TROUBLE') != '0'
stages.play(case, HERE / 'record.txt', 3, is_troubled)
