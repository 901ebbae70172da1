"""Count answers by outcome and reason, and record request latencies."""

import collections

from hdrh import histogram
import prometheus_client
from prometheus_client import core

from topazring.core import outcomes

__all__ = ['Metrics']

MAX_LATENCY_MS = 120_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Hold the metrics of one process and render them for Prometheus."""

    def __init__(self):
        self.answers: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.latency: dict[str, histogram.HdrHistogram] = {}
        self.sources = []
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(self)

    def record_answer(
        self, kind: str, outcome: outcomes.Outcome, took_ms: int
    ) -> None:
        """Count an answer and record its latency."""
        name = type(outcome).__name__.lower()
        reason = getattr(outcome, 'reason', '')
        self.answers[(name, str(reason))] += 1
        latencies = self.latency.get(kind)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
            )
            self.latency[kind] = latencies
        latencies.record_value(max(1, min(took_ms, MAX_LATENCY_MS)))

    def add_source(self, name: str, help_text: str, read) -> None:
        """Add a metric family; `read()` returns its values by label."""
        self.sources.append((name, help_text, read))

    def collect(self):
        """Yield the metric families; called by prometheus_client."""
        answers = core.CounterMetricFamily(
            'topazring_answers',
            'Final answers by outcome and reason',
            labels=['outcome', 'reason'],
        )
        for outcome, reason in self._labels():
            count = self.answers[(outcome, reason)]
            answers.add_metric([outcome, reason], count)
        yield answers
        latency = core.GaugeMetricFamily(
            'topazring_latency_milliseconds',
            'Time from request to answer by kind and percentile',
            labels=['kind', 'percentile'],
        )
        for kind, latencies in self.latency.items():
            for percentile in PERCENTILES:
                value = latencies.get_value_at_percentile(percentile)
                latency.add_metric([kind, str(percentile)], value)
        yield latency
        for name, help_text, read in self.sources:
            family = core.GaugeMetricFamily(name, help_text, labels=['what'])
            for label, count in read().items():
                family.add_metric([str(label)], count)
            yield family

    def _labels(self) -> list[tuple[str, str]]:
        """Return all pairs of outcome and reason.

        Reasons that have not occurred yet are included, so that their
        counters are exported as 0.
        """
        labels = dict.fromkeys(self.answers)
        for reason in outcomes.Reason:
            name = (
                'rejected'
                if reason in outcomes.REJECTION_REASONS
                else 'notrun'
            )
            labels.setdefault((name, str(reason)))
        return list(labels)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
