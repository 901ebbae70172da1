"""Replace a leaving primary without a stop of writes."""

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous import position_records
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_isolation

Place = support.Place
OrderResult = messages.OrderResult


class HandOverTest(testtools.TestCase):
    """A primary that leaves is replaced without a stop of writes."""

    def leaving(self) -> support.Driver:
        """Return a holder whose primary has just reported that it leaves."""
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(leaving='u1', revision=2)
        driver.tick(20)
        return driver

    def test_successor_is_not_paused(self):
        """Writes go on: the successor confirms them."""
        driver = self.leaving()
        heir = driver.state.promotion.successor
        self.assertEqual(
            {'u2', 'u3'} - {heir},
            failover_support.command_targets(driver, statements.Pause),
        )

    def test_newcomer_is_paused_until_the_successor_leads(self):
        """A replica that comes meanwhile confirms writes as well.

        Symptom: an acknowledged write is gone after a hand-over. Sequence:
        the successor is ordered to lead; a new replica comes and confirms a
        write of the old primary; the successor leads before it has that.
        Cause: pausing only those that were there when the order went out.
        """
        driver = self.leaving()
        (order,) = support.orders(
            failover_support.answer_control_commands(driver)
        )
        accepted = OrderResult.ACCEPTED
        driver.post(
            messages.PromotionOrdered(order.upstream, order.token, accepted)
        )
        names = ('u1', 'u2', 'u3', 'u4')
        driver.list_upstreams(names=names, leaving='u1')
        driver.open_all()
        driver.tick(40)
        self.assertIn(
            'u4', failover_support.command_targets(driver, statements.Pause)
        )

    def test_newcomer_is_paused_the_moment_it_is_reached(self):
        """Each millisecond that it is not paused may lose a write.

        Symptom: an acknowledged write is gone after a failover. Sequence: a
        promotion is under way; a replica comes and confirms a write 40 ms
        after it was listed. Cause: dialling it at once, but pausing it only
        at the next tick, or the one after.
        """
        driver = self.leaving()
        failover_support.answer_control_commands(driver)
        names = ('u1', 'u2', 'u3', 'u4')
        outs = driver.list_upstreams(names=names, leaving='u1')
        dials = [
            out.connection
            for out in outs
            if isinstance(out, messages.Open) and out.upstream == 'u4'
        ]
        driver.post(messages.Opened(dials[0], Place(1, 5)))
        self.assertIn(
            'u4', failover_support.command_targets(driver, statements.Pause)
        )

    def test_closed_member_is_asked_on_the_dial_that_was_for_it(self):
        """A member that leaves is asked although it gets no more work.

        Symptom: a hand-over that does not end; the primary ends first, and
        its group takes no writes for seconds. Sequence: the idle connections
        to a leaving replica are closed; it is dialled to be paused; a guard
        goes out on the new connection, and that is closed after it; the
        replica counts as asked and is dialled again 200 ms later, over and
        over. Cause: taking a dial for a question, and closing a connection
        that is needed.
        """
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(leaving='u3', revision=2)
        driver.tick(20)
        paused = set()
        for _ in range(40):
            for connection in list(driver.state.connections.values()):
                if connection.upstream == 'u1':
                    driver.close(connection)
                elif connection.phase is states.Phase.OPENING:
                    opened = messages.Opened(connection.number, Place(1, 5))
                    driver.post(opened)
            driver.tick(20)
            paused |= failover_support.command_targets(
                driver, statements.Pause
            )
            driver.answer_leadership_checks(primary='')
        self.assertIn('u3', paused)

    def test_successor_catches_up_first(self):
        """The order waits until the successor holds what others confirmed."""
        driver = self.leaving()
        heir = driver.state.promotion.successor
        other = ({'u2', 'u3'} - {heir}).pop()
        outs = failover_support.answer_control_commands(
            driver, **{heir: Place(1, 7), other: Place(1, 8)}
        )
        self.assertEqual([], support.orders(outs))
        driver.tick(40)
        outs = failover_support.answer_control_commands(
            driver, **{heir: Place(1, 8), other: Place(1, 8)}
        )
        (order,) = support.orders(outs)
        self.assertEqual(heir, order.upstream)

    def test_heir_is_one_that_is_reached(self):
        """A longer log is of no use where it cannot be asked.

        Symptom: no saves for two seconds while a primary leaves. Sequence:
        a primary is cut off and replaced by one that leaves; its log is the
        longest, so it is to follow again; the hand-over waits for it, and the
        primary is demoted for that in vain. Cause: choosing by the log alone.
        Proof, from the log: 32.735 s the hand-over begins, the heir is the
        one that was lost at 32.400 s; 38.030 s another is ordered.
        """
        driver = failover_support.make_lease_holder()
        driver.state.upstreams['u3'].place = Place(1, 9)
        test_isolation.run_for(driver, 400, 'u1', 'u2')
        driver.list_upstreams(leaving='u1', revision=2)
        driver.tick(20)
        self.assertEqual('u2', driver.state.promotion.successor)

    def test_heir_that_is_gone(self):
        """Another is found; whoever bears its name now is another.

        Symptom: `KeyError` in the middle of a hand-over, and a group that
        begins anew. Sequence: the heir's entry lapses, or it begins again,
        while the others are paused. Cause: the heir was looked up among those
        that had answered. Proof: walk 5618, on the way to these changes.
        """
        for born in ({}, {'u2': 99, 'u3': 99}):
            driver = self.leaving()
            heir = driver.state.promotion.successor
            names = ('u1', 'u2', 'u3') if born else ('u1', 'u2', 'u3', 'u4')
            names = tuple(n for n in names if born or n != heir)
            outs = driver.list_upstreams(
                names=names, leaving='u1', revision=3, born_ms=born
            )
            ended = support.decisions(outs, 'promotion ended')
            hows = [inputs['how'] for inputs in ended]
            self.assertEqual(['lost meanwhile'], hows)
            self.assertEqual([], support.orders(outs))

    def test_heir_holds_what_the_primary_began_with(self):
        """Nobody but the primary may hold that, if it was just promoted.

        Symptom: acknowledged writes are gone after a hand-over. Sequence: a
        replica that confirmed them alone is promoted; the others receive
        nothing; it leaves; they are paused and report less, the heir as much
        as they, and it is ordered. Cause: the heir had to hold what the
        paused ones report, and they hold all that is acknowledged only once
        they have followed the primary. Proof, from walk 5956: 4473 ms u2 is
        ordered at 1.7, u3 and u4 at 0.0; 5311 ms u4 is ordered as the heir at
        0.0.
        """
        driver = self.leaving()
        driver.state.primary_start = position_records.PrimaryStart(
            'u1', Place(1, 7)
        )
        outs = failover_support.answer_control_commands(driver)
        driver.answer_leadership_checks()
        driver.tick(40)
        outs += failover_support.answer_control_commands(driver)
        self.assertEqual([], support.orders(outs))
        places = {'u2': Place(1, 7), 'u3': Place(1, 7)}
        for _ in range(10):
            outs += driver.tick(20)
            driver.answer_leadership_checks()
            outs += failover_support.answer_control_commands(driver, **places)
        self.assertEqual(1, len(support.orders(outs)))

    def test_heir_holds_what_is_acknowledged(self):
        """As above, where this proxy acknowledged it itself."""
        driver = self.leaving()
        driver.state.acknowledged = Place(1, 7)
        outs = failover_support.answer_control_commands(driver)
        driver.tick(40)
        outs += failover_support.answer_control_commands(driver)
        self.assertEqual([], support.orders(outs))

    def blocked(self) -> support.Driver:
        """Have one member stay silent until the primary is demoted."""
        driver = self.leaving()
        heir = driver.state.promotion.successor
        for _ in range(50):
            driver.tick(20)
            driver.answer_leadership_checks()
            for connection in driver.busy(heir):
                if connection.purpose is states.Purpose.CONTROL:
                    driver.reply(connection, support.report(held_term=0))
        return driver

    def test_silent_member_does_not_keep_the_primary(self):
        """A leaving primary is demoted if a member cannot be asked.

        Symptom: a group takes no saves for four seconds in the middle of a
        release. Sequence: the primary leaves; a replica is cut off from the
        holder of the duty and so cannot be paused; the hand-over waits for
        it until the primary has ended. Cause: no other way to know that the
        heir holds all that the replica may have confirmed.
        """
        driver = self.blocked()
        heir = driver.state.promotion.successor
        (demoting,) = [
            connection
            for connection in driver.busy('u1')
            if isinstance(connection.commands[0], statements.Demote)
        ]
        outs = driver.reply(demoting, support.report(received=Place(1, 5)))
        for connection in driver.busy(heir):
            if connection.purpose is states.Purpose.CONTROL:
                outs += driver.reply(connection, support.report())
        (order,) = support.orders(outs)
        self.assertEqual(heir, order.upstream)

    def test_demoted_primary_leads_again_if_its_heir_lacks_something(self):
        """Nobody else is known to hold all that was acknowledged."""
        driver = self.blocked()
        heir = driver.state.promotion.successor
        ahead = support.report(received=Place(1, 9))
        behind = support.report(received=Place(1, 5), held_term=0)
        not_leading = support.refused(statements.Code.READ_ONLY)
        outs = []
        for _ in range(60):
            for connection in driver.busy():
                if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
                    outs += driver.reply(connection, not_leading, support.ok())
                elif connection.upstream == 'u1':
                    outs += driver.reply(connection, ahead)
                elif connection.upstream == heir:
                    outs += driver.reply(connection, behind)
            outs += driver.tick(20)
        self.assertEqual({'u1'}, {o.upstream for o in support.orders(outs)})

    def test_leaving_primary_gets_no_copy_late(self):
        """A slow read is not tried there a second time either.

        Symptom: a request reaches an upstream 9.3 s after it said that it
        leaves. Sequence: a primary is lost; a leaving upstream holds most and
        is promoted, although it gets no new work; its connections are open
        for the promotion; a read that hangs at the lost one is tried there.
        Cause: only new work looked at who is closed to it.
        """
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(leaving='u2', revision=2)
        driver.submit()
        for _ in range(25):
            driver.tick(20)
            driver.answer_leadership_checks(primary='')
            for connection in list(driver.state.connections.values()):
                opening = connection.phase is states.Phase.OPENING
                if opening and connection.upstream != 'u1':
                    opened = messages.Opened(connection.number, Place(1, 9))
                    driver.post(opened)
            said = failover_support.answer_control_commands(
                driver, u2=Place(1, 9)
            )
            for order in support.orders(said):
                driver.post(
                    messages.PromotionOrdered(
                        order.upstream, order.token, OrderResult.ACCEPTED
                    )
                )
        outs = driver.list_upstreams(
            primary='u2', leaving='u2', leaving_for_ms=9000, revision=3
        )
        self.assertEqual('u2', driver.state.primary)
        at_u2 = {
            connection.number
            for connection in driver.state.connections.values()
            if connection.upstream == 'u2'
        }
        self.assertTrue(at_u2)
        outs += driver.tick(20)
        runs = [
            send
            for send in support.sends(outs)
            if send.connection in at_u2
            and isinstance(send.commands[-1], statements.Run)
        ]
        self.assertEqual([], runs)

    def test_leaving_primary_gets_nothing_late(self):
        """Well before its end it is closed to new work."""
        driver = self.leaving()
        driver.tick(5000)
        _, outs = driver.submit(verb=support.Verb.WRITE)
        to_primary = [
            out
            for out in support.sends(outs)
            if driver.state.connections[out.connection].upstream == 'u1'
        ]
        self.assertEqual([], to_primary)
