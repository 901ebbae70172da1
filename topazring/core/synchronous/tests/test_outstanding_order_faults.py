"""Test late orders beside upstreams and holders that change meanwhile."""

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_outstanding_orders

OrderResult = messages.OrderResult
LATE_MS = test_outstanding_orders.LATE_MS
# The members answer their pauses later than the primary answers again.
PRIMARY_IS_BACK_AFTER = 10
DRAIN_MS = test_outstanding_orders.LIMITS.drain_ms


class OrderedUpstreamTest(testtools.TestCase):
    """An order was sent, and its upstream leads, leaves or begins again."""

    def setUp(self):
        """Order a successor of a lost primary."""
        super().setUp()
        self.driver = test_outstanding_orders.make_holder()
        test_outstanding_orders.run(self.driver, 400)
        self.sent = test_outstanding_orders.order(self.driver)

    def answer(self, result: OrderResult) -> list:
        """Answer the order."""
        return test_outstanding_orders.answer(self.driver, self.sent, result)

    def is_outstanding(self) -> bool:
        """Return whether the order may be carried out."""
        return outstanding_orders.is_outstanding(
            self.driver.state, self.driver.now_ms, self.sent.upstream
        )

    def drain(self) -> list:
        """Have the ordered upstream leave the list after its drain."""
        name = self.sent.upstream
        self.driver.list_upstreams(revision=2, leaving=name)
        self.driver.tick(DRAIN_MS)
        names = sorted({'u1', 'u2', 'u3'} - {name})
        self.driver.list_upstreams(names=names, revision=3)
        return self.driver.tick(20)

    def test_order_in_flight_is_not_removed_from_the_record(self):
        """Guards against a shell that records what is to be removed.

        It then loops without any wait: see EndlessLoopTest.
        """
        removed = [
            out.upstreams
            for out in self.drain()
            if isinstance(out, messages.OrdersOutstanding)
        ]
        self.assertNotIn(frozenset(), removed)

    def test_drained_upstream_blocks_nobody(self):
        """Guards against a wait for an upstream that has ended."""
        self.drain()
        self.answer(OrderResult.UNANSWERED)
        self.assertFalse(self.is_outstanding())

    def test_upstream_that_drained_begins_again(self):
        """Guards against a late order for the next instance of a name."""
        name = self.sent.upstream
        self.answer(OrderResult.UNANSWERED)
        self.driver.list_upstreams(revision=2, leaving=name)
        self.driver.tick(DRAIN_MS)
        born_ms = {name: self.driver.now_ms}
        self.driver.list_upstreams(revision=3, born_ms=born_ms)
        self.assertTrue(self.is_outstanding())

    def test_upstream_leads_before_its_order_is_answered(self):
        """Guards against a wait of late_order_ms if it is lost then."""
        name = self.sent.upstream
        self.driver.list_upstreams(primary=name, revision=2)
        test_outstanding_orders.run(self.driver, 100, primary=name)
        self.assertEqual(name, self.driver.state.primary)
        self.answer(OrderResult.ACCEPTED)
        self.assertFalse(self.is_outstanding())


class HandOverTest(testtools.TestCase):
    """The successor of a leaving primary was ordered and began again."""

    def test_primary_that_works_is_not_demoted(self):
        """Guards against a group in which nobody can send X what it lacks.

        As in walk 70048: the order may make an empty instance lead.
        """
        driver = test_outstanding_orders.make_holder()
        test_outstanding_orders.run(driver, 400)
        outs = driver.list_upstreams(leaving='u1', revision=2)
        outs += test_outstanding_orders.run(driver, 400)
        sent = support.orders(outs)[0]
        test_outstanding_orders.answer(driver, sent, OrderResult.UNANSWERED)
        born_ms = {sent.upstream: driver.now_ms}
        driver.list_upstreams(revision=3, leaving='u1', born_ms=born_ms)
        name = sent.upstream
        for _ in range(40):
            test_outstanding_orders.verify(driver, driver.tick(20))
            driver.open_all()
            driver.answer_leadership_checks()
            demoted = failover_support.command_targets(
                driver, statements.Demote
            )
            self.assertEqual(set(), demoted)
            failover_support.answer_control_commands(driver)
            self.assertTrue(
                outstanding_orders.is_outstanding(
                    driver.state, driver.now_ms, name
                )
            )


class SuccessiveHoldersTest(testtools.TestCase):
    """The holder is killed again and again while an order is recorded."""

    def test_wait_ends_although_holders_change(self):
        """Guards against a group that waits for the same order for good."""
        ordered = frozenset({'u2'})
        driver = test_outstanding_orders.make_holder(ordered=ordered)
        for token in range(200, 1000, 100):
            test_outstanding_orders.run(driver, LATE_MS - 1000)
            driver.post(messages.PromotionLeaseSeen(False))
            driver.post(messages.PromotionLeaseSeen(True, token, ordered))
        self.assertFalse(
            outstanding_orders.blocks(driver.state, driver.now_ms, 'u1')
        )


class StoreAwayTest(testtools.TestCase):
    """The primary was silent for a moment just before the store went away."""

    def test_members_are_resumed(self):
        """Guards against writes that wait for as long as the store is away.

        No order was sent, and none can be by anybody.
        """
        driver = test_outstanding_orders.make_holder()
        test_outstanding_orders.run(driver, 1000)
        test_outstanding_orders.verify(
            driver, failover_support.lose_primary(driver)
        )
        paused = failover_support.command_targets(driver, statements.Pause)
        self.assertEqual({'u2', 'u3'}, paused)
        self.assertEqual([], support.orders(driver.outs))
        for round_ in range(4 * LATE_MS // 20):
            for _ in support.verifications(driver.tick(20)):
                driver.post(messages.LeaseVerified(False))
            driver.open_all()
            driver.answer_leadership_checks()
            resumed = failover_support.command_targets(
                driver, statements.Resume
            )
            if resumed:
                return
            if round_ >= PRIMARY_IS_BACK_AFTER:
                failover_support.answer_control_commands(driver)
        self.assertEqual('u1', driver.state.primary)
        self.assertEqual([], support.orders(driver.outs))
        self.fail(f'still paused: {sorted(driver.state.paused)}')
