"""Hold the duty to promote as one of many."""

import testtools

from topazring.core.synchronous import confirmations
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support

OrderResult = messages.OrderResult


def yielded(outs: list) -> list[messages.YieldPromotionLease]:
    """Return what gives the duty up."""
    return [
        out for out in outs if isinstance(out, messages.YieldPromotionLease)
    ]


class DutyTest(testtools.TestCase):
    """Holders of the duty do not get in each other's way."""

    def test_new_holder_fences_earlier_orders(self):
        """An order of a holder that died may arrive seconds later.

        Symptom: writes that were acknowledged after a failed failover are
        gone. Sequence: a holder orders a promotion and dies; the order gets
        stuck; the primary is back and acknowledges; the order is carried
        out. Cause: nobody used a higher token since.
        """
        driver = support.Driver().ready()
        driver.post(messages.PromotionLeaseSeen(True, 200))
        outs = driver.tick(120) + driver.answer_leadership_checks()
        (order,) = support.orders(outs)
        self.assertEqual('u1', order.upstream)
        self.assertGreater(order.token, 200)

    def test_old_proof_fences_nothing(self):
        """A proof from before a pause may be out of date.

        Symptom: a replaced primary leads again, and what its successor
        acknowledged is gone. Sequence: a guard succeeds; the proxy is
        suspended before it reads the answer; another holder promotes; the
        proxy wakes with the duty and reads the answer first; its order for
        the present primary names the replaced one. Cause: taking the answer
        for the present, for it was read before the timer was due.
        """
        driver = support.Driver().ready()
        driver.tick(400)
        driver.now_ms += 3000
        driver.post(messages.PromotionLeaseSeen(True, 200))
        outs = driver.answer_leadership_checks()
        self.assertEqual([], support.orders(outs))

    def test_pause_is_noticed_before_the_first_message(self):
        """What came during a pause is read before the timer is due."""
        driver = failover_support.make_lease_holder()
        driver.tick(400)
        driver.now_ms += 3000
        driver.answer_leadership_checks()
        self.assertFalse(driver.state.holds_promotion_lease)

    def test_fence_waits_for_proof(self):
        """An order for a primary that does not lead would promote it."""
        driver = support.Driver()
        driver.list_upstreams()
        outs = driver.post(messages.PromotionLeaseSeen(True, 200))
        outs += driver.tick(400)
        self.assertEqual([], support.orders(outs))

    def test_woken_holder_does_nothing(self):
        """A holder that stood still may have been followed.

        Symptom: a group without a primary. Sequence: a holder is suspended,
        another promotes; the first wakes, finds writes unconfirmed, demotes
        the new primary, and its order is refused. Cause: acting on a duty
        that was not confirmed again.
        """
        driver = failover_support.make_lease_holder()
        driver.tick(20, paused_ms=1500)
        self.assertFalse(driver.state.holds_promotion_lease)

    def test_holder_that_reaches_no_replica_yields(self):
        """It is on the wrong side of a partition.

        Symptom: no writes for three seconds after a partition. Sequence: the
        holder of the duty is cut off with the primary; it tries again and
        again; a proxy on the other side could promote. Cause: holding on to
        a duty that one cannot do.
        """
        driver = failover_support.make_lease_holder()
        outs = failover_support.lose_primary(driver) + driver.tick(900)
        yields = yielded(outs)
        self.assertEqual(1, len(yields))

    def test_other_proxies_promote_nobody(self):
        """Without the duty a lost primary is only searched for."""
        driver = support.Driver().ready()
        outs = failover_support.lose_primary(driver)
        self.assertEqual([], support.orders(outs))
        self.assertIsNone(driver.state.promotion)

    def test_new_holder_resumes_what_was_left_paused(self):
        """A holder that died between its steps leaves replicas paused.

        Symptom: acknowledged writes are gone after a failover. Sequence: an
        order is late; the duty changes hands; the new holder resumes the
        replicas; one confirms a write of the primary that is back; the order
        is carried out. Cause: resuming before the order was fenced off.
        """
        driver = support.Driver().ready()
        driver.post(messages.PromotionLeaseSeen(True, 100))
        outs = driver.tick(120)
        self.assertEqual(
            set(), failover_support.command_targets(driver, statements.Resume)
        )
        (order,) = support.orders(outs + driver.answer_leadership_checks())
        accepted = OrderResult.ACCEPTED
        driver.post(
            messages.PromotionOrdered(order.upstream, order.token, accepted)
        )
        driver.tick(20)
        self.assertEqual(
            {'u2', 'u3'},
            failover_support.command_targets(driver, statements.Resume),
        )


class AnotherHolderTest(testtools.TestCase):
    """A holder that is cut off from the platform's store may be overtaken."""

    def paused_by_another(self, driver: support.Driver) -> list:
        """Have both replicas say that they are paused; let time pass."""
        outs = []
        for name in ('u2', 'u3'):
            upstream = driver.state.upstreams[name]
            paused = support.report(held_term=2).report
            confirmations.note_report(upstream, driver.now_ms, paused)
        for _ in range(5):
            outs += driver.tick(20)
            outs += driver.answer_leadership_checks()
        return outs

    def test_yields_where_replicas_are_paused_by_another(self):
        """Only a holder pauses, and this one did not.

        Symptom: an order with a lower token than one that the platform had
        seen; where nobody checks tokens it is carried out. Sequence: the
        holder is cut off from the store with some proxies; another gains the
        duty, and pauses the replicas of a leaving primary; to the first it
        looks as if no replica followed that, and the peers that it asks know
        of no successor. Cause: that somebody else had paused them was not
        looked at. Proof, from the log: 22.845 s germiston-1 orders with token
        40002; 23.221 s sasolburg-2 considers a promotion, `no replica follows
        it`; 23.232 s it orders with token 20003.
        """
        driver = failover_support.make_lease_holder()
        for _ in range(5):
            driver.tick(20)
            driver.answer_leadership_checks()
            failover_support.answer_control_commands(driver)
        self.assertEqual(set(), driver.state.paused)
        outs = self.paused_by_another(driver)
        self.assertEqual(
            ['another promotes'],
            [out.why for out in yielded(outs)],
        )
        self.assertFalse(driver.state.holds_promotion_lease)

    def test_what_a_holder_before_left_paused(self):
        """A new holder resumes that, and goes on."""
        driver = support.Driver().ready()
        driver.post(messages.PromotionLeaseSeen(True, 100))
        outs = self.paused_by_another(driver)
        self.assertEqual([], yielded(outs))
        self.assertTrue(driver.state.holds_promotion_lease)

    def test_its_own_pauses(self):
        """Those of an attempt of its own, and what that left paused."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        outs = failover_support.answer_control_commands(driver)
        outs += self.paused_by_another(driver)
        self.assertEqual([], yielded(outs))
