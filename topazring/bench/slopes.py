"""Measure what one more database, peer, session or change costs a proxy.

`python -m topazring.bench.slopes NAME` starts fleets of several sizes and
prints a table; docs/CAPACITY.md multiplies the slopes out.
"""

import argparse
import asyncio
import collections.abc
import json
import time

from topazring.bench import fleet as fleets
from topazring.bench import plans
from topazring import catalogue
from topazring.load import experiments
from topazring.load import generator

__all__ = ['main', 'slope', 'slopes']

Rows = list[dict]
_slopes: dict[str, collections.abc.Callable] = {}
IDLE_S = 10.0
WARM_UP_S = 3.0


def slope(function: collections.abc.Callable) -> collections.abc.Callable:
    """Register a measurement under its function's name."""
    _slopes[function.__name__] = function
    return function


def slopes() -> dict[str, collections.abc.Callable]:
    """Return the measurements by name."""
    return dict(_slopes)


async def watch(fleet: fleets.Fleet, name: str, seconds: float) -> dict:
    """Return what a proxy spends a second over a while."""
    port = f'{name} operator'
    before = await fleet.get(port, '/status')
    began = time.monotonic()
    await asyncio.sleep(seconds)
    after = await fleet.get(port, '/status')
    took = time.monotonic() - began

    def rate(read) -> float:
        return (read(after) - read(before)) / took

    return {
        'core %': round(100 * rate(lambda s: s['processor_s']), 2),
        'resident MB': round(after['resident_kb'] / 1024, 1),
        'control B/s out': round(rate(lambda s: s['control_bytes'][0])),
        'control B/s in': round(rate(lambda s: s['control_bytes'][1])),
        'gossip B/s out': round(rate(lambda s: s['gossip_bytes'][0])),
        'gossip B/s in': round(rate(lambda s: s['gossip_bytes'][1])),
        'platform calls/min': round(
            60 * rate(lambda s: sum(s['platform_calls'].values())), 1
        ),
    }


@slope
async def databases() -> Rows:
    """An idle owner, by the databases that it owns."""
    rows = []
    for count in (1, 4, 8, 16):
        names = tuple(f'd{n}' for n in range(count))
        plan = plans.Plan(proxies=2, databases=names)
        fleet = fleets.Fleet(plan)
        try:
            await fleet.start()
            await asyncio.sleep(WARM_UP_S)
            found = await watch(fleet, 'p1', IDLE_S)
            rows.append({'databases': count, **found})
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


@slope
async def peers() -> Rows:
    """An idle proxy, by the real proxies around it."""
    rows = []
    for count in (3, 6, 12, 24, 48):
        plan = plans.Plan(proxies=count)
        fleet = fleets.Fleet(plan)
        try:
            await fleet.start()
            await asyncio.sleep(WARM_UP_S)
            owners = await fleet.owners_of('calc1')
            other = next(
                f'p{n + 1}' for n in range(count) if f'p{n + 1}' not in owners
            )
            found = await watch(fleet, other, IDLE_S)
            rows.append({'proxies': count, **found})
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


async def _announce(fleet: fleets.Fleet, count: int) -> None:
    """List proxies that do not exist, to fill the list."""
    for number in range(count):
        name = f'x{number}'
        instance = {
            'kind': 'proxy',
            'name': name,
            'incarnation': f'{name}-1',
            'host': '127.0.0.1',
            'region': f'r{number % 3}',
            'data_centre': f'c{number % 9}',
            'caller_port': 1,
            'hop_port': 1,
            'gossip_port': 1,
            'operator_port': 1,
            'state': 'live',
        }
        await fleet.platform.announce(name, instance)


@slope
async def members() -> Rows:
    """A proxy's memory and time, by the length of the list."""
    rows = []
    for count in (0, 500, 1000, 2000):
        fleet = fleets.Fleet(plans.Plan(proxies=2, data_centres=('a', 'b')))
        try:
            await fleet.start()
            began = await fleet.get('p1 operator', '/status')
            await _announce(fleet, count)
            await asyncio.sleep(WARM_UP_S)
            after = await fleet.get('p1 operator', '/status')
            found = await watch(fleet, 'p1', IDLE_S)
            used_s = after['processor_s'] - began['processor_s']
            rows.append(
                {
                    'listed': count,
                    'ms a change of the list': round(
                        1000 * used_s / max(1, count), 2
                    ),
                    **found,
                }
            )
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


