"""Test where reads are served, hedging, and the outcomes of lost requests."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import refusals
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Code = statements.Code
LogPosition = support.Place
Verb = support.Verb


def sent_to(driver: support.Driver, outs: list) -> list[str]:
    """Return the upstreams that were sent statements."""
    return [
        driver.state.connections[send.connection].upstream
        for send in support.sends(outs)
        if isinstance(send.commands[-1], statements.Run)
    ]


def statement_sends(outs: list) -> list:
    """Return what was sent for callers, without the core's own queries."""
    query_types = (statements.Rollback, statements.Status)
    return [
        send
        for send in support.sends(outs)
        if not isinstance(send.commands[-1], query_types)
    ]


class LeadershipCheckTest(testtools.TestCase):
    """A read at the primary proves that it led after the read arrived."""

    def test_primary_read_follows_leadership_check(self):
        """The leadership check and the read are sent together."""
        driver = support.Driver().ready()
        _, outs = driver.submit(support.EXACT)
        (send,) = statement_sends(outs)
        kinds = [type(command).__name__ for command in send.commands]
        self.assertEqual(['Begin', 'Rollback', 'Run'], kinds)

    def test_answer_behind_refused_leadership_check_is_discarded(self):
        """A replaced primary still runs what follows a refused BEGIN.

        Guards against a stale read: a primary is cut off and replaced, and
        refuses the leadership check ahead of a read, but still runs the read.
        This returns old data if only the last reply is examined.
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
        """BEGIN READ succeeds anywhere, so a leadership check precedes it.

        Guards against a stale read in a read-only transaction that begins at
        a replaced primary: BEGIN READ does not prove leadership.
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

    def test_first_statement_waits_for_begin(self):
        """Behind a refused BEGIN it would run outside any transaction."""
        driver = support.Driver().ready()
        _, outs = driver.submit(
            support.EXACT, Verb.WRITE, transaction=7, begins=True
        )
        (send,) = statement_sends(outs)
        self.assertIsInstance(send.commands[-1], statements.Begin)


class StalenessTest(testtools.TestCase):
    """A replica serves a read within the allowed staleness."""

    def test_replica_read_requires_position_of_recent_sample(self):
        """The upstream itself checks that it has applied the log position."""
        driver = support.Driver().ready(centres={'u1': 'there'})
        _, outs = driver.submit(support.BOUNDED)
        (send,) = statement_sends(outs)
        self.assertEqual(LogPosition(1, 5), send.commands[-1].after)
        self.assertNotEqual(['u1'], sent_to(driver, outs))

    def test_session_sees_its_own_commit(self):
        """The session's own log position takes precedence if it is newer."""
        driver = support.Driver().ready()
        _, outs = driver.submit(support.OWN, session_place=LogPosition(1, 9))
        (send,) = statement_sends(outs)
        self.assertEqual(LogPosition(1, 9), send.commands[-1].after)

    def test_bounded_read_ignores_own_commit(self):
        """Bounded freshness depends on the age of the data only."""
        driver = support.Driver().ready()
        _, outs = driver.submit(
            support.BOUNDED, session_place=LogPosition(1, 9)
        )
        (send,) = statement_sends(outs)
        self.assertEqual(LogPosition(1, 5), send.commands[-1].after)

    def test_unknown_age_is_not_fresh(self):
        """Without a recent enough sample the primary serves the read."""
        driver = support.Driver().ready()
        driver.now_ms += 5000
        _, outs = driver.submit(support.BOUNDED)
        (send,) = statement_sends(outs)
        self.assertEqual(['u1'], sent_to(driver, outs))
        self.assertIsInstance(send.commands[0], statements.Begin)

    def test_samples_are_discarded_after_pause(self):
        """A process that was paused has no information on the time between."""
        driver = support.Driver().ready()
        driver.post(messages.Tick(900))
        self.assertEqual(0, len(driver.state.samples))

    def test_lagging_replica_is_passed_over(self):
        """The other replica is tried next, then the primary."""
        driver = support.Driver().ready(centres={'u1': 'there'})
        key, _ = driver.submit(support.BOUNDED)
        tried = []
        for _ in range(3):
            connection = driver.running(key)
            tried.append(connection.upstream)
            last = support.refused(Code.LAGGING)
            driver.reply(connection, last)
        self.assertEqual({'u1', 'u2', 'u3'}, set(tried))
        self.assertEqual('u1', tried[-1])

    def lagging(self, times: int) -> support.Driver:
        """Have one replica refuse reads as lagging, several times in a row."""
        driver = support.Driver().ready(centres={'u1': 'there', 'u3': 'there'})
        for _ in range(times):
            driver.submit(support.BOUNDED)
            behind = support.refused(Code.LAGGING, place=LogPosition(1, 3))
            for connection in driver.busy('u2'):
                driver.reply(connection, behind)
            for connection in driver.busy():
                driver.reply(connection, support.ok('s'))
            driver.now_ms += refusals.LAGGING_PAUSE_MS + 1
        return driver

    def test_lagging_replica_gets_no_reads_for_a_while(self):
        """The next read at the same log position would be refused there too.

        Guards against a tenth of all commands being refused as lagging while
        replication is slow: a replica in the own data centre refused a read
        and the next read was sent there again, because the missing position
        was looked up in the sent commands after these had been cleared.
        """
        driver = self.lagging(1)
        driver.now_ms -= refusals.LAGGING_PAUSE_MS
        _, outs = driver.submit(support.BOUNDED)
        self.assertNotIn('u2', sent_to(driver, outs))

    def test_lagging_pause_grows(self):
        """A replica far behind does not catch up within milliseconds."""
        driver = self.lagging(2)
        _, outs = driver.submit(support.BOUNDED)
        self.assertNotIn('u2', sent_to(driver, outs))

    def test_replica_that_caught_up_is_used_again(self):
        """Every reply of a replica reports its log position."""
        driver = self.lagging(3)
        driver.state.upstreams['u2'].place = LogPosition(1, 5)
        _, outs = driver.submit(support.BOUNDED)
        self.assertEqual(['u2'], sent_to(driver, outs))

    def test_replica_that_was_slow_once_is_tried_again(self):
        """Only a request can show that a slow replica has recovered.

        Guards against an overloaded primary long after a replica hung for
        some seconds: its recorded service time rose to half a second, so it
        was never chosen again and the recorded time was never updated.
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
        """Traffic between data centres costs money."""
        driver = support.Driver().ready(
            centres={'u1': 'there', 'u2': 'there', 'u3': 'here'}
        )
        _, outs = driver.submit(support.BOUNDED)
        self.assertEqual(['u3'], sent_to(driver, outs))

    def test_leaving_replica_gets_no_reads(self):
        """An upstream that is leaving gets no new work."""
        driver = support.Driver().ready(centres={'u1': 'there', 'u2': 'there'})
        driver.list_upstreams(
            leaving='u3', revision=2, centres={'u1': 'there', 'u2': 'there'}
        )
        _, outs = driver.submit(support.BOUNDED)
        self.assertNotIn('u3', sent_to(driver, outs))


class HedgeTest(testtools.TestCase):
    """A read whose answer is late or lost is tried at another upstream."""

    def test_lost_answer_is_hedged(self):
        """A lost answer does not delay the read until its deadline.

        Guards against waiting only for the one answer that was lost while two
        other upstreams are idle.
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

    def test_late_first_answer_is_delivered(self):
        """The first answer to arrive is used, also that of the slow copy."""
        driver = support.Driver().ready()
        key, _ = driver.submit(support.BOUNDED)
        first = driver.running(key)
        driver.tick(140)
        outs = driver.reply(first, support.ok('s'))
        self.assertIn(key, support.answers(outs))

    def test_second_answer_is_discarded(self):
        """The reply to the other copy arrives after the request is done."""
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

    def test_hedge_without_connection_spends_no_budget(self):
        """The retry budget is charged only for copies that are sent.

        Guards against refusing hanging reads instead of retrying them: with
        every connection taken, a slow read was charged for a copy each 20 ms
        although none was sent, and the budget was empty when answers were
        lost later.
        """
        driver = support.Driver(share=1).ready()
        driver.submit(support.EXACT)
        before = driver.state.budget.balance
        for _ in range(10):
            driver.tick(20)
            driver.answer_leadership_checks()
        self.assertEqual(before, driver.state.budget.balance)

    def test_no_budget_no_hedge(self):
        """Under overload, further copies would add to the overload."""
        driver = support.Driver().ready()
        driver.state.budget.balance = 0.0
        key, _ = driver.submit(support.BOUNDED)
        driver.tick(140)
        self.assertEqual(1, len(driver.state.work[key].running))


