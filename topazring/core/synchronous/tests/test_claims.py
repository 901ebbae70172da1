"""Test the choice between upstreams that claim to lead.

The one of the newer term becomes the primary, the other is demoted.
"""

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support

LogPosition = support.Place
Role = support.Role


class ClaimTest(testtools.TestCase):
    """The newer term leads, whichever upstream replied last."""

    def rivals(self) -> support.Driver:
        """Have a second upstream accept transactions beside the primary."""
        driver = support.Driver().ready()
        for _ in range(20):
            driver.tick(20)
            proof_support.answer_leadership_checks(driver, 'u1', support.ok())
            proof_support.answer_leadership_checks(driver, 'u2', support.ok())
            proof_support.answer_leadership_checks(
                driver, 'u3', proof_support.REFUSED
            )
        return driver

    def test_first_claim_holds_until_terms_are_known(self):
        """Changing the primary with each reply would send writes to and fro.

        Guards against four changes of the primary in 0.8 s. When a partition
        ends, the old primary has not learned yet that it was replaced, and
        both accept transactions. The last one to reply was taken for the
        primary.
        """
        driver = self.rivals()
        self.assertEqual('u1', driver.state.primary)
        self.assertEqual(
            {'u1', 'u2'},
            {
                c.upstream
                for c in driver.busy()
                if c.purpose is states.Purpose.STATUS_QUERY
            },
        )

    def test_newer_term_leads_and_the_older_is_deposed(self):
        """It would otherwise lead for a second, and writes to it hang."""
        driver = self.rivals()
        proof_support.answer_status_queries(
            driver, 'u1', role=Role.PRIMARY, term=1
        )
        proof_support.answer_status_queries(
            driver, 'u2', role=Role.PRIMARY, term=2
        )
        self.assertEqual('u2', driver.state.primary)
        for _ in range(20):
            driver.tick(20)
            proof_support.answer_leadership_checks(driver, 'u1', support.ok())
            proof_support.answer_leadership_checks(driver, 'u2', support.ok())
        self.assertEqual('u2', driver.state.primary)
        self.assertIn(
            'u1', failover_support.command_targets(driver, statements.Demote)
        )

    def test_replaced_primary_that_states_the_new_term(self):
        """It has learned of its successor, and steps down a second later.

        Guards against a read that misses a write two seconds old, right after
        a partition has healed. The old primary reaches its successor and
        learns the new term, but does not step down yet; a replica of the
        successor reports the same term and was taken for a witness of the old
        primary. Reporting a term was taken for leading in it.
        """
        driver = support.Driver().ready()
        driver.now_ms += 20
        key, _ = driver.submit(support.EXACT)
        outs = proof_support.answer_read(driver, key)
        outs += proof_support.answer_leadership_checks(
            driver, 'u2', support.ok(place=LogPosition(2, 9))
        )
        outs += proof_support.answer_leadership_checks(
            driver, 'u3', proof_support.REFUSED
        )
        for _ in range(10):
            outs += proof_support.answer_status_queries(
                driver, 'u1', role=Role.PRIMARY, term=2, held_term=0
            )
            outs += proof_support.answer_status_queries(
                driver, 'u3', term=2, held_term=0
            )
            outs += driver.tick(20)
        self.assertNotIn(key, support.answers(outs))
        newer = {
            'role': Role.PRIMARY,
            'term': 2,
            'received': LogPosition(2, 9),
        }
        for _ in range(3):
            proof_support.answer_status_queries(driver, 'u2', **newer)
            driver.tick(20)
        for _ in range(20):
            driver.tick(20)
            proof_support.answer_leadership_checks(driver, 'u1', support.ok())
            proof_support.answer_leadership_checks(
                driver, 'u2', support.ok(place=LogPosition(2, 9))
            )
        self.assertEqual('u2', driver.state.primary)
        self.assertIn(
            'u1', failover_support.command_targets(driver, statements.Demote)
        )

    def test_outdated_list_does_not_reinstate_it(self):
        """A list entry states its writer's view, which may be outdated."""
        driver = self.rivals()
        proof_support.answer_status_queries(
            driver, 'u1', role=Role.PRIMARY, term=1
        )
        proof_support.answer_status_queries(
            driver, 'u2', role=Role.PRIMARY, term=2
        )
        driver.list_upstreams(primary='u1', revision=9)
        self.assertEqual('u2', driver.state.primary)

    def test_fence_waits_for_the_proof(self):
        """An order that names a replaced primary would reinstate it.

        Guards against acknowledged writes lost after a partition. A proxy
        gains the promotion lease on the side of a replaced primary, which
        accepts its leadership check, and orders that primary in order to
        fence earlier orders. The check was taken for a leadership proof.
        """
        driver = support.Driver().ready()
        driver.now_ms += 400
        outs = driver.post(messages.PromotionLeaseSeen(True, 100))
        for _ in range(20):
            outs += driver.tick(20)
            outs += proof_support.answer_leadership_checks(
                driver, 'u1', support.ok()
            )
        self.assertEqual([], support.orders(outs))
        for _ in range(20):
            outs += driver.tick(20)
            outs += driver.answer_leadership_checks()
        self.assertEqual(['u1'], [o.upstream for o in support.orders(outs)])


