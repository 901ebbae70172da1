"""Sum up what a load has seen, as a table or as JSON."""

import dataclasses

from topazring.load import generator

__all__ = ['Summary', 'failover_outage_ms', 'render', 'summarize']

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Hold the figures of one load."""

    seconds: float
    answers: int
    done_a_second: float
    replica_read_share: float
    outcomes: dict[str, int]
    latency_ms: dict[str, dict[str, float]]
    violations: int
    roams: int
    longest_write_gap_ms: float


def summarize(
    stats: generator.Stats, seconds: float, primary: str = ''
) -> Summary:
    """Return the figures; `primary` tells replica reads from the others."""
    done = sum(n for k, n in stats.outcomes.items() if k.endswith(' done'))
    reads = sum(stats.served_by.values())
    primaries = {name for _, name in stats.acknowledged} | {primary}
    at_primary = sum(stats.served_by[name] for name in primaries)
    return Summary(
        seconds,
        sum(stats.outcomes.values()),
        round(done / seconds, 1),
        round(1 - at_primary / reads, 4) if reads else 0.0,
        dict(sorted(stats.outcomes.items())),
        {k: _percentiles(h) for k, h in sorted(stats.latency.items())},
        len(stats.violations),
        stats.roams,
        round(_longest_gap(stats) * 1000, 1),
    )


def _percentiles(recorded) -> dict[str, float]:
    found = {
        f'p{p:g}': round(recorded.get_value_at_percentile(p) / 1000, 2)
        for p in PERCENTILES
    }
    found['max'] = round(recorded.get_max_value() / 1000, 2)
    return found


def _longest_gap(stats: generator.Stats) -> float:
    times = sorted(at for at, _ in stats.acknowledged)
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    return max(gaps, default=0.0)


def failover_outage_ms(
    stats: generator.Stats, lost_at: float, primary: str
) -> float | None:
    """Return the time from the loss to the first write at a new primary.

    None means that no write was acknowledged by another primary since.
    """
    later = [
        at
        for at, name in stats.acknowledged
        if at > lost_at and name != primary
    ]
    return round((min(later) - lost_at) * 1000, 1) if later else None


def render(summary: Summary) -> str:
    """Return the figures as a table."""
    lines = [
        f'answers            {summary.answers} in {summary.seconds:g} s',
        f'done a second      {summary.done_a_second}',
        f'replica read share {summary.replica_read_share:.2%}',
        f'failover gap       {summary.longest_write_gap_ms} ms at the most: '
        'the longest time without an acknowledged write',
        f'violations         {summary.violations}',
        f'roams              {summary.roams}',
    ]
    for name, count in summary.outcomes.items():
        lines.append(f'  {name:32} {count:9}')
    for kind, found in summary.latency_ms.items():
        values = '  '.join(f'{k} {v}' for k, v in found.items())
        lines.append(f'  {kind:32} ms: {values}')
    return '\n'.join(lines)
