"""A replica that no promotion asks may be the one that confirms a write."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_confirmations
from topazring.core.synchronous.tests import test_isolation
from topazring.core.synchronous.tests import walks

WITH = test_confirmations.WITH
WITHOUT = test_confirmations.WITHOUT
FOUR = test_confirmations.FOUR
# Walks through overlapping releases on which an acknowledged write was lost:
# it hung as the members were paused; nobody was listed who held it; several
# hung during a hand-over.
LOST_WALKS = (20003, 20060, 20129, 21013, 21024, 21303)
STEPS = 400
# What a paused member says that lacks the write, and one that holds it.
PAUSED = {'received': WITHOUT, 'term': 1, 'held_term': 2}
HOLDER = {'received': WITH, 'term': 1, 'held_term': 0}


def play_words(driver: support.Driver, for_ms: int, **words: dict) -> None:
    """Let time pass while members say this, and `u1` leads."""
    for _ in range(for_ms // 20):
        driver.tick(20)
        for name, said in words.items():
            proof_support.answer_status_queries(driver, name, **said)
        test_isolation.answer_queries_of(driver, 'u1')


class NewcomerTest(testtools.TestCase):
    """A replica starts beside the primary before this proxy knows it."""

    def setUp(self):
        """Have a write under way."""
        super().setUp()
        self.driver = support.Driver().ready()
        self.driver.tick(20)
        self.key, _ = self.driver.submit(verb=support.Verb.WRITE)

    def outcome(self) -> outcomes.Outcome | None:
        """Return what the caller got, if anything."""
        return support.answers(self.driver.outs).get(self.key)

    def test_write_under_way_as_members_are_paused(self):
        """Guards against acknowledging on an answer older than the pause."""
        test_isolation.run_for(self.driver, 20, 'u1', 'u2', 'u3')
        test_confirmations.confirm(self.driver, self.key)
        self.assertIsNone(self.outcome())
        said = {'held_term': 2, 'received': WITHOUT}
        test_isolation.run_for(self.driver, 300, 'u1', 'u2', 'u3', **said)
        self.assertNotIsInstance(self.outcome(), outcomes.Done)

    def test_members_that_receive_nothing(self):
        """Guards against a loss of what only an unlisted replica holds."""
        test_isolation.run_for(self.driver, 20, 'u1', 'u2', 'u3')
        test_confirmations.confirm(self.driver, self.key)
        said = {'received': WITHOUT}
        test_isolation.run_for(self.driver, 300, 'u1', 'u2', 'u3', **said)
        self.assertNotIsInstance(self.outcome(), outcomes.Done)

    def test_asked_the_moment_it_is_confirmed(self):
        """Guards against callers who wait for a tick after each save."""
        test_isolation.run_for(self.driver, 20, 'u1', 'u2', 'u3')
        test_confirmations.confirm(self.driver, self.key)
        said = {'received': WITH, 'term': 1, 'held_term': 0}
        proof_support.answer_status_queries(self.driver, 'u2', **said)
        self.assertIsInstance(self.outcome(), outcomes.Done)


class DeadlineTest(testtools.TestCase):
    """A write is confirmed as its time ends."""

    def confirmed(self) -> support.Driver:
        """Have a write confirmed one ms before its deadline."""
        driver = support.Driver().ready()
        self.key, _ = driver.submit(verb=support.Verb.WRITE)
        for name in ('u2', 'u3'):
            proof_support.answer_status_queries(
                driver, name, term=1, held_term=0
            )
        driver.now_ms = driver.state.work[self.key].deadline_ms - 1
        test_confirmations.confirm(driver, self.key)
        return driver

    def test_word_that_comes_a_little_later(self):
        """Guards against calling a write unknown that is known to last."""
        driver = self.confirmed()
        driver.tick(5)
        said = {'received': WITH, 'term': 1, 'held_term': 0}
        outs = proof_support.answer_status_queries(driver, 'u2', **said)
        self.assertIsInstance(support.answers(outs)[self.key], outcomes.Done)

    def test_word_that_does_not_come(self):
        """Guards against a caller who is not answered at all."""
        driver = self.confirmed()
        outs = driver.tick(80)
        outcome = support.answers(outs)[self.key]
        self.assertIsInstance(outcome, outcomes.Unknown)


class ReplacedTest(testtools.TestCase):
    """A write is confirmed as the leaving primary's heir begins to lead."""

    def carried_on(self, place: support.Place) -> outcomes.Outcome | None:
        """Return the answer where the heir's log ends there as it leads."""
        driver = support.Driver().ready()
        driver.list_upstreams(leaving='u1')
        test_isolation.run_for(driver, 40, 'u1', 'u2', 'u3')
        key, _ = driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(driver, key)
        driver.state.upstreams['u1'].refuted_ms = driver.now_ms
        driver.state.primary = ''
        driver.list_upstreams(primary='u2', leaving='u1', revision=2)
        self.assertNotIn(key, support.answers(driver.outs))
        for _ in range(5):
            driver.tick(20)
            said = {'role': support.Role.PRIMARY, 'term': 2, 'held_term': 0}
            proof_support.answer_status_queries(
                driver, 'u2', received=place, **said
            )
        return support.answers(driver.outs).get(key)

    def test_heir_that_began_with_it(self):
        """Guards against calling unknown what a hand-over carried on."""
        self.assertIsInstance(self.carried_on(WITH), outcomes.Done)

    def test_heir_that_began_without_it(self):
        """Guards against acknowledging what the heir never received."""
        answer = self.carried_on(WITHOUT)
        self.assertIsInstance(answer, outcomes.Unknown)


