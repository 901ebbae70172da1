"""Test promotions that depend on what all proxies have acknowledged."""

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

LogPosition = support.Place
WITH = test_confirmations.WITH
WITHOUT = test_confirmations.WITHOUT
WRITE = support.Verb.WRITE
# The log of the remaining replica.
LOG_END = LogPosition(1, 5)


def queries(outs: list) -> list[messages.QueryAcknowledgements]:
    """Return the queries for acknowledgements in the output."""
    kind = messages.QueryAcknowledgements
    return [out for out in outs if isinstance(out, kind)]


class PromoterTest(testtools.TestCase):
    """A replica and the primary are lost; the other replica remains."""

    def setUp(self):
        """Lose both members at the same time."""
        super().setUp()
        self.driver = failover_support.make_lease_holder()
        self.driver.list_upstreams(names=('u1', 'u2'), revision=2)
        self.lost_ms = self.driver.now_ms
        outs = failover_support.lose_primary(self.driver)
        outs += failover_support.answer_control_commands(self.driver)
        self.assertEqual([], support.orders(outs))
        (self.query,) = queries(outs)

    def report(self, **more) -> list:
        """Report what the other proxies acknowledged."""
        values = {
            'token': self.query.token,
            'complete': True,
            'position': LOG_END,
            'covered_since_ms': 0,
            'term': self.query.term,
            **more,
        }
        return self.driver.post(messages.AcknowledgementsReported(**values))

    def test_replica_that_holds_all_acknowledged_writes(self):
        """Guards against a group without a primary until members return."""
        self.assertEqual(LOG_END, self.query.position)
        (order,) = support.orders(self.report())
        self.assertEqual('u2', order.upstream)

    def test_proxy_that_does_not_answer(self):
        """Guards against a loss of what it acknowledges out of reach."""
        self.assertEqual([], support.orders(self.report(complete=False)))

    def test_proxy_that_acknowledged_more(self):
        """Guards against a loss of what only the lost replica held."""
        outs = self.report(position=LogPosition(1, 6))
        self.assertEqual([], support.orders(outs))

    def test_own_acknowledgement_beyond_the_log(self):
        """Guards against a loss of what this proxy itself acknowledged."""
        self.driver.state.acknowledged_until = LogPosition(1, 6)
        self.assertEqual([], support.orders(self.report()))

    def test_proxy_that_ended_meanwhile(self):
        """Guards against a loss of what it acknowledged before it ended."""
        outs = self.report(covered_since_ms=self.lost_ms + 1)
        self.assertEqual([], support.orders(outs))

    def test_proxy_that_ended_while_another_queried_the_primary(self):
        """Guards against waiting where another proxy knows enough."""
        (order,) = support.orders(
            self.report(
                covered_since_ms=self.lost_ms + 1,
                complete_until_ms=self.lost_ms + 2,
            )
        )
        self.assertEqual('u2', order.upstream)

    def test_report_of_an_earlier_attempt(self):
        """Guards against a report that a released fence made obsolete."""
        outs = self.report(token=self.query.token - 1)
        self.assertEqual([], support.orders(outs))

    def test_attempts_in_a_row(self):
        """Guards against querying all proxies more than every two seconds."""
        queried_ms = []
        for _ in range(15):
            outs = failover_support.lose_primary(self.driver)
            outs += failover_support.answer_control_commands(self.driver)
            queried_ms += [self.driver.now_ms for _ in queries(outs)]
        first_ms, second_ms, *_ = queried_ms
        self.assertGreaterEqual(second_ms - first_ms, 2000)

    def test_pause_of_the_process(self):
        """Guards against forgetting what the primary reported before."""
        self.driver.state.samples.clear()
        self.assertEqual(1, len(support.orders(self.report())))

    def wait(self, *terms: int) -> list:
        """Let time pass; the replica has seen these terms when paused."""
        outs = []
        seen = list(terms)
        for _ in range(10):
            outs += self.driver.tick(20)
            outs += self.driver.answer_leadership_checks(primary='')
            for connection in self.driver.busy('u2'):
                if connection.purpose is states.Purpose.CONTROL and seen:
                    newer = support.report(term=seen.pop(), held_term=0)
                    outs += self.driver.reply(connection, newer)
            if not seen and terms:
                outs += failover_support.answer_control_commands(self.driver)
        return outs

    def test_term_that_is_raised_after_the_report(self):
        """Guards against proxies that acknowledge writes of that term."""
        outs = self.wait()
        outs += self.report()
        outs += self.wait(2)
        self.assertEqual([], support.orders(outs))
        (query,) = queries(outs)
        self.assertEqual(3, query.term)

    def test_term_that_is_raised_before_the_report(self):
        """Guards against a report that was still under way."""
        outs = self.wait(2)
        outs += self.report()
        self.assertEqual([], support.orders(outs))
        (query,) = queries(outs)
        (order,) = support.orders(self.report(term=query.term))
        self.assertEqual('u2', order.upstream)


