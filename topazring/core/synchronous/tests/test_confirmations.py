"""Acknowledge what a member holds of whom every promotion hears."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_isolation

Place = support.Place
WRITE = support.Verb.WRITE
FOUR = ('u1', 'u2', 'u3', 'u4')
# Where the primary's log ends with the write, and without it.
WITH = Place(1, 6)
WITHOUT = Place(1, 5)


def confirm(driver: support.Driver, key: int) -> list:
    """Have the primary confirm a write."""
    connection = driver.running(key)
    return driver.reply(connection, support.ok('signed', place=WITH))


class BehindAPartitionTest(testtools.TestCase):
    """One member is reached from both sides, the others from the far one."""

    def confirmed(self, **said) -> support.Driver:
        """Have a write confirmed while `u2` and `u3` are silent.

        `u1` leads here, and `u4` answers.
        """
        driver = support.Driver().ready(names=FOUR)
        test_isolation.run_for(driver, 460, 'u1', 'u4')
        self.key, _ = driver.submit(verb=WRITE)
        test_isolation.run_for(driver, 180, 'u1', 'u4', **said)
        confirm(driver, self.key)
        return driver

    def outcome(self, driver: support.Driver) -> outcomes.Outcome | None:
        """Return what the caller got, if anything."""
        return support.answers(driver.outs).get(self.key)

    def test_member_that_the_other_side_promotes(self):
        """It answers here too, and that says nothing of who confirmed.

        Symptom: a save that was acknowledged during a partition is gone after
        it. Sequence: a leaving primary hands over; its successor is cut off
        with three proxies from the two replicas that stay; the one that
        leaves is reached from both sides, and the other side pauses it and
        orders it to lead; a replica that nobody has listed starts beside the
        cut off primary and confirms a save. Cause: one member that is reached
        was taken for a proof that the others would confirm. Proof, from the
        log: 32.446 s promotion begins, 32.448 s ordered with the leaving one
        at 2.308; the save is sent at 32.427 s, confirmed at 32.625 s; the new
        replica is listed at 32.648 s, the leaving one leads from 32.767 s on
        without the save.
        """
        driver = self.confirmed(held_term=2)
        test_isolation.run_for(driver, 400, 'u1', 'u4', held_term=2)
        self.assertNotIsInstance(self.outcome(driver), outcomes.Done)

    def test_write_that_a_paused_member_holds(self):
        """Who leads next may have been chosen before it held the write.

        A restart ends a pause, and the promoter pauses it again.
        """
        driver = self.confirmed(held_term=2)
        said = {'held_term': 2, 'received': WITH}
        test_isolation.run_for(driver, 400, 'u1', 'u4', **said)
        self.assertNotIsInstance(self.outcome(driver), outcomes.Done)

    def test_member_that_holds_it(self):
        """Whoever promotes pauses that member and hears of the write."""
        driver = self.confirmed()
        self.assertIsNone(self.outcome(driver))
        test_isolation.run_for(driver, 40, 'u1', 'u4', received=WITH)
        self.assertIsInstance(self.outcome(driver), outcomes.Done)

    def test_member_that_lacks_it_is_asked_again(self):
        """It may receive the write a few ms after the one that confirmed."""
        driver = self.confirmed()
        test_isolation.run_for(driver, 40, 'u1', 'u4', received=WITHOUT)
        self.assertIsNone(self.outcome(driver))
        test_isolation.run_for(driver, 40, 'u1', 'u4', received=WITH)
        self.assertIsInstance(self.outcome(driver), outcomes.Done)

    def test_place_that_is_applied_later(self):
        """A guard tells what a member has applied, not what it received.

        What would be wrong: a save that is unknown to its caller though a
        member said that it holds it, for it said less a moment later.
        """
        driver = self.confirmed()
        driver.state.successor_gone = True
        driver.state.ended_term = 1
        driver.state.term_ended_ms = driver.now_ms
        test_isolation.run_for(driver, 40, 'u1', 'u4', received=WITH)
        self.assertIsNone(self.outcome(driver))
        member = driver.state.upstreams['u4']
        asked_ms = driver.now_ms
        confirmations.note_log_position(member, asked_ms, WITHOUT)
        driver.state.term_ended_ms = states.NEVER_MS
        driver.tick(20)
        self.assertIsInstance(self.outcome(driver), outcomes.Done)

    def test_primary_that_is_listed_no_more(self):
        """Its entry may lapse while a write waits.

        What would be wrong: a group that begins anew by a `KeyError`.
        """
        driver = self.confirmed()
        driver.list_upstreams(primary='', names=('u2', 'u3', 'u4'))
        test_isolation.run_for(driver, 100, 'u4', received=WITH)
        self.assertNotIsInstance(self.outcome(driver), outcomes.Done)

    def test_log_of_a_newer_term_shows_nothing(self):
        """Its places are higher, and the write may not be among them."""
        driver = self.confirmed()
        said = {'received': Place(2, 9), 'term': 2}
        test_isolation.run_for(driver, 100, 'u1', 'u4', **said)
        self.assertNotIsInstance(self.outcome(driver), outcomes.Done)

    def test_member_that_has_just_come_shows_nothing(self):
        """Whoever promotes may not know it."""
        driver = support.Driver().ready()
        driver.list_upstreams(names=FOUR, revision=2)
        driver.open_all()
        test_isolation.run_for(driver, 60, *FOUR)
        self.key, _ = driver.submit(verb=WRITE)
        test_isolation.run_for(driver, 20, 'u1')
        confirm(driver, self.key)
        proof_support.answer_status_queries(
            driver, 'u4', received=WITH, term=1, held_term=0
        )
        self.assertIsNone(self.outcome(driver))
        proof_support.answer_status_queries(
            driver, 'u3', received=WITH, term=1, held_term=0
        )
        self.assertIsInstance(self.outcome(driver), outcomes.Done)


class CalmTest(testtools.TestCase):
    """What a caller pays on an ordinary day."""

    def test_answered_at_the_first_word(self):
        """Guards against waiting for more than one member that holds it."""
        driver = support.Driver().ready()
        key, _ = driver.submit(verb=WRITE)
        driver.tick(20)
        driver.answer_leadership_checks()
        outs = confirm(driver, key)
        self.assertNotIn(key, support.answers(outs))
        said = {'received': WITH, 'term': 1, 'held_term': 0}
        outs = proof_support.answer_status_queries(driver, 'u2', **said)
        self.assertIsInstance(support.answers(outs)[key], outcomes.Done)

    def test_members_are_asked_as_the_write_is_confirmed(self):
        """Guards against callers who wait for a tick, or for one member."""
        driver = support.Driver().ready()
        driver.tick(20)
        key, _ = driver.submit(verb=WRITE)
        confirm(driver, key)
        asked = {
            connection.upstream
            for connection in driver.busy()
            if connection.commands == exchanges.STATUS_QUERY
        }
        self.assertEqual({'u2', 'u3'}, asked)

    def test_members_are_asked_again_for_the_next_write(self):
        """Guards against a write that waits for an answer to another's."""
        driver = support.Driver().ready()
        first, _ = driver.submit(verb=WRITE)
        second, _ = driver.submit(verb=WRITE)
        confirm(driver, first)
        driver.now_ms += 1
        later = driver.running(second)
        driver.reply(later, support.ok('signed', place=Place(1, 7)))
        asked = [
            c
            for c in driver.busy('u2')
            if c.commands == exchanges.STATUS_QUERY
        ]
        self.assertEqual(2, len(asked))
        said = {'received': WITH, 'term': 1, 'held_term': 0}
        proof_support.answer_status_queries(driver, 'u2', **said)
        answered = support.answers(driver.outs)
        self.assertIsInstance(answered[first], outcomes.Done)
        self.assertNotIn(second, answered)

    def test_write_at_the_beginning_of_a_partition(self):
        """Nothing was heard since it was sent, so somebody has to vouch."""
        driver = support.Driver().ready()
        driver.tick(20)
        key, _ = driver.submit(verb=WRITE)
        driver.tick(20)
        outs = confirm(driver, key)
        self.assertNotIn(key, support.answers(outs))

    def test_one_replica_is_down(self):
        """The other's word is waited for: one question, one answer."""
        driver = support.Driver().ready()
        driver.tick(20)
        key, _ = driver.submit(verb=WRITE)
        test_isolation.run_for(driver, 20, 'u1', 'u2')
        outs = confirm(driver, key)
        self.assertNotIn(key, support.answers(outs))
        outs = proof_support.answer_status_queries(
            driver, 'u2', received=WITH, term=1, held_term=0
        )
        self.assertIsInstance(support.answers(outs)[key], outcomes.Done)

    def test_commit_is_asked_for_as_well(self):
        """A transaction that wrote is a write."""
        driver = support.Driver().ready()
        begin, _ = driver.submit(
            verb=WRITE, transaction=7, begins=True, writes=True
        )
        connection = driver.running(begin)
        driver.reply(connection, support.ok())
        driver.reply(connection, support.ok('signed'))
        driver.tick(20)
        driver.answer_leadership_checks()
        driver.tick(20)
        commit, _ = driver.submit(
            verb=support.Verb.COMMIT, transaction=7, writes=True
        )
        driver.tick(20)
        outs = driver.reply(connection, support.ok('signed', place=WITH))
        self.assertNotIn(commit, support.answers(outs))
        said = {'received': WITH, 'term': 1, 'held_term': 0}
        outs = proof_support.answer_status_queries(driver, 'u3', **said)
        self.assertIsInstance(support.answers(outs)[commit], outcomes.Done)


