"""Test that no read is answered without a leadership proof."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import member_queries
from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support

LogPosition = support.Place
Verb = support.Verb


class AloneTest(testtools.TestCase):
    """The primary alone is listed."""

    def is_read(
        self, ended_term: int, lead_term: int = 0, holder_term: int = 0
    ) -> bool:
        """Return whether a read at the primary is answered.

        With a `holder_term` the lease holder reports it, and no promotion.
        """
        driver = support.Driver().ready()
        driver.list_upstreams(names=('u1',), revision=2)
        driver.state.ended_term = ended_term
        driver.state.upstreams['u1'].lead_term = lead_term
        driver.tick(20)
        key, _ = driver.submit()
        outs = proof_support.answer_read(driver, key)
        if holder_term:
            outs += driver.post(
                messages.FenceReleased(driver.now_ms, holder_term)
            )
        return key in support.answers(outs)

    def test_replaced_primary_that_is_listed_again(self):
        """Guards against reads that its unlisted successor's writes miss."""
        self.assertFalse(self.is_read(ended_term=1))

    def test_primary_of_a_later_term(self):
        """Guards against refusing reads at the successor itself."""
        later = {'ended_term': 1, 'lead_term': 2}
        self.assertFalse(self.is_read(**later))
        self.assertTrue(self.is_read(**later, holder_term=2))

    def test_primary_that_was_never_replaced(self):
        """Guards against refusing reads while all replicas are down."""
        self.assertFalse(self.is_read(ended_term=0))
        self.assertTrue(self.is_read(ended_term=0, holder_term=1))

    def test_newer_term_at_the_lease_holder(self):
        """Guards against reads that an unlisted primary's writes miss."""
        self.assertFalse(self.is_read(ended_term=0, holder_term=2))


