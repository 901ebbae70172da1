"""Measure the cost to a proxy of each database, peer, session or change.

`python -m topazring.bench.slopes NAME` starts fleets of several sizes and
prints a table; docs/CAPACITY.md extrapolates from the slopes.
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
MEASUREMENT_S = 10.0
WARM_UP_S = 3.0


def slope(function: collections.abc.Callable) -> collections.abc.Callable:
    """Register a measurement under the name of its function."""
    _slopes[function.__name__] = function
    return function


def slopes() -> dict[str, collections.abc.Callable]:
    """Return the measurements by function name."""
    return dict(_slopes)


async def measure_usage(
    fleet: fleets.Fleet, name: str, seconds: float
) -> dict:
    """Return the average resource usage of a proxy over `seconds`."""
    port = f'{name} operator'
    before = await fleet.get(port, '/status')
    began_s = time.monotonic()
    await asyncio.sleep(seconds)
    after = await fleet.get(port, '/status')
    took_s = time.monotonic() - began_s

    def compute_rate(read) -> float:
        return (read(after) - read(before)) / took_s

    return {
        'core %': round(100 * compute_rate(lambda s: s['processor_s']), 2),
        'resident MB': round(after['resident_kb'] / 1024, 1),
        'control B/s out': round(
            compute_rate(lambda s: s['control_bytes'][0])
        ),
        'control B/s in': round(compute_rate(lambda s: s['control_bytes'][1])),
        'gossip B/s out': round(compute_rate(lambda s: s['gossip_bytes'][0])),
        'gossip B/s in': round(compute_rate(lambda s: s['gossip_bytes'][1])),
        'platform calls/min': round(
            60 * compute_rate(lambda s: sum(s['platform_calls'].values())), 1
        ),
    }


@slope
async def databases() -> Rows:
    """Usage of an idle owner, by the number of databases it owns."""
    rows = []
    for count in (1, 4, 8, 16):
        names = tuple(f'd{n}' for n in range(count))
        plan = plans.Plan(proxies=2, databases=names)
        fleet = fleets.Fleet(plan)
        try:
            await fleet.start()
            await asyncio.sleep(WARM_UP_S)
            usage = await measure_usage(fleet, 'p1', MEASUREMENT_S)
            rows.append({'databases': count, **usage})
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


@slope
async def peers() -> Rows:
    """Usage of an idle proxy, by the number of real proxies in the fleet."""
    rows = []
    for count in (3, 6, 12, 24, 48):
        plan = plans.Plan(proxies=count)
        fleet = fleets.Fleet(plan)
        try:
            await fleet.start()
            await asyncio.sleep(WARM_UP_S)
            owners = await fleet.owners_of('calc1')
            idle = next(
                f'p{n + 1}' for n in range(count) if f'p{n + 1}' not in owners
            )
            usage = await measure_usage(fleet, idle, MEASUREMENT_S)
            rows.append({'proxies': count, **usage})
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


async def _announce_proxies(fleet: fleets.Fleet, count: int) -> None:
    """Announce proxies that don't exist, to lengthen the member list."""
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
    """Memory and processor time of a proxy, by the length of the list."""
    rows = []
    for count in (0, 500, 1000, 2000):
        fleet = fleets.Fleet(plans.Plan(proxies=2, data_centres=('a', 'b')))
        try:
            await fleet.start()
            before = await fleet.get('p1 operator', '/status')
            await _announce_proxies(fleet, count)
            await asyncio.sleep(WARM_UP_S)
            after = await fleet.get('p1 operator', '/status')
            usage = await measure_usage(fleet, 'p1', MEASUREMENT_S)
            used_s = after['processor_s'] - before['processor_s']
            rows.append(
                {
                    'listed': count,
                    'ms a change of the list': round(
                        1000 * used_s / max(1, count), 2
                    ),
                    **usage,
                }
            )
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


