"""Undo transactions whose callers are gone, whatever they are at.

The pattern: a transaction comes in at one proxy and runs at another, its
owner. When the stream between them ends, the owner undoes the transaction:
between two statements, in the middle of one, or before its first one.
"""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

WRITE = support.Verb.WRITE
COMMIT = support.Verb.COMMIT
TRANSACTION = 77


class WithdrawalTest(testtools.TestCase):
    """A transaction that is withdrawn leaves nothing behind."""

    def setUp(self):
        super().setUp()
        self.driver = support.Driver(share=1).ready()

    def submit(self, verb=WRITE, begins=False) -> int:
        """Submit a statement of the transaction; return its key."""
        key, _ = self.driver.submit(
            verb=verb, transaction=TRANSACTION, begins=begins
        )
        return key

    def begin(self) -> states.Connection:
        """Send the transaction's first statement to the primary."""
        self.submit(begins=True)
        (connection,) = [c for c in self.driver.busy('u1') if c.work]
        self.driver.reply(connection)
        return connection

    def open_transaction(self) -> states.Connection:
        """Bring a transaction to where it waits for its next statement."""
        connection = self.begin()
        self.driver.reply(connection, in_transaction('s'))
        return connection

    def withdraw(self) -> list:
        """End the stream that the transaction came in on."""
        return self.driver.post(messages.Withdraw(TRANSACTION))

    def serves_another(self) -> bool:
        """Say whether the primary's one connection takes a new write."""
        key, _ = self.driver.submit(verb=WRITE)
        return any(c.work == key for c in self.driver.busy('u1'))

    def test_in_the_middle_of_a_statement(self):
        """Its request goes with it.

        Symptom: processes end by themselves with a KeyError, nine in one
        day, each with all its groups and sessions. Sequence: a statement of
        a transaction is under way at its owner; the stream that it came in
        on is reset; the transaction is undone by closing its connection; at
        the next tick the owner looks at the connection that the request
        runs on. Cause: the end of a transaction struck off its connection
        and left the request that was running there.
        """
        connection = self.begin()
        answers = support.answers(self.withdraw())
        self.assertEqual(
            [outcomes.NotRun(outcomes.Reason.CANCELLED, 0)],
            list(answers.values()),
        )
        self.driver.tick(40)
        self.driver.reply(connection, in_transaction('s'))
        self.assertIs(states.Purpose.ABORT, connection.purpose)
        self.driver.reply(connection)
        self.assertTrue(self.serves_another())

    def test_commit_under_way_is_not_cut(self):
        """Whether it took effect is unknown, and the upstream is let finish.

        A connection that is closed in the middle of a COMMIT costs another
        dial, and leaves the upstream with work that nobody reads.
        """
        connection = self.open_transaction()
        self.submit(COMMIT)
        outs = self.withdraw()
        self.assertEqual(
            [outcomes.Unknown(outcomes.Reason.CANCELLED)],
            list(support.answers(outs).values()),
        )
        self.assertIn(connection.number, self.driver.state.connections)

    def test_before_its_first_statement(self):
        """One that still waits for a connection never begins.

        Symptom: after proxies are lost, connections to the primary are held
        by transactions that nobody goes on with, until they have been idle
        for too long. Sequence: all connections are busy; a transaction's
        first statement waits; its stream ends; a connection is free and the
        transaction begins. Cause: only transactions that had begun were
        undone.
        """
        self.driver.submit(verb=WRITE)
        (busy,) = [c for c in self.driver.busy('u1') if c.work]
        key = self.submit(begins=True)
        self.assertIn(key, support.answers(self.withdraw()))
        outs = self.driver.reply(busy, support.ok('s'))
        self.assertFalse(any(has_begin(sent) for sent in support.sends(outs)))
        self.assertTrue(self.serves_another())

    def test_while_it_begins(self):
        """One whose BEGIN is under way is rolled back when that is answered.

        Symptom, sequence and cause as above, some milliseconds later.
        """
        self.submit(begins=True)
        (connection,) = [c for c in self.driver.busy('u1') if c.work]
        self.withdraw()
        self.driver.reply(connection, in_transaction('-'))
        self.assertIs(states.Purpose.ABORT, connection.purpose)
        self.assertEqual({}, self.driver.state.transactions)

    def test_between_two_statements(self):
        """One that waits for its caller is rolled back at once."""
        connection = self.open_transaction()
        self.withdraw()
        self.assertIs(states.Purpose.ABORT, connection.purpose)


def in_transaction(signature: str) -> statements.Reply:
    """Return a success inside a transaction."""
    return support.ok(signature, state=statements.SessionState.IN_TRANSACTION)


def has_begin(sent: messages.Send) -> bool:
    """Say whether a transaction is begun that stays open."""
    commands = sent.commands
    return any(
        isinstance(command, statements.Begin)
        and not isinstance(after, statements.Rollback)
        for command, after in zip(commands, (*commands[1:], None))
    )