class LateAcceptanceTest(testtools.TestCase):
    """A primary had written for a while when this proxy saw that it leads.

    All that its log held then counts as acknowledged; replicas may lack some.
    """

    def setUp(self):
        """Lose the primary."""
        super().setUp()
        self.driver = failover_support.make_lease_holder()
        self.driver.state.acknowledged = LogPosition(1, 9)
        outs = failover_support.lose_primary(self.driver)
        outs += failover_support.answer_control_commands(self.driver)
        self.assertEqual([], support.orders(outs))
        (self.query,) = queries(outs)

    def orders_after(self, **report) -> list[messages.OrderPromotion]:
        """Return the orders after all other proxies have reported."""
        reported = messages.AcknowledgementsReported(
            self.query.token, term=self.query.term, **report
        )
        return support.orders(self.driver.post(reported))

    def test_nothing_more_was_acknowledged(self):
        """Guards against no primary for as long as the lost one is down."""
        (order,) = self.orders_after(complete=True, position=LOG_END)
        self.assertIn(order.upstream, ('u2', 'u3'))

    def test_more_was_acknowledged(self):
        """Guards against promoting a log that lacks it."""
        acknowledged = LogPosition(1, 6)
        orders = self.orders_after(complete=True, position=acknowledged)
        self.assertEqual([], orders)

    def test_proxy_that_does_not_answer(self):
        """Guards against the same where a proxy cannot tell."""
        self.assertEqual([], self.orders_after(complete=False))

    def test_proxy_that_ended_since(self):
        """Guards against the same where a proxy's word is lost with it."""
        orders = self.orders_after(
            complete=True,
            position=LOG_END,
            covered_since_ms=self.driver.now_ms,
        )
        self.assertEqual([], orders)


class AllLeftTest(testtools.TestCase):
    """The primary and a replica announced to leave, and are gone."""

    def test_new_replica_that_holds_all_acknowledged_writes(self):
        """Guards against a group without a primary after a release."""
        driver = failover_support.make_lease_holder(leaving='u1')
        driver.list_upstreams(names=('u1', 'u2'), leaving='u1', revision=2)
        driver.list_upstreams(primary='', names=('u2',), revision=3)
        outs = []
        for _ in range(20):
            outs += driver.tick(20)
            driver.answer_leadership_checks(primary='')
            outs += failover_support.answer_control_commands(driver)
        self.assertEqual([], support.orders(outs))
        (query,) = queries(outs)
        report = messages.AcknowledgementsReported(
            query.token, True, LOG_END, 0, 0, query.term
        )
        outs = driver.post(report)
        for _ in range(12):
            outs += driver.tick(20)
            driver.answer_leadership_checks(primary='')
            outs += failover_support.answer_control_commands(driver)
        (order,) = support.orders(outs)
        self.assertEqual('u2', order.upstream)


class NewPromoterTest(testtools.TestCase):
    """A proxy starts while writes hang at the primary, which then crashes."""

    def order_after(self, **known) -> list[messages.OrderPromotion]:
        """Return the orders after all others reported 1.5 as acknowledged."""
        driver = support.Driver()
        driver.post(messages.RegistrationSeen(driver.now_ms + 10**9))
        driver.list_upstreams()
        driver.open_all()
        driver.tick(60)
        self.started_ms = driver.now_ms
        for connection in driver.busy('u1'):
            hanging = support.ok(place=LogPosition(1, 9))
            driver.reply(connection, hanging, hanging)
        driver.answer_leadership_checks()
        self.assertEqual('u1', driver.state.proven_primary)
        driver.post(messages.PromotionLeaseSeen(True, 100))
        outs = failover_support.lose_primary(driver)
        # The first order of a new lease holder names the present primary.
        (fencing,) = support.orders(outs)
        self.assertEqual('u1', fencing.upstream)
        accepted = messages.OrderResult.ACCEPTED
        driver.post(messages.PromotionOrdered('u1', fencing.token, accepted))
        outs += failover_support.answer_control_commands(driver)
        (query,) = queries(outs)
        report = messages.AcknowledgementsReported(
            query.token,
            True,
            LOG_END,
            self.started_ms,
            term=query.term,
            **known,
        )
        outs = driver.post(report)
        for _ in range(12):
            outs += driver.tick(20)
            driver.answer_leadership_checks(primary='')
            outs += failover_support.answer_control_commands(driver)
        return support.orders(outs)

    def test_another_proxy_knows_the_log_to_be_complete(self):
        """Guards against waiting for writes that no replica received."""
        orders = self.order_after(complete_until_ms=10**6)
        self.assertNotEqual([], orders)

    def test_no_proxy_knows_it_since_the_start(self):
        """Guards against no primary for as long as the crashed one is down."""
        self.assertNotEqual([], self.order_after(complete_until_ms=0))


