"""Test the rollback of transactions whose callers are gone.

A transaction arrives at one proxy and runs at another, its owner. When the
stream between them ends, the owner rolls the transaction back: between two
statements, during a statement, or before the first one.
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
    """A withdrawn transaction leaves no state behind."""

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
        """Open a transaction that waits for its next statement."""
        connection = self.begin()
        self.driver.reply(connection, in_transaction('s'))
        return connection

    def withdraw(self) -> list:
        """End the stream on which the transaction arrived."""
        return self.driver.post(messages.Withdraw(TRANSACTION))

    def serves_another(self) -> bool:
        """Return whether the primary's only connection runs a new write."""
        key, _ = self.driver.submit(verb=WRITE)
        return any(c.work == key for c in self.driver.busy('u1'))

    def test_during_a_statement(self):
        """The running request ends together with its transaction.

        Guards against processes ending with a KeyError, nine in one day, each
        with all its groups and sessions: the stream is reset while a
        statement of the transaction runs at its owner; the transaction is
        rolled back by closing and removing its connection, but its request
        remains, and the next tick looks up the removed connection.
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

    def test_running_commit_is_not_interrupted(self):
        """Its outcome is unknown, and the upstream may finish it.

        Closing the connection during a COMMIT would cost another dial and
        leave the upstream with work whose result is not read.
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
        """A transaction that still waits for a connection never begins.

        Guards against connections to the primary being held by abandoned
        transactions after the loss of proxies, until their idle limit: all
        connections are busy, the first statement of a transaction waits, its
        stream ends, and the transaction begins once a connection is free.
        Only transactions that had begun were rolled back.
        """
        self.driver.submit(verb=WRITE)
        (busy,) = [c for c in self.driver.busy('u1') if c.work]
        key = self.submit(begins=True)
        self.assertIn(key, support.answers(self.withdraw()))
        outs = self.driver.reply(busy, support.ok('s'))
        self.assertFalse(any(has_begin(sent) for sent in support.sends(outs)))
        self.assertTrue(self.serves_another())

    def test_while_begin_is_running(self):
        """The transaction is rolled back once its BEGIN is answered.

        Guards against the same failure as above, some milliseconds later.
        """
        self.submit(begins=True)
        (connection,) = [c for c in self.driver.busy('u1') if c.work]
        self.withdraw()
        self.driver.reply(connection, in_transaction('-'))
        self.assertIs(states.Purpose.ABORT, connection.purpose)
        self.assertEqual({}, self.driver.state.transactions)

    def test_between_two_statements(self):
        """A transaction that waits for its caller is rolled back at once."""
        connection = self.open_transaction()
        self.withdraw()
        self.assertIs(states.Purpose.ABORT, connection.purpose)


def in_transaction(signature: str) -> statements.Reply:
    """Return a success inside a transaction."""
    return support.ok(signature, state=statements.SessionState.IN_TRANSACTION)


def has_begin(sent: messages.Send) -> bool:
    """Return whether a transaction is begun that stays open."""
    commands = sent.commands
    return any(
        isinstance(command, statements.Begin)
        and not isinstance(after, statements.Rollback)
        for command, after in zip(commands, (*commands[1:], None))
    )
