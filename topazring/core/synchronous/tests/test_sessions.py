"""Test session state and the statements answered without an upstream."""

import dataclasses

import testtools

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import prepared_names
from topazring.core.synchronous import session_setup
from topazring.core.synchronous import sessions
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Access = statements.Access
SessionState = statements.SessionState
Verb = statements.Verb


def submit(session: sessions.Session, verb: Verb, **more):
    """Submit a statement to a session and return the result."""
    statement = statements.Statement('r', verb, 'text', **more)
    return sessions.handle_statement(session, 0, 5, statement, support.OWN)


def new_session() -> sessions.Session:
    """Return a new session."""
    return sessions.Session(1, 'own')


class SessionTest(testtools.TestCase):
    """Test the state of a single session."""

    def test_begin_takes_no_connection(self):
        """A caller that pauses after BEGIN must not hold a connection."""
        session = new_session()
        result = submit(session, Verb.BEGIN)
        self.assertIsInstance(result, sessions.LocalAnswer)
        self.assertEqual(SessionState.IN_TRANSACTION, session.state)

    def test_first_statement_begins_transaction(self):
        """The first statement decides the upstream of the transaction."""
        session = new_session()
        submit(session, Verb.BEGIN)
        request = submit(session, Verb.READ)
        self.assertTrue(request.begins)
        sessions.record_outcome(session, request, outcomes.Done([], None))
        self.assertFalse(submit(session, Verb.READ).begins)

    def test_failed_transaction_accepts_only_its_end(self):
        """Other statements are rejected until ROLLBACK or COMMIT."""
        session = new_session()
        submit(session, Verb.BEGIN)
        request = submit(session, Verb.WRITE)
        lost = outcomes.NotRun(outcomes.Reason.TRANSACTION_LOST, 0)
        sessions.record_outcome(session, request, lost)
        refused = submit(session, Verb.READ)
        self.assertIsInstance(refused.outcome, outcomes.Rejected)
        self.assertIsInstance(
            submit(session, Verb.ROLLBACK).outcome, outcomes.Done
        )
        self.assertEqual(SessionState.IDLE, session.state)

    def test_commit_of_failed_transaction_is_not_run(self):
        """A failed transaction was rolled back; COMMIT must report that."""
        session = new_session()
        session.state = SessionState.FAILED
        result = submit(session, Verb.COMMIT)
        self.assertIsInstance(result.outcome, outcomes.NotRun)
        self.assertEqual(SessionState.IDLE, session.state)

    def test_unknown_prepared_name_is_rejected(self):
        """EXECUTE of an unknown name does not run."""
        result = submit(new_session(), Verb.EXECUTE, name='s1')
        self.assertEqual(outcomes.Reason.NO_STATEMENT, result.outcome.reason)

    def test_write_in_read_only_transaction_is_rejected(self):
        """It is rejected locally.

        A refusal by the upstream would count as one of an upstream that does
        not lead, and the primary would be taken for replaced.
        """
        session = new_session()
        submit(session, Verb.BEGIN, read_only=True)
        result = submit(session, Verb.WRITE)
        self.assertIsInstance(result.outcome, outcomes.Rejected)

    def test_rollback_ends_open_transaction(self):
        """Only a transaction that took a connection is rolled back there."""
        session = new_session()
        submit(session, Verb.BEGIN)
        self.assertEqual(0, submit(session, Verb.ROLLBACK).ends)
        submit(session, Verb.BEGIN)
        request = submit(session, Verb.READ)
        sessions.record_outcome(session, request, outcomes.Done([], None))
        self.assertEqual(5, submit(session, Verb.ROLLBACK).ends)

    def test_policy_change_applies_to_next_transaction(self):
        """An open transaction keeps the policy that it began with."""
        session = new_session()
        submit(session, Verb.BEGIN)
        changed = messages.Policy('own', 't', messages.Freshness.PRIMARY)
        statement = statements.Statement('r', Verb.READ, 'text')
        request = sessions.handle_statement(session, 0, 5, statement, changed)
        self.assertEqual('s', request.policy.service)

    def test_commit_advances_session_position(self):
        """Later reads of the session must see its last commit."""
        session = new_session()
        request = submit(session, Verb.WRITE)
        done = outcomes.Done([], log_positions.LogPosition(2, 7))
        sessions.record_outcome(session, request, done)
        self.assertEqual(
            log_positions.LogPosition(2, 7),
            submit(session, Verb.READ).session_place,
        )

    def test_dropped_database_is_rejected(self):
        """Statements for a database that no longer exists are rejected."""
        statement = statements.Statement('r', Verb.READ, 'text')
        result = sessions.handle_statement(
            new_session(), 0, 5, statement, None
        )
        self.assertEqual(
            outcomes.Reason.UNKNOWN_DATABASE, result.outcome.reason
        )


