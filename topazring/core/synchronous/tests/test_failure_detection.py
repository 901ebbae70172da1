"""Tell a lost primary from everything that looks like one."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support

Place = support.Place


class EvidenceTest(testtools.TestCase):
    """Only a primary that is lost counts as lost."""

    def test_one_silent_connection_condemns_itself(self):
        """Others answer, so the primary lives.

        Symptom: a promotion on a day without a loss. Sequence: something
        between the ends forgets one connection; it is silent for good.
        Cause: silence on one connection taken for the upstream's.
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
        """All probes of a process that stood still are overdue."""
        driver = failover_support.make_lease_holder()
        driver.tick(120)
        driver.now_ms += 900
        driver.post(messages.Tick(880))
        driver.tick(100)
        self.assertIsNone(driver.state.promotion)

    def test_full_connections_are_not_silence(self):
        """An upstream at its connection limit lives."""
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
    """A primary that answers, but whose replicas do not follow."""

    def standing(self, received: Place) -> support.Driver:
        """Have a primary go on to 1.9 while replicas are seen at 1.5."""
        driver = failover_support.make_lease_holder()
        for _ in range(50):
            driver.tick(20)
            for connection in driver.busy('u1'):
                if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
                    ahead = support.ok(place=Place(1, 9))
                    driver.reply(connection, ahead, ahead)
            driver.answer_leadership_checks(primary='')
            if driver.state.promotion is not None:
                break
        failover_support.answer_control_commands(
            driver, u1=Place(1, 9), u2=received, u3=received
        )
        driver.answer_leadership_checks(primary='')
        # Members whose connections were at work are asked by the next tick.
        driver.tick(20)
        return driver

    def test_cut_off_from_its_replicas(self):
        """It is demoted before anyone follows it.

        Symptom: saves hang until their deadline for five seconds. Sequence:
        a primary loses its replicas and goes on answering; nothing that it
        takes is confirmed. Cause: taking an answer for a sign of health.
        """
        driver = self.standing(Place(1, 5))
        self.assertEqual(
            {'u1'}, failover_support.command_targets(driver, statements.Demote)
        )

    def test_replicas_that_apply_late(self):
        """They received everything, so nothing is wrong with the primary."""
        driver = self.standing(Place(1, 9))
        self.assertEqual(
            set(), failover_support.command_targets(driver, statements.Demote)
        )
        self.assertIsNone(driver.state.promotion)

    def test_unconfirmed_tail_does_not_count(self):
        """What only the demoted primary holds was acknowledged to nobody.

        Symptom: a second promotion right after the first. Sequence: a cut
        off primary is demoted with writes that nobody confirmed; a replica
        is ordered to lead; it lacks those. Cause: comparing it with the one
        that it replaces.
        """
        driver = self.standing(Place(1, 5))
        outs = failover_support.answer_control_commands(
            driver, u1=Place(1, 9), u2=Place(1, 5), u3=Place(1, 5)
        )
        (order,) = support.orders(outs)
        self.assertNotEqual('u1', order.upstream)
        driver.tick(40)
        self.assertEqual(order.upstream, driver.state.promotion.chosen)
