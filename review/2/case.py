"""PINNED: a refused SET or RESET is taken as done."""

import asyncio
import itertools
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import stage as stages  # noqa: E402

SEED = 61
ROUTES = [(f'db{place}', 'primary', f's{place}') for place in range(1, 4)]
CLIENTS_PER_PROXY = 6
BEFORE_S = 3.0
GREY_S = 6.5
AFTER_S = 8.0
GREY_SHARE = 0.45
PAUSE_S = 0.05


class Caller:
    """A client that sets a value and then reads and writes."""

    def __init__(self, record, proxy, number, ids):
        self.record = record
        self.number = number
        self.ids = ids
        self.client = stages.Client(proxy, 'db1', f'c{number}')
        self.zone = f'zone{number}'
        # By request id, the values acknowledged when it was sent.
        self.sent = {}
        self.values = {}
        self.counts = {'DONE': 0, 'ERROR': 0}

    async def run(self, until):
        """Work until the event is set; start again after a close."""
        while not until.is_set():
            greeting = await self.client.start()
            if greeting.startswith('READY'):
                await self._work(until)
            self.client.close()
            await asyncio.sleep(PAUSE_S)

    async def _work(self, until):
        self.values = {}
        # Half of the clients also set a second value.
        pairs = [('tz', self.zone), ('lang', self.zone)]
        for name, value in pairs[: 1 + self.number % 2]:
            if not await self._query(f'SET {name} {value}'):
                return
            self.values[name] = value
        turn = 0
        while not until.is_set():
            turn += 1
            verb = f'WRITE k{self.number} v{turn}'
            if turn % 3:
                verb = f'READ k{self.number}'
            if await self._query(verb) is None:
                return
            await asyncio.sleep(PAUSE_S)

    async def _query(self, text):
        """Return whether a statement succeeded, None if the session ended."""
        request_id = f'{next(self.ids):016x}'
        if not text.startswith('SET'):
            self.sent[request_id] = dict(self.values)
        lines = await self.client.query(request_id, text)
        self.record.add(f'c{self.number} {request_id} {text} -> {lines}')
        if not lines or not lines[-1].startswith('READY I'):
            return None
        word = lines[-2].split(' ')[0]
        self.counts[word] += 1
        return word == 'DONE'


async def case(record, trouble):
    """Return whether PINNED was broken."""
    stage = stages.Stage(record)
    random_source = random.Random(SEED)
    ids = itertools.count(0xA000000000000000)
    try:
        await stage.start(ROUTES)
        callers = [
            Caller(record, proxy, place * CLIENTS_PER_PROXY + each, ids)
            for place, proxy in enumerate(stage.proxies)
            for each in range(CLIENTS_PER_PROXY)
        ]
        ended = asyncio.Event()
        tasks = [asyncio.create_task(each.run(ended)) for each in callers]
        await asyncio.sleep(BEFORE_S)
        grey = stage.services[0].backends[0]
        if trouble:
            record.add(f'{grey.name} fails {GREY_SHARE} of its requests')
            grey.fault = lambda text: (
                'FAILED grey' if random_source.random() < GREY_SHARE else None
            )
        await asyncio.sleep(GREY_S)
        grey.fault = lambda text: None
        record.add(f'{grey.name} is sound again; it failed {grey.failed}')
        await asyncio.sleep(AFTER_S)
        ended.set()
        await asyncio.wait(tasks, timeout=5)
        return judge(record, stage, callers)
    finally:
        await stage.close()


def judge(record, stage, callers):
    """Return whether a statement ran with other values than its client's."""
    sent = {
        key: each for caller in callers for key, each in caller.sent.items()
    }
    runs = [run for service in stage.services for run in service.runs]
    ok = wrong = 0
    for run in runs:
        if not run.ok or run.request_id not in sent:
            continue
        ok += 1
        if run.values != sent[run.request_id]:
            wrong += 1
            record.add(
                f'PINNED: {run.request_id} {run.text} ran at {run.backend} '
                f'with {run.values}, acknowledged {sent[run.request_id]}'
            )
    answers = {
        word: sum(caller.counts[word] for caller in callers)
        for word in ('DONE', 'ERROR')
    }
    record.add(f'answers {answers}; {ok} runs, {wrong} with other values')
    print(f'answers {answers}; {ok} runs, {wrong} with other values')
    if ok < 100:
        raise stages.CannotRun('too few statements ran')
    return wrong > 0


if __name__ == '__main__':
    # TROUBLE=0 does the same without the disruption.
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(stages.run_case(FOLDER, case, is_troubled))
