"""Acknowledge nothing at a primary whose successor has been named."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_isolation

Place = support.Place
WRITE = support.Verb.WRITE


def write(driver: support.Driver, *names: str) -> outcomes.Outcome | None:
    """Have `u1` confirm a write; these others answer, and hold it."""
    held = Place(1, 6)
    key, _ = driver.submit(verb=WRITE)
    work = driver.state.work.get(key)
    if work is not None and work.running:
        driver.reply(driver.running(key), support.ok('signed', place=held))
    test_isolation.run_for(driver, 100, 'u1', *names, received=held)
    return support.answers(driver.outs).get(key)


class ContestedTest(testtools.TestCase):
    """The list names a successor that has not been heard."""

    def contested(self, holds_duty: bool = False) -> support.Driver:
        """Have the list name `u2`, while `u1` goes on."""
        driver = (
            failover_support.make_lease_holder()
            if holds_duty
            else support.Driver().ready()
        )
        driver.list_upstreams(primary='u2', revision=2)
        return driver

    def born_again(self, holds_duty: bool = False) -> support.Driver:
        """Have the successor begin again, empty."""
        driver = self.contested(holds_duty)
        born = {'u2': 9}
        driver.list_upstreams(primary='u1', revision=3, born_ms=born)
        return driver

    def test_confirmed_write_waits(self):
        """A replica that cannot reach the successor still confirms it.

        Symptom: an acknowledged write is taken by a replaced primary.
        Sequence: a leaving primary is replaced by one that a replica cannot
        reach; whoever promoted resumes that replica; it follows the old one
        and confirms a write there, before the proxy that sent it has asked
        the successor. Cause: the list's word was left aside until then.
        Proof, from walk 6500: 2371 ms u4 leads; 2376 ms p1 has it from the
        list; 2452 ms p1 sends a write to u1; 2470 ms u3 holds it, and p1
        acknowledges.
        """
        driver = self.contested()
        self.assertNotIsInstance(write(driver, 'u3'), outcomes.Done)

    def test_successor_that_began_again(self):
        """Only its own log told of its term, and that log is gone.

        Symptom: as above. Sequence: the successor ends within 300 ms of its
        promotion and begins again, empty; the old primary leads on, and the
        proxy that saw no promotion sends it a write. Cause: the claim was
        forgotten with the one that made it. Proof, from walk 6580: 3949 ms u3
        leads; 3985 ms p2 has it from the list; 4455 ms u3 begins again;
        4838 ms p2 sends a write to u1; 5062 ms p2 acknowledges.
        """
        driver = self.born_again()
        driver.open_all()
        for _ in range(20):
            driver.tick(20)
            driver.answer_leadership_checks()
        outcome = write(driver, 'u2', 'u3')
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_another_is_promoted_then(self):
        """Else no write would be acknowledged any more."""
        driver = self.born_again(holds_duty=True)
        driver.open_all()
        outs = []
        for _ in range(10):
            outs += driver.tick(20)
            outs += driver.answer_leadership_checks()
            outs += failover_support.answer_control_commands(driver)
        begun = support.decisions(outs, 'promotion begins')
        whys = [inputs['why'] for inputs in begun]
        self.assertEqual(['its successor is gone'], whys)
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
        """Another led, whoever it was.

        Symptom: as above. Sequence: the successor is gone before this proxy
        has heard of it; a member that followed it says where its log ends.
        Cause: only who is named as the primary was looked at. Proof, from
        walk 5698: u3 says 2.1 at 4051 ms, and a write of term 1 at u1 is
        acknowledged at 4052 ms.
        """
        driver = support.Driver().ready(names=('u1', 'u2', 'u3', 'u4'))
        key, _ = driver.submit(verb=WRITE)
        connection = driver.running(key)
        held = Place(1, 6)
        driver.reply(connection, support.ok('signed', place=held))
        newer = {'received': Place(2, 1), 'term': 2}
        test_isolation.run_for(driver, 40, 'u3', **newer)
        test_isolation.run_for(driver, 100, 'u2', 'u4', received=held)
        outcome = support.answers(driver.outs).get(key)
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_claim_that_is_refuted(self):
        """The entry was late: who is named there follows the primary."""
        driver = self.contested()
        driver.tick(400)
        driver.answer_leadership_checks()
        self.assertIsInstance(write(driver, 'u2', 'u3'), outcomes.Done)

    def test_primary_that_went_dark_contests_nothing(self):
        """It took its last transaction before its successor led.

        What would be wrong: no save for the seconds until its entry lapses.
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
        said = {'received': Place(2, 6), 'term': 2, 'held_term': 0}
        proof_support.answer_status_queries(driver, 'u3', **said)
        connection = driver.running(key)
        place = Place(2, 6)
        driver.reply(connection, support.ok('signed', place=place))
        for _ in range(5):
            driver.tick(20)
            proof_support.answer_status_queries(driver, 'u3', **said)
        outcome = support.answers(driver.outs).get(key)
        self.assertIsInstance(outcome, outcomes.Done)