@slope
async def configured() -> Rows:
    """Memory and start time of a proxy, by the databases configured."""
    rows = []
    for count in (0, 800, 1600, 3200):
        plan = plans.Plan(proxies=2, data_centres=('a', 'b'))
        fleet = fleets.Fleet(plan)
        try:
            await fleet.start()
            await _announce_proxies(fleet, 2000)
            for number in range(count):
                await fleet.put(
                    'database', f'y{number}', _build_remote_database(number)
                )
            await asyncio.sleep(WARM_UP_S)
            await fleet.kill('p1')
            began_s = time.monotonic()
            await fleet.spawn('p1')
            await fleets.wait_until(
                lambda: _has_all_databases(fleet, count),
                'p1 lists all databases',
            )
            took_s = time.monotonic() - began_s
            status = await fleet.get('p1 operator', '/status')
            usage = await measure_usage(fleet, 'p1', MEASUREMENT_S)
            rows.append(
                {
                    'configured': count,
                    'start s': round(took_s, 2),
                    'processor s to start': status['processor_s'],
                    **usage,
                }
            )
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


async def _has_all_databases(fleet: fleets.Fleet, count: int) -> bool:
    status = await fleet.get('p1 operator', '/status')
    return bool(status) and status['databases'] >= count + 1


def _build_remote_database(number: int) -> dict:
    """Return a database in one of three remote regions."""
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
    """Propagation time and cost of a change, by the number of proxies."""
    rows = []
    for count in (6, 12, 24, 48):
        fleet = fleets.Fleet(plans.Plan(proxies=count))
        try:
            await fleet.start()
            await asyncio.sleep(WARM_UP_S)
            times = []
            before = await fleet.get('p1 operator', '/status')
            for number in range(10):
                times.append(await _measure_propagation(fleet, number))
            after = await fleet.get('p1 operator', '/status')
            sent_bytes = after['gossip_bytes'][0] - before['gossip_bytes'][0]
            used_s = after['processor_s'] - before['processor_s']
            rows.append(
                {
                    'proxies': count,
                    'changes': len(times),
                    'everywhere median ms': sorted(times)[len(times) // 2],
                    'everywhere worst ms': max(times),
                    'gossip B a change': round(sent_bytes / len(times)),
                    'ms of processor a change': round(
                        1000 * used_s / len(times), 1
                    ),
                }
            )
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


async def _measure_propagation(fleet: fleets.Fleet, number: int) -> int:
    """Write a profile; return the ms until all proxies have received it."""
    key = f'{catalogue.PREFIX}profile/spread{number}'
    began_s = time.monotonic()
    written = await fleet.platform.put(key, json.dumps({}), None)
    missing = {f'p{n + 1}' for n in range(fleet.plan.proxies)}
    while missing:
        names = sorted(missing)
        statuses = await asyncio.gather(
            *(fleet.get(f'{n} operator', '/status') for n in names)
        )
        for name, status in zip(names, statuses, strict=True):
            if status['seen']['configuration'] >= written.revision:
                missing.discard(name)
    return round(1000 * (time.monotonic() - began_s))


@slope
async def outage() -> Rows:
    """Calls to the platform before and after its outage, by proxies."""
    rows = []
    for count in (6, 24, 48):
        fleet = fleets.Fleet(plans.Plan(proxies=count))
        try:
            await fleet.start()
            await asyncio.sleep(WARM_UP_S)
            row = {'proxies': count}
            row['before, calls/s'] = await _measure_call_rate(fleet, 10.0)
            fleet.freeze('platform')
            await asyncio.sleep(15.0)
            fleet.thaw('platform')
            row['first second after'] = await _measure_call_rate(fleet, 1.0)
            row['next 5 s, calls/s'] = await _measure_call_rate(fleet, 5.0)
            rows.append(row)
            print(rows[-1], flush=True)
        finally:
            await fleet.close()
    return rows


async def _measure_call_rate(fleet: fleets.Fleet, seconds: float) -> float:
    """Return the calls per second by proxies that the platform counted."""
    before = await fleet.get('platform', '/calls')
    await asyncio.sleep(seconds)
    after = await fleet.get('platform', '/calls')
    names = [name for name in after if name.startswith('p')]
    call_count = sum(after[name] - before.get(name, 0) for name in names)
    return round(call_count / seconds, 2)


@slope
async def pauses() -> Rows:
    """False suspicions after pauses of both owners, by the pause discount."""
    rows = []
    for baseline in ('', 'no_pause_discount'):
        plan = plans.Plan(baseline=baseline)
        fleet = fleets.Fleet(plan)
        try:
            await fleet.start()
            owners = await fleet.owners_of('calc1')
            before = await _count_suspicions(fleet, owners)
            for _ in range(20):
                for name in owners:
                    fleet.freeze(name)
                await asyncio.sleep(0.7)
                for name in owners:
                    fleet.thaw(name)
                await asyncio.sleep(1.0)
            after = await _count_suspicions(fleet, owners)
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


async def _count_suspicions(
    fleet: fleets.Fleet, owners: list[str]
) -> tuple[int, int]:
    suspicions = promotions = 0
    for name in owners:
        reply = await fleet.get(f'{name} operator', '/explain/calc1')
        for line in reply['explanations']:
            suspicions += line['what'].startswith('suspects')
            promotions += line['what'].startswith('promoted')
    return suspicions, promotions


@slope
async def sessions() -> Rows:
    """Memory of a proxy, by the number of its open, idle sessions."""
    rows = []
    for count in (0, 500, 1000, 2000):
        fleet = fleets.Fleet(plans.Plan(proxies=2))
        opened = []
        try:
            await fleet.start()
            for _ in range(count):
                opened.append(await fleet.session('p1'))
            await asyncio.sleep(1.0)
            usage = await measure_usage(fleet, 'p1', MEASUREMENT_S / 2)
            rows.append({'sessions': count, **usage})
            print(rows[-1], flush=True)
            for session in opened:
                await session.close()
        finally:
            await fleet.close()
    return rows


@slope
async def statements() -> Rows:
    """Processor time per statement at owner and entry, with or without hop."""
    rows = []
    for kind, read_share in (('read', 1.0), ('write', 0.0)):
        for rate in (200, 800, 3000):
            rows += await _measure_statements(kind, read_share, rate)
    return rows


async def _measure_statements(
    kind: str, read_share: float, rate: float
) -> Rows:
    plan = plans.Plan(proxies=3, slots=40, connections=100, statement_ms=0)
    fleet = fleets.Fleet(plan)
    rows = []
    try:
        await fleet.start()
        owners = await fleet.owners_of('calc1')
        entry = next(n for n in ('p1', 'p2', 'p3') if n not in owners)
        for path, proxy in (('alone', owners[0]), ('by hop', entry)):
            mix = generator.Mix(
                rate=rate, read_share=read_share, seconds=MEASUREMENT_S / 2
            )
            load = experiments.load_on(fleet, mix)
            load.urls = [fleet.url(proxy)]
            await load.start()
            first = await _fetch_processor_times(fleet, (owners[0], entry))
            stats = await load.run()
            last = await _fetch_processor_times(fleet, (owners[0], entry))
            await load.close()
            done_count = sum(
                n for k, n in stats.outcomes.items() if k.endswith(' done')
            )
            used_s = [b - a for a, b in zip(first, last, strict=True)]
            rows.append(
                {
                    'kind': kind,
                    'path': path,
                    'asked a second': rate,
                    'done a second': round(done_count / mix.seconds),
                    'owner core %': round(100 * used_s[0] / mix.seconds),
                    'entry core %': round(100 * used_s[1] / mix.seconds),
                    'owner us a statement': round(
                        1e6 * used_s[0] / done_count
                    ),
                    'entry us a statement': round(
                        1e6 * used_s[1] / done_count
                    ),
                    'p50 ms': _compute_percentile_ms(stats, kind, 50),
                    'p99 ms': _compute_percentile_ms(stats, kind, 99),
                }
            )
            print(rows[-1], flush=True)
    finally:
        await fleet.close()
    return rows


async def _fetch_processor_times(
    fleet: fleets.Fleet, names: tuple[str, ...]
) -> list[float]:
    statuses = [await fleet.get(f'{n} operator', '/status') for n in names]
    return [status['processor_s'] for status in statuses]


def _compute_percentile_ms(
    stats: generator.Stats, kind: str, percentile: float
) -> float:
    histogram = stats.latency.get(kind)
    if histogram is None:
        return 0.0
    return round(histogram.get_value_at_percentile(percentile) / 1000, 2)


def main() -> None:
    """Run the named measurements, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', default=list(_slopes))
    arguments = parser.parse_args()
    for name in arguments.names:
        print(f'## {name}\n', flush=True)
        rows = asyncio.run(_slopes[name]())
        print('\n' + experiments.render(rows) + '\n', flush=True)


if __name__ == '__main__':
    main()
