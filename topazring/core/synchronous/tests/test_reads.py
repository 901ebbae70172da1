"""Read what is fresh enough, wherever it is served soonest."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import results
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Code = statements.Code
Place = support.Place
Verb = support.Verb


def sent_to(driver: support.Driver, outs: list) -> list[str]:
    """Return the upstreams that were sent statements."""
    return [
        driver.state.connections[send.connection].upstream
        for send in support.sends(outs)
        if isinstance(send.commands[-1], statements.Run)
    ]


def statement_sends(outs: list) -> list:
    """Return what was sent for callers, without questions of the core."""
    asking = (statements.Rollback, statements.Status)
    return [
        send
        for send in support.sends(outs)
        if not isinstance(send.commands[-1], asking)
    ]


class GuardTest(testtools.TestCase):
    """A read at the primary proves that it led after the read arrived."""

    def test_primary_read_goes_behind_a_guard(self):
        """The guard and the read go out in one piece."""
        driver = support.Driver().ready()
        _, outs = driver.submit(support.EXACT)
        (send,) = statement_sends(outs)
        kinds = [type(command).__name__ for command in send.commands]
        self.assertEqual(['Begin', 'Rollback', 'Run'], kinds)

    def test_answer_behind_a_refused_guard_is_thrown_away(self):
        """A replaced primary still runs what follows a refused BEGIN.

        Symptom: a checker sees the beam size of before the last revision.
        Sequence: a primary is cut off and replaced; a read reaches it behind
        a guard that it refuses; it runs the read all the same. Cause: taking
        the last reply without looking at the first.
        """
        driver = support.Driver().ready()
        key, _ = driver.submit(support.EXACT)
        connection = driver.running(key)
        refused = support.refused(Code.READ_ONLY)
        outs = driver.post(
            messages.Replied(
                connection.number,
                (refused, support.ok(), support.ok('old', rows=('old',))),
            )
        )
        self.assertEqual({}, support.answers(outs))
        self.assertIn(key, driver.state.work)

    def test_read_only_transaction_on_an_exact_database(self):
        """BEGIN READ succeeds anywhere, so a guard goes before it.

        Symptom: a stale read in a transaction. Sequence: a read-only
        transaction begins at a replaced primary. Cause: BEGIN READ proves
        nothing.
        """
        driver = support.Driver().ready()
        _, outs = driver.submit(
            support.EXACT, transaction=7, begins=True, read_only=True
        )
        (send,) = statement_sends(outs)
        self.assertEqual(
            [False, None, True],
            [getattr(command, 'read_only', None) for command in send.commands],
        )

    def test_statement_waits_for_its_transaction(self):
        """Behind a refused BEGIN it would run outside any transaction."""
        driver = support.Driver().ready()
        _, outs = driver.submit(
            support.EXACT, Verb.WRITE, transaction=7, begins=True
        )
        (send,) = statement_sends(outs)
        self.assertIsInstance(send.commands[-1], statements.Begin)


class AgeTest(testtools.TestCase):
    """A replica serves what is not older than allowed."""

    def test_replica_is_told_the_place_of_a_young_sample(self):
        """The upstream itself checks that it holds the place."""
        driver = support.Driver().ready(centres={'u1': 'there'})
        _, outs = driver.submit(support.BOUNDED)
        (send,) = statement_sends(outs)
        self.assertEqual(Place(1, 5), send.commands[-1].after)
        self.assertNotEqual(['u1'], sent_to(driver, outs))

    def test_session_sees_its_own_commit(self):
        """The session's own place goes before the sample's."""
        driver = support.Driver().ready()
        _, outs = driver.submit(support.OWN, session_place=Place(1, 9))
        (send,) = statement_sends(outs)
        self.assertEqual(Place(1, 9), send.commands[-1].after)

    def test_bounded_read_ignores_own_commit(self):
        """Only the age counts there."""
        driver = support.Driver().ready()
        _, outs = driver.submit(support.BOUNDED, session_place=Place(1, 9))
        (send,) = statement_sends(outs)
        self.assertEqual(Place(1, 5), send.commands[-1].after)

    def test_unknown_age_is_not_fresh(self):
        """Without a sample that is young enough the primary serves."""
        driver = support.Driver().ready()
        driver.now_ms += 5000
        _, outs = driver.submit(support.BOUNDED)
        (send,) = statement_sends(outs)
        self.assertEqual(['u1'], sent_to(driver, outs))
        self.assertIsInstance(send.commands[0], statements.Begin)

    def test_woken_process_trusts_no_sample(self):
        """A process that stood still knows nothing of the time between."""
        driver = support.Driver().ready()
        driver.post(messages.Tick(900))
        self.assertEqual(0, len(driver.state.samples))

    def test_lagging_replica_is_passed_over(self):
        """The next one is asked, then the primary."""
        driver = support.Driver().ready(centres={'u1': 'there'})
        key, _ = driver.submit(support.BOUNDED)
        asked = []
        for _ in range(3):
            connection = driver.running(key)
            asked.append(connection.upstream)
            last = support.refused(Code.LAGGING)
            driver.reply(connection, last)
        self.assertEqual({'u1', 'u2', 'u3'}, set(asked))
        self.assertEqual('u1', asked[-1])

    def lagging(self, times: int) -> support.Driver:
        """Have one replica lack what reads need, some times in a row."""
        driver = support.Driver().ready(centres={'u1': 'there', 'u3': 'there'})
        for _ in range(times):
            driver.submit(support.BOUNDED)
            behind = support.refused(Code.LAGGING, place=Place(1, 3))
            for connection in driver.busy('u2'):
                driver.reply(connection, behind)
            for connection in driver.busy():
                driver.reply(connection, support.ok('s'))
            driver.now_ms += results.LAGGING_PAUSE_MS + 1
        return driver

    def test_replica_that_lacked_a_place_is_left_alone(self):
        """The next read of the same place would be refused there too.

        Symptom: a tenth of all that upstreams are sent is refused for the
        replica is behind, for as long as replication is slow. Sequence: a
        replica in the own data centre refuses a read; the next read is sent
        there again. Cause: the place that it lacked was looked for in what
        had been sent after that was forgotten.
        """
        driver = self.lagging(1)
        driver.now_ms -= results.LAGGING_PAUSE_MS
        _, outs = driver.submit(support.BOUNDED)
        self.assertNotIn('u2', sent_to(driver, outs))

    def test_replica_far_behind_is_asked_less_and_less(self):
        """It will not have caught up within milliseconds."""
        driver = self.lagging(2)
        _, outs = driver.submit(support.BOUNDED)
        self.assertNotIn('u2', sent_to(driver, outs))

    def test_replica_that_caught_up_is_asked_again(self):
        """Where its log stands is told with every answer."""
        driver = self.lagging(3)
        driver.state.upstreams['u2'].place = Place(1, 5)
        _, outs = driver.submit(support.BOUNDED)
        self.assertEqual(['u2'], sent_to(driver, outs))

    def test_replica_that_was_slow_once_is_tried_again(self):
        """Nothing tells that it is quick again but a request.

        Symptom: long after a replica had hung for some seconds the others
        carry all reads, and the primary is overloaded. Sequence: its reads
        take half a second; its usual time is that from then on; it is never
        the soonest, so it is never asked, and its usual time stays. Cause:
        taking an old time for the present one.
        """
        driver = support.Driver().ready(centres={'u1': 'there', 'u3': 'there'})
        slow = driver.state.upstreams['u2']
        slow.service_ms = 500.0
        slow.service_updated_ms = driver.now_ms
        _, outs = driver.submit(support.BOUNDED)
        self.assertNotIn('u2', sent_to(driver, outs))
        for _ in range(250):
            driver.tick(20)
            driver.answer_leadership_checks()
        _, outs = driver.submit(support.BOUNDED)
        self.assertEqual(['u2'], sent_to(driver, outs))

    def test_own_data_centre_is_preferred(self):
        """Bytes between data centres cost money."""
        driver = support.Driver().ready(
            centres={'u1': 'there', 'u2': 'there', 'u3': 'here'}
        )
        _, outs = driver.submit(support.BOUNDED)
        self.assertEqual(['u3'], sent_to(driver, outs))

    def test_leaving_replica_gets_no_reads(self):
        """Nothing new goes to an upstream that leaves."""
        driver = support.Driver().ready(centres={'u1': 'there', 'u2': 'there'})
        driver.list_upstreams(
            leaving='u3', revision=2, centres={'u1': 'there', 'u2': 'there'}
        )
        _, outs = driver.submit(support.BOUNDED)
        self.assertNotIn('u3', sent_to(driver, outs))


class HedgeTest(testtools.TestCase):
    """A read whose answer is late or lost is tried elsewhere."""

    def test_lost_answer_is_hedged(self):
        """One silent connection does not cost the caller its deadline.

        Symptom: a schedule takes until its deadline although two other
        upstreams are idle. Sequence: an upstream runs the read and its
        answer is lost. Cause: waiting for that one answer.
        """
        driver = support.Driver().ready()
        key, _ = driver.submit(support.BOUNDED)
        first = driver.running(key)
        driver.tick(140)
        numbers = driver.state.work[key].running
        self.assertEqual(2, len(numbers))
        others = {driver.state.connections[n].upstream for n in numbers}
        self.assertEqual(2, len(others))
        second = next(n for n in numbers if n != first.number)
        outs = driver.reply(driver.state.connections[second], support.ok('s'))
        self.assertEqual({key}, set(support.answers(outs)))

    def test_first_answer_wins_also_if_late(self):
        """An answer that is ready is delivered."""
        driver = support.Driver().ready()
        key, _ = driver.submit(support.BOUNDED)
        first = driver.running(key)
        driver.tick(140)
        outs = driver.reply(first, support.ok('s'))
        self.assertIn(key, support.answers(outs))

    def test_second_answer_reaches_nobody(self):
        """What the other copy returns belongs to no one any more."""
        driver = support.Driver().ready()
        key, _ = driver.submit(support.BOUNDED)
        first = driver.running(key)
        driver.tick(140)
        (second,) = driver.state.work[key].running - {first.number}
        driver.reply(first, support.ok('s'))
        outs = driver.reply(driver.state.connections[second], support.ok('t'))
        self.assertEqual({}, support.answers(outs))

    def test_writes_are_not_hedged(self):
        """A write runs at most once."""
        driver = support.Driver().ready()
        key, _ = driver.submit(support.EXACT, Verb.WRITE)
        for _ in range(20):
            driver.tick(20)
            driver.answer_leadership_checks()
        self.assertEqual(1, len(driver.state.work[key].running))

    def test_copy_that_finds_no_connection_costs_nothing(self):
        """The budget is for what goes out.

        Symptom: reads that hang are refused instead of tried elsewhere.
        Sequence: a read is slow; every connection is taken; each 20 ms a
        copy is paid for and none goes out; the next lost answers find the
        budget empty. Cause: paying before looking for a connection.
        """
        driver = support.Driver(share=1).ready()
        driver.submit(support.EXACT)
        before = driver.state.budget.balance
        for _ in range(10):
            driver.tick(20)
            driver.answer_leadership_checks()
        self.assertEqual(before, driver.state.budget.balance)

    def test_no_budget_no_hedge(self):
        """Second copies of an overload would be the overload."""
        driver = support.Driver().ready()
        driver.state.budget.balance = 0.0
        key, _ = driver.submit(support.BOUNDED)
        driver.tick(140)
        self.assertEqual(1, len(driver.state.work[key].running))


class FateTest(testtools.TestCase):
    """What a caller is told is true."""

    def test_lost_single_write_is_unknown_and_not_sent_again(self):
        """It may have run."""
        driver = support.Driver().ready()
        key, _ = driver.submit(support.EXACT, Verb.WRITE)
        outs = driver.close(driver.running(key))
        self.assertIsInstance(support.answers(outs)[key], outcomes.Unknown)
        self.assertEqual([], sent_to(driver, outs))

    def test_refused_write_is_sent_again(self):
        """An upstream that does not lead certainly did not run it."""
        driver = support.Driver().ready()
        key, _ = driver.submit(support.EXACT, Verb.WRITE)
        outs = driver.reply(
            driver.running(key), support.refused(Code.READ_ONLY)
        )
        self.assertEqual({}, support.answers(outs))
        self.assertIn(key, driver.state.work)

    def begun(self):
        """Return a driver with a transaction whose write is under way."""
        driver = support.Driver().ready()
        key, _ = driver.submit(
            support.EXACT, Verb.WRITE, transaction=7, begins=True
        )
        connection = driver.running(key)
        driver.reply(
            connection,
            support.ok(state=statements.SessionState.IN_TRANSACTION),
        )
        return driver, key, connection

    def test_lost_first_statement_of_a_transaction_runs_again(self):
        """Its connection is closed, so nothing of it is kept."""
        driver, key, connection = self.begun()
        outs = driver.close(connection)
        self.assertEqual({}, support.answers(outs))
        self.assertIn(key, driver.state.work)

    def test_lost_later_statement_kept_nothing(self):
        """The transaction is rolled back with its connection."""
        driver, key, connection = self.begun()
        driver.reply(
            connection,
            support.ok('s', state=statements.SessionState.IN_TRANSACTION),
        )
        key, _ = driver.submit(support.EXACT, Verb.WRITE, transaction=7)
        outs = driver.close(connection)
        self.assertIsInstance(support.answers(outs)[key], outcomes.NotRun)

    def test_lost_commit_is_unknown(self):
        """It may have taken effect."""
        driver, key, connection = self.begun()
        driver.reply(
            connection,
            support.ok('s', state=statements.SessionState.IN_TRANSACTION),
        )
        key, _ = driver.submit(support.EXACT, Verb.COMMIT, transaction=7)
        outs = driver.close(connection)
        self.assertIsInstance(support.answers(outs)[key], outcomes.Unknown)

    def test_commit_at_a_replaced_primary_kept_nothing(self):
        """It was refused, so nothing is kept."""
        driver, key, connection = self.begun()
        driver.reply(
            connection,
            support.ok('s', state=statements.SessionState.IN_TRANSACTION),
        )
        key, _ = driver.submit(support.EXACT, Verb.COMMIT, transaction=7)
        refused = support.refused(
            Code.READ_ONLY, state=statements.SessionState.FAILED
        )
        outs = driver.reply(connection, refused)
        self.assertIsInstance(support.answers(outs)[key], outcomes.NotRun)

    def test_statement_at_an_upstream_that_is_listed_no_more(self):
        """A transaction goes on there.

        Symptom: the whole process ends. Sequence: a transaction is open; its
        upstream's entry lapses; the caller sends the next statement. Cause:
        looking the upstream up in the list.
        """
        driver, key, connection = self.begun()
        driver.reply(
            connection,
            support.ok('s', state=statements.SessionState.IN_TRANSACTION),
        )
        driver.list_upstreams(primary='u2', names=('u2', 'u3'), revision=2)
        _, outs = driver.submit(support.EXACT, Verb.WRITE, transaction=7)
        self.assertEqual(1, len(support.sends(outs)))
