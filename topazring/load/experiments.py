"""Run experiments on stand-ins: each starts fleets of its own."""

import asyncio
import collections.abc
import statistics
import time

from topazring.bench import fleet as fleets
from topazring.bench import plans
from topazring.load import generator
from topazring.load import report

__all__ = ['experiment', 'experiments', 'load_on', 'render']

Rows = list[dict]
Function = collections.abc.Callable[[int], collections.abc.Awaitable[Rows]]
_experiments: dict[str, Function] = {}


def experiment(function: Function) -> Function:
    """Register an experiment under its function's name."""
    _experiments[function.__name__] = function
    return function


def experiments() -> dict[str, Function]:
    """Return the experiments by name."""
    return dict(_experiments)


def render(rows: Rows) -> str:
    """Return rows as a Markdown table."""
    if not rows:
        return '(nothing was measured)'
    columns = list(rows[0])
    lines = [
        '| ' + ' | '.join(columns) + ' |',
        '|' + ' --- |' * len(columns),
    ]
    for row in rows:
        cells = (str(row.get(column, '')) for column in columns)
        lines.append('| ' + ' | '.join(cells) + ' |')
    return '\n'.join(lines)


def load_on(fleet: fleets.Fleet, mix: generator.Mix) -> generator.Load:
    """Return a load for the fleet's first database through all proxies."""
    urls = [fleet.url(f'p{n + 1}') for n in range(fleet.plan.proxies)]
    organisation = fleet.plan.organisations[0]
    return generator.Load(
        urls,
        organisation,
        f'{organisation}-key',
        fleet.plan.databases[0],
        mix,
    )


SIZES = {'ballinure': plans.ballinure, 'dizon': plans.dizon}
WARM_UP_S = 1.5
MAX_CONCURRENT_FLEETS = 3


# ---- the failover gap ----------------------------------------------------


async def kill_primary(fleet: fleets.Fleet, primary: str) -> None:
    """End the primary's process: connections are refused."""
    await fleet.kill(primary)


async def freeze_primary(fleet: fleets.Fleet, primary: str) -> None:
    """Stop the primary's process: connections go silent."""
    fleet.freeze(primary)


