"""RECOVER: nobody is served again after a kill beside planned releases."""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import stage as stages  # noqa: E402

SERVICES = ('s1', 's2', 's3')
ROUTES = [(f'exact-{name}', 'primary', name) for name in SERVICES] + [
    (f'view-{name}', 'bounded_staleness', name) for name in SERVICES
]
CALLERS_PER_ROUTE = 2
ATTEMPTS = 3
DEADLINE_S = 1.5
PAUSE_S = 0.05
# The bounds of the site.
DRAIN_S = 7.0
RECOVERY_S = 12.0
BEFORE_S = 5.0
AFTER_S = 10.0
NEW_STARTS_FIRST_S = 1.0
# A backend that leaves goes on a little longer than it has to.
LONGER_S = 0.2
# The final fault, so long after these backends have reported to leave.
KILL_AFTER_REPORT_S = 1.0
DOWN_S = 0.5
SERVED_SHARE = 0.25


class Caller:
    """A client of one route; each operation is a session of its own."""

    def __init__(self, record, proxies, database, ids):
        self.record = record
        self.proxies = proxies
        self.database = database
        self.ids = ids
        # When each operation was sent first, and whether it was served.
        self.operations = []

    async def run(self, until):
        """Send one operation after the other until the event is set."""
        turns = itertools.cycle(range(3))
        while not until.is_set():
            began_s = time.monotonic()
            served = False
            for _ in range(ATTEMPTS):
                if time.monotonic() - began_s > DEADLINE_S or served:
                    break
                served = await self._try(next(turns))
            self.operations.append((began_s, served))
            await asyncio.sleep(PAUSE_S)

    async def _try(self, turn):
        """Return whether one attempt succeeds at one proxy."""
        client = stages.Client(self.proxies[turn], self.database, 'c')
        try:
            greeting = await client.start()
            if not greeting.startswith('READY'):
                self.record.add(f'{self.database}: {greeting}')
                return False
            texts = ['READ k1']
            if turn == 0:
                texts = ['BEGIN', 'READ k1', 'READ k2', 'COMMIT']
            for text in texts:
                request_id = f'{next(self.ids):016x}'
                lines = await client.query(request_id, text, DEADLINE_S)
                self.record.add(
                    f'{self.database} {request_id} {text} -> {lines}'
                )
                if not any(line.startswith('DONE') for line in lines):
                    return False
            return True
        except OSError as error:
            self.record.add(f'{self.database}: {error!r}')
            await asyncio.sleep(PAUSE_S)
            return False
        finally:
            client.close()


async def release(stage):
    """Replace the replicas of each service, one after the other.

    Return the tasks that end those that are replaced.
    """
    ends = []
    for place in (1, 2):
        for service in stage.services:
            await service.add_replica(stages.ZONES[place])
        await asyncio.sleep(NEW_STARTS_FIRST_S)
        for service in stage.services:
            old = service.backends[place]
            old.drain()
            stage.record.add(f'{old.name} reports draining')
            ends.append(asyncio.create_task(end_later(stage, old)))
    return ends


async def end_later(stage, backend):
    """Let a backend that has reported draining exit at its time."""
    await asyncio.sleep(DRAIN_S + LONGER_S)
    backend.exit()
    stage.record.add(f'{backend.name} has exited')


async def case(record, trouble):
    """Return whether RECOVER was broken."""
    stage = stages.Stage(record)
    ids = itertools.count(0xA000000000000000)
    until = asyncio.Event()
    try:
        await stage.start(ROUTES)
        callers = [
            Caller(record, stage.proxies, route[0], ids)
            for route in ROUTES
            for _ in range(CALLERS_PER_ROUTE)
        ]
        tasks = [asyncio.create_task(each.run(until)) for each in callers]
        await asyncio.sleep(BEFORE_S)
        if trouble:
            tasks += await release(stage)
        await asyncio.sleep(KILL_AFTER_REPORT_S)
        killed_s = time.monotonic()
        record.add('final fault: all processes are killed')
        for proxy in stage.proxies:
            await proxy.kill()
        await asyncio.sleep(DOWN_S)
        for proxy in stage.proxies:
            await proxy.start()
        back_s = time.monotonic()
        record.add('all processes are started again')
        await asyncio.sleep(RECOVERY_S + AFTER_S)
        until.set()
        await asyncio.wait(tasks, timeout=5)
        return judge(record, callers, killed_s, back_s)
    finally:
        await stage.close()


def judge(record, callers, killed_s, back_s):
    """Return whether less than a quarter is served after the fault."""
    operations = [each for caller in callers for each in caller.operations]
    before = [
        served
        for sent_s, served in operations
        if killed_s - BEFORE_S <= sent_s < killed_s
    ]
    after = [
        served for sent_s, served in operations if sent_s > back_s + RECOVERY_S
    ]
    text = (
        f'served before the fault: {sum(before)} of {len(before)}; '
        f'later than {RECOVERY_S} s after: {sum(after)} of {len(after)}'
    )
    record.add(text)
    print(text)
    if not after or sum(before) < SERVED_SHARE * len(before):
        raise stages.CannotRun('too little was served before')
    return sum(after) < SERVED_SHARE * len(after)


if __name__ == '__main__':
    sys.exit(stages.run_case(FOLDER, case))