class OwnersTest(testtools.TestCase):
    """A promoting proxy fences the other owners of the group."""

    def fenced(self, outs: list) -> list[int]:
        """Return the terms for which the owners were fenced."""
        return [
            out.term for out in outs if isinstance(out, messages.FenceOwners)
        ]

    def test_primary_is_lost(self):
        """Guards against the word of a member that lost its pause."""
        driver = failover_support.make_lease_holder()
        outs = failover_support.lose_primary(driver)
        self.assertEqual([2], self.fenced(outs))

    def test_order_is_sent(self):
        """Guards against an order beside owners that were not fenced."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        outs = failover_support.answer_control_commands(driver)
        kinds = [type(out) for out in outs]
        fenced = kinds.index(messages.FenceUnfencedOwners)
        self.assertLess(fenced, kinds.index(messages.OrderPromotion))

    def test_newer_term_is_seen_meanwhile(self):
        """Guards against owners that acknowledge writes of that term."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        (connection, *_) = [
            each
            for each in driver.busy()
            if isinstance(each.commands[0], statements.Pause)
        ]
        outs = driver.reply(connection, support.report(term=2, held_term=0))
        self.assertEqual([3], self.fenced(outs))

    def test_hand_over(self):
        """Guards against writes that wait while a primary hands over."""
        driver = failover_support.make_lease_holder()
        outs = driver.list_upstreams(leaving='u1', revision=2)
        outs += driver.tick(200)
        self.assertNotEqual('', driver.state.promotion.successor)
        self.assertEqual([], self.fenced(outs))

    def test_promotion_that_is_only_considered(self):
        """Guards against fencing whenever a write hangs for a moment."""
        driver = failover_support.make_lease_holder()
        driver.submit(verb=WRITE)
        outs = []
        for _ in range(35):
            outs += driver.tick(20)
            outs += driver.answer_leadership_checks()
        self.assertTrue(driver.state.promotion.is_query_only)
        self.assertEqual([], self.fenced(outs))


class FencedTest(testtools.TestCase):
    """Another proxy promotes while this one serves writes."""

    def setUp(self):
        """Reach a steady state."""
        super().setUp()
        self.driver = support.Driver().ready()
        self.driver.tick(20)

    def fence(self, term: int = 2) -> messages.AcknowledgementsFenced:
        """Fence this proxy; return its report."""
        outs = self.driver.post(
            messages.FenceAcknowledgements(7, term, WITHOUT)
        )
        (report,) = [
            out
            for out in outs
            if isinstance(out, messages.AcknowledgementsFenced)
        ]
        return report

    def write(self, **more) -> outcomes.Outcome | None:
        """Confirm a write that `u2` holds; return its outcome, if any."""
        key, _ = self.driver.submit(verb=WRITE)
        test_confirmations.confirm(self.driver, key)
        for name in ('u2', *more.get('also', ())):
            report = {'received': WITH, 'term': 1, 'held_term': 0}
            proof_support.answer_status_queries(self.driver, name, **report)
        return support.answers(self.driver.outs).get(key)

    def test_write_before_the_fence(self):
        """Guards against a report that lacks an acknowledged write."""
        self.assertIsInstance(self.write(), outcomes.Done)
        self.assertEqual(WITH, self.fence().position)

    def test_report_when_nothing_was_acknowledged(self):
        """Guards against blocking a promotion for writes never answered."""
        self.assertLess(self.fence().position, WITHOUT)

    def test_age_of_the_report(self):
        """Guards against counting a proxy that has just started."""
        self.assertEqual(
            self.driver.now_ms - 10_000, self.fence().created_ms_ago
        )

    def test_time_until_which_the_log_is_complete(self):
        """Guards against a promoter that lacks the positions of others."""
        report = self.fence()
        self.assertIsNotNone(report.complete_ms_ago)
        self.assertLessEqual(report.complete_ms_ago, 60)

    def test_write_behind_the_fence(self):
        """Guards against acknowledging what was reported as not done."""
        self.fence()
        self.assertIsNone(self.write(also=('u3',)))

    def test_released_fence(self):
        """Guards against callers that wait once nobody is promoted."""
        self.fence()
        self.assertIsNone(self.write())
        self.driver.tick(20)
        outs = self.driver.post(messages.FenceReleased(self.driver.now_ms, 1))
        (outcome,) = support.answers(outs).values()
        self.assertIsInstance(outcome, outcomes.Done)

    def test_release_that_was_asked_for_earlier(self):
        """Guards against a release that precedes the next fence."""
        asked_ms = self.driver.now_ms
        self.driver.tick(20)
        self.fence()
        self.driver.post(messages.FenceReleased(asked_ms, 1))
        self.assertIsNone(self.write())

    def test_release_after_the_promotion(self):
        """Guards against writes of the ended term at its old primary."""
        self.fence()
        self.assertIsNone(self.write(also=('u3',)))
        self.driver.tick(20)
        released = messages.FenceReleased(self.driver.now_ms, 2)
        self.assertEqual({}, support.answers(self.driver.post(released)))
        self.assertIsNone(self.write(also=('u3',)))

    def test_write_of_the_next_term(self):
        """Guards against a fence that outlives the promotion."""
        self.fence()
        self.driver.state.fence_term = 1
        self.assertIsInstance(self.write(), outcomes.Done)

    def test_lease_holder_is_queried_while_a_write_waits(self):
        """Guards against a fence that stays after a promotion was ended."""
        self.fence()
        self.write()
        outs = self.driver.tick(220)
        asked = [out for out in outs if isinstance(out, messages.QueryFence)]
        # At the next tick, and then every 100 ms.
        self.assertEqual(3, len(asked))


