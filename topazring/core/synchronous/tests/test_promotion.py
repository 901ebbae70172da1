"""Replace a lost primary without losing what was acknowledged."""

import testtools

from topazring.core.synchronous import attempts
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support

Place = support.Place
Role = statements.Role
OrderResult = messages.OrderResult


class LostPrimaryTest(testtools.TestCase):
    """A primary that is lost is replaced by the right replica."""

    def test_highest_replica_is_promoted(self):
        """Pause all replicas, look, promote the one that received most."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        outs = failover_support.answer_control_commands(
            driver, u2=Place(1, 7), u3=Place(1, 9)
        )
        (order,) = support.orders(outs)
        self.assertEqual('u3', order.upstream)
        self.assertGreater(order.token, 100)

    def test_nobody_is_promoted_without_every_answer(self):
        """A silent replica may be the only one that holds a write.

        Symptom: an acknowledged save is gone after a failover. Sequence: one
        replica confirms it, the primary is lost, that replica is slow to
        answer, the other is promoted. Cause: choosing among those that
        answered.
        """
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        outs = []
        for connection in driver.busy('u2'):
            outs += driver.reply(connection, support.report())
        outs += driver.tick(300)
        self.assertEqual([], support.orders(outs))

    def test_log_below_what_is_acknowledged_is_not_promoted(self):
        """The last replica that is listed may have received nothing.

        Symptom: 26 acknowledged saves gone after two failovers in a row.
        Sequence: one replica receives nothing for seconds; the other is
        promoted; the old primary's entry lapses; the new primary gets no
        write confirmed; the deaf replica is all that is listed and is
        promoted. Cause: choosing the best without asking whether it is good
        enough.
        """
        driver = failover_support.make_lease_holder()
        key, _ = driver.submit(verb=support.Verb.WRITE)
        (writing,) = [c for c in driver.busy('u1') if c.work == key]
        driver.reply(writing, support.ok('s', Place(1, 6)))
        driver.list_upstreams(names=('u1', 'u2'))
        failover_support.lose_primary(driver)
        outs = failover_support.answer_control_commands(driver, u2=Place(1, 2))
        outs += driver.tick(300)
        self.assertEqual([], support.orders(outs))

    def test_pause_that_paused_nobody_is_repeated(self):
        """A pause needs a term above the newest, also an unseen one.

        Symptom: a write is acknowledged during a failover and gone after it.
        Sequence: nothing was written in the present term yet, so the log's
        places show an older one; the pause names a term that is not above
        the newest; the replica answers but goes on receiving. Cause: taking
        any answer for a pause.
        """
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        outs = []
        for connection in driver.busy():
            if connection.purpose is states.Purpose.CONTROL:
                not_held = support.report(term=4, held_term=0)
                outs += driver.reply(connection, not_held)
        outs += driver.tick(60)
        self.assertEqual([], support.orders(outs))
        pauses = [
            command
            for send in support.sends(outs)
            for command in send.commands
            if isinstance(command, statements.Pause)
        ]
        self.assertTrue(pauses)
        self.assertEqual({5}, {pause.term for pause in pauses})

    def test_old_report_is_asked_for_again(self):
        """A paused replica that restarts confirms writes again.

        Symptom: an acknowledged write is gone after a failover that took
        long. Sequence: one replica answers the pause and restarts; the old
        primary is back and gets a write confirmed by it; the other replica
        answers at last; the first one's old report decides. Cause: a report
        outlives the pause that it reports.
        """
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        for connection in driver.busy('u2'):
            driver.reply(connection, support.report(received=Place(1, 9)))
        driver.tick(240)
        outs = []
        for connection in driver.busy('u3'):
            outs += driver.reply(connection, support.report())
        self.assertEqual([], support.orders(outs))

    def test_order_without_answer_keeps_its_target_and_token(self):
        """An order may be carried out seconds later.

        Symptom: two upstreams are promoted one after the other, and what the
        first acknowledged is lost. Sequence: an order gets no answer; the
        holder orders another upstream; the first order is carried out after
        the second. Cause: a second target under the same token.
        """
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        (first,) = support.orders(
            failover_support.answer_control_commands(driver)
        )
        outs = driver.post(
            messages.PromotionOrdered(
                first.upstream, first.token, OrderResult.UNANSWERED
            )
        )
        outs += driver.tick(4000)
        self.assertEqual({first}, set(support.orders(outs)))

    def test_term_that_rises_while_an_order_is_under_way(self):
        """Standing by must not need the reports that led to the order.

        Symptom: the holder's process ends in the middle of a failover.
        Sequence: an order gets no answer; the replicas are paused again; one
        has seen a newer term, so all reports are thrown away and everyone is
        asked anew. Cause: comparing with the report of the chosen one, which
        is gone by then.
        """
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        (order,) = support.orders(
            failover_support.answer_control_commands(driver)
        )
        unanswered = OrderResult.UNANSWERED
        driver.post(
            messages.PromotionOrdered(order.upstream, order.token, unanswered)
        )
        driver.tick(240)
        for connection in driver.busy():
            if connection.purpose is states.Purpose.CONTROL:
                newer = support.report(term=4, held_term=0)
                driver.reply(connection, newer)
        driver.tick(20)
        self.assertEqual(order.upstream, driver.state.promotion.chosen)

    def test_answer_of_a_member_that_is_listed_no_more(self):
        """A member's entry may lapse while it is being asked.

        Symptom: the holder's process ends in the middle of a failover.
        Sequence: a replica is told to pause; its entry lapses; it answers
        that it leads by now. Cause: looking it up among those listed.
        """
        for role in Role:
            driver = failover_support.make_lease_holder()
            failover_support.lose_primary(driver)
            driver.list_upstreams(names=('u1', 'u2'), revision=2)
            for connection in driver.busy('u3'):
                driver.reply(connection, support.report(role=role))
            driver.open_all()
            left = {c.upstream for c in driver.state.connections.values()}
            self.assertNotIn('u3', left)

    def test_refused_order_ends_the_duty(self):
        """A higher token was seen, so another proxy holds the duty."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        (order,) = support.orders(
            failover_support.answer_control_commands(driver)
        )
        refused = OrderResult.REFUSED
        driver.post(
            messages.PromotionOrdered(order.upstream, order.token, refused)
        )
        outs = driver.tick(2000)
        self.assertFalse(driver.state.holds_promotion_lease)
        self.assertEqual([], support.orders(outs))

    def test_primary_that_is_back_is_left_alone(self):
        """Silence that ended before anyone was chosen replaces nobody."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        outs = []
        for _ in range(20):
            outs += driver.tick(20)
            for connection in list(driver.state.connections.values()):
                if connection.upstream == 'u1':
                    driver.post(
                        messages.Opened(connection.number, Place(1, 5))
                    )
        outs += driver.tick(20)
        self.assertIsNone(driver.state.promotion)
        self.assertEqual([], support.orders(outs))

    def test_successor_that_is_gone_before_it_leads(self):
        """Another is promoted at once.

        Symptom: no primary for three seconds and more; or an empty log leads.
        Sequence: a replica is ordered to lead, and its process ends; it
        begins again under its name, empty. Cause: the order was stood by, and
        repeated if it had no answer, until its time was over.
        """
        for result in (OrderResult.ACCEPTED, OrderResult.UNANSWERED):
            driver = failover_support.make_lease_holder()
            failover_support.lose_primary(driver)
            (order,) = support.orders(
                failover_support.answer_control_commands(driver)
            )
            gone = order.upstream
            outs = driver.list_upstreams(
                primary='', revision=2, born_ms={gone: 99}
            )
            driver.post(messages.PromotionOrdered(gone, order.token, result))
            for _ in range(10):
                driver.open_all()
                outs += driver.tick(20)
                driver.answer_leadership_checks(primary='')
                outs += failover_support.answer_control_commands(
                    driver, **{gone: Place(0, 0)}
                )
            again = [o for o in support.orders(outs) if o.token != order.token]
            self.assertEqual([], [o for o in again if o.upstream == gone])
            self.assertEqual(1, len(again))

    def succeeded(self, driver: support.Driver) -> None:
        """Have `u2`, whose log is longer than that of `u3`, follow `u1`."""
        failover_support.lose_primary(driver)
        places = {'u2': Place(1, 7), 'u3': Place(1, 6)}
        (order,) = support.orders(
            failover_support.answer_control_commands(driver, **places)
        )
        accepted = OrderResult.ACCEPTED
        driver.post(
            messages.PromotionOrdered(order.upstream, order.token, accepted)
        )
        driver.list_upstreams(primary='u2', revision=2)

    def chosen(self, driver: support.Driver, **places: Place) -> str:
        """Return who follows `u2`, demoted, whose writes hang."""
        attempt = attempts.Attempt('u2', 'no replica follows it', 0, 3, 300)
        attempt.unconfirmed = True
        for name, place in {'u1': Place(0, 0), **places}.items():
            report = support.report(received=place, term=2).report
            attempts.record_report(attempt, driver.now_ms, name, report)
        return attempts.choose_primary(driver.state, driver.now_ms, attempt)

    def test_what_a_primary_began_with_is_not_dropped(self):
        """It may have been acknowledged under the primary before it.

        Symptom: an acknowledged write is gone after the second of two
        promotions. Sequence: a primary has a write confirmed by one replica
        and is lost; that replica follows it; the other receives nothing, so
        the new primary counts as lost as well; it is demoted, and the other
        is promoted. Cause: all that a demoted primary holds beyond the others
        was taken for unconfirmed. Proof, from walk 5549: 3970 ms u2 is
        ordered at 1.7, u3 is at 1.6; 4134 ms u2 is demoted; 4143 ms u3 is
        ordered at 1.6, with u2 at 1.7.
        """
        driver = failover_support.make_lease_holder()
        self.succeeded(driver)
        self.assertIsNone(driver.state.promotion)
        chosen = self.chosen(driver, u2=Place(1, 7), u3=Place(1, 6))
        self.assertEqual('u2', chosen)

    def test_tail_of_a_primary_of_which_nothing_is_known(self):
        """This proxy saw no more of its lead than the list tells.

        Symptom, sequence: as above, but the duty changes hands before the
        second promotion.
        """
        driver = support.Driver()
        driver.list_upstreams(primary='u2')
        driver.open_all()
        chosen = self.chosen(driver, u2=Place(1, 7), u3=Place(1, 6))
        self.assertEqual('u2', chosen)

    def test_unconfirmed_tail_of_a_primary_that_was_followed(self):
        """Who holds an entry of its term holds all that it began with."""
        driver = support.Driver()
        driver.list_upstreams(primary='u2')
        driver.open_all()
        chosen = self.chosen(driver, u2=Place(2, 9), u3=Place(2, 8))
        self.assertEqual('u3', chosen)
