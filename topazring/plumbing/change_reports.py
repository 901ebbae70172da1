"""Report what has changed, again if a report failed."""

import collections.abc
import random

from topazring.plumbing import clock
from topazring.plumbing import supervision

__all__ = ['ChangeReports']


class ChangeReports:
    """Hold what has changed until a report of it succeeds.

    A change that was read and could not be put in force would otherwise stay
    so: it is never read again.
    """

    def __init__(
        self,
        name: str,
        report: collections.abc.Callable[[set[str]], None],
        reporter: supervision.Reporter,
    ):
        self.name = name
        self.report = report
        self.reporter = reporter
        self.pending: set[str] | None = None
        self.again_ms = 0
        reporter.register(name)

    def add(self, changed: set[str]) -> None:
        """Report changes, and all that could not be reported before."""
        self.pending = (self.pending or set()) | changed
        try:
            self.report(set(self.pending))
        except Exception as error:
            self.reporter.report_failure(self.name, error)
            pause_s = supervision.MAX_PAUSE_S * random.uniform(0.5, 1.0)
            self.again_ms = clock.monotonic_ms() + round(pause_s * 1000)
        else:
            self.pending = None

    def retry(self) -> None:
        """Report again what could not be reported, after a pause."""
        if self.pending is not None and clock.monotonic_ms() >= self.again_ms:
            self.add(set())