class HandOverTest(testtools.TestCase):
    """A leaving primary's heir confirms while the others are paused."""

    def test_paused_others_say_nothing(self):
        """The heir is the only one that can confirm, and it will lead."""
        driver = support.Driver().ready(names=FOUR)
        driver.list_upstreams(names=FOUR, leaving='u1')
        test_isolation.run_for(driver, 40, 'u1', 'u2', 'u3')
        key, _ = driver.submit(verb=WRITE)
        test_isolation.run_for(driver, 20, 'u1', 'u2', 'u3')
        confirm(driver, key)
        for name in ('u3', 'u4'):
            proof_support.answer_status_queries(
                driver, name, received=WITHOUT, term=1, held_term=2
            )
        outs = proof_support.answer_status_queries(
            driver, 'u2', received=WITH, term=1, held_term=0
        )
        self.assertIsInstance(support.answers(outs)[key], outcomes.Done)


class RefusalTest(testtools.TestCase):
    """Where no confirmation can be trusted no write is begun."""

    def test_waits_where_the_primary_is_lost(self):
        """The next one is expected in its time; others are no better off."""
        driver = support.Driver().ready(names=FOUR)
        driver.tick(20)
        first, _ = driver.submit(verb=WRITE)
        confirm(driver, first)
        test_isolation.run_for(driver, 640, 'u3', 'u4', received=WITHOUT)
        self.assertNotIn(first, support.answers(driver.outs))
        second, outs = driver.submit(verb=WRITE)
        self.assertNotIn(second, support.answers(outs))

    def test_next_primary_takes_writes_at_once(self):
        """What waited at the one before it says nothing of it.

        What would be wrong: half a second without saves after a failover.
        """
        driver = support.Driver().ready(names=FOUR)
        test_isolation.run_for(driver, 460, 'u1', 'u4')
        first, _ = driver.submit(verb=WRITE)
        confirm(driver, first)
        driver.state.upstreams['u1'].refuted_ms = driver.now_ms
        driver.state.primary = ''
        driver.list_upstreams(primary='u4', names=FOUR, revision=2)
        driver.tick(20)
        outcome = support.answers(driver.outs)[first]
        self.assertIsInstance(outcome, outcomes.Unknown)
        second, outs = driver.submit(verb=WRITE)
        self.assertNotIn(second, support.answers(outs))

    def test_refused_before_it_runs(self):
        """Its caller reaches the other side through another proxy."""
        driver = support.Driver().ready(names=FOUR)
        test_isolation.run_for(driver, 460, 'u1', 'u4')
        first, _ = driver.submit(verb=WRITE)
        test_isolation.run_for(driver, 20, 'u1', 'u4')
        confirm(driver, first)
        test_isolation.run_for(driver, 400, 'u1', 'u4', held_term=2)
        second, outs = driver.submit(verb=WRITE)
        self.assertIsInstance(support.answers(outs)[second], outcomes.NotRun)
        self.assertNotIn(
            messages.OrderPromotion, [type(out) for out in driver.outs]
        )
