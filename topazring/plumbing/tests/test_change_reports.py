"""Test that changes are reported until a report succeeds."""

import testtools

from topazring.plumbing import change_reports
from topazring.plumbing import logs


class ChangeReportsTest(testtools.TestCase):
    """Guards against a change that is read and never in force."""

    def setUp(self):
        """Hold reports that fail while an error is set."""
        super().setUp()
        self.failures = logs.FailureLog()
        self.error: Exception | None = None
        self.reported: list[set[str]] = []
        self.reports = change_reports.ChangeReports(
            'listing', self.report, self.failures
        )

    def report(self, changed: set[str]) -> None:
        """Record a report, or fail."""
        if self.error is not None:
            raise self.error
        self.reported.append(changed)

    def test_success(self):
        """What was reported is not reported again."""
        self.reports.add({'a'})
        self.reports.add(set())
        self.reports.retry()
        self.assertEqual([{'a'}, set()], self.reported)

    def test_failure(self):
        """It goes again with the next change, or after a pause."""
        self.error = OverflowError()
        self.reports.add({'a'})
        self.reports.retry()
        self.assertEqual(1, self.failures.counters['task_failed_listing'])
        self.error = None
        self.reports.retry()
        self.assertEqual([], self.reported)
        self.reports.again_ms = 0
        self.reports.retry()
        self.assertEqual([{'a'}], self.reported)
        self.error = OverflowError()
        self.reports.add({'b'})
        self.error = None
        self.reports.add({'c'})
        self.assertEqual({'b', 'c'}, self.reported[-1])
