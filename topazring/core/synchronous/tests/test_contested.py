"""Test that a primary with a listed successor acknowledges no writes."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_isolation

LogPosition = support.Place
WRITE = support.Verb.WRITE


def write(driver: support.Driver, *names: str) -> outcomes.Outcome | None:
    """Have `u1` confirm a write while the named replicas report holding it."""
    held = LogPosition(1, 6)
    key, _ = driver.submit(verb=WRITE)
    work = driver.state.work.get(key)
    if work is not None and work.running:
        driver.reply(driver.running(key), support.ok('signed', place=held))
    test_isolation.run_for(driver, 100, 'u1', *names, received=held)
    return support.answers(driver.outs).get(key)


class ContestedTest(testtools.TestCase):
    """The list names a successor that has not replied yet."""

    def list_successor(self, holds_lease: bool = False) -> support.Driver:
        """List `u2` as primary while `u1` continues."""
        driver = (
            failover_support.make_lease_holder()
            if holds_lease
            else support.Driver().ready()
        )
        driver.list_upstreams(primary='u2', revision=2)
        return driver

    def recreate_successor(self, holds_lease: bool = False) -> support.Driver:
        """Recreate the successor, which is then empty."""
        driver = self.list_successor(holds_lease)
        born = {'u2': 9}
        driver.list_upstreams(primary='u1', revision=3, born_ms=born)
        return driver

    def test_confirmed_write_waits(self):
        """A replica that cannot reach the successor still confirms writes.

        Guards against acknowledging a write at a replaced primary (random
        walk 6500): a leaving primary is replaced by an upstream that one
        replica cannot reach. The promoting proxy resumes that replica, which
        follows the old primary and confirms a write there, before the proxy
        that sent the write has queried the successor. The successor named in
        the list must be taken into account before it replies. In the walk u4
        leads at 2371 ms, p1 has it from the list at 2376 ms and sends a write
        to u1 at 2452 ms, and acknowledges it at 2470 ms, when u3 holds it.
        """
        driver = self.list_successor()
        self.assertNotIsInstance(write(driver, 'u3'), outcomes.Done)

    def test_successor_that_was_recreated(self):
        """The only record of its term was its own log, which is lost.

        Guards against the same failure as above (random walk 6580): the
        successor stops within 300 ms of its promotion and is recreated empty.
        The old primary continues, and a proxy that did not see the promotion
        sends it a write. The claim to lead must not be discarded together
        with the upstream that made it. In the walk u3 leads at 3949 ms, p2
        has it from the list at 3985 ms, u3 is recreated at 4455 ms, and p2
        sends a write to u1 at 4838 ms and acknowledges it at 5062 ms.
        """
        driver = self.recreate_successor()
        driver.open_all()
        for _ in range(20):
            driver.tick(20)
            driver.answer_leadership_checks()
        outcome = write(driver, 'u2', 'u3')
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_another_is_promoted_after_the_successor_was_recreated(self):
        """Otherwise no further write would be acknowledged."""
        driver = self.recreate_successor(holds_lease=True)
        driver.open_all()
        outs = []
        for _ in range(10):
            outs += driver.tick(20)
            outs += driver.answer_leadership_checks()
            outs += failover_support.answer_control_commands(driver)
        begun = support.decisions(outs, 'promotion begins')
        reasons = [inputs['why'] for inputs in begun]
        self.assertEqual(['its successor is gone'], reasons)
        (order,) = support.orders(outs)
        driver.post(
            messages.PromotionOrdered(
                order.upstream, order.token, messages.OrderResult.ACCEPTED
            )
        )
        driver.list_upstreams(
            primary=order.upstream, revision=4, born_ms={'u2': 9}
        )
        self.assertEqual(order.upstream, driver.state.primary)
        self.assertFalse(driver.state.successor_gone)

    def test_member_that_holds_entries_of_a_newer_term(self):
        """Entries of a newer term show that another upstream led.

        Guards against the same failure as above (random walk 5698): the
        successor is gone before this proxy learns of it, and a member that
        followed it reports a log position of the newer term. Checking only
        the upstream that is listed as primary is not enough. In the walk u3
        reports 2.1 at 4051 ms, and a write of term 1 at u1 is acknowledged at
        4052 ms.
        """
        driver = support.Driver().ready(names=('u1', 'u2', 'u3', 'u4'))
        key, _ = driver.submit(verb=WRITE)
        connection = driver.running(key)
        held = LogPosition(1, 6)
        driver.reply(connection, support.ok('signed', place=held))
        newer = {'received': LogPosition(2, 1), 'term': 2}
        test_isolation.run_for(driver, 40, 'u3', **newer)
        test_isolation.run_for(driver, 100, 'u2', 'u4', received=held)
        outcome = support.answers(driver.outs).get(key)
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_claim_that_is_refuted(self):
        """The list was outdated: the upstream it names is a replica."""
        driver = self.list_successor()
        driver.tick(400)
        driver.answer_leadership_checks()
        self.assertIsInstance(write(driver, 'u2', 'u3'), outcomes.Done)

    def test_unresponsive_primary_contests_nothing(self):
        """Its last transaction was accepted before its successor led.

        Guards against rejecting writes for the seconds until the entry of the
        unresponsive primary expires.
        """
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        (order,) = support.orders(
            failover_support.answer_control_commands(driver)
        )
        accepted = messages.OrderResult.ACCEPTED
        driver.post(
            messages.PromotionOrdered(order.upstream, order.token, accepted)
        )
        driver.list_upstreams(primary='u2', revision=2)
        driver.tick(20)
        driver.answer_leadership_checks(primary='u2')
        key, _ = driver.submit(verb=WRITE)
        report = {'received': LogPosition(2, 6), 'term': 2, 'held_term': 0}
        proof_support.answer_status_queries(driver, 'u3', **report)
        connection = driver.running(key)
        place = LogPosition(2, 6)
        driver.reply(connection, support.ok('signed', place=place))
        for _ in range(5):
            driver.tick(20)
            proof_support.answer_status_queries(driver, 'u3', **report)
        outcome = support.answers(driver.outs).get(key)
        self.assertIsInstance(outcome, outcomes.Done)
