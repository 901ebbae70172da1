"""Test that a lost primary is replaced without losing acknowledged writes."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import attempts
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support

LogPosition = support.Place
Role = statements.Role
OrderResult = messages.OrderResult


class LostPrimaryTest(testtools.TestCase):
    """A lost primary is replaced by a replica with all acknowledged writes."""

    def test_highest_replica_is_promoted(self):
        """Pause all replicas and promote the one with the longest log."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        outs = failover_support.answer_control_commands(
            driver, u2=LogPosition(1, 7), u3=LogPosition(1, 9)
        )
        (order,) = support.orders(outs)
        self.assertEqual('u3', order.upstream)
        self.assertGreater(order.token, 100)

    def test_nobody_is_promoted_without_every_answer(self):
        """A silent replica may be the only one that holds a write.

        Guards against losing an acknowledged write in a failover: one replica
        confirms it, the primary is lost, that replica is slow to reply, and
        the other one is promoted.
        """
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        outs = []
        for connection in driver.busy('u2'):
            outs += driver.reply(connection, support.report())
        outs += driver.tick(300)
        self.assertEqual([], support.orders(outs))

    def test_log_below_what_is_acknowledged_is_not_promoted(self):
        """The only replica still listed may have received nothing.

        Guards against losing acknowledged writes (26 in one run) in two
        consecutive failovers: one replica receives nothing for seconds, the
        other is promoted, and the old primary's entry expires. The new
        primary gets no write confirmed, and the replica that received nothing
        is the only one listed and is promoted although its log is too short.
        """
        driver = failover_support.make_lease_holder()
        key, _ = driver.submit(verb=support.Verb.WRITE)
        (writing,) = [c for c in driver.busy('u1') if c.work == key]
        driver.reply(writing, support.ok('s', LogPosition(1, 6)))
        driver.list_upstreams(names=('u1', 'u2'))
        failover_support.lose_primary(driver)
        outs = failover_support.answer_control_commands(
            driver, u2=LogPosition(1, 2)
        )
        outs += driver.tick(300)
        self.assertEqual([], support.orders(outs))

    def test_pause_without_effect_is_repeated(self):
        """A pause needs a term above the newest one, even if that is unseen.

        Guards against losing a write that is acknowledged during a failover:
        nothing was written in the current term yet, so log positions show an
        older one. The pause names a term that is not above the newest, and
        the replica replies but keeps receiving. Not every reply means that
        the replica is paused.
        """
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        outs = []
        for connection in driver.busy():
            if connection.purpose is states.Purpose.CONTROL:
                not_paused = support.report(term=4, held_term=0)
                outs += driver.reply(connection, not_paused)
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

    def test_pause_is_repeated_for_a_term_that_a_demotion_shows(self):
        """Guards against a member that follows the primary of that term."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        driver.state.term = 2
        for name, role in (('u2', Role.REPLICA), ('u3', Role.PRIMARY)):
            for connection in driver.busy(name):
                if connection.purpose is states.Purpose.CONTROL:
                    paused = support.report(role, term=1, held_term=2)
                    driver.reply(connection, paused)
        driver.tick(20)
        driver.answer_leadership_checks(primary='')
        (demoting,) = [
            connection
            for connection in driver.busy('u3')
            if isinstance(connection.commands[0], statements.Demote)
        ]
        driver.reply(demoting, support.report(Role.PRIMARY, term=3))
        driver.tick(20)
        pauses = [
            connection.commands[0].term
            for connection in driver.busy('u2')
            if isinstance(connection.commands[0], statements.Pause)
        ]
        self.assertEqual([4], pauses)

    def test_old_report_is_asked_for_again(self):
        """A paused replica that restarts confirms writes again.

        Guards against losing an acknowledged write in a long failover: one
        replica replies to the pause and restarts, then confirms a write of
        the old primary, which has returned. When the other replica finally
        replies, the choice must not use the first one's outdated report.
        """
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        for connection in driver.busy('u2'):
            driver.reply(
                connection, support.report(received=LogPosition(1, 9))
            )
        driver.tick(240)
        outs = []
        for connection in driver.busy('u3'):
            outs += driver.reply(connection, support.report())
        self.assertEqual([], support.orders(outs))

    def test_order_without_answer_keeps_its_target_and_token(self):
        """An unanswered order may be carried out seconds later.

        Guards against promoting two upstreams one after the other and losing
        the writes that the first acknowledged: an order gets no reply, the
        lease holder orders another upstream with the same token, and the
        first order is carried out after the second.
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
        """Waiting for an order must not need the reports it was based on.

        Guards against a crash of the lease holder during a failover: an order
        gets no reply and the replicas are paused again. One has seen a newer
        term, so all reports are discarded, including that of the chosen
        upstream, to which later reports are compared.
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

    def test_reply_of_a_member_that_is_no_longer_listed(self):
        """A member's entry may expire while a query to it is in progress.

        Guards against a crash of the lease holder during a failover: a
        replica is sent a pause, its entry expires, and it replies that it
        leads by now. It is then no longer found among the listed upstreams.
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

    def test_refused_order_ends_the_promotion_lease(self):
        """A higher token was seen, so another proxy holds the lease."""
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

    def test_returned_primary_is_not_replaced(self):
        """A primary that responds again before the choice stays primary."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        outs = []
        for _ in range(20):
            outs += driver.tick(20)
            for connection in list(driver.state.connections.values()):
                if connection.upstream == 'u1':
                    driver.post(
                        messages.Opened(connection.number, LogPosition(1, 5))
                    )
        outs += driver.tick(20)
        self.assertIsNone(driver.state.promotion)
        self.assertEqual([], support.orders(outs))

    def test_successor_that_is_gone_before_it_leads(self):
        """Another replica is promoted immediately.

        Guards against having no primary for three seconds or more, or
        promoting an empty log: a replica is ordered to lead, its process
        ends, and it is recreated empty under the same name. The order must
        not be awaited or resent until it times out.
        """
        for result in (OrderResult.ACCEPTED, OrderResult.UNANSWERED):
            driver = failover_support.make_lease_holder()
            failover_support.lose_primary(driver)
            (order,) = support.orders(
                failover_support.answer_control_commands(driver)
            )
            recreated = order.upstream
            outs = driver.list_upstreams(
                primary='', revision=2, born_ms={recreated: 99}
            )
            driver.post(
                messages.PromotionOrdered(recreated, order.token, result)
            )
            for _ in range(10):
                driver.open_all()
                outs += driver.tick(20)
                driver.answer_leadership_checks(primary='')
                outs += failover_support.answer_control_commands(
                    driver, **{recreated: LogPosition(0, 0)}
                )
            again = [o for o in support.orders(outs) if o.token != order.token]
            self.assertEqual([], [o for o in again if o.upstream == recreated])
            self.assertEqual(1, len(again))

    def promote_u2(self, driver: support.Driver) -> None:
        """Promote `u2`, whose log is longer than that of `u3`, after `u1`."""
        failover_support.lose_primary(driver)
        places = {'u2': LogPosition(1, 7), 'u3': LogPosition(1, 6)}
        (order,) = support.orders(
            failover_support.answer_control_commands(driver, **places)
        )
        accepted = OrderResult.ACCEPTED
        driver.post(
            messages.PromotionOrdered(order.upstream, order.token, accepted)
        )
        driver.list_upstreams(primary='u2', revision=2)

    def another_leads(self) -> support.Driver:
        """Have `u3` lead while an accepted order of `u2` is carried out."""
        driver = failover_support.make_lease_holder()
        for _ in range(5):
            driver.tick(20)
            driver.answer_leadership_checks()
            failover_support.answer_control_commands(driver)
        self.assertEqual(set(), driver.state.paused)
        failover_support.lose_primary(driver)
        places = {'u2': LogPosition(1, 7), 'u3': LogPosition(1, 6)}
        (order,) = support.orders(
            failover_support.answer_control_commands(driver, **places)
        )
        accepted = OrderResult.ACCEPTED
        driver.post(messages.PromotionOrdered('u2', order.token, accepted))
        driver.list_upstreams(primary='u3', revision=2)
        driver.open_all()
        self.assertEqual('u3', driver.state.primary)
        self.assertIsNone(driver.state.promotion)
        return driver

    def prove(self, driver: support.Driver, for_ms: int = 400) -> list:
        """Have `u3` answer that it leads term 2, and all others that not."""
        driver.state.upstreams['u3'].lead_term = 2
        outs = []
        for _ in range(for_ms // 20):
            driver.open_all()
            outs += driver.tick(20)
            outs += driver.answer_leadership_checks(primary='u3')
            failover_support.answer_control_commands(driver)
        self.assertEqual('u3', driver.state.proven_primary)
        return outs

    def wait_for_effect(self, driver: support.Driver) -> list:
        """Let the time pass within which an accepted order has effect."""
        outs = []
        for _ in range(outstanding_orders.EFFECT_TIMEOUT_MS // 20):
            seen = self.prove(driver, 20)
            outs += seen
            for order in support.orders(seen):
                driver.post(
                    messages.PromotionOrdered(
                        order.upstream, order.token, OrderResult.ACCEPTED
                    )
                )
        self.assertFalse(driver.state.needs_fencing)
        return outs

    def is_any_resumed(self, outs: list) -> bool:
        """Return whether a member is sent a resume."""
        return any(
            isinstance(command, statements.Resume)
            for send in support.sends(outs)
            for command in send.commands
        )

    def test_accepted_order_while_another_leads(self):
        """Guards against an order that is carried out once it is forgotten."""
        driver = self.another_leads()
        token = driver.state.token
        outs = self.prove(driver)
        self.assertFalse(self.is_any_resumed(outs))
        (fencing,) = support.orders(outs)
        self.assertEqual('u3', fencing.upstream)
        self.assertGreater(fencing.token, token)
        accepted = OrderResult.ACCEPTED
        driver.post(messages.PromotionOrdered('u3', fencing.token, accepted))
        self.assertFalse(self.is_any_resumed(self.prove(driver)))
        self.assertTrue(self.is_any_resumed(self.wait_for_effect(driver)))

    def write(self, driver: support.Driver) -> None:
        """Confirm a write of `u3`, which `u1` holds."""
        self.key, _ = driver.submit(verb=support.Verb.WRITE)
        place = LogPosition(2, 7)
        driver.reply(driver.running(self.key), support.ok('s', place))
        report = {'received': place, 'term': 2, 'held_term': 0}
        proof_support.answer_status_queries(driver, 'u1', **report)

    def test_write_of_another_while_the_order_is_carried_out(self):
        """Guards against acknowledging what the ordered member lacks."""
        driver = self.another_leads()
        self.prove(driver)
        self.write(driver)
        self.assertNotIn(self.key, support.answers(driver.outs))

    def test_write_of_another_once_the_order_is_fenced_off(self):
        """Guards against a primary whose writes are not acknowledged."""
        driver = self.another_leads()
        (fencing,) = support.orders(self.prove(driver))
        accepted = OrderResult.ACCEPTED
        driver.post(messages.PromotionOrdered('u3', fencing.token, accepted))
        self.wait_for_effect(driver)
        self.write(driver)
        outs = []
        for _ in range(20):
            for out in driver.tick(20):
                if isinstance(out, messages.QueryFence):
                    asked_ms = driver.now_ms
                    (checked,) = driver.post(messages.CheckFence(5))
                    self.assertFalse(checked.is_needed)
                    driver.now_ms += 1
                    outs += driver.post(
                        messages.FenceReleased(asked_ms, checked.term)
                    )
        self.assertIsInstance(
            support.answers(driver.outs)[self.key], outcomes.Done
        )

    def test_replaced_primary_returns_after_its_successor_left(self):
        """Guards against its lead where only the list showed the new one."""
        driver = failover_support.make_lease_holder()
        self.promote_u2(driver)
        self.assertEqual('u2', driver.state.primary)
        driver.tick(20)
        driver.list_upstreams(primary='', names=('u1', 'u3'), revision=3)
        for _ in range(30):
            driver.tick(20)
            driver.open_all()
            for connection in driver.busy('u1'):
                if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
                    driver.reply(connection, support.ok(), support.ok())
        self.assertGreater(
            driver.state.upstreams['u1'].begin_accepted_sent_ms, 0
        )
        self.assertNotEqual('u1', driver.state.primary)

    def test_members_that_report_the_new_term_first(self):
        """Guards against a new primary that is taken for a replaced one."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        (order,) = support.orders(
            failover_support.answer_control_commands(driver)
        )
        driver.post(
            messages.PromotionOrdered(
                order.upstream, order.token, OrderResult.ACCEPTED
            )
        )
        for _ in range(20):
            driver.tick(20)
            driver.answer_leadership_checks(primary='')
            for connection in driver.busy():
                if connection.purpose is states.Purpose.CONTROL:
                    began = support.report(term=2, held_term=0)
                    driver.reply(connection, began)
        new = order.upstream
        driver.list_upstreams(primary=new, revision=2)
        driver.state.upstreams[new].lead_term = 2
        for _ in range(10):
            driver.tick(20)
            driver.answer_leadership_checks(primary=new)
        self.assertEqual(2, driver.state.term)
        self.assertEqual(new, driver.state.proven_primary)

    def choose_after_u2(
        self, driver: support.Driver, **places: LogPosition
    ) -> str:
        """Return the choice after `u2`, demoted because its writes hang."""
        attempt = attempts.Attempt('u2', 'no replica follows it', 0, 3, 300)
        attempt.unconfirmed = True
        for name, place in {'u1': LogPosition(0, 0), **places}.items():
            report = support.report(received=place, term=2).report
            attempts.record_report(attempt, driver.now_ms, name, report)
        return attempts.choose_primary(driver.state, driver.now_ms, attempt)

    def test_initial_entries_of_a_primary_are_not_dropped(self):
        """They may have been acknowledged under the previous primary.

        Guards against losing an acknowledged write in the second of two
        promotions (random walk 5549): a primary gets a write confirmed by one
        replica and is lost, and that replica succeeds it. The other replica
        receives nothing, so the new primary counts as lost and is demoted.
        Its entries beyond the other log must not all count as unconfirmed.
        In the walk u2 was ordered at 1.7 at 3970 ms, with u3 at 1.6, u2 was
        demoted at 4134 ms, and u3 was ordered at 1.6 at 4143 ms.
        """
        driver = failover_support.make_lease_holder()
        self.promote_u2(driver)
        self.assertIsNone(driver.state.promotion)
        chosen = self.choose_after_u2(
            driver, u2=LogPosition(1, 7), u3=LogPosition(1, 6)
        )
        self.assertEqual('u2', chosen)

    def test_log_tail_of_a_primary_with_unknown_start(self):
        """The proxy has the demoted primary's term only from the list.

        Guards against the same loss as the test above, if the promotion lease
        changes hands before the second promotion.
        """
        driver = support.Driver()
        driver.list_upstreams(primary='u2')
        driver.open_all()
        chosen = self.choose_after_u2(
            driver, u2=LogPosition(1, 7), u3=LogPosition(1, 6)
        )
        self.assertEqual('u2', chosen)

    def test_unconfirmed_tail_of_a_primary_that_was_followed(self):
        """A member with an entry of its term holds all its initial entries."""
        driver = support.Driver()
        driver.list_upstreams(primary='u2')
        driver.open_all()
        chosen = self.choose_after_u2(
            driver, u2=LogPosition(2, 9), u3=LogPosition(2, 8)
        )
        self.assertEqual('u3', chosen)
