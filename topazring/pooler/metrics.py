"""Count answers by outcome and reason, and record latencies."""

import collections
import collections.abc

from hdrh import histogram

from topazring.core import outcomes

__all__ = ['Metrics', 'PATH']

PATH = '/metrics'
MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGITS = 1
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Hold one process's counters; render them as text."""

    def __init__(self):
        self.answers: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.latency: dict[str, histogram.HdrHistogram] = {}

    def note(self, kind: str, outcome: outcomes.Outcome, took_ms: int) -> None:
        """Record an outcome and its latency."""
        name = type(outcome).__name__.lower()
        reason = str(getattr(outcome, 'reason', ''))
        self.answers[(kind, name, reason)] += 1
        latencies = self.latency.get(kind)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
            )
            self.latency[kind] = latencies
        latencies.record_value(max(1, min(took_ms, MAX_LATENCY_MS)))

    def render(
        self,
        counters: collections.abc.Mapping[str, int],
        gauges: collections.abc.Mapping[str, int],
        operations: collections.abc.Mapping[tuple[str, str], int],
    ) -> bytes:
        """Return all metrics in the Prometheus text format.

        Every reason is present from the start, so that a counter exists
        before its first event. `operations` counts by organisation and
        result.
        """
        lines = []
        for (kind, name, reason), count in sorted(self.answers.items()):
            labels = f'kind="{kind}",outcome="{name}",reason="{reason}"'
            lines.append(f'topazring_answers_total{{{labels}}} {count}')
        for kind, latencies in sorted(self.latency.items()):
            for quantile in QUANTILES:
                value = latencies.get_value_at_percentile(quantile)
                labels = f'kind="{kind}",percentile="{quantile}"'
                lines.append(
                    f'topazring_latency_milliseconds{{{labels}}} {value}'
                )
        group_counters = dict(counters)
        for reason in outcomes.Reason:
            group_counters.setdefault(f'notrun_{reason}', 0)
            group_counters.setdefault(f'retry_{reason}', 0)
        for what, count in sorted(group_counters.items()):
            lines.append(
                f'topazring_group_events_total{{what="{what}"}} {count}'
            )
        for (organisation, result), count in sorted(operations.items()):
            name = _escape_label(organisation)
            labels = f'organisation="{name}",result="{result}"'
            lines.append(f'topazring_operations_total{{{labels}}} {count}')
        for what, value in sorted(gauges.items()):
            lines.append(f'topazring_{what} {value}')
        return ('\n'.join(lines) + '\n').encode()


def _escape_label(value: str) -> str:
    """Return a label's value as the text format requires it."""
    return value.replace('\\', r'\\').replace('"', r'\"')