@slope
async def configured() -> Rows:
    """A proxy's memory and start, by the databases configured."""
    rows = []
    for count in (0, 800, 1600, 3200):
        plan = plans.Plan(proxies=2, data_centres=('a', 'b'))
        fleet = fleets.Fleet(plan)
        try:
            await fleet.start()
            await _announce(fleet, 2000)
            for number in range(count):
                await fleet.put(
                    'database', f'y{number}', _far_database(number)
                )
            await asyncio.sleep(WARM_UP_S)
            await fleet.kill('p1')
            began = time.monotonic()
            await fleet.spawn('p1')
            await fleets.wait_until(
                lambda: _has_all(fleet, count), 'p1 has all'
            )
            took = time.monotonic() - began
            status = await fleet.get('p1 operator', '/status')
            found = await watch(fleet, 'p1', IDLE_S)
            rows.append(
                {
                    'configured': count,
                    'start s': round(took, 2),
                    'processor s to start': status['processor_s'],
                    **found,
                }
            )
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


async def _has_all(fleet: fleets.Fleet, count: int) -> bool:
    status = await fleet.get('p1 operator', '/status')
    return bool(status) and status['databases'] >= count + 1


def _far_database(number: int) -> dict:
    """Return a database of one of three regions, none of them ours."""
    upstreams = [
        {
            'name': f'y{number}-u{n}',
            'host': f'10.{number // 250}.{number % 250}.{n}',
            'port': 5432,
            'data_centre': f'c{(number + n) % 9}',
        }
        for n in range(3)
    ]
    return {
        'region': f'r{number % 3}',
        'organisations': ['ballinure'],
        'upstreams': upstreams,
        'slots': 3,
        'connections': 25,
    }


