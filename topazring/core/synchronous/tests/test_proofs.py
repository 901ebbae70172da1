"""Answer no read before it is proved that nobody else led."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import member_queries
from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support

Place = support.Place
Verb = support.Verb


class ReadTest(testtools.TestCase):
    """A read at the primary waits for the proof, not the other way round."""

    def running(self, **more) -> tuple[support.Driver, int]:
        """Have a read run at the primary a while after the last proof."""
        driver = support.Driver().ready(**more)
        driver.now_ms += 20
        key, _ = driver.submit(support.EXACT)
        return driver, key

    def test_replaced_primary_goes_on_answering(self):
        """Its guard succeeds, and its answer is not given to anyone.

        Symptom: a checker reads the beam size of before the last save, on
        one side of a partition. Sequence: a primary is cut off with some
        proxies; another is promoted and acknowledges a save; the first has
        not learned of it, takes a BEGIN and runs the read. Cause: taking a
        BEGIN that succeeds for a proof that nobody else leads.
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
        """Neither led after the read had arrived."""
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

    def test_refusal_of_before_proves_nothing(self):
        """A promotion may have taken effect since."""
        driver, key = self.running()
        sent_ms = driver.now_ms - 1
        for name in ('u2', 'u3'):
            proofs.note_refusal(driver.state.upstreams[name], sent_ms)
        outs = proof_support.answer_read(driver, key)
        self.assertNotIn(key, support.answers(outs))

    def test_questions_are_shared(self):
        """Reads that arrive together ask each member once."""
        driver = support.Driver(share=4).ready()
        driver.now_ms += 20
        sends = []
        for _ in range(3):
            _, outs = driver.submit(support.EXACT)
            sends += support.sends(outs)
        asked = [
            driver.state.connections[send.connection].upstream
            for send in sends
            if isinstance(send.commands[-1], statements.Rollback)
        ]
        self.assertEqual(['u2', 'u3'], sorted(asked))

    def test_read_in_a_transaction_waits_as_well(self):
        """It has to see what was acknowledged before its transaction."""
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

    def test_proof_of_another_primary_is_none(self):
        """The read ran at the one that was replaced.

        Symptom: a read misses a save that was acknowledged 300 ms before.
        Sequence: a read is sent to a primary; its successor is found and its
        lead is proved; the read's answer arrives. Cause: asking whether the
        present primary's lead is proved, whoever had served the read.
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
        """Guards against waiting for a proof where one member holds it."""
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

    def test_confirmed_write_proves_the_lead_for_reads_before_it(self):
        """It was sent after the read had arrived, and one that vouches has it.

        The others' silence alone leaves the lead unproved.
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

    def test_refused_at_once_where_nothing_can_be_proved(self):
        """Another proxy may reach the other members.

        Symptom: reads wait for their whole time behind a partition. Cause:
        waiting for a proof that is not to be had.
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

    def test_doubt_ends_with_the_next_proof(self):
        """Reads are taken again once all members are heard."""
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
    """One replica speaks for the group while another is silent."""

    def silent(self) -> tuple[support.Driver, int]:
        """Have a read wait for a member that does not answer."""
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
        """The silent one, should it lead, finds nobody to confirm."""
        driver, key = self.silent()
        outs = proof_support.answer_status_queries(driver, 'u2', held_term=0)
        self.assertIsInstance(support.answers(outs)[key], outcomes.Done)

    def test_replica_that_is_deaf_speaks_as_well(self):
        """It follows nobody, so it confirms nothing to anyone else.

        Symptom: reads at a new primary are refused for 1.5 s after its
        promotion. Sequence: a replica that receives nothing; the primary
        crashes, the other replica follows; the deaf one still states the
        old term. Cause: demanding that it be of the primary's own term.
        """
        driver, key = self.silent()
        driver.state.upstreams['u1'].lead_term = 2
        driver.state.term = 2
        outs = proof_support.answer_status_queries(
            driver, 'u2', held_term=0, term=1
        )
        self.assertIn(key, support.answers(outs))

    def only_one_answers(self, name: str) -> tuple[support.Driver, int]:
        """Have a read wait after a fourth member came; one member answers."""
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

    def test_two_silent_members(self):
        """One may lead and the other confirm."""
        driver, key = self.only_one_answers('u2')
        outs = proof_support.answer_status_queries(driver, 'u2', held_term=0)
        self.assertNotIn(key, support.answers(outs))

    def test_replica_of_a_newer_term_speaks_against_it(self):
        """Another leads."""
        driver, key = self.silent()
        outs = proof_support.answer_status_queries(
            driver, 'u2', held_term=0, term=2
        )
        self.assertNotIn(key, support.answers(outs))

    def test_replica_that_has_just_come_speaks_for_nobody(self):
        """It came to the side of a primary that was being replaced.

        Symptom: a read misses a save that was acknowledged on the other side
        of a partition. Sequence: a primary is cut off with some proxies and
        replaced; a new replica joins it there, is not paused by anyone, and
        says so. Cause: taking one for a witness that whoever promoted did
        not know.
        """
        driver, key = self.only_one_answers('u4')
        outs = proof_support.answer_status_queries(driver, 'u4', held_term=0)
        self.assertNotIn(key, support.answers(outs))

    def replaced(self, witness_term: int) -> outcomes.Outcome | None:
        """Have a read wait at the successor of a primary that went dark."""
        driver = support.Driver().ready()
        for _ in range(proofs.ESTABLISHED_AFTER_MS // 20 + 20):
            driver.tick(20)
            driver.answer_leadership_checks()
        driver.list_upstreams(primary='u2', revision=2)
        for _ in range(80):
            self.answer_but_the_dark_one(driver, Place(1, 5), witness_term)
        self.assertEqual('u2', driver.state.primary)
        driver.submit(support.EXACT, Verb.WRITE)
        (write,) = [c for c in driver.busy('u2') if c.is_writing]
        driver.reply(write, support.ok('signed', place=Place(2, 6)))
        for _ in range(member_queries.WITNESS_SAMPLE_INTERVAL_MS // 20 + 5):
            self.answer_but_the_dark_one(driver, Place(2, 6), witness_term)
        key, outs = driver.submit(support.EXACT)
        for _ in range(10):
            for connection in driver.busy('u2'):
                if connection.work == key:
                    read = support.ok('signed', place=Place(2, 6))
                    outs += driver.reply(connection, read)
            outs += self.answer_but_the_dark_one(
                driver, Place(2, 6), witness_term
            )
        return support.answers(outs).get(key)

    def answer_but_the_dark_one(
        self, driver: support.Driver, place: Place, witness_term: int
    ) -> list:
        """Answer what u2, which leads, and u3 are asked; u1 is dark."""
        outs = driver.tick(20)
        for connection in list(driver.state.connections.values()):
            dialled = connection.phase is states.Phase.OPENING
            if dialled and connection.upstream != 'u1':
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

    def test_replica_that_follows_the_successor_of_a_dark_primary(self):
        """The dark one took the last BEGIN that it was asked for.

        Symptom: after a primary crashed and was replaced within 0.7 s, its
        group's reads at the primary are refused as unproven for another 5 s.
        Sequence: the primary goes dark; another is promoted, and the third
        member follows it; the dark one never refuses a BEGIN, so it counts as
        one that claims to lead until it is listed no more. Cause: beside a
        claim no witness was heard. Proof: 1,046 refusals from second 11.6 to
        16.3 at eight owners, with one dark member of three.
        """
        answer = self.replaced(witness_term=2)
        self.assertIsInstance(answer, outcomes.Done)

    def test_replica_that_may_follow_the_dark_one(self):
        """It states the old term: it may still confirm the old one's writes.

        The old primary may be on the other side of a partition, not dark.
        """
        answer = self.replaced(witness_term=1)
        self.assertNotIsInstance(answer, outcomes.Done)

    def test_nobody_is_asked_for_a_sample_that_is_young(self):
        """Each question takes a slot."""
        driver = support.Driver().ready()
        outs = []
        for _ in range(20):
            outs += driver.tick(20)
            proof_support.answer_leadership_checks(driver, 'u1', support.ok())
            proof_support.answer_leadership_checks(
                driver, 'u2', proof_support.REFUSED
            )
        looks = [
            send
            for send in support.sends(outs)
            if isinstance(send.commands[0], statements.Status)
        ]
        self.assertEqual([], looks)


class StartTest(testtools.TestCase):
    """Where no primary is known there is nothing to prove."""

    def test_reads_wait_for_the_first_primary(self):
        """Upstreams enter the list one after the other after an outage.

        Symptom: 800 reads are refused in the two seconds after the store of
        the platform is back, in vain tries at one proxy after the other.
        Sequence: all processes ended during the outage, and all entries
        lapsed; the first entry that is back is a replica's. Cause: taking a
        group whose primary is not listed yet for one whose primary cannot be
        proved to lead.
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

    def test_nobody_is_asked_for_a_witness_without_a_primary(self):
        """It would take slots for nothing, fifty times a second."""
        driver = support.Driver()
        driver.list_upstreams(primary='', names=('u2', 'u3'))
        driver.open_all()
        driver.submit(support.EXACT)
        for _ in range(20):
            driver.tick(20)
            driver.answer_leadership_checks(primary='')
        looks = [
            send
            for send in support.sends(driver.outs)
            if isinstance(send.commands[0], statements.Status)
        ]
        self.assertEqual([], looks)
