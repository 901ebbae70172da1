"""Test conclusions from members that lost the pause of a promotion.

A member that was recreated, or that another proxy resumed, confirms writes of
the old primary although the successor has been ordered without them.
"""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_confirmations
from topazring.core.synchronous.tests import test_isolation

WITH = test_confirmations.WITH
WITHOUT = test_confirmations.WITHOUT
PAUSED = {'received': WITHOUT, 'term': 1, 'held_term': 2}
UNPAUSED = {'received': WITH, 'term': 1, 'held_term': 0}
# Longer than it takes until all proxies have seen a member in the list.
LISTED_MS = 400


class RecreatedInHandOverTest(testtools.TestCase):
    """A replica is recreated while the primary leaves."""

    def setUp(self):
        """List a primary that leaves, and `u3` as recreated."""
        super().setUp()
        self.driver = support.Driver().ready()
        self.driver.list_upstreams(
            leaving='u1', revision=2, born_ms={'u3': 10_100}
        )
        self.driver.open_all()
        test_isolation.run_for(self.driver, LISTED_MS, 'u1', 'u2', 'u3')

    def outcome(self, **reports: dict) -> outcomes.Outcome | None:
        """Return the outcome of a write after these reports of members."""
        key, _ = self.driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(self.driver, key)
        for name, report in reports.items():
            proof_support.answer_status_queries(self.driver, name, **report)
        return support.answers(self.driver.outs).get(key)

    def test_only_the_recreated_member_is_not_paused(self):
        """Guards against the loss of a write after an unseen order.

        All members were paused before a successor was ordered; the recreated
        one lost its pause.
        """
        outcome = self.outcome(u2=PAUSED, u3=UNPAUSED)
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_successor_holds_the_write(self):
        """Guards against writes that wait while a recreated replica joins."""
        outcome = self.outcome(u2=UNPAUSED, u3=UNPAUSED)
        self.assertIsInstance(outcome, outcomes.Done)


class PausedSuccessorTest(testtools.TestCase):
    """The promoting proxy's own successor is paused by an earlier attempt."""

    def outcome(self, is_paused: bool) -> outcomes.Outcome | None:
        """Have the other member alone, which is not paused, hold a write."""
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(leaving='u1', revision=2)
        driver.tick(20)
        successor = driver.state.promotion.successor
        (other,) = {'u2', 'u3'} - {successor}
        driver.answer_leadership_checks()
        key, _ = driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(driver, key)
        driver.tick(20)
        reported = PAUSED if is_paused else UNPAUSED
        proof_support.answer_status_queries(driver, other, **UNPAUSED)
        proof_support.answer_status_queries(driver, successor, **reported)
        return support.answers(driver.outs).get(key)

    def test_successor_lacks_the_write(self):
        """Guards against a write that the earlier order's upstream lacks."""
        self.assertNotIsInstance(self.outcome(is_paused=True), outcomes.Done)

    def test_successor_holds_the_write(self):
        """Guards against a hand-over that interrupts writes."""
        self.assertIsInstance(self.outcome(is_paused=False), outcomes.Done)


class OvertakenHolderTest(testtools.TestCase):
    """A lease holder does not know that another proxy has ordered."""

    def run_for(self, driver: support.Driver, for_ms: int) -> list:
        """Let time pass; all members answer, the replicas as paused."""
        outs = []
        for _ in range(for_ms // 20):
            outs += driver.tick(20)
            driver.open_all()
            outs += driver.answer_leadership_checks()
            outs += self.answer_control(driver)
        return outs

    def answer_control(self, driver: support.Driver) -> list:
        """Answer control commands; only a resume ends a pause."""
        outs = []
        for connection in driver.busy():
            if connection.purpose is not states.Purpose.CONTROL:
                continue
            command = connection.commands[0]
            is_resume = isinstance(command, statements.Resume)
            held_term = 0 if is_resume else 2
            outs += driver.reply(
                connection, support.report(held_term=held_term)
            )
        return outs

    def resumed(self, outs: list) -> bool:
        """Return whether a member is sent a resume."""
        return any(
            isinstance(command, statements.Resume)
            for send in support.sends(outs)
            for command in send.commands
        )

    def end_in_vain(self) -> support.Driver:
        """End an attempt that has paused one replica: the primary is back."""
        driver = failover_support.make_lease_holder()
        self.run_for(driver, 100)
        failover_support.lose_primary(driver)
        for connection in driver.busy('u2'):
            if connection.purpose is states.Purpose.CONTROL:
                driver.reply(connection, support.report(held_term=2))
        self.assertIn('u2', driver.state.paused)
        driver.outs.clear()
        for _ in range(7):
            driver.tick(20)
            driver.open_all()
            driver.answer_leadership_checks()
        (ended,) = support.decisions(driver.outs, 'promotion ended')
        self.assertEqual('it is back', ended['how'])
        return driver

    def test_members_stay_paused_until_an_order_is_accepted(self):
        """Guards against resuming what another proxy's order needs paused.

        The resumed member confirms writes of the old primary that the ordered
        one lacks.
        """
        driver = self.end_in_vain()
        self.run_for(driver, 400)
        outs = driver.outs
        self.assertFalse(self.resumed(outs))
        (order,) = support.orders(outs)
        self.assertEqual('u1', order.upstream)
        refused = messages.OrderResult.REFUSED
        outs = driver.post(
            messages.PromotionOrdered('u1', order.token, refused)
        )
        outs += self.run_for(driver, 400)
        self.assertFalse(self.resumed(outs))

    def test_members_are_resumed_once_an_order_is_accepted(self):
        """Guards against a group in which nobody confirms writes."""
        driver = self.end_in_vain()
        self.run_for(driver, 400)
        outs = driver.outs
        (order,) = support.orders(outs)
        accepted = messages.OrderResult.ACCEPTED
        outs = driver.post(
            messages.PromotionOrdered('u1', order.token, accepted)
        )
        outs += self.run_for(driver, 60)
        self.assertTrue(self.resumed(outs))
        self.assertEqual(set(), driver.state.paused)

    def test_member_that_is_listed_later(self):
        """Guards against resuming one that was paused before it was seen."""
        driver = failover_support.make_lease_holder()
        self.run_for(driver, 1000)
        driver.outs.clear()
        names = ('u1', 'u2', 'u3', 'u4')
        driver.list_upstreams(names=names, revision=2)
        self.run_for(driver, 400)
        outs = driver.outs
        self.assertFalse(self.resumed(outs))
        (order,) = support.orders(outs)
        self.assertEqual('u1', order.upstream)

    def test_member_that_is_not_paused(self):
        """Guards against an order for each member that is listed later."""
        driver = failover_support.make_lease_holder()
        self.run_for(driver, 1000)
        driver.outs.clear()
        names = ('u1', 'u2', 'u3', 'u4')
        driver.list_upstreams(names=names, revision=2)
        for _ in range(10):
            driver.tick(20)
            driver.open_all()
            driver.answer_leadership_checks()
            for connection in driver.busy():
                if connection.purpose is states.Purpose.CONTROL:
                    driver.reply(connection, support.report(held_term=0))
        self.assertEqual([], support.orders(driver.outs))
        self.assertEqual(set(), driver.state.paused)
