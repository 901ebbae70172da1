"""Test conclusions from members that lost the pause of a promotion.

A member that was recreated, or that another proxy resumed, confirms writes of
the old primary although the successor has been ordered without them.
"""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_confirmations
from topazring.core.synchronous.tests import test_isolation

WITH = test_confirmations.WITH
WITHOUT = test_confirmations.WITHOUT
PAUSED = {'received': WITHOUT, 'term': 1, 'held_term': 2}
UNPAUSED = {'received': WITH, 'term': 1, 'held_term': 0}
# Longer than it takes until all proxies have seen a member in the list.
LISTED_MS = 400


class RecreatedInHandOverTest(testtools.TestCase):
    """A replica is recreated while the primary leaves."""

    def setUp(self):
        """List a primary that leaves, and `u3` as recreated."""
        super().setUp()
        self.driver = support.Driver().ready()
        self.driver.list_upstreams(
            leaving='u1', revision=2, born_ms={'u3': 10_100}
        )
        self.driver.open_all()
        test_isolation.run_for(self.driver, LISTED_MS, 'u1', 'u2', 'u3')

    def outcome(self, **reports: dict) -> outcomes.Outcome | None:
        """Return the outcome of a write after these reports of members."""
        key, _ = self.driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(self.driver, key)
        for name, report in reports.items():
            proof_support.answer_status_queries(self.driver, name, **report)
        return support.answers(self.driver.outs).get(key)

    def test_only_the_recreated_member_is_not_paused(self):
        """Guards against the loss of a write after an unseen order.

        All members were paused before a successor was ordered; the recreated
        one lost its pause.
        """
        outcome = self.outcome(u2=PAUSED, u3=UNPAUSED)
        self.assertNotIsInstance(outcome, outcomes.Done)

    def test_successor_holds_the_write(self):
        """Guards against writes that wait while a recreated replica joins."""
        outcome = self.outcome(u2=UNPAUSED, u3=UNPAUSED)
        self.assertIsInstance(outcome, outcomes.Done)


class PausedSuccessorTest(testtools.TestCase):
    """The promoting proxy's own successor is paused by an earlier attempt."""

    def outcome(self, is_paused: bool) -> outcomes.Outcome | None:
        """Have the other member alone, which is not paused, hold a write."""
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(leaving='u1', revision=2)
        driver.tick(20)
        successor = driver.state.promotion.successor
        (other,) = {'u2', 'u3'} - {successor}
        driver.answer_leadership_checks()
        key, _ = driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(driver, key)
        driver.tick(20)
        reported = PAUSED if is_paused else UNPAUSED
        proof_support.answer_status_queries(driver, other, **UNPAUSED)
        proof_support.answer_status_queries(driver, successor, **reported)
        return support.answers(driver.outs).get(key)

    def test_successor_lacks_the_write(self):
        """Guards against a write that the earlier order's upstream lacks."""
        self.assertNotIsInstance(self.outcome(is_paused=True), outcomes.Done)

    def test_successor_holds_the_write(self):
        """Guards against a hand-over that interrupts writes."""
        self.assertIsInstance(self.outcome(is_paused=False), outcomes.Done)