LONGEST = (1 << 20) - 100


class HeldSizeTest(testtools.TestCase):
    """Test how much a session may hold."""

    def assert_too_large(self, result: sessions.LocalAnswer):
        """Check that a statement was rejected for the session's size."""
        self.assertIsInstance(result.outcome, outcomes.Rejected)
        self.assertEqual(outcomes.Reason.TOO_LARGE, result.outcome.reason)

    def test_many_long_values(self):
        """Guards against requests that are too long to be forwarded.

        The proxy that received one closed the stream, and the requests and
        transactions of all other callers on it were lost.
        """
        session = new_session()
        for number in range(4):
            result = submit(
                session, Verb.SET, name=f'v{number}', value='x' * LONGEST
            )
            self.assertIsInstance(result.outcome, outcomes.Done)
        before = dict(session.values)
        self.assert_too_large(
            submit(session, Verb.SET, name='v4', value='x' * LONGEST)
        )
        self.assert_too_large(
            submit(session, Verb.SET, name='v4', value='\u20ac' * 300_000)
        )
        self.assertEqual(before, submit(session, Verb.READ).values)
        self.assertEqual(SessionState.IDLE, session.state)

    def test_many_long_shapes(self):
        """Guards against a session that takes the memory of all others."""
        session = new_session()
        shape = {'access': Access.READ, 'value': 'x' * LONGEST}
        for number in range(4):
            submit(session, Verb.PREPARE, name=f's{number}', **shape)
        self.assert_too_large(
            submit(session, Verb.PREPARE, name='s4', **shape)
        )
        result = submit(session, Verb.EXECUTE, name='s4', arguments='k')
        self.assertEqual(outcomes.Reason.NO_STATEMENT, result.outcome.reason)
        result = submit(session, Verb.EXECUTE, name='s3', arguments='k')
        self.assertIsInstance(result, messages.Request)

    def test_many_short_values(self):
        """Guards against entries that are counted as almost nothing."""
        session = new_session()
        for number in range(sessions.MAX_HELD_BYTES // sessions.ENTRY_BYTES):
            submit(session, Verb.SET, name=f'v{number}', value='x')
        self.assert_too_large(submit(session, Verb.SET, name='v', value='x'))

    def test_replaced_values_and_shapes(self):
        """Guards against a session that is full of what it has replaced."""
        session = new_session()
        for number in range(20):
            shape = f'{number}' + 'x' * LONGEST
            for result in (
                submit(session, Verb.SET, name='v', value=shape),
                submit(
                    session,
                    Verb.PREPARE,
                    name='s',
                    access=Access.READ,
                    value=shape,
                ),
                submit(session, Verb.DEALLOCATE, name='s'),
                submit(session, Verb.SET, name='v', value='short'),
            ):
                self.assertIsInstance(result.outcome, outcomes.Done)

    def test_value_in_an_open_transaction(self):
        """Guards against statements that run without what was set for them.

        A caller may send a SET, a WRITE and a COMMIT without waiting. If the
        SET is rejected, the transaction is rolled back at its upstream.
        """
        session = new_session()
        for number in range(4):
            submit(session, Verb.SET, name=f'v{number}', value='x' * LONGEST)
        submit(session, Verb.BEGIN)
        request = submit(session, Verb.READ)
        sessions.record_outcome(session, request, outcomes.Done([], None))
        result = submit(session, Verb.SET, name='v', value='x' * LONGEST)
        self.assert_too_large(result)
        self.assertEqual(request.transaction, result.ends)
        self.assertEqual(SessionState.FAILED, session.state)
        result = submit(session, Verb.COMMIT)
        self.assertIsInstance(result.outcome, outcomes.NotRun)


class SetupTest(testtools.TestCase):
    """Test that a shared connection is adapted to its session."""

    def request(self, values=None, prepared=None) -> messages.Request:
        """Return a read of a session with the given state."""
        statement = statements.Statement('r', Verb.READ, 'text')
        return messages.Request(
            1, statement, support.OWN, False, 0,
            values=values or {}, prepared=prepared,
        )  # fmt: skip

    def set_up(
        self,
        connection: states.Connection,
        request: messages.Request,
        *codes: statements.Code | None,
    ) -> tuple[statements.Command, ...]:
        """Set up a connection; replies succeed unless they have a code."""
        connection.commands = session_setup.setup_commands(connection, request)
        cost = session_setup.setup_cost(connection, request)
        self.assertEqual(cost, len(connection.commands))
        replies = [
            statements.Reply(code=code, signature=None if code else '-')
            for code in codes or [None] * cost
        ]
        session_setup.note_replies(connection, tuple(replies))
        return connection.commands

    def test_refused_value(self):
        """Guards against values that an upstream never acknowledged."""
        request = self.request({'a': '1', 'b': '2'})
        for code in (statements.Code.FAILED, statements.Code.TIMEOUT):
            connection = states.Connection(1, 'u1')
            self.set_up(connection, request, None, code)
            commands = self.set_up(connection, request)
            self.assertEqual((statements.SetValue('b', '2'),), commands)
            self.assertEqual((), self.set_up(connection, request))

    def test_refused_value_of_another_session(self):
        """Guards against a value that was set although it timed out."""
        connection = states.Connection(1, 'u1')
        timeout = statements.Code.TIMEOUT
        self.set_up(connection, self.request({'a': '1'}), timeout)
        commands = self.set_up(connection, self.request())
        self.assertEqual((statements.Reset(),), commands)

    def test_refused_reset(self):
        """Guards against values of the session before."""
        connection = states.Connection(1, 'u1')
        self.set_up(connection, self.request({'a': '1'}))
        failed = statements.Code.FAILED
        self.set_up(connection, self.request({'b': '2'}), failed, None)
        # The connection has a=1, b=2, or b=2 alone.
        request = self.request({'a': '1', 'b': '2'})
        commands = self.set_up(connection, request)
        self.assertEqual((statements.SetValue('a', '1'),), commands)
        commands = self.set_up(connection, self.request({'b': '2'}))
        self.assertEqual(statements.Reset(), commands[0])

    def test_refused_name(self):
        """Guards against a name that may run what it ran before."""
        prepared = statements.Prepare('rq', statements.Access.READ, 'q')
        request = self.request(prepared=prepared)
        connection = states.Connection(1, 'u1')
        self.set_up(connection, request, statements.Code.TIMEOUT)
        # Its name stands for this shape alone.
        self.assertEqual((prepared,), self.set_up(connection, request))
        self.assertEqual((), self.set_up(connection, request))

    def test_values_of_another_session_are_cleared(self):
        """A query must not run in the time zone of another caller.

        This happens if one session sets a value on a shared connection and
        another session uses it next without a reset.
        """
        connection = states.Connection(1, 'u1')
        self.set_up(connection, self.request({'zone': 'cork'}))
        commands = self.set_up(connection, self.request())
        self.assertEqual((statements.Reset(),), commands)
        self.assertEqual({}, connection.values)

    def test_only_what_differs_is_sent(self):
        """Values that are already set are not sent again."""
        connection = states.Connection(1, 'u1')
        self.set_up(connection, self.request({'a': '1', 'b': '2'}))
        commands = self.set_up(connection, self.request({'a': '1', 'b': '3'}))
        self.assertEqual((statements.SetValue('b', '3'),), commands)

    def test_names_are_shared_by_shape(self):
        """Prepared names of callers collide; shared names do not."""
        first, second = new_session(), new_session()
        for session, shape in ((first, 'q1'), (second, 'q2')):
            submit(session, Verb.PREPARE, name='s', value=shape)
        connection = states.Connection(1, 'u1')
        sent = []
        for session in (first, second, first):
            request = submit(session, Verb.EXECUTE, name='s', arguments='k')
            sent += self.set_up(connection, request)
        shapes = [command.shape for command in sent]
        self.assertEqual(['q1', 'q2'], shapes)

    def prepare_all(
        self, shapes: list[str], **more
    ) -> tuple[states.Connection, list[statements.Command]]:
        """Prepare shapes on one connection; return it and what was sent."""
        connection = states.Connection(1, 'u1')
        sent: list[statements.Command] = []
        for shape in shapes:
            prepared = prepared_names.prepare_command(Access.READ, shape)
            request = self.request({'zone': 'cork'}, prepared)
            request = dataclasses.replace(request, **more)
            sent += self.set_up(connection, request)
        return connection, sent

    def test_many_shapes(self):
        """Guards against upstreams that keep each shape ever prepared."""
        most = session_setup.MAX_PREPARED_NAMES
        shapes = [f'q{number}' for number in range(most + 1)]
        connection, sent = self.prepare_all(shapes + shapes[-1:])
        self.assertEqual(1, sent.count(statements.Reset()))
        self.assertEqual(1, len(connection.prepared))
        self.assertEqual({'zone': 'cork'}, connection.values)

    def test_long_shapes(self):
        """Guards against the memory that a few long shapes take."""
        for character in ('x', '\u20ac', '\U0001f4a0'):
            length = session_setup.MAX_PREPARED_BYTES // 4
            length //= len(character.encode())
            shapes = [
                character * length + f'-{number}-' for number in range(6)
            ]
            connection, sent = self.prepare_all(shapes)
            # Each is a little more than a quarter.
            self.assertEqual(1, sent.count(statements.Reset()))
            self.assertEqual(3, connection.prepared_count)

    def test_shapes_beside_a_refused_reset(self):
        """Guards against an upstream that keeps what it was asked to clear."""
        most = session_setup.MAX_PREPARED_NAMES
        shapes = [f'q{number}' for number in range(most)]
        connection, _ = self.prepare_all(shapes)
        prepared = prepared_names.prepare_command(Access.READ, 'q')
        request = self.request({'zone': 'cork'}, prepared)
        for _ in range(3):
            failed = statements.Code.FAILED
            commands = self.set_up(connection, request, failed, None, None)
            self.assertEqual(statements.Reset(), commands[0])
            connection.prepared.clear()
        self.set_up(connection, request)
        self.assertEqual(1, connection.prepared_count)

    def test_shapes_that_are_forgotten(self):
        """Guards against shapes that are prepared and not counted."""
        shapes = [f'q{number}' for number in range(9)]
        connection, _ = self.prepare_all(shapes)
        session_setup.forget(connection)
        self.assertEqual(9, connection.prepared_count)

    def test_many_shapes_inside_a_transaction(self):
        """A transaction keeps its connection as it is."""
        most = session_setup.MAX_PREPARED_NAMES
        shapes = [f'q{number}' for number in range(most + 2)]
        _, sent = self.prepare_all(shapes, transaction=9)
        self.assertNotIn(statements.Reset(), sent)

    def test_access_is_part_of_the_shared_name(self):
        """One shape may be a read in one session and a write in another."""
        first, second = new_session(), new_session()
        submit(first, Verb.PREPARE, name='s', value='q', access=Access.READ)
        submit(second, Verb.PREPARE, name='s', value='q', access=Access.WRITE)
        self.assertNotEqual(
            first.prepared['s'].name, second.prepared['s'].name
        )
