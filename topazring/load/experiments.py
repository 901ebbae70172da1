"""Run experiments on stand-ins: each starts fleets of its own."""

import asyncio
import collections.abc
import statistics
import time

from topazring.bench import fleet as fleets
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


SIZES = {'ballinure': fleets.ballinure, 'dizon': fleets.dizon}
SETTLE_S = 1.5
AT_A_TIME = 3


# ---- the failover gap ----------------------------------------------------


async def kill(fleet: fleets.Fleet, primary: str) -> None:
    """End the primary's process: connections are refused."""
    await fleet.kill(primary)


async def freeze(fleet: fleets.Fleet, primary: str) -> None:
    """Stop the primary's process: connections go silent."""
    fleet.freeze(primary)


async def cut(fleet: fleets.Fleet, primary: str) -> None:
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


FAULTS = {'kill': kill, 'freeze': freeze, 'cut': cut}


async def one_failover(
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
        await asyncio.sleep(SETTLE_S)
        primary = await fleet.primary_of(plan.databases[0])
        if store_down:
            fleet.freeze('platform')
        lost_at = time.monotonic()
        await FAULTS[fault](fleet, primary)
        stats = await running
        await load.close()
        gap_ms = report.failover_gap_ms(stats, lost_at, primary)
        return gap_ms, report.summarize(stats, mix.seconds, primary)
    finally:
        await fleet.close()


async def _repeat(runs: int, make) -> list:
    """Run a few fleets at a time; each takes a fraction of a core."""
    found = []
    while len(found) < runs:
        count = min(AT_A_TIME, runs - len(found))
        found += await asyncio.gather(*(make() for _ in range(count)))
    return found


async def _failover(size: str, runs: int) -> Rows:
    rows = []
    for fault in FAULTS:
        for store_down in (False, True):
            gaps = []
            totals = {'unknown': 0, 'not run': 0, 'done': 0}
            violations = 0
            for gap_ms, summary in await _repeat(
                runs, lambda: one_failover(size, fault, store_down)
            ):
                gaps.append(gap_ms)
                violations += summary.violations
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
                    'violations': violations,
                }
            )
            print(rows[-1], flush=True)
    return rows


@experiment
async def failover_ballinure(runs: int) -> Rows:
    """Failover gap at Ballinure's sizes: kill, freeze, cut."""
    return await _failover('ballinure', runs)


@experiment
async def failover_dizon(runs: int) -> Rows:
    """Failover gap at Dizon's sizes: kill, freeze, cut."""
    return await _failover('dizon', runs)


# ---- the replica read share ----------------------------------------------

LAGS_MS = (5, 100, 1000, 30_000)
MIXES = {
    # Drawing offices and reviewers read all day.
    'ballinure': generator.Mix(rate=250, read_share=0.95, seconds=10),
    # Scores come in all night; standings are refreshed.
    'dizon': generator.Mix(rate=250, read_share=0.8, seconds=10),
}


async def one_share(
    size: str, lag_ms: float, profile: str, staleness_ms: int
) -> report.Summary:
    """Run a size's mix with one replica at 5 ms and the other at `lag_ms`."""
    plan = SIZES[size](databases=SIZES[size]().databases[:1])
    fleet = fleets.Fleet(plan)
    mix = MIXES[size]
    mix = generator.Mix(
        rate=mix.rate,
        read_share=mix.read_share,
        seconds=mix.seconds,
        profile=profile,
        max_staleness_ms=staleness_ms,
    )
    try:
        await fleet.start()
        load = load_on(fleet, mix)
        await load.start()
        primary = await fleet.primary_of(plan.databases[0])
        replicas = [
            name
            for name in fleet.upstream_names(plan.databases[0])
            if name != primary
        ]
        await fleet.post(f'{replicas[0]}/set', {'lag_ms': lag_ms})
        await asyncio.sleep(SETTLE_S)
        stats = await load.run()
        await load.close()
        return report.summarize(stats, mix.seconds, primary)
    finally:
        await fleet.close()


async def _share(size: str) -> Rows:
    rows = []
    for lag_ms in LAGS_MS:
        for profile, staleness_ms in (('browse', 2000), ('strict', 0)):
            summary = await one_share(size, lag_ms, profile, staleness_ms)
            reads = summary.latency_ms['read']
            writes = summary.latency_ms['write']
            rows.append(
                {
                    'size': size,
                    'lag of one replica ms': lag_ms,
                    'profile': profile,
                    'replica share': f'{summary.replica_read_share:.2%}',
                    'read p50 ms': reads['p50'],
                    'read p99 ms': reads['p99'],
                    'write p50 ms': writes['p50'],
                    'write p99 ms': writes['p99'],
                    'done a second': summary.done_a_second,
                    'violations': summary.violations,
                }
            )
            print(rows[-1], flush=True)
    return rows


@experiment
async def share_ballinure(runs: int) -> Rows:
    """Replica read share at Ballinure's sizes and mix, by lag."""
    return await _share('ballinure')


@experiment
async def share_dizon(runs: int) -> Rows:
    """Replica read share at Dizon's sizes and mix, by lag."""
    return await _share('dizon')
