"""Test that a lost primary is told apart from similar symptoms."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support

LogPosition = support.Place


class FailureDetectionTest(testtools.TestCase):
    """A primary counts as lost only if it is."""

    def test_one_silent_connection_is_no_loss(self):
        """Other connections are answered, so the primary is alive.

        Guards against a promotion without a loss: something on the
        path loses one connection, which stays silent for good. The silence of
        one connection was taken for that of the upstream.
        """
        driver = failover_support.make_lease_holder()
        silent = next(
            c for c in driver.state.connections.values() if c.upstream == 'u1'
        )
        silent.phase = states.Phase.BUSY
        silent.purpose = states.Purpose.LEADERSHIP_CHECK
        silent.commands = (statements.Begin(), statements.Rollback())
        silent.sent_ms = driver.now_ms
        for _ in range(40):
            driver.tick(20)
            for connection in driver.busy('u1'):
                if connection is not silent:
                    driver.reply(connection)
        self.assertIsNone(driver.state.promotion)
        self.assertEqual('u1', driver.state.primary)

    def test_own_pause_is_not_silence(self):
        """All probes of a process that resumes after a pause are overdue."""
        driver = failover_support.make_lease_holder()
        driver.tick(120)
        driver.now_ms += 900
        driver.post(messages.Tick(880))
        driver.tick(100)
        self.assertIsNone(driver.state.promotion)

    def test_full_connections_are_not_silence(self):
        """An upstream at its connection limit is alive."""
        driver = support.Driver()
        driver.list_upstreams()
        driver.post(messages.PromotionLeaseSeen(True, 100))
        limit = outcomes.Reason.CONNECTION_LIMIT
        for _ in range(60):
            driver.tick(20)
            for connection in list(driver.state.connections.values()):
                driver.close(connection, limit)
        self.assertIsNone(driver.state.promotion)


class UnconfirmedTest(testtools.TestCase):
    """A primary that answers, but whose replicas do not follow it."""

    def replicas_behind(self, received: LogPosition) -> support.Driver:
        """Have a primary advance to 1.9 while replicas report 1.5."""
        driver = failover_support.make_lease_holder()
        for _ in range(50):
            driver.tick(20)
            for connection in driver.busy('u1'):
                if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
                    ahead = support.ok(place=LogPosition(1, 9))
                    driver.reply(connection, ahead, ahead)
            driver.answer_leadership_checks(primary='')
            if driver.state.promotion is not None:
                break
        failover_support.answer_control_commands(
            driver, u1=LogPosition(1, 9), u2=received, u3=received
        )
        driver.answer_leadership_checks(primary='')
        # Members whose connections were busy are queried by the next tick.
        driver.tick(20)
        return driver

    def test_cut_off_from_its_replicas(self):
        """It is demoted before a successor is promoted.

        Guards against writes that hang until their deadline for five seconds.
        A primary loses its replicas and keeps answering, but none of its
        writes is confirmed. A reply was taken for a sign of health.
        """
        driver = self.replicas_behind(LogPosition(1, 5))
        self.assertEqual(
            {'u1'}, failover_support.command_targets(driver, statements.Demote)
        )

    def test_replicas_that_apply_late(self):
        """They have received all entries, so the primary works."""
        driver = self.replicas_behind(LogPosition(1, 9))
        self.assertEqual(
            set(), failover_support.command_targets(driver, statements.Demote)
        )
        self.assertIsNone(driver.state.promotion)

    def test_unconfirmed_tail_does_not_count(self):
        """Writes that only the demoted primary has were not acknowledged.

        Guards against a second promotion right after the first. A primary that
        is cut off is demoted with unconfirmed writes, and the replica ordered
        to lead lacks these. It was compared with the primary that it replaces.
        """
        driver = self.replicas_behind(LogPosition(1, 5))
        outs = failover_support.answer_control_commands(
            driver,
            u1=LogPosition(1, 9),
            u2=LogPosition(1, 5),
            u3=LogPosition(1, 5),
        )
        (order,) = support.orders(outs)
        self.assertNotEqual('u1', order.upstream)
        driver.tick(40)
        self.assertEqual(order.upstream, driver.state.promotion.chosen)