@slope
async def changes() -> Rows:
    """The time from a change to everywhere, and its cost, by proxies."""
    rows = []
    for count in (6, 12, 24, 48):
        fleet = fleets.Fleet(plans.Plan(proxies=count))
        try:
            await fleet.start()
            await asyncio.sleep(WARM_UP_S)
            times = []
            before = await fleet.get('p1 operator', '/status')
            for number in range(10):
                times.append(await _spread(fleet, number))
            after = await fleet.get('p1 operator', '/status')
            sent = after['gossip_bytes'][0] - before['gossip_bytes'][0]
            used_s = after['processor_s'] - before['processor_s']
            rows.append(
                {
                    'proxies': count,
                    'changes': len(times),
                    'everywhere median ms': sorted(times)[len(times) // 2],
                    'everywhere worst ms': max(times),
                    'gossip B a change': round(sent / len(times)),
                    'ms of processor a change': round(
                        1000 * used_s / len(times), 1
                    ),
                }
            )
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


async def _spread(fleet: fleets.Fleet, number: int) -> int:
    """Change a profile; return the milliseconds until all have it."""
    key = f'{catalogue.PREFIX}profile/spread{number}'
    began = time.monotonic()
    written = await fleet.platform.put(key, json.dumps({}), None)
    missing = {f'p{n + 1}' for n in range(fleet.plan.proxies)}
    while missing:
        names = sorted(missing)
        found = await asyncio.gather(
            *(fleet.get(f'{n} operator', '/status') for n in names)
        )
        for name, status in zip(names, found, strict=True):
            if status['seen']['configuration'] >= written.revision:
                missing.discard(name)
    return round(1000 * (time.monotonic() - began))


@slope
async def outage() -> Rows:
    """The platform's calls before, in and after an outage, by proxies."""
    rows = []
    for count in (6, 24, 48):
        fleet = fleets.Fleet(plans.Plan(proxies=count))
        try:
            await fleet.start()
            await asyncio.sleep(WARM_UP_S)
            row = {'proxies': count}
            row['before, calls/s'] = await _calls(fleet, 10.0)
            fleet.freeze('platform')
            await asyncio.sleep(15.0)
            fleet.thaw('platform')
            row['first second after'] = await _calls(fleet, 1.0)
            row['next 5 s, calls/s'] = await _calls(fleet, 5.0)
            rows.append(row)
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


async def _calls(fleet: fleets.Fleet, seconds: float) -> float:
    """Return the calls a second that the platform counts of proxies."""
    before = await fleet.get('platform', '/calls')
    await asyncio.sleep(seconds)
    after = await fleet.get('platform', '/calls')
    names = [name for name in after if name.startswith('p')]
    made = sum(after[name] - before.get(name, 0) for name in names)
    return round(made / seconds, 2)


@slope
async def pauses() -> Rows:
    """False suspicion after pauses of both owners, by the discount."""
    rows = []
    for baseline in ('', 'no_pause_discount'):
        plan = plans.Plan(baseline=baseline)
        fleet = fleets.Fleet(plan)
        try:
            await fleet.start()
            owners = await fleet.owners_of('calc1')
            before = await _suspicions(fleet, owners)
            for _ in range(20):
                for name in owners:
                    fleet.freeze(name)
                await asyncio.sleep(0.7)
                for name in owners:
                    fleet.thaw(name)
                await asyncio.sleep(1.0)
            after = await _suspicions(fleet, owners)
            rows.append(
                {
                    'discount': 'no' if baseline else 'yes',
                    'pauses of both owners': 20,
                    'suspicions': after[0] - before[0],
                    'promotions': after[1] - before[1],
                }
            )
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


async def _suspicions(
    fleet: fleets.Fleet, owners: list[str]
) -> tuple[int, int]:
    suspicions = promotions = 0
    for name in owners:
        found = await fleet.get(f'{name} operator', '/explain/calc1')
        for line in found['explanations']:
            suspicions += line['what'].startswith('suspects')
            promotions += line['what'].startswith('promoted')
    return suspicions, promotions


@slope
async def sessions() -> Rows:
    """A proxy's memory, by its open and idle sessions."""
    rows = []
    for count in (0, 500, 1000, 2000):
        fleet = fleets.Fleet(plans.Plan(proxies=2))
        opened = []
        try:
            await fleet.start()
            for _ in range(count):
                opened.append(await fleet.session('p1'))
            await asyncio.sleep(1.0)
            found = await watch(fleet, 'p1', IDLE_S / 2)
            rows.append({'sessions': count, **found})
            print(rows[-1], flush=True)
            for session in opened:
                await session.close()
        finally:
            await fleet.close()
    return rows


@slope
async def statements() -> Rows:
    """Processor time a statement: at an owner, at an entry, behind a hop."""
    rows = []
    for kind, read_share in (('read', 1.0), ('write', 0.0)):
        for rate in (200, 800, 3000):
            rows += await _statements(kind, read_share, rate)
    return rows


async def _statements(kind: str, read_share: float, rate: float) -> Rows:
    plan = plans.Plan(proxies=3, slots=40, connections=100, statement_ms=0)
    fleet = fleets.Fleet(plan)
    rows = []
    try:
        await fleet.start()
        owners = await fleet.owners_of('calc1')
        entry = next(n for n in ('p1', 'p2', 'p3') if n not in owners)
        for where, proxy in (('alone', owners[0]), ('by hop', entry)):
            mix = generator.Mix(
                rate=rate, read_share=read_share, seconds=IDLE_S / 2
            )
            load = experiments.load_on(fleet, mix)
            load.urls = [fleet.url(proxy)]
            await load.start()
            first = await _processor(fleet, (owners[0], entry))
            stats = await load.run()
            last = await _processor(fleet, (owners[0], entry))
            await load.close()
            done = sum(
                n for k, n in stats.outcomes.items() if k.endswith(' done')
            )
            spent = [b - a for a, b in zip(first, last, strict=True)]
            rows.append(
                {
                    'kind': kind,
                    'path': where,
                    'asked a second': rate,
                    'done a second': round(done / mix.seconds),
                    'owner core %': round(100 * spent[0] / mix.seconds),
                    'entry core %': round(100 * spent[1] / mix.seconds),
                    'owner us a statement': round(1e6 * spent[0] / done),
                    'entry us a statement': round(1e6 * spent[1] / done),
                    'p50 ms': _percentile(stats, kind, 50),
                    'p99 ms': _percentile(stats, kind, 99),
                }
            )
            print(rows[-1], flush=True)
    finally:
        await fleet.close()
    return rows


async def _processor(
    fleet: fleets.Fleet, names: tuple[str, ...]
) -> list[float]:
    found = [await fleet.get(f'{n} operator', '/status') for n in names]
    return [status['processor_s'] for status in found]


def _percentile(stats: generator.Stats, kind: str, which: float) -> float:
    recorded = stats.latency.get(kind)
    if recorded is None:
        return 0.0
    return round(recorded.get_value_at_percentile(which) / 1000, 2)


def main() -> None:
    """Run a measurement by name, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', default=list(_slopes))
    arguments = parser.parse_args()
    for name in arguments.names:
        print(f'## {name}\n', flush=True)
        rows = asyncio.run(_slopes[name]())
        print('\n' + experiments.render(rows) + '\n', flush=True)


if __name__ == '__main__':
    main()
