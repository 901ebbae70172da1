"""Carry a RESUME out late, while the store is down and a replica is ordered."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))

import stage as stages  # noqa: E402

ROUNDS = 5
WRITERS = 24
# A promotion of the site takes this long; commits cross a zone in about a ms.
PROMOTE_S = 1.0
DELAY_S = (0.0009, 0.003)
# To upstreams in other zones; one of them is in the zone of the proxies.
ROUND_TRIP_S = 0.0018
# The primary is dark until the order, for this long at most.
DARK_S = 1.5
# How long the store is down.
DOWN_S = 4.5

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'notes',
            'type': 'primary',
            'service': 'records',
            'timeout-ms': 800,
            'latency-goal-ms': 200,
            'priority': 1,
        }
    ],
    'services': [{'name': 'records', 'max-conns': 83, 'sync-replicas': 1}],
    'limits': {'tx-idle-ms': 3000},
}


class Writer:
    """Write one item after the other; collect what was acknowledged."""

    def __init__(self, stage: stages.Stage, number: int, acknowledged: set):
        self.stage = stage
        self.number = number
        self.acknowledged = acknowledged
        self.count = 0
        self.port = 0

    async def run(self) -> None:
        """Write until cancelled; begin a new session where one ends."""
        caller = None
        while True:
            if caller is None:
                caller = stages.Caller(self.stage.record, f'c{self.number}')
                try:
                    answer = await caller.connect(self.port, 'notes', 'me')
                except OSError:
                    answer = []
                if not answer or not answer[-1].startswith('READY'):
                    caller = None
                    await asyncio.sleep(0.05)
                    continue
                port = self.port
            self.count += 1
            item = f'n{self.number}.{self.count}'
            try:
                answer = await caller.query(f'WRITE {item} d{self.count}')
            except (OSError, TimeoutError):
                answer = []
            if answer and answer[0].startswith('DONE'):
                self.acknowledged.add(item)
            else:
                await asyncio.sleep(0.02)
            if not answer or port != self.port:
                caller.close()
                caller = None


async def case(stage: stages.Stage, is_troubled: bool) -> int:
    group, record = stage.group, stage.record
    group.promote_s, group.delay_s = PROMOTE_S, DELAY_S
    group.max_connections = 83
    near = max(group.members, key=lambda member: member.name)
    for member in group.members:
        member.round_trip_s = 0.0 if member is near else ROUND_TRIP_S
    acknowledged: set[str] = set()
    promotions: list[tuple[str, set]] = []

    def keep_log(member: stages.Upstream) -> None:
        promotions.append((member.name, {item for _, item, _ in member.log}))

    group.has_led = keep_log
    await stage.start(CONFIGURATION)
    writers = [Writer(stage, n, acknowledged) for n in range(WRITERS)]
    await asyncio.sleep(4)
    for n, writer in enumerate(writers):
        writer.port = stage.proxies[n % len(stage.proxies)].caller
    tasks = [asyncio.create_task(w.run()) for w in writers]
    await asyncio.sleep(3)
    for _ in range(ROUNDS):
        if is_troubled:
            await trouble(stage)
        await asyncio.sleep(5.5)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    lost = set()
    for name, held in promotions:
        # What was acknowledged before or while this one was promoted.
        missing = sorted(lost_by(stage, held, acknowledged, name, promotions))
        record.note(f'{name} led without {missing}')
        lost |= set(missing)
    verdict = (
        f'{len(acknowledged)} writes acknowledged, {len(lost)} of them not in '
        f'the logs of {len(promotions)} upstreams that were promoted'
    )
    record.note(verdict)
    print(verdict)
    return 1 if lost else 0


def lost_by(stage, held, acknowledged, name, promotions) -> set[str]:
    """Return the acknowledged writes that a promotion has dropped."""
    index = [n for n, (each, log) in enumerate(promotions) if log is held][0]
    began = stage.group.led_runs[index]
    committed = {
        text.split(' ')[1]
        for _, _, _, text in stage.group.runs[:began]
        if text.startswith('WRITE')
    }
    return (acknowledged & committed) - held


async def replace_primary(stage: stages.Stage) -> None:
    """Have the primary go dark until another one is ordered to lead."""
    group, record = stage.group, stage.record
    primary = next(m for m in group.members if m.role == 'primary')
    ordered = asyncio.Event()
    promote = group.promote

    def note_order(service: str, name: str) -> bool:
        if name != primary.name:
            ordered.set()
        return promote(service, name)

    stage.store.promote = note_order
    record.note(f'{primary.name} goes dark')
    primary.is_awake.clear()
    try:
        async with asyncio.timeout(DARK_S):
            await ordered.wait()
    except TimeoutError:
        record.note('no order came')
    await asyncio.sleep(0.05)
    record.note(f'{primary.name} is back')
    primary.is_awake.set()


async def trouble(stage: stages.Stage) -> None:
    """Have a RESUME come late, after another order, while the store is down."""
    await replace_beside_store(stage)
    # Those of the round before, some seven seconds late.
    stage.group.carry_out_resumes()
    # What the holder sends at the end of this promotion is late.
    stage.group.late_resumes = {m.name for m in stage.group.members}


async def replace_beside_store(stage: stages.Stage) -> None:
    """Have the primary replaced while the store is down."""
    stage.record.note('the store is down')
    stage.store.down_until_s = stages.now_s() + DOWN_S
    await asyncio.sleep(2.6)
    await replace_primary(stage)


is_troubled = os.environ.get('TROUBLE') != '0'
stages.play(case, HERE / 'record.txt', 8, is_troubled)
