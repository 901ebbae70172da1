"""Count refusals and retries by reason, and record how long things took."""

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
    """Hold one process's counters; render them for Prometheus."""

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
        """Count an answer and how long it took."""
        name = type(outcome).__name__.lower()
        reason = getattr(outcome, 'reason', '')
        self.answers[(name, str(reason))] += 1
        recorded = self.latency.get(kind)
        if recorded is None:
            recorded = histogram.HdrHistogram(
                1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
            )
            self.latency[kind] = recorded
        recorded.record_value(max(1, min(took_ms, MAX_LATENCY_MS)))

    def add_source(self, name: str, help_text: str, read) -> None:
        """Add counters that `read()` returns as a mapping by label."""
        self.sources.append((name, help_text, read))

    def collect(self):
        """Yield the metric families, as prometheus_client asks for them."""
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
        for kind, recorded in self.latency.items():
            for quantile in PERCENTILES:
                value = recorded.get_value_at_percentile(quantile)
                latency.add_metric([kind, str(quantile)], value)
        yield latency
        for name, help_text, read in self.sources:
            family = core.GaugeMetricFamily(name, help_text, labels=['what'])
            for label, count in read().items():
                family.add_metric([str(label)], count)
            yield family

    def _labels(self) -> list[tuple[str, str]]:
        """Return every label, so that a reason shows before it happens."""
        found = dict.fromkeys(self.answers)
        for reason in outcomes.Reason:
            name = (
                'rejected'
                if reason in outcomes.REJECTION_REASONS
                else 'notrun'
            )
            found.setdefault((name, str(reason)))
        return list(found)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