class AloneTest(testtools.TestCase):
    """A primary is the only one that is listed."""

    def test_write_is_answered(self):
        """Guards against callers who wait for members that are not there."""
        driver = support.Driver().ready(names=('u1',))
        key, _ = driver.submit(verb=support.Verb.WRITE)
        outs = test_confirmations.confirm(driver, key)
        self.assertIsInstance(support.answers(outs)[key], outcomes.Done)


class HandOverTest(testtools.TestCase):
    """A leaving primary hands over while a new replica follows it."""

    def confirmed(self, **heir) -> support.Driver:
        """Have a write confirmed while `u3` is paused; `u2` says this."""
        driver = support.Driver().ready()
        driver.list_upstreams(leaving='u1')
        driver.list_upstreams(names=FOUR, leaving='u1')
        driver.open_all()
        test_isolation.run_for(driver, 400, *FOUR)
        self.key, _ = driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(driver, self.key)
        play_words(driver, 300, u2={**PAUSED, **heir}, u3=PAUSED, u4=HOLDER)
        return driver

    def test_heir_that_receives_nothing(self):
        """Guards against acknowledging what only a newcomer confirmed."""
        driver = self.confirmed(held_term=0)
        outcome = support.answers(driver.outs).get(self.key)
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_member_whose_pause_ended_with_its_restart(self):
        """Guards against the word of one that the heir was not held to."""
        driver = self.confirmed(held_term=0)
        for _ in range(5):
            driver.tick(20)
            said = {'received': WITHOUT, 'term': 1, 'held_term': 0}
            proof_support.answer_status_queries(driver, 'u2', **said)
            said = {'received': WITH, 'term': 1, 'held_term': 0}
            proof_support.answer_status_queries(driver, 'u3', **said)
            proof_support.answer_status_queries(
                driver, 'u4', received=WITHOUT, term=1
            )
        outcome = support.answers(driver.outs).get(self.key)
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_heir_that_is_silent(self):
        """Guards against the word of a newcomer while the heir is cut off."""
        driver = support.Driver().ready()
        driver.list_upstreams(leaving='u1')
        driver.list_upstreams(names=FOUR, leaving='u1')
        driver.open_all()
        test_isolation.run_for(driver, 400, 'u1', 'u3', 'u4')
        key, _ = driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(driver, key)
        play_words(driver, 600, u3=PAUSED, u4=HOLDER)
        outcome = support.answers(driver.outs).get(key)
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_newcomer_while_all_others_are_paused(self):
        """Guards against taking a lost primary that leaves for a hand-over."""
        driver = support.Driver().ready()
        test_isolation.run_for(driver, 40, 'u1', 'u2', 'u3', held_term=2)
        driver.list_upstreams(names=FOUR, leaving='u1')
        driver.open_all()
        test_isolation.run_for(driver, 40, 'u1', 'u2', 'u3', held_term=2)
        key, _ = driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(driver, key)
        play_words(driver, 300, u2=PAUSED, u3=PAUSED, u4=HOLDER)
        outcome = support.answers(driver.outs).get(key)
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_heir_that_is_new(self):
        """Guards against writes that stand still as all known are paused."""
        driver = self.confirmed(held_term=2)
        outcome = support.answers(driver.outs).get(self.key)
        self.assertIsInstance(outcome, outcomes.Done)

    def test_heir_that_holds_it(self):
        """Guards against writes that stand still during a hand-over."""
        driver = self.confirmed(held_term=0, received=WITH)
        outcome = support.answers(driver.outs).get(self.key)
        self.assertIsInstance(outcome, outcomes.Done)