async def partition_primary(fleet: fleets.Fleet, primary: str) -> None:
    """Cut the primary off from its replicas and half of the proxies.

    The first owner still reaches it and goes on giving it writes.
    """
    database = fleet.plan.databases[0]
    for peer in fleet.upstream_names(database):
        if peer != primary:
            await fleet.set_link(
                f'{primary}/{peer}', forward='silent', backward='silent'
            )
    owners = await fleet.owners_of(database)
    names = [f'p{number + 1}' for number in range(fleet.plan.proxies)]
    others = [name for name in names if name != owners[0]]
    for name in others[: (len(names) + 1) // 2]:
        await fleet.set_link(
            f'{name}/{primary}', forward='silent', backward='silent'
        )


FAULTS = {
    'kill': kill_primary,
    'freeze': freeze_primary,
    'cut': partition_primary,
}


async def measure_failover(
    size: str, fault: str, store_down: bool
) -> tuple[float | None, report.Summary]:
    """Lose a primary under load; return the gap and the load's figures."""
    databases = SIZES[size]().databases[:1]
    plan = SIZES[size](databases=databases, faults=fault == 'cut')
    fleet = fleets.Fleet(plan)
    mix = generator.Mix(rate=150, read_share=0.5, seconds=6)
    try:
        await fleet.start()
        load = load_on(fleet, mix)
        await load.start()
        running = asyncio.create_task(load.run())
        await asyncio.sleep(WARM_UP_S)
        primary = await fleet.primary_of(plan.databases[0])
        if store_down:
            fleet.freeze('platform')
        lost_at = time.monotonic()
        await FAULTS[fault](fleet, primary)
        stats = await running
        await load.close()
        gap_ms = report.failover_outage_ms(stats, lost_at, primary)
        return gap_ms, report.summarize(stats, mix.seconds, primary)
    finally:
        await fleet.close()


async def _repeat(runs: int, make) -> list:
    """Run a few fleets at a time; each takes a fraction of a core."""
    found = []
    while len(found) < runs:
        count = min(MAX_CONCURRENT_FLEETS, runs - len(found))
        found += await asyncio.gather(*(make() for _ in range(count)))
    return found


async def _failover(size: str, runs: int) -> Rows:
    rows = []
    for fault in FAULTS:
        for store_down in (False, True):
            gaps = []
            totals = {'unknown': 0, 'not run': 0, 'done': 0}
            violations = 0
            slowest_ms = 0.0
            for gap_ms, summary in await _repeat(
                runs, lambda: measure_failover(size, fault, store_down)
            ):
                gaps.append(gap_ms)
                violations += summary.violations
                slowest_ms = max(slowest_ms, _slowest_write_ms(summary))
                for name, count in summary.outcomes.items():
                    kind = name.split()[1].replace('_', ' ')
                    if name.startswith('write') and kind in totals:
                        totals[kind] += count
            known = [gap for gap in gaps if gap is not None]
            rows.append(
                {
                    'size': size,
                    'fault': fault,
                    'store': 'down' if store_down else 'up',
                    'runs': runs,
                    'no write after': len(gaps) - len(known),
                    'gap median ms': statistics.median(known),
                    'gap worst ms': max(known),
                    'writes done': totals['done'],
                    'writes not run': totals['not run'],
                    'writes unknown': totals['unknown'],
                    'slowest answer ms': slowest_ms,
                    'violations': violations,
                }
            )
            print(rows[-1], flush=True)
    return rows


def _slowest_write_ms(summary: report.Summary) -> float:
    """Return how long a write waited for its final answer at the most."""
    return max(
        figures['max']
        for kind, figures in summary.latency_ms.items()
        if kind.startswith('write')
    )


@experiment
async def failover_ballinure(runs: int) -> Rows:
    """Failover gap at Ballinure's sizes: kill, freeze, cut."""
    return await _failover('ballinure', runs)


@experiment
async def failover_dizon(runs: int) -> Rows:
    """Failover gap at Dizon's sizes: kill, freeze, cut."""
    return await _failover('dizon', runs)


# ---- the replica read share ----------------------------------------------

# The lag of either replica.
LAGS_MS = ((5, 5), (100, 100), (1000, 1000), (5, 30_000))
MIXES = {
    # Drawing offices and reviewers read all day.
    'ballinure': generator.Mix(rate=250, read_share=0.95, seconds=10),
    # Scores come in all night; standings are refreshed.
    'dizon': generator.Mix(rate=250, read_share=0.8, seconds=10),
}
POLICIES = ('', 'primary_only', 'blind_replica')


async def measure_replica_share(
    size: str, lags_ms: tuple[int, int], baseline: str
) -> report.Summary:
    """Run a size's mix with its replicas at the given lags."""
    databases = SIZES[size]().databases[:1]
    plan = SIZES[size](databases=databases, baseline=baseline)
    fleet = fleets.Fleet(plan)
    mix = MIXES[size]
    try:
        await fleet.start()
        load = load_on(fleet, mix)
        await load.start()
        primary = await fleet.primary_of(databases[0])
        replicas = [
            name
            for name in fleet.upstream_names(databases[0])
            if name != primary
        ]
        for name, lag_ms in zip(replicas, lags_ms, strict=True):
            await fleet.post(f'{name}/set', {'lag_ms': lag_ms})
        await asyncio.sleep(WARM_UP_S + min(lags_ms) / 1000)
        stats = await load.run()
        await load.close()
        return report.summarize(stats, mix.seconds, primary)
    finally:
        await fleet.close()


async def _share(size: str) -> Rows:
    cases = [(lags, policy) for lags in LAGS_MS for policy in POLICIES]
    found = []
    for start in range(0, len(cases), MAX_CONCURRENT_FLEETS):
        some = cases[start : start + MAX_CONCURRENT_FLEETS]
        found += await asyncio.gather(
            *(
                measure_replica_share(size, lags, policy)
                for lags, policy in some
            )
        )
    return [
        _share_row(size, lags, policy, summary)
        for (lags, policy), summary in zip(cases, found, strict=True)
    ]


def _share_row(
    size: str, lags_ms: tuple, policy: str, summary: report.Summary
) -> dict:
    reads = summary.latency_ms['read']
    writes = summary.latency_ms.get('write', {})
    return {
        'size': size,
        'lags ms': f'{lags_ms[0]}, {lags_ms[1]}',
        'policy': policy or 'topazring',
        'replica share': f'{summary.replica_read_share:.2%}',
        'read p50 ms': reads['p50'],
        'read p99 ms': reads['p99'],
        'write p50 ms': writes.get('p50'),
        'write p99 ms': writes.get('p99'),
        'done a second': summary.done_a_second,
        'violations': summary.violations,
    }


@experiment
async def share_ballinure(runs: int) -> Rows:
    """Replica read share at Ballinure's sizes and mix, by lag."""
    return await _share('ballinure')


@experiment
async def share_dizon(runs: int) -> Rows:
    """Replica read share at Dizon's sizes and mix, by lag."""
    return await _share('dizon')


# ---- the cost of being sure ----------------------------------------------


@experiment
async def confirmation(runs: int) -> Rows:
    """Latency of writes and primary reads, with and without rounds."""
    rows = []
    for baseline in ('', 'unacknowledged'):
        plan = plans.ballinure(databases=('calc1',), baseline=baseline)
        fleet = fleets.Fleet(plan)
        mix = generator.Mix(
            rate=150, read_share=0.5, profile='strict', max_staleness_ms=0
        )
        try:
            await fleet.start()
            load = load_on(fleet, mix)
            await load.start()
            stats = await load.run()
            await load.close()
        finally:
            await fleet.close()
        summary = report.summarize(stats, mix.seconds)
        for kind in ('read', 'write'):
            figures = summary.latency_ms[kind]
            rows.append(
                {
                    'kind': f'{kind} at the primary',
                    'confirmed': 'no' if baseline else 'yes',
                    **{f'{k} ms': v for k, v in figures.items()},
                }
            )
    return rows


# ---- overload ------------------------------------------------------------

# Three slots of 5 ms each: what the primary can do at the very most.
STATEMENT_MS = 5.0
SLOT_RATE = 3 / STATEMENT_MS * 1000
FACTORS = (0.5, 1.0, 1.5, 2.0, 5.0)


@experiment
async def overload(runs: int) -> Rows:
    """Goodput, refusals and latency of writes at 0.5x to 5x the slots."""
    rows = []
    for factor in FACTORS:
        plan = plans.Plan(statement_ms=STATEMENT_MS)
        fleet = fleets.Fleet(plan)
        mix = generator.Mix(
            rate=SLOT_RATE * factor,
            read_share=0.0,
            profile='impatient',
            seconds=8,
        )
        try:
            await fleet.start()
            load = load_on(fleet, mix)
            await load.start()
            stats = await load.run()
            await load.close()
            retried = await _retries(fleet)
        finally:
            await fleet.close()
        rows.append(_overload_row(factor, mix, stats, retried))
        print(rows[-1], flush=True)
    return rows


async def _retries(fleet: fleets.Fleet) -> int:
    """Return how often owners gave a request to an upstream again."""
    total = 0
    for number in range(fleet.plan.proxies):
        found = await fleet.get(f'p{number + 1} operator', '/explain/calc1')
        counters = found.get('state', {}).get('counters', {})
        total += sum(n for k, n in counters.items() if k.startswith('retry_'))
    return total


def _overload_row(
    factor: float, mix: generator.Mix, stats: generator.Stats, retried: int
) -> dict:
    summary = report.summarize(stats, mix.seconds)
    counts = summary.outcomes
    refused = sum(n for k, n in counts.items() if 'not_run' in k)
    done = summary.latency_ms.get('write', {})
    told = summary.latency_ms.get('write not_run', {})
    return {
        'load': f'{factor}x',
        'asked a second': mix.rate,
        'done a second': summary.done_a_second,
        'refused': refused,
        'unknown': sum(n for k, n in counts.items() if 'unknown' in k),
        'retries': retried,
        'done p50 ms': done.get('p50'),
        'done p99 ms': done.get('p99'),
        'refused p50 ms': told.get('p50', ''),
        'refused p99 ms': told.get('p99', ''),
    }


# ---- one organisation's flood --------------------------------------------

ORDINARY_COUNT = 20
ORDINARY_RATE = 20.0
FLOOD_RATE = 10 * 25.0


@experiment
async def flood(runs: int) -> Rows:
    """Twenty ordinary organisations, alone and beside one that floods."""
    rows = []
    for flooding in (False, True):
        names = tuple(f'org{n}' for n in range(ORDINARY_COUNT + 1))
        plan = plans.Plan(statement_ms=STATEMENT_MS, organisations=names)
        fleet = fleets.Fleet(plan)
        try:
            await fleet.start()
            found = await _run_all(fleet, flooding)
        finally:
            await fleet.close()
        for who, stats in found.items():
            rows.append(_flood_row(flooding, who, stats))
            print(rows[-1], flush=True)
    return rows


async def _run_all(
    fleet: fleets.Fleet, flooding: bool
) -> dict[str, generator.Stats]:
    """Run all loads at once; return the ordinary ones' and the flood's."""
    loads = []
    for number, name in enumerate(fleet.plan.organisations):
        floods = number == ORDINARY_COUNT
        mix = generator.Mix(
            sessions=20 if floods else 4,
            rate=FLOOD_RATE if floods else ORDINARY_RATE,
            read_share=0.0,
            profile='impatient',
            seconds=8,
            seed=number,
        )
        if flooding or not floods:
            loads.append(load_on(fleet, mix))
            loads[-1].organisation = name
            loads[-1].key = f'{name}-key'
    await asyncio.gather(*(load.start() for load in loads))
    stats = await asyncio.gather(*(load.run() for load in loads))
    await asyncio.gather(*(load.close() for load in loads))
    ordinary = generator.Stats()
    for one in stats[:ORDINARY_COUNT]:
        ordinary.outcomes.update(one.outcomes)
        for kind, recorded in one.latency.items():
            if kind in ordinary.latency:
                ordinary.latency[kind].add(recorded)
            else:
                ordinary.latency[kind] = recorded
    found = {'20 ordinary': ordinary}
    if flooding:
        found['the flood'] = stats[ORDINARY_COUNT]
    return found


def _flood_row(flooding: bool, who: str, stats: generator.Stats) -> dict:
    summary = report.summarize(stats, 8.0)
    done = summary.latency_ms.get('write', {})
    asked = sum(summary.outcomes.values())
    ran = summary.outcomes.get('write done', 0)
    return {
        'flood': 'yes' if flooding else 'no',
        'who': who,
        'asked': asked,
        'done': f'{ran / asked:.2%}',
        'done p50 ms': done.get('p50'),
        'done p99 ms': done.get('p99'),
    }
