"""Tell what a line waits for, once a second, while somebody waits."""

import testtools

from topazring.core.synchronous import queue_report
from topazring.core.synchronous.tests import support

Verb = support.Verb


def told(outs: list) -> list:
    """Return what was told of lines that stand."""
    return support.decisions(outs, 'line stands')


class LineTest(testtools.TestCase):
    """A request that waits in vain leaves what it waited for."""

    def standing(self) -> tuple[support.Driver, list]:
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

    def test_names_the_transaction(self):
        """It keeps the only connection to the primary."""
        _, outs = self.standing()
        (line,) = told(outs)
        self.assertEqual(1, line['for_primary'])
        self.assertIn('pausing 1', line['upstreams']['u1'])

    def test_once_a_second(self):
        """A storm of waiting requests must not fill the log."""
        driver, _ = self.standing()
        outs = []
        for _ in range(20):
            outs += driver.tick(20)
            driver.answer_leadership_checks()
        self.assertEqual([], told(outs))

    def test_nothing_while_the_line_moves(self):
        """An ordinary wait is no line."""
        driver = support.Driver(share=1).ready()
        driver.submit(support.EXACT, Verb.WRITE)
        driver.submit(support.EXACT, Verb.WRITE)
        self.assertEqual([], told(driver.tick(60)))

    def test_counts_every_connection_once(self):
        """The counts of an upstream add up to its connections."""
        driver, _ = self.standing()
        for name in driver.state.upstreams:
            counted = queue_report.count_uses(driver.state, name)
            held = [
                connection
                for connection in driver.state.connections.values()
                if connection.upstream == name
            ]
            self.assertEqual(len(held), counted.total())
