"""CONFIG: an entry of another writer ends the reading of the store."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import stage as stages  # noqa: E402

OLD = [('kept', 'primary', 's1'), ('dropped', 'primary', 's1')]
NEW = [('kept', 'primary', 's1'), ('added', 'primary', 's1')]
DEPTH = 1200
KEY = 'servers/i-otherwriter'
# The bound is 3 s; the judged sessions start at least 2 s after it.
RECOVERY_S = 12
JUDGED_AFTER_S = stages.CONFIG_APPLY_S + 2


async def read_once(stage, proxy, database, number):
    """Return what one session with one read gets."""
    client = stages.Client(proxy, database, f'c{number}')
    greeting = await client.start()
    lines = [greeting]
    if greeting.startswith('READY'):
        lines += await client.query(f'a{number:07d}', 'READ k1')
    client.close()
    stage.record.add(f'{proxy.name} {database} a{number:07d}: {lines}')
    return lines


def is_served(lines):
    """Return whether the read succeeded."""
    return any(line.startswith('DONE i-') for line in lines)


async def show_restart(stage):
    """Record what a proxy serves after a restart; this is not judged."""
    proxy = stage.proxies[0]
    await proxy.kill()
    await proxy.start()
    stage.record.add(f'{proxy.name} was killed and started again')
    await asyncio.sleep(RECOVERY_S)
    served = 0
    for number in range(10):
        lines = await read_once(stage, proxy, 'kept', 900 + number)
        served += is_served(lines)
    ready = await proxy.is_ready()
    stage.record.add(
        f'not judged: {RECOVERY_S} s after its restart {proxy.name} serves '
        f'{served} of 10 reads; its ready probe succeeds: {ready}'
    )


async def case(record, trouble):
    """Return whether CONFIG was broken."""
    stage = stages.Stage(record)
    number = 0
    broken = False
    try:
        await stage.start(OLD)
        for proxy in stage.proxies:
            for database in ('kept', 'dropped'):
                number += 1
                lines = await read_once(stage, proxy, database, number)
                if not is_served(lines):
                    raise stages.CannotRun(f'{database} is not served')
        if trouble:
            value = b'{"a":' * DEPTH + b'0' + b'}' * DEPTH
            stage.store.put(KEY, value)
            record.add(f'another writer wrote {KEY}: {len(value)} bytes')
        await asyncio.sleep(2)
        stage.configure(NEW)
        acknowledged_s = time.monotonic()
        await asyncio.sleep(JUDGED_AFTER_S)
        for _ in range(3):
            for proxy in stage.proxies:
                ready = await proxy.is_ready()
                late_s = time.monotonic() - acknowledged_s
                record.add(f'{proxy.name} ready: {ready}, {late_s:.1f} s on')
                number += 1
                lines = await read_once(stage, proxy, 'added', number)
                if lines[0].startswith('ERROR NODB'):
                    record.add('CONFIG: refused though the route is there')
                    broken = True
                number += 1
                lines = await read_once(stage, proxy, 'dropped', number)
                if is_served(lines):
                    record.add('CONFIG: run with a dropped route')
                    broken = True
            await asyncio.sleep(2)
        await show_restart(stage)
    finally:
        await stage.close()
    return broken


if __name__ == '__main__':
    # TROUBLE=0 does the same without the disruption.
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(stages.run_case(FOLDER, case, is_troubled))
