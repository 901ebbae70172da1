"""Test the report on what queued requests wait for."""

import testtools

from topazring.core.synchronous import queue_report
from topazring.core.synchronous.tests import support

Verb = support.Verb


def reports(outs: list) -> list:
    """Return the inputs of the logged queue reports."""
    return support.decisions(outs, 'line stands')


class QueueReportTest(testtools.TestCase):
    """The log shows what a request that waits for long is waiting for."""

    def blocked(self) -> tuple[support.Driver, list]:
        """Have a write wait behind a transaction that pauses."""
        driver = support.Driver(share=1).ready()
        driver.submit(support.EXACT, Verb.WRITE, transaction=7, begins=True)
        (begins,) = [c for c in driver.busy('u1') if c.work]
        driver.reply(begins, support.ok())
        driver.reply(begins, support.ok('signed'))
        driver.submit(support.EXACT, Verb.WRITE)
        outs = []
        for _ in range(10):
            outs += driver.tick(20)
            driver.answer_leadership_checks()
        return driver, outs

    def test_shows_the_transaction(self):
        """A paused transaction holds the only connection to the primary."""
        _, outs = self.blocked()
        (report,) = reports(outs)
        self.assertEqual(1, report['for_primary'])
        self.assertIn('pausing 1', report['upstreams']['u1'])

    def test_once_a_second(self):
        """Many waiting requests must not fill the log."""
        driver, _ = self.blocked()
        outs = []
        for _ in range(20):
            outs += driver.tick(20)
            driver.answer_leadership_checks()
        self.assertEqual([], reports(outs))

    def test_no_report_while_the_queue_moves(self):
        """A wait of ordinary length is not reported."""
        driver = support.Driver(share=1).ready()
        driver.submit(support.EXACT, Verb.WRITE)
        driver.submit(support.EXACT, Verb.WRITE)
        self.assertEqual([], reports(driver.tick(60)))

    def test_counts_every_connection_once(self):
        """The counts of an upstream add up to its connections."""
        driver, _ = self.blocked()
        for name in driver.state.upstreams:
            counted = queue_report.count_uses(driver.state, name)
            held = [
                connection
                for connection in driver.state.connections.values()
                if connection.upstream == name
            ]
            self.assertEqual(len(held), counted.total())
