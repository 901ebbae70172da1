"""Test upstreams that operators have closed to new work."""

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous.scheduling import load_report
from topazring.core.synchronous.tests import support

Place = support.Place


class ClosedUpstreamsTest(testtools.TestCase):
    """A group of three; reads may be served by any of them."""

    def setUp(self):
        super().setUp()
        self.driver = support.Driver().ready()
        self.wait(1600)

    def wait(self, for_ms: int) -> None:
        """Let time pass while the upstreams answer checks."""
        for _ in range(for_ms // 20):
            self.driver.tick(20)
            self.driver.answer_leadership_checks()

    def close(self, *names: str, for_ms: int = 5000) -> None:
        """Have an operator close upstreams."""
        until_ms = self.driver.now_ms + for_ms
        closed = dict.fromkeys(names, until_ms)
        self.driver.post(messages.UpstreamsClosed(closed))

    def read(self) -> str:
        """Send a read; return the upstream that runs it."""
        key, _ = self.driver.submit(support.BOUNDED)
        connection = self.driver.running(key)
        self.driver.reply(connection, support.ok())
        return connection.upstream

    def test_reads_go_elsewhere(self):
        """Pattern: reads while the replicas are taken out in turn."""
        first = self.read()
        self.assertNotEqual('u1', first)
        self.close(first)
        second = self.read()
        self.assertNotIn(second, ('u1', first))
        self.close(first, second)
        self.assertEqual('u1', self.read())
        self.close(second)
        self.assertEqual(first, self.read())

    def test_ends_by_itself(self):
        """Guards against a closure that ends only with a message."""
        self.close('u2', 'u3', for_ms=500)
        self.assertEqual('u1', self.read())
        self.wait(600)
        self.assertNotEqual('u1', self.read())

    def test_open_transaction_goes_on(self):
        """Guards against a closure that breaks transactions."""
        key, _ = self.driver.submit(
            support.BOUNDED, transaction=7, begins=True, read_only=True
        )
        connection = self.driver.running(key)
        self.assertNotEqual('u1', connection.upstream)
        self.driver.reply(connection, support.ok())
        self.driver.reply(connection, support.ok())
        self.close('u2', 'u3')
        self.wait(100)
        key, _ = self.driver.submit(support.BOUNDED, transaction=7)
        self.assertIs(connection, self.driver.running(key))

    def test_closed_replica_that_leads(self):
        """Guards against a group without a primary.

        A replica is promoted while it is closed; it serves as the primary.
        """
        self.close('u1', 'u2', 'u3')
        self.assertEqual('u1', self.read())
        key, _ = self.driver.submit(verb=support.Verb.WRITE)
        self.assertEqual('u1', self.driver.running(key).upstream)

    def test_closed_replica_is_a_member(self):
        """Guards against a member that counts as drained when it vanishes."""
        self.close('u2')
        self.wait(8000)
        self.assertFalse(self.driver.state.upstreams['u2'].leaving)
        self.assertTrue(
            any(
                connection.upstream == 'u2'
                for connection in self.driver.state.connections.values()
            )
        )

    def test_shown_to_operators(self):
        self.close('u2', for_ms=700)
        load = load_report.describe(self.driver.state, self.driver.now_ms)
        self.assertEqual(
            [0, 700, 0], [each.closed_for_ms for each in load.upstreams]
        )
