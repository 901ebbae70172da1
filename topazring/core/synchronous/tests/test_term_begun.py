"""Test an attempt between the effect of its order and its end."""

import testtools

from topazring.core.synchronous import attempts
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support

STARTS = support.Place(2, 6)
ACCEPTED = messages.OrderResult.ACCEPTED


class TermBegunTest(testtools.TestCase):
    """`u2` leads term 2 by an accepted order; `u3` reports the term first."""

    def setUp(self):
        super().setUp()
        self.driver = failover_support.make_lease_holder()
        failover_support.lose_primary(self.driver)
        outs = failover_support.answer_control_commands(self.driver)
        (order,) = support.orders(outs)
        self.assertEqual('u2', order.upstream)
        self.driver.post(
            messages.PromotionOrdered('u2', order.token, ACCEPTED)
        )
        self.driver.outs.clear()

    def report_term(self, for_ms: int) -> None:
        """Have `u3` report for a while that its pause has ended."""
        for _ in range(for_ms // 20):
            self.driver.tick(20)
            self.driver.open_all()
            for connection in self.driver.busy('u3'):
                if connection.purpose is states.Purpose.CONTROL:
                    report = support.report(term=2, held_term=0)
                    self.driver.reply(connection, report)

    def later_terms(self) -> set[int]:
        """Return the terms after the second that members are paused for."""
        return {
            command.term
            for sent in support.sends(self.driver.outs)
            for command in sent.commands
            if isinstance(command, statements.Pause) and command.term > 2
        }

    def test_no_pause_for_a_later_term(self):
        """Guards against a needless resume, which may arrive late."""
        self.report_term(attempts.LEADER_SEARCH_MS)
        self.assertEqual(set(), self.later_terms())
        fences = [
            out
            for out in self.driver.outs
            if isinstance(out, messages.FenceOwners)
        ]
        self.assertEqual([], fences)

    def test_leader_is_searched_for_at_once(self):
        """Guards against an attempt that outlasts its promotion."""
        self.report_term(20 + attempts.REPORT_MAX_AGE_MS + 40)
        checked = [
            connection
            for connection in self.driver.busy('u2')
            if connection.purpose is states.Purpose.LEADERSHIP_CHECK
        ]
        self.assertNotEqual([], checked)
        for _ in range(3):
            proof_support.answer_leadership_checks(
                self.driver, 'u2', support.ok(place=STARTS)
            )
            proof_support.answer_status_queries(
                self.driver,
                'u2',
                role=support.Role.PRIMARY,
                term=2,
                received=STARTS,
                held_term=0,
            )
            self.driver.tick(20)
        self.assertIsNone(self.driver.state.promotion)
        self.assertEqual('u2', self.driver.state.primary)

    def test_another_leads_the_term(self):
        """Guards against what the members of another primary confirm.

        The order is still outstanding, and `u2` would lead without it.
        """
        self.report_term(3 * attempts.LEADER_SEARCH_MS)
        self.assertNotEqual(set(), self.later_terms())