class OutcomeTest(testtools.TestCase):
    """The reported outcome matches what may have taken effect."""

    def test_lost_single_write_is_unknown_and_not_sent_again(self):
        """The write may have run."""
        driver = support.Driver().ready()
        key, _ = driver.submit(support.EXACT, Verb.WRITE)
        outs = driver.close(driver.running(key))
        self.assertIsInstance(support.answers(outs)[key], outcomes.Unknown)
        self.assertEqual([], sent_to(driver, outs))

    def test_refused_write_is_sent_again(self):
        """An upstream that is not the primary certainly did not run it."""
        driver = support.Driver().ready()
        key, _ = driver.submit(support.EXACT, Verb.WRITE)
        outs = driver.reply(
            driver.running(key), support.refused(Code.READ_ONLY)
        )
        self.assertEqual({}, support.answers(outs))
        self.assertIn(key, driver.state.work)

    def begun(self):
        """Return a driver with a transaction whose write is running."""
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
        """Its connection is closed, so it has no lasting effect."""
        driver, key, connection = self.begun()
        outs = driver.close(connection)
        self.assertEqual({}, support.answers(outs))
        self.assertIn(key, driver.state.work)

    def test_lost_later_statement_did_not_run(self):
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
        """The COMMIT may have taken effect."""
        driver, key, connection = self.begun()
        driver.reply(
            connection,
            support.ok('s', state=statements.SessionState.IN_TRANSACTION),
        )
        key, _ = driver.submit(support.EXACT, Verb.COMMIT, transaction=7)
        outs = driver.close(connection)
        self.assertIsInstance(support.answers(outs)[key], outcomes.Unknown)

    def test_commit_refused_by_replaced_primary_did_not_run(self):
        """A refused COMMIT has no lasting effect."""
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

    def test_statement_at_an_upstream_no_longer_listed(self):
        """A transaction continues at an upstream that is no longer listed.

        Guards against the end of the whole process: the upstream's entry
        expires during a transaction, and the next statement fails when the
        upstream is looked up in the list.
        """
        driver, key, connection = self.begun()
        driver.reply(
            connection,
            support.ok('s', state=statements.SessionState.IN_TRANSACTION),
        )
        driver.list_upstreams(primary='u2', names=('u2', 'u3'), revision=2)
        _, outs = driver.submit(support.EXACT, Verb.WRITE, transaction=7)
        self.assertEqual(1, len(support.sends(outs)))
