"""Kill the limiter of a tenant right after the tenant has used its burst."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))

import stage as stages  # noqa: E402

WINDOW_S = 5.0
EXCESS, SLACK = 0.1, 20
RATE, BURST = 20, 200
KEY = 'k-7f3a91c2'
# Of the three proxies p2 is the first that the others ask for permits of it.
TENANT = 'bode960'
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK

CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'notes',
            'type': 'bounded_staleness',
            'service': 'records',
            'timeout-ms': 1500,
            'latency-goal-ms': 400,
            'priority': 1,
            'max-staleness-ms': 1500,
            'anonymous': False,
        }
    ],
    'services': [{'name': 'records', 'max-conns': 48, 'sync-replicas': 1}],
    'limits': {'tx-idle-ms': 3000},
    'tenants': [
        {
            'name': TENANT,
            'api-keys': [KEY],
            'priority': 1,
            'rate-per-s': RATE,
            'burst': BURST,
        }
    ],
}


async def read_for(callers, seconds: float, pause_s: float) -> None:
    """Have all callers read, one statement after the other."""
    until_s = time.monotonic() + seconds

    async def read(caller) -> None:
        while time.monotonic() < until_s:
            await caller.query('READ 1a4')
            await asyncio.sleep(pause_s)

    await asyncio.gather(*map(read, callers))


async def case(stage: stages.Stage, is_troubled: bool) -> int:
    stage.group.max_connections = 48
    await stage.start(
        CONFIGURATION,
        quota_window_s=WINDOW_S,
        quota_excess=EXCESS,
        quota_slack=SLACK,
    )
    limiter, entry = stage.proxies[1], stage.proxies[0]
    callers = [stages.Caller(stage.record, f'c{n}') for n in range(12)]
    for caller in callers:
        answer = await caller.connect(entry.caller, 'notes', KEY)
        assert answer == ['READY I -'], answer
    await asyncio.sleep(4)
    # Planned work: the limiter is stopped and started while the tenant reads.
    reading = asyncio.create_task(read_for(callers[:4], 10, 0.2))
    await limiter.end(signal.SIGTERM)
    stage.record.note('p2 stopped')
    await asyncio.sleep(1)
    await limiter.start()
    await reading
    # The tenant reads little for a while.
    await read_for(callers[:1], 25, 0.5)
    began_s = time.monotonic()
    burst = asyncio.create_task(read_for(callers, 8, 0.005))
    await asyncio.sleep(1.0)
    if is_troubled:
        limiter.send(signal.SIGKILL)
        stage.record.note('p2 killed')
        await limiter.process.wait()
        await asyncio.sleep(1)
        await limiter.start()
    await burst
    for caller in callers:
        caller.close()
    ran = [t for t, client, _, _ in stage.group.runs if client == TENANT]
    most = stages.count_windows(ran, WINDOW_S)
    verdict = f'{most} runs in {WINDOW_S} s, {ALLOWED:.0f} are allowed'
    stage.record.note(verdict)
    by_s = [sum(began_s + n <= t < began_s + n + 1 for t in ran)
            for n in range(8)]  # fmt: skip
    stage.record.note(f'runs by second of the burst: {by_s}')
    print(verdict, by_s)
    return 1 if most > ALLOWED else 0


is_troubled = os.environ.get('TROUBLE') != '0'
stages.play(case, HERE / 'record.txt', 3, is_troubled)
