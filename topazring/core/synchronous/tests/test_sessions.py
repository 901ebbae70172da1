"""Keep sessions apart, and answer what needs no upstream."""

import testtools

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import messages
from topazring.core.synchronous import sessions
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Access = statements.Access
SessionState = statements.SessionState
Verb = statements.Verb


def say(session: sessions.Session, verb: Verb, **more):
    """Have a session say something; return what becomes of it."""
    said = statements.Statement('r', verb, 'text', **more)
    return sessions.handle_statement(session, 0, 5, said, support.OWN)


def fresh() -> sessions.Session:
    """Return a session that has said nothing."""
    return sessions.Session(1, 'own')


class SessionTest(testtools.TestCase):
    """A session is what its caller made of it."""

    def test_begin_takes_no_connection(self):
        """A caller that pauses after BEGIN holds nothing."""
        session = fresh()
        taken = say(session, Verb.BEGIN)
        self.assertIsInstance(taken, sessions.LocalAnswer)
        self.assertEqual(SessionState.IN_TRANSACTION, session.state)

    def test_first_statement_begins(self):
        """It chooses the upstream."""
        session = fresh()
        say(session, Verb.BEGIN)
        request = say(session, Verb.READ)
        self.assertTrue(request.begins)
        sessions.record_outcome(session, request, outcomes.Done([], None))
        self.assertFalse(say(session, Verb.READ).begins)

    def test_failed_transaction_takes_only_its_end(self):
        """Everything else is refused until then."""
        session = fresh()
        say(session, Verb.BEGIN)
        request = say(session, Verb.WRITE)
        lost = outcomes.NotRun(outcomes.Reason.TRANSACTION_LOST, 0)
        sessions.record_outcome(session, request, lost)
        refused = say(session, Verb.READ)
        self.assertIsInstance(refused.outcome, outcomes.Rejected)
        self.assertIsInstance(
            say(session, Verb.ROLLBACK).outcome, outcomes.Done
        )
        self.assertEqual(SessionState.IDLE, session.state)

    def test_commit_of_a_failed_transaction_is_no_success(self):
        """It rolled back."""
        session = fresh()
        session.state = SessionState.FAILED
        taken = say(session, Verb.COMMIT)
        self.assertIsInstance(taken.outcome, outcomes.NotRun)
        self.assertEqual(SessionState.IDLE, session.state)

    def test_unknown_prepared_name(self):
        """It did not run."""
        taken = say(fresh(), Verb.EXECUTE, name='s1')
        self.assertEqual(outcomes.Reason.NO_STATEMENT, taken.outcome.reason)

    def test_write_in_a_read_only_transaction(self):
        """It is refused here, and costs no primary its good name."""
        session = fresh()
        say(session, Verb.BEGIN, read_only=True)
        taken = say(session, Verb.WRITE)
        self.assertIsInstance(taken.outcome, outcomes.Rejected)

    def test_rollback_undoes_what_was_begun(self):
        """Only a transaction that took a connection has to be undone."""
        session = fresh()
        say(session, Verb.BEGIN)
        self.assertEqual(0, say(session, Verb.ROLLBACK).ends)
        say(session, Verb.BEGIN)
        request = say(session, Verb.READ)
        sessions.record_outcome(session, request, outcomes.Done([], None))
        self.assertEqual(5, say(session, Verb.ROLLBACK).ends)

    def test_change_of_a_route_waits_for_the_next_transaction(self):
        """An open one keeps the policy that it began with."""
        session = fresh()
        say(session, Verb.BEGIN)
        changed = messages.Policy('own', 't', messages.Freshness.PRIMARY)
        said = statements.Statement('r', Verb.READ, 'text')
        request = sessions.handle_statement(session, 0, 5, said, changed)
        self.assertEqual('s', request.policy.service)

    def test_commit_moves_the_session_on(self):
        """Reads of the session see it from then on."""
        session = fresh()
        request = say(session, Verb.WRITE)
        done = outcomes.Done([], log_positions.LogPosition(2, 7))
        sessions.record_outcome(session, request, done)
        self.assertEqual(
            log_positions.LogPosition(2, 7),
            say(session, Verb.READ).session_place,
        )

    def test_dropped_database(self):
        """There is no such database any more."""
        said = statements.Statement('r', Verb.READ, 'text')
        taken = sessions.handle_statement(fresh(), 0, 5, said, None)
        self.assertEqual(
            outcomes.Reason.UNKNOWN_DATABASE, taken.outcome.reason
        )


class AdaptTest(testtools.TestCase):
    """A shared connection is brought to its session's state."""

    def request(self, values=None, prepared=None) -> messages.Request:
        """Return a read of a session with this state."""
        said = statements.Statement('r', Verb.READ, 'text')
        return messages.Request(
            1, said, support.OWN, False, 0,
            values=values or {}, prepared=prepared,
        )  # fmt: skip

    def test_values_of_another_session_are_cleared(self):
        """Symptom: a query runs in another caller's time zone.

        Sequence: one session sets a value on a shared connection; another
        uses the connection next. Cause: a value outlives its session.
        """
        connection = states.Connection(1, 'u1')
        exchanges.adapt(connection, self.request({'zone': 'cork'}))
        commands = exchanges.adapt(connection, self.request())
        self.assertEqual([statements.Reset()], commands)
        self.assertEqual({}, connection.values)

    def test_only_what_differs_is_sent(self):
        """Most sessions fit any connection."""
        connection = states.Connection(1, 'u1')
        exchanges.adapt(connection, self.request({'a': '1', 'b': '2'}))
        commands = exchanges.adapt(
            connection, self.request({'a': '1', 'b': '3'})
        )
        self.assertEqual([statements.SetValue('b', '3')], commands)

    def test_names_are_shared_by_shape(self):
        """Callers' names collide; shapes do not."""
        first, second = fresh(), fresh()
        for session, shape in ((first, 'q1'), (second, 'q2')):
            say(session, Verb.PREPARE, name='s', value=shape)
        connection = states.Connection(1, 'u1')
        sent = []
        for session in (first, second, first):
            request = say(session, Verb.EXECUTE, name='s', arguments='k')
            sent += exchanges.adapt(connection, request)
        shapes = [command.shape for command in sent]
        self.assertEqual(['q1', 'q2'], shapes)

    def test_access_is_part_of_the_shared_name(self):
        """The same shape may read in one session and write in another."""
        first, second = fresh(), fresh()
        say(first, Verb.PREPARE, name='s', value='q', access=Access.READ)
        say(second, Verb.PREPARE, name='s', value='q', access=Access.WRITE)
        self.assertNotEqual(
            first.prepared['s'].name, second.prepared['s'].name
        )