class ReplacedMemberTest(testtools.TestCase):
    """A member that leads an older term does not end a promotion."""

    def test_replaced_primary_is_demoted_and_its_report_counts(self):
        """Its log may contain every acknowledged write.

        Guards against a group without a primary for a second or more. A
        primary is replaced, its successor crashes before the old primary
        learned of it, and the old one replies to the pause as a primary. The
        attempt was ended because another upstream seemed to lead.
        """
        driver = failover_support.make_lease_holder()
        driver.state.term = 2
        for name in ('u1', 'u3'):
            driver.state.upstreams[name].refuted_ms = driver.now_ms
        driver.state.primary = 'u2'
        driver.state.last_primary = 'u2'
        driver.list_upstreams(primary='', revision=2, born_ms={'u2': 9})
        for _ in range(5):
            driver.tick(20)
            proof_support.answer_leadership_checks(driver, 'u1', support.ok())
            for connection in driver.busy('u1'):
                if isinstance(connection.commands[0], statements.Pause):
                    old = support.report(role=Role.PRIMARY, term=1)
                    driver.reply(connection, old)
        self.assertIn(
            'u1', failover_support.command_targets(driver, statements.Demote)
        )
        self.assertIsNotNone(driver.state.promotion)

    def test_demoted_primary_is_paused_as_well(self):
        """A demoted member follows the present leader and confirms writes.

        Guards against an acknowledged write lost in a hand-over. A primary is
        replaced while unresponsive, and its successor leaves and hands over to
        a third member. The old primary returns, replies to the pause as a
        primary and is demoted; it then follows the leaving member and confirms
        a write, which the third member lacks. The reply to the demotion was
        taken for that of a paused replica. In random walk 6473, u1 is demoted
        at 2236 ms; u4 is ordered at 2238 ms with u1 at 0.0; u1 reports 2.1,
        the write, at 2280 ms; u4 leads at 0.0 at 2368 ms.
        """
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(leaving='u1', revision=2)
        driver.tick(20)
        successor = driver.state.promotion.successor
        (other,) = {'u2', 'u3'} - {successor}
        driver.state.term = 2
        pausing = self.control_connection(driver, other)
        driver.reply(pausing, support.report(role=Role.PRIMARY, term=1))
        driver.tick(20)
        demoted = self.control_connection(driver, other)
        self.assertIsInstance(demoted.commands[0], statements.Demote)
        outs = driver.reply(demoted, support.report(term=1, held_term=0))
        outs += driver.tick(20)
        self.assertEqual([], support.orders(outs))
        self.assertIn(
            other, failover_support.command_targets(driver, statements.Pause)
        )

    def control_connection(
        self, driver: support.Driver, name: str
    ) -> states.Connection:
        """Return the connection with a promotion command in flight."""
        (connection,) = [
            connection
            for connection in driver.busy(name)
            if connection.purpose is states.Purpose.CONTROL
        ]
        return connection
