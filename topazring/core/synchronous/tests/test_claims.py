"""Order those that claim to lead, and end the claim of the older."""

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support

Place = support.Place
Role = support.Role


class ClaimTest(testtools.TestCase):
    """The newer term leads, whoever was heard last."""

    def rivals(self) -> support.Driver:
        """Have a second upstream take transactions beside the primary."""
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
        """Changing with each answer would send writes back and forth.

        Symptom: four changes of the primary in 0.8 s. Sequence: a partition
        ends; the old primary has not learned yet that it was replaced; both
        take transactions. Cause: believing whoever was heard last.
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
        """It would go on for a second, and hang what is written there."""
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
        """It has heard of its successor, and goes on for a second.

        Symptom: a read misses a save of two seconds before, right after a
        partition has healed. Sequence: the old primary reaches its successor
        and learns the new term, but does not step down yet; a replica that
        follows the successor states the same term, and is taken for a
        witness of the old one. Cause: taking a term for a lead.
        """
        driver = support.Driver().ready()
        driver.now_ms += 20
        key, _ = driver.submit(support.EXACT)
        outs = proof_support.answer_read(driver, key)
        outs += proof_support.answer_leadership_checks(
            driver, 'u2', support.ok(place=Place(2, 9))
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
        newer = {'role': Role.PRIMARY, 'term': 2, 'received': Place(2, 9)}
        for _ in range(3):
            proof_support.answer_status_queries(driver, 'u2', **newer)
            driver.tick(20)
        for _ in range(20):
            driver.tick(20)
            proof_support.answer_leadership_checks(driver, 'u1', support.ok())
            proof_support.answer_leadership_checks(
                driver, 'u2', support.ok(place=Place(2, 9))
            )
        self.assertEqual('u2', driver.state.primary)
        self.assertIn(
            'u1', failover_support.command_targets(driver, statements.Demote)
        )

    def test_list_that_is_late_does_not_bring_it_back(self):
        """Its entry says what it believes, not what is."""
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
        """An order for a replaced primary would bring it back.

        Symptom: acknowledged saves are gone after a partition. Sequence: a
        proxy gains the duty on the side of a replaced primary, which takes
        its guard; it orders that one, to outdo earlier orders. Cause: taking
        the guard for a proof.
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

    def test_it_is_demoted_and_counts(self):
        """It may hold all that was acknowledged.

        Symptom: a group without a primary for a second or more. Sequence: a
        primary is replaced; its successor crashes before the old one learned
        of it; the old one answers the pause as a primary. Cause: ending the
        attempt because another leads.
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

    def test_it_is_paused_as_well(self):
        """A demoted member follows whoever leads, and confirms.

        Symptom: an acknowledged write is gone after a hand-over. Sequence: a
        primary is replaced while it is dark; its successor leaves, and hands
        over to a third; the old one is back, answers the pause as a primary
        and is demoted; it follows the leaving one and confirms a write, and
        the third leads without it. Cause: the answer to the demotion was
        taken for that of a paused replica. Proof, from walk 6473: 2236 ms u1
        is demoted; 2238 ms u4 is ordered with u1 at 0.0; 2280 ms u1 says that
        it holds 2.1, the write; 2368 ms u4 leads at 0.0.
        """
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(leaving='u1', revision=2)
        driver.tick(20)
        heir = driver.state.promotion.successor
        (other,) = {'u2', 'u3'} - {heir}
        driver.state.term = 2
        asked = self.controlled(driver, other)
        driver.reply(asked, support.report(role=Role.PRIMARY, term=1))
        driver.tick(20)
        demoted = self.controlled(driver, other)
        self.assertIsInstance(demoted.commands[0], statements.Demote)
        outs = driver.reply(demoted, support.report(term=1, held_term=0))
        outs += driver.tick(20)
        self.assertEqual([], support.orders(outs))
        self.assertIn(
            other, failover_support.command_targets(driver, statements.Pause)
        )

    def controlled(
        self, driver: support.Driver, name: str
    ) -> states.Connection:
        """Return the connection with a step of a promotion under way."""
        (connection,) = [
            connection
            for connection in driver.busy(name)
            if connection.purpose is states.Purpose.CONTROL
        ]
        return connection