class ReadTest(testtools.TestCase):
    """A read at the primary runs at once and waits for a leadership proof."""

    def running(self, **more) -> tuple[support.Driver, int]:
        """Start a read at the primary, some time after the last proof."""
        driver = support.Driver().ready(**more)
        driver.now_ms += 20
        key, _ = driver.submit(support.EXACT)
        return driver, key

    def test_replaced_primary_goes_on_answering(self):
        """The leadership check succeeds, but the read is not answered.

        Guards against stale reads on one side of a partition. A primary is
        cut off with some proxies and another is promoted, which acknowledges
        a write; the old primary has not learned of it, accepts BEGIN and runs
        the read. A successful BEGIN was taken for a leadership proof.
        """
        driver, key = self.running()
        outs = proof_support.answer_read(driver, key)
        outs += proof_support.answer_leadership_checks(
            driver, 'u2', proof_support.REFUSED
        )
        outs += proof_support.answer_leadership_checks(
            driver, 'u3', support.ok()
        )
        self.assertNotIn(key, support.answers(outs))

    def test_answered_once_all_others_refuse(self):
        """No other member led after the read arrived."""
        driver, key = self.running()
        outs = proof_support.answer_read(driver, key)
        outs += proof_support.answer_leadership_checks(
            driver, 'u2', proof_support.REFUSED
        )
        self.assertNotIn(key, support.answers(outs))
        outs = proof_support.answer_leadership_checks(
            driver, 'u3', proof_support.REFUSED
        )
        self.assertIsInstance(support.answers(outs)[key], outcomes.Done)

    def test_older_refusal_proves_nothing(self):
        """A promotion may have completed after an older refusal."""
        driver, key = self.running()
        sent_ms = driver.now_ms - 1
        for name in ('u2', 'u3'):
            proofs.note_refusal(driver.state.upstreams[name], sent_ms)
        outs = proof_support.answer_read(driver, key)
        self.assertNotIn(key, support.answers(outs))

    def test_leadership_checks_are_shared(self):
        """Reads that arrive together send one check to each member."""
        driver = support.Driver(share=4).ready()
        driver.now_ms += 20
        sends = []
        for _ in range(3):
            _, outs = driver.submit(support.EXACT)
            sends += support.sends(outs)
        queried = [
            driver.state.connections[send.connection].upstream
            for send in sends
            if isinstance(send.commands[-1], statements.Rollback)
        ]
        self.assertEqual(['u2', 'u3'], sorted(queried))

    def test_read_in_a_transaction_waits_as_well(self):
        """It must see the writes acknowledged before its transaction."""
        driver = support.Driver().ready()
        driver.now_ms += 20
        key, _ = driver.submit(support.EXACT, transaction=7, begins=True)
        proof_support.answer_read(driver, key)
        outs = proof_support.answer_read(driver, key)
        self.assertNotIn(key, support.answers(outs))
        proof_support.answer_leadership_checks(
            driver, 'u2', proof_support.REFUSED
        )
        outs = proof_support.answer_leadership_checks(
            driver, 'u3', proof_support.REFUSED
        )
        self.assertIn(key, support.answers(outs))

    def test_proof_of_another_primary_does_not_count(self):
        """A proof for the successor does not cover a read at the old primary.

        Guards against a read that misses a write acknowledged 300 ms before:
        a read is sent to a primary, its successor is found and the
        successor's leadership is proved before the reply arrives. The proof
        of the present primary was used for a read at another upstream.
        """
        driver, key = self.running()
        for name in ('u1', 'u3'):
            upstream = driver.state.upstreams[name]
            proofs.note_refusal(upstream, driver.now_ms)
        driver.state.primary = 'u2'
        driver.state.upstreams['u2'].lead_term = 2
        driver.state.term = 2
        outs = proof_support.answer_read(driver, key)
        self.assertNotIn(key, support.answers(outs))

    def test_write_needs_no_proof(self):
        """Guards against waiting for a proof when a member has the write."""
        driver = support.Driver().ready()
        driver.now_ms += 20
        key, _ = driver.submit(support.EXACT, Verb.WRITE)
        driver.tick(20)
        outs = proof_support.answer_read(driver, key)
        self.assertNotIn(key, support.answers(outs))
        outs = proof_support.answer_status_queries(
            driver, 'u2', term=1, held_term=0
        )
        self.assertIn(key, support.answers(outs))

    def test_confirmed_write_proves_leadership_for_earlier_reads(self):
        """The write was sent after the read; an established member has it.

        Otherwise, with the other members silent, the leadership is unproven.
        """
        driver, key = self.running(names=('u1', 'u2', 'u3', 'u4'))
        outs = proof_support.answer_read(driver, key)
        driver.submit(support.EXACT, Verb.WRITE)
        outs += proof_support.answer_status_queries(driver, 'u2', held_term=0)
        (write,) = [c for c in driver.busy('u1') if c.is_writing]
        place = support.Place(1, 6)
        outs += driver.reply(write, support.ok('signed', place=place))
        self.assertNotIn(key, support.answers(outs))
        outs += driver.tick(20)
        outs += proof_support.answer_status_queries(
            driver, 'u2', received=place, held_term=0
        )
        self.assertIn(key, support.answers(outs))

    def test_refused_at_once_while_unproven(self):
        """Another proxy may reach the other members.

        Guards against reads that wait until their deadline behind a
        partition, for a proof that cannot be obtained there.
        """
        driver, key = self.running()
        outs = proof_support.answer_read(driver, key)
        for _ in range(20):
            outs += driver.tick(20)
            outs += proof_support.answer_leadership_checks(
                driver, 'u1', support.ok()
            )
        self.assertIsInstance(support.answers(outs)[key], outcomes.NotRun)
        key, outs = driver.submit(support.EXACT)
        refusal = support.answers(outs)[key]
        self.assertIs(outcomes.Reason.UNPROVEN, refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_unproven_state_ends_with_the_next_proof(self):
        """Reads are accepted again once all members have replied."""
        driver, _ = self.running()
        for _ in range(20):
            driver.tick(20)
            proof_support.answer_leadership_checks(driver, 'u1', support.ok())
        for _ in range(3):
            driver.answer_leadership_checks()
            driver.tick(20)
        key, outs = driver.submit(support.EXACT)
        self.assertNotIn(key, support.answers(outs))


class WitnessTest(testtools.TestCase):
    """One replica is the witness of the leadership while another is silent."""

    def silent(self) -> tuple[support.Driver, int]:
        """Have a read wait for a member that does not reply."""
        driver = support.Driver().ready()
        driver.now_ms += 20
        key, _ = driver.submit(support.EXACT)
        proof_support.answer_read(driver, key)
        proof_support.answer_leadership_checks(
            driver, 'u2', proof_support.REFUSED
        )
        driver.tick(member_queries.SILENT_MS + 20)
        return driver, key

    def test_replica_of_the_same_term(self):
        """If the silent member leads, no replica can confirm its writes."""
        driver, key = self.silent()
        outs = proof_support.answer_status_queries(driver, 'u2', held_term=0)
        self.assertIsInstance(support.answers(outs)[key], outcomes.Done)

    def test_replica_that_receives_nothing_is_a_witness(self):
        """A replica that receives nothing confirms no other primary's writes.

        Guards against reads refused for 1.5 s after a promotion. One replica
        receives nothing, the primary crashes and is replaced by the other;
        the first still reports the old term. A witness was required to be of
        the primary's own term.
        """
        driver, key = self.silent()
        driver.state.upstreams['u1'].lead_term = 2
        driver.state.term = 2
        outs = proof_support.answer_status_queries(
            driver, 'u2', held_term=0, term=1
        )
        self.assertIn(key, support.answers(outs))

    def only_one_replies(self, name: str) -> tuple[support.Driver, int]:
        """Have a read wait after a fourth member joined; one replies."""
        driver = support.Driver().ready()
        driver.list_upstreams(names=('u1', 'u2', 'u3', 'u4'), revision=2)
        driver.open_all()
        driver.now_ms += 20
        key, _ = driver.submit(support.EXACT)
        proof_support.answer_read(driver, key)
        proof_support.answer_leadership_checks(
            driver, name, proof_support.REFUSED
        )
        driver.tick(member_queries.SILENT_MS + 20)
        return driver, key

    def test_two_silent_members_prevent_a_proof(self):
        """One of them may lead and the other confirm its writes."""
        driver, key = self.only_one_replies('u2')
        outs = proof_support.answer_status_queries(driver, 'u2', held_term=0)
        self.assertNotIn(key, support.answers(outs))

    def test_replica_of_a_newer_term_is_no_witness(self):
        """A newer term shows that another upstream leads."""
        driver, key = self.silent()
        outs = proof_support.answer_status_queries(
            driver, 'u2', held_term=0, term=2
        )
        self.assertNotIn(key, support.answers(outs))

    def test_new_replica_is_no_witness(self):
        """It joined on the side of a primary that was being replaced.

        Guards against a read that misses a write acknowledged on the other
        side of a partition. A primary is cut off with some proxies and
        replaced; a new replica joins it there, and is not paused by any proxy.
        A member that the promoting proxy had not seen was taken for a witness.
        """
        driver, key = self.only_one_replies('u4')
        outs = proof_support.answer_status_queries(driver, 'u4', held_term=0)
        self.assertNotIn(key, support.answers(outs))

    def replaced(self, witness_term: int) -> outcomes.Outcome | None:
        """Have a read wait at the successor of an unresponsive primary."""
        driver = support.Driver().ready()
        for _ in range(proofs.ESTABLISHED_AFTER_MS // 20 + 20):
            driver.tick(20)
            driver.answer_leadership_checks()
        driver.list_upstreams(primary='u2', revision=2)
        for _ in range(80):
            self.answer_reachable_members(
                driver, LogPosition(1, 5), witness_term
            )
        self.assertEqual('u2', driver.state.primary)
        driver.submit(support.EXACT, Verb.WRITE)
        (write,) = [c for c in driver.busy('u2') if c.is_writing]
        driver.reply(write, support.ok('signed', place=LogPosition(2, 6)))
        for _ in range(member_queries.WITNESS_SAMPLE_INTERVAL_MS // 20 + 5):
            self.answer_reachable_members(
                driver, LogPosition(2, 6), witness_term
            )
        key, outs = driver.submit(support.EXACT)
        for _ in range(10):
            for connection in driver.busy('u2'):
                if connection.work == key:
                    read = support.ok('signed', place=LogPosition(2, 6))
                    outs += driver.reply(connection, read)
            outs += self.answer_reachable_members(
                driver, LogPosition(2, 6), witness_term
            )
        return support.answers(outs).get(key)

    def answer_reachable_members(
        self, driver: support.Driver, place: LogPosition, witness_term: int
    ) -> list:
        """Answer queries to u2, the primary, and u3; u1 does not respond."""
        outs = driver.tick(20)
        for connection in list(driver.state.connections.values()):
            is_dialled = connection.phase is states.Phase.OPENING
            if is_dialled and connection.upstream != 'u1':
                outs += driver.post(messages.Opened(connection.number, place))
        outs += proof_support.answer_leadership_checks(
            driver, 'u2', support.ok(place=place)
        )
        outs += proof_support.answer_leadership_checks(
            driver, 'u3', proof_support.REFUSED
        )
        outs += proof_support.answer_status_queries(
            driver, 'u2', role=support.Role.PRIMARY, term=2, received=place
        )
        return outs + proof_support.answer_status_queries(
            driver, 'u3', held_term=0, term=witness_term
        )

    def test_replica_of_the_successor_of_an_unresponsive_primary(self):
        """The unresponsive primary accepted the last BEGIN sent to it.

        Guards against reads refused as unproven for another 5 s after a
        primary crashed and was replaced within 0.7 s. The crashed primary
        never refuses a BEGIN, so it counts as claiming to lead until its entry
        expires, and no witness was accepted beside such a claim. With one
        unresponsive member of three, eight owners refused 1,046 reads between
        seconds 11.6 and 16.3.
        """
        answer = self.replaced(witness_term=2)
        self.assertIsInstance(answer, outcomes.Done)

    def test_replica_that_may_follow_the_unresponsive_primary(self):
        """It reports the old term and may still confirm the old writes.

        The old primary may be behind a partition rather than crashed.
        """
        answer = self.replaced(witness_term=1)
        self.assertNotIsInstance(answer, outcomes.Done)

    def test_no_status_query_while_the_sample_is_recent(self):
        """Each status query takes a slot."""
        driver = support.Driver().ready()
        outs = []
        for _ in range(20):
            outs += driver.tick(20)
            proof_support.answer_leadership_checks(driver, 'u1', support.ok())
            proof_support.answer_leadership_checks(
                driver, 'u2', proof_support.REFUSED
            )
        status_queries = [
            send
            for send in support.sends(outs)
            if isinstance(send.commands[0], statements.Status)
        ]
        self.assertEqual([], status_queries)


class StartTest(testtools.TestCase):
    """While no primary is known there is no leadership to prove."""

    def test_reads_wait_for_the_first_primary(self):
        """Upstreams enter the list one after the other after an outage.

        Guards against 800 reads refused, at one proxy after the other, in the
        two seconds after the platform's store is back. All processes ended
        during the outage and all entries expired, and a replica is listed
        first. A group whose primary is not listed yet was treated as one
        whose primary cannot be proved to lead.
        """
        driver = support.Driver()
        driver.list_upstreams(primary='', names=('u2',))
        driver.open_all()
        key, outs = driver.submit(support.EXACT)
        for _ in range(20):
            outs += driver.tick(20)
            outs += driver.answer_leadership_checks(primary='')
        self.assertNotIn(key, support.answers(outs))
        self.assertFalse(
            proofs.is_leadership_unproven(driver.state, driver.now_ms)
        )

    def test_no_status_query_without_a_primary(self):
        """The query would occupy slots fifty times a second to no effect."""
        driver = support.Driver()
        driver.list_upstreams(primary='', names=('u2', 'u3'))
        driver.open_all()
        driver.submit(support.EXACT)
        for _ in range(20):
            driver.tick(20)
            driver.answer_leadership_checks(primary='')
        status_queries = [
            send
            for send in support.sends(driver.outs)
            if isinstance(send.commands[0], statements.Status)
        ]
        self.assertEqual([], status_queries)
