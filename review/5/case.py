"""Stop the holder of the lease before its accepted order has taken effect."""

import asyncio
import base64
import json
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))

import stage as stages  # noqa: E402

ROUNDS = 3
WRITERS = 12
# A promotion of the site takes this long; commits cross a zone in about a ms.
PROMOTE_S = 1.0
DELAY_S = (0.0009, 0.003)
# The primary is dark until the order, for this long at most.
DARK_S = 1.5
# How long a replica receives nothing.
DEAF_S = 6.5

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


def holder_of(stage: stages.Stage) -> str:
    """Return the name of the proxy that holds the promotion lease."""
    item = stage.store.items.get('topazring/duty')
    if item is None:
        return ''
    value = json.loads(base64.b64decode(item['value']))
    return value['holder'].rpartition('-')[0]


async def case(stage: stages.Stage, is_troubled: bool) -> int:
    group, record = stage.group, stage.record
    group.promote_s, group.delay_s = PROMOTE_S, DELAY_S
    group.max_connections = 83
    acknowledged: set[str] = set()
    promotions: list[tuple[str, set]] = []

    def keep_log(member: stages.Upstream) -> None:
        promotions.append((member.name, {item for _, item, _ in member.log}))

    group.has_led = keep_log
    await stage.start(CONFIGURATION)
    writers = [Writer(stage, n, acknowledged) for n in range(WRITERS)]
    await asyncio.sleep(4)
    for _ in range(ROUNDS):
        holder = next(p for p in stage.proxies if p.name == holder_of(stage))
        # Callers are at the other proxies, as the platform moves them away
        # from one that stops.
        others = [p for p in stage.proxies if p is not holder]
        for n, writer in enumerate(writers):
            writer.port = others[n % len(others)].caller
        tasks = [asyncio.create_task(w.run()) for w in writers]
        await asyncio.sleep(3)
        if is_troubled:
            await trouble(stage, holder)
        await asyncio.sleep(2.5)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if is_troubled:
            await holder.process.wait()
            await holder.start()
        await asyncio.sleep(4)
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


def hear(group: stages.Group, member: stages.Upstream) -> None:
    """Have a replica receive again."""
    member.is_deaf = False
    group.catch_up(member)


async def trouble(stage: stages.Stage, holder: stages.Proxy) -> None:
    """Darken the primary until the order for a replica; stop the holder.

    The replica receives nothing from then on.
    """
    group, record = stage.group, stage.record
    primary = next(m for m in group.members if m.role == 'primary')
    ordered = asyncio.Event()
    promote = group.promote

    def note_order(service: str, name: str) -> bool:
        if name != primary.name and not ordered.is_set():
            ordered.set()
            member = next(m for m in group.members if m.name == name)
            record.note(f'{name} receives nothing')
            member.is_deaf = True
            loop = asyncio.get_running_loop()
            loop.call_later(DEAF_S, hear, group, member)
        return promote(service, name)

    stage.store.promote = note_order
    record.note(f'{primary.name} goes dark')
    primary.is_awake.clear()
    try:
        async with asyncio.timeout(DARK_S):
            await ordered.wait()
    except TimeoutError:
        record.note('no order came')
    # The answer to the order has to arrive.
    await asyncio.sleep(0.05)
    record.note(f'{primary.name} is back, and {holder.name} is to stop')
    primary.is_awake.set()
    holder.send(signal.SIGTERM)


is_troubled = os.environ.get('TROUBLE') != '0'
stages.play(case, HERE / 'record.txt', 3, is_troubled)