class PromoterTest(testtools.TestCase):
    """Whoever promotes asks all that are listed by then."""

    def lost(self) -> support.Driver:
        """Lose the primary; the list is read when the test says so."""
        driver = failover_support.make_lease_holder()
        driver.reads_list = False
        failover_support.lose_primary(driver)
        return driver

    def token(self, driver: support.Driver) -> int:
        """Return the token of the attempt."""
        return driver.state.promotion.token

    def test_nobody_is_ordered_before_the_list_is_read(self):
        """Guards against a choice among those that were known before."""
        driver = self.lost()
        outs = failover_support.answer_control_commands(driver)
        self.assertEqual([], support.orders(outs))
        outs = driver.post(messages.UpstreamListRead(self.token(driver)))
        self.assertEqual(1, len(support.orders(outs)))

    def test_newcomer_that_alone_holds_a_write_is_chosen(self):
        """Guards against passing over one that others knew for long."""
        driver = self.lost()
        failover_support.answer_control_commands(driver)
        driver.list_upstreams(primary='', names=FOUR, revision=2)
        driver.open_all()
        outs = driver.post(messages.UpstreamListRead(self.token(driver)))
        self.assertEqual([], support.orders(outs))
        outs = failover_support.answer_control_commands(driver, u4=WITH)
        (order,) = support.orders(outs)
        self.assertEqual('u4', order.upstream)

    def test_successor_that_leads_by_now(self):
        """Guards against a new primary's word for its own write."""
        driver = self.lost()
        failover_support.answer_control_commands(driver)
        token = self.token(driver)
        (order,) = support.orders(
            driver.post(messages.UpstreamListRead(token))
        )
        accepted = messages.OrderResult.ACCEPTED
        driver.post(messages.PromotionOrdered(order.upstream, token, accepted))
        driver.tick(60)
        proof_support.answer_leadership_checks(
            driver, order.upstream, support.ok()
        )
        self.assertEqual(order.upstream, driver.state.primary)
        self.assertIsNotNone(driver.state.promotion)
        key, _ = driver.submit(verb=support.Verb.WRITE)
        place = support.Place(2, 6)
        leader = driver.running(key)
        driver.reply(leader, support.ok('signed', place=place))
        outcome = support.answers(driver.outs).get(key)
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_list_that_nobody_could_tell(self):
        """Guards against an order by one that hears of nothing new."""
        driver = self.lost()
        failover_support.answer_control_commands(driver)
        outs = driver.post(
            messages.UpstreamListRead(self.token(driver), False)
        )
        self.assertEqual([], support.orders(outs))
        for _ in range(60):
            outs += driver.tick(20) + failover_support.answer_control_commands(
                driver
            )
        self.assertEqual([], support.orders(outs))
        yields = [
            out
            for out in outs
            if isinstance(out, messages.YieldPromotionLease)
        ]
        self.assertEqual('the list cannot be read', yields[0].why)

    def test_order_is_repeated_only_on_a_new_list(self):
        """Guards against ordering one that began again, empty, meanwhile."""
        driver = self.lost()
        failover_support.answer_control_commands(driver)
        token = self.token(driver)
        (order,) = support.orders(
            driver.post(messages.UpstreamListRead(token))
        )
        driver.now_ms += 900
        lost = messages.OrderResult.UNANSWERED
        outs = driver.post(
            messages.PromotionOrdered(order.upstream, token, lost)
        )
        self.assertEqual([], support.orders(outs))


class WalksTest(testtools.TestCase):
    """Members of a group are released one after the other, overlapping."""

    def test_walks_that_lost_a_write(self):
        """Guards against promotions that a write's only holder missed."""
        for seed in LOST_WALKS:
            walks.walk(seed, STEPS, walks.RELEASES, walks.SLOW_PROMOTE_MS)
