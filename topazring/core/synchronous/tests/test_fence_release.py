"""Test what a release of fenced acknowledgements proves, in each order.

Two cores are driven by hand: the holder of the promotion lease, and another
proxy that the holder fences and that still reaches the primary.
"""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_confirmations

LogPosition = support.Place
WITH = test_confirmations.WITH
LOG_END = test_confirmations.WITHOUT
OrderResult = messages.OrderResult


def only(kind: type, outs: list):
    """Return the single message of one kind in the output."""
    (found,) = [out for out in outs if isinstance(out, kind)]
    return found


class Pair:
    """Hold a promoter, which lists `u1` and `u3`, and a fenced proxy.

    The entry of `u2` has expired at the promoter. It lives and still follows
    the primary `u1`; the other proxy has an older list that names it.
    """

    def __init__(self):
        self.promoter = failover_support.make_lease_holder()
        self.promoter.list_upstreams(names=('u1', 'u3'), revision=2)
        self.other = support.Driver().ready()
        self.other.tick(40)

    def run(self, for_ms: int) -> None:
        """Let time pass at both; the members in reach answer the other."""
        for _ in range(for_ms // 20):
            self.promoter.tick(20)
            self.other.tick(20)
            self.answer_other()

    def answer_other(self) -> None:
        """Have `u1` and `u2` answer the other proxy; `u2` has the write."""
        proof_support.answer_leadership_checks(self.other, 'u1', support.ok())
        proof_support.answer_leadership_checks(
            self.other, 'u2', proof_support.REFUSED
        )
        report = {'received': WITH, 'term': 1, 'held_term': 0}
        proof_support.answer_status_queries(self.other, 'u2', **report)

    def lose_primary(self) -> messages.QueryAcknowledgements:
        """Cut the promoter off from the primary; return its query."""
        outs = failover_support.lose_primary(self.promoter)
        outs += failover_support.answer_control_commands(self.promoter)
        return only(messages.QueryAcknowledgements, outs)

    def fence(self, query: messages.QueryAcknowledgements) -> list:
        """Carry the query to the other proxy and its report back."""
        fenced = only(
            messages.AcknowledgementsFenced,
            self.other.post(
                messages.FenceAcknowledgements(1, query.term, query.position)
            ),
        )
        return self.promoter.post(
            messages.AcknowledgementsReported(
                query.token, True, fenced.position, term=query.term
            )
        )

    def order(self) -> messages.OrderPromotion:
        """Lose the primary, fence the other proxy, order `u3`."""
        (order,) = support.orders(self.fence(self.lose_primary()))
        self.promoter.post(
            messages.PromotionOrdered(
                order.upstream, order.token, OrderResult.ACCEPTED
            )
        )
        return order

    def lead(self, name: str) -> None:
        """Have a member lead term 2, within the promoter's reach."""
        place = LogPosition(2, 6)
        for _ in range(20):
            self.promoter.tick(20)
            proof_support.answer_leadership_checks(
                self.promoter, name, support.ok(place=place)
            )
            proof_support.answer_status_queries(
                self.promoter,
                name,
                role=support.Role.PRIMARY,
                term=2,
                received=place,
                held_term=0,
            )

    def ask_holder(self) -> bool:
        """Have the other proxy ask the holder; return whether it released."""
        checked = only(
            messages.FenceChecked, self.promoter.post(messages.CheckFence(5))
        )
        if not checked.is_needed:
            released = messages.FenceReleased(self.other.now_ms, checked.term)
            self.other.post(released)
        return not checked.is_needed

    def write(self) -> int:
        """Confirm a write at `u1` to the other proxy; return its key."""
        key, _ = self.other.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(self.other, key)
        self.answer_other()
        return key

    def outcome(self, key: int) -> outcomes.Outcome | None:
        """Return the outcome of a write at the other proxy, if any."""
        return support.answers(self.other.outs).get(key)


class EndedPromotionTest(testtools.TestCase):
    """The holder is asked after its promotion has ended."""

    def test_successor_leads_a_newer_term(self):
        """Guards against acknowledging at the primary that was replaced."""
        pair = Pair()
        self.assertEqual('u3', pair.order().upstream)
        pair.lead('u3')
        self.assertEqual('u3', pair.promoter.state.proven_primary)
        self.assertIsNone(pair.promoter.state.promotion)
        self.assertEqual(2, pair.promoter.state.term)
        key = pair.write()
        self.assertIsNone(pair.outcome(key))
        pair.run(20)
        pair.ask_holder()
        pair.answer_other()
        self.assertNotIsInstance(pair.outcome(key), outcomes.Done)

    def test_write_that_is_sent_after_the_release(self):
        """Guards against the same for all writes until the term is seen."""
        pair = Pair()
        pair.order()
        pair.lead('u3')
        pair.run(20)
        pair.ask_holder()
        pair.run(40)
        key = pair.write()
        self.assertNotIsInstance(pair.outcome(key), outcomes.Done)

    def test_primary_is_back_before_an_order(self):
        """Guards against writes that wait though nobody was promoted."""
        pair = Pair()
        query = pair.lose_primary()
        pair.other.post(
            messages.FenceAcknowledgements(1, query.term, query.position)
        )
        key = pair.write()
        self.assertIsNone(pair.outcome(key))
        for _ in range(40):
            pair.promoter.tick(20)
            pair.promoter.open_all()
            pair.promoter.answer_leadership_checks()
            failover_support.answer_control_commands(pair.promoter)
        self.assertIsNone(pair.promoter.state.promotion)
        pair.other.tick(20)
        self.assertTrue(pair.ask_holder())
        self.assertIsInstance(pair.outcome(key), outcomes.Done)


class RunningPromotionTest(testtools.TestCase):
    """The holder is asked while its promotion is under way."""

    def test_before_the_report(self):
        """Guards against a release between the fence and the order."""
        pair = Pair()
        query = pair.lose_primary()
        pair.other.post(
            messages.FenceAcknowledgements(1, query.term, query.position)
        )
        pair.other.tick(20)
        self.assertFalse(pair.ask_holder())

    def test_between_the_order_and_the_new_term(self):
        """Guards against a release while nobody leads yet."""
        pair = Pair()
        pair.order()
        pair.other.tick(20)
        self.assertFalse(pair.ask_holder())

    def test_answer_from_before_the_promotion(self):
        """Guards against a release that the fence overtakes."""
        pair = Pair()
        asked_ms = pair.other.now_ms
        pair.order()
        pair.other.tick(20)
        pair.other.post(messages.FenceReleased(asked_ms, 1))
        key = pair.write()
        self.assertIsNone(pair.outcome(key))

    def test_lease_is_lost_and_gained_again(self):
        """Guards against a release while the order may be carried out."""
        pair = Pair()
        pair.order()
        pair.promoter.post(messages.PromotionLeaseSeen(False))
        self.assertFalse(pair.ask_holder())
        pair.promoter.post(messages.PromotionLeaseSeen(True, 5000))
        self.assertFalse(pair.ask_holder())
