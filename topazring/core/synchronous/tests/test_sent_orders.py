"""Test what is logged of the orders that this proxy has sent."""

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support

OrderResult = messages.OrderResult
EVENT = 'leads by an earlier order'


class EarlierOrderTest(testtools.TestCase):
    """An upstream leads that an earlier order of this proxy names."""

    def lead(self, driver: support.Driver, name: str, revision: int) -> list:
        """List a new primary."""
        return driver.list_upstreams(primary=name, revision=revision)

    def depose(self, driver: support.Driver, name: str) -> None:
        """Have the primary refuse, so that a list may name the next one."""
        driver.state.upstreams[name].refuted_ms = driver.now_ms
        driver.state.primary = ''

    def test_unanswered_order_that_was_to_change_nothing(self):
        """Guards against a log that does not tell which order made it lead."""
        driver = support.Driver().ready()
        driver.post(messages.PromotionLeaseSeen(True, 100))
        outs = driver.tick(120) + driver.answer_leadership_checks()
        (order,) = support.orders(outs)
        self.assertEqual(promotion_lease.FENCE_WHY, order.why)
        driver.post(
            messages.PromotionOrdered(
                'u1', order.token, OrderResult.UNANSWERED
            )
        )
        self.depose(driver, 'u1')
        self.lead(driver, 'u2', revision=2)
        driver.now_ms += 3000
        self.depose(driver, 'u2')
        driver.state.upstreams['u1'].refuted_ms = None
        outs = self.lead(driver, 'u1', revision=3)
        (logged,) = support.decisions(outs, EVENT)
        self.assertEqual(promotion_lease.FENCE_WHY, logged['why'])
        self.assertEqual(1, logged['unanswered'])
        self.assertGreaterEqual(logged['sent_ms_ago'], 3000)
        counters = driver.state.counters
        self.assertEqual(1, counters['orders_unanswered'])
        self.assertEqual(1, counters['earlier_orders_carried_out'])

    def test_upstream_that_an_attempt_waits_for(self):
        """The success of an attempt is no surprise."""
        driver = failover_support.make_lease_holder()
        outs = failover_support.lose_primary(driver)
        while not support.orders(outs):
            outs = driver.tick(20)
            outs += failover_support.answer_control_commands(driver)
        (order,) = support.orders(outs)
        self.assertEqual(driver.state.promotion.why, order.why)
        outs = self.lead(driver, order.upstream, revision=2)
        self.assertEqual([], support.decisions(outs, EVENT))

    def test_upstream_that_was_never_ordered(self):
        """Another proxy has ordered it."""
        driver = failover_support.make_lease_holder()
        self.depose(driver, 'u1')
        outs = self.lead(driver, 'u2', revision=2)
        self.assertEqual([], support.decisions(outs, EVENT))