class UnlistedTest(testtools.TestCase):
    """A promoting proxy may not see this proxy in the list."""

    def write(self, held_by: tuple[str, ...], **more) -> outcomes.Outcome:
        """Confirm a write held by some members; return its outcome."""
        driver = support.Driver().ready()
        driver.state.registered_until_ms = more.get('until_ms', 10**9)
        driver.state.is_fence_checked = more.get('is_checked', True)
        driver.tick(20)
        key, _ = driver.submit(verb=WRITE)
        test_confirmations.confirm(driver, key)
        for name in held_by:
            report = {'received': WITH, 'term': 1, 'held_term': 0}
            proof_support.answer_status_queries(driver, name, **report)
        return support.answers(driver.outs).get(key)

    def test_expired_entry(self):
        """Guards against a loss of what an unlisted proxy acknowledged."""
        expired = {'until_ms': 0}
        self.assertIsNone(self.write(('u2',), **expired))
        done = self.write(('u2', 'u3'), **expired)
        self.assertIsInstance(done, outcomes.Done)

    def test_proxy_that_started_during_a_promotion(self):
        """Guards against acknowledging after all others were queried."""
        started = {'is_checked': False}
        self.assertIsNone(self.write(('u2',), **started))
        done = self.write(('u2', 'u3'), **started)
        self.assertIsInstance(done, outcomes.Done)


class CheckTest(testtools.TestCase):
    """Another proxy asks whether its fence is still needed."""

    def is_needed(self, driver: support.Driver) -> bool:
        """Return the answer to a check."""
        (checked,) = [
            out
            for out in driver.post(messages.CheckFence(5))
            if isinstance(out, messages.FenceChecked)
        ]
        return checked.is_needed

    def test_no_promotion(self):
        """Guards against a fence that never ends."""
        self.assertFalse(self.is_needed(failover_support.make_lease_holder()))

    def test_term(self):
        """Guards against a release that does not say which term is over."""
        driver = failover_support.make_lease_holder()
        driver.state.term = 3
        (checked,) = driver.post(messages.CheckFence(5))
        self.assertEqual(3, checked.term)

    def test_promotion_under_way(self):
        """Guards against a release before the order is carried out."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        self.assertIsNotNone(driver.state.promotion)
        self.assertTrue(self.is_needed(driver))

    def test_orders_of_an_earlier_holder(self):
        """Guards against a release while such an order may be carried out."""
        driver = support.Driver().ready()
        driver.post(messages.PromotionLeaseSeen(True, 100))
        self.assertTrue(self.is_needed(driver))

    def test_proxy_without_the_lease(self):
        """Guards against a release by a proxy that cannot know."""
        self.assertTrue(self.is_needed(support.Driver().ready()))


class LateReplyTest(testtools.TestCase):
    """A write is confirmed as its primary is replaced."""

    def test_successor_of_an_earlier_term_holds_it(self):
        """Guards against acknowledging it behind the fence of a later one."""
        driver = support.Driver().ready()
        driver.list_upstreams(leaving='u1')
        test_isolation.run_for(driver, 40, 'u1', 'u2', 'u3')
        key, _ = driver.submit(verb=WRITE)
        test_confirmations.confirm(driver, key)
        driver.post(messages.FenceAcknowledgements(7, 3, WITHOUT))
        driver.state.upstreams['u1'].refuted_ms = driver.now_ms
        driver.state.primary = ''
        driver.list_upstreams(primary='u2', leaving='u1', revision=2)
        for _ in range(5):
            driver.tick(20)
            report = {'role': support.Role.PRIMARY, 'term': 2, 'held_term': 0}
            proof_support.answer_status_queries(
                driver, 'u2', received=WITH, **report
            )
        self.assertNotIn(key, support.answers(driver.outs))
