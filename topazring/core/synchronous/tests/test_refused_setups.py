"""An upstream that fails SET, RESET, PREPARE, BEGIN or ROLLBACK.

A statement behind a refused command would run with the values of another
session, or none, or inside a transaction that is not its own.
"""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import expiry
from topazring.core.synchronous import messages
from topazring.core.synchronous import results
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import ablations
from topazring.core.synchronous.tests import fake_group
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import walks

WALKS = 60
STEPS = 400
ABLATED_WALKS = 20

Code = statements.Code
Verb = support.Verb
ZONE = {'zone': 'cork'}
TRANSACTION = 77
SET_ZONE = statements.SetValue('zone', 'cork')
IN_TRANSACTION = statements.SessionState.IN_TRANSACTION
FAILED = statements.SessionState.FAILED


class RefusalWalksTest(testtools.TestCase):
    """The oracle checks the session of each statement that runs."""

    def test_walks(self):
        """Guards against statements with the values of another session."""
        counts = {'Done': 0, 'refused': 0}
        for seed in range(WALKS):
            world = walks.walk(seed, STEPS, walks.REFUSALS)
            counts['Done'] += world.oracle.counts['Done']
            counts['refused'] += sum(
                state.counters['setup_refused']
                for state in world.states.values()
            )
        self.assertGreater(counts['Done'], 10 * WALKS)
        self.assertGreater(counts['refused'], WALKS)

    def test_walks_notice_what_is_left_out(self):
        """Each ablated rule leads to a violation on some walk."""
        for name in sorted(ablations.SOON_BESIDE_REFUSALS):
            self.assertTrue(self._violates(name), name)

    def _violates(self, name: str) -> bool:
        with ablations.ABLATIONS[name]():
            for seed in range(ABLATED_WALKS):
                try:
                    walks.walk(seed, STEPS, walks.REFUSALS)
                except fake_group.Violation:
                    return True
        return False


class SingleStatementTest(testtools.TestCase):
    """A statement outside a transaction follows its acknowledged set-up."""

    def setUp(self):
        """Hold a proxy with one connection to each upstream."""
        super().setUp()
        self.driver = support.Driver(share=1).ready()

    def submit(self, verb=Verb.WRITE, policy=support.EXACT, values=None):
        """Submit a statement; return its key and its connection."""
        key, _ = self.driver.submit(policy, verb, values=values or ZONE)
        return key, self.driver.running(key)

    def answer(self, outs: list, key: int) -> outcomes.Outcome | None:
        """Return the answer to a request, None if there is none."""
        return support.answers(outs).get(key)

    def test_set_up_first(self):
        """The statement is sent once its set-up is acknowledged."""
        key, connection = self.submit()
        self.assertEqual((SET_ZONE,), connection.commands)
        self.driver.reply(connection)
        self.assertEqual(states.Purpose.STATEMENT, connection.purpose)
        (command,) = connection.commands
        self.assertEqual(f'r{key}', command.request_id)
        self.assertEqual(ZONE, connection.values)

    def test_read_is_checked_behind_its_set_up(self):
        """Guards against a proof from before the read could be sent."""
        _, connection = self.submit(Verb.READ)
        self.driver.reply(connection)
        check = exchanges.LEADERSHIP_CHECK
        self.assertEqual(check, connection.commands[:2])

    def test_no_set_up_is_needed(self):
        """Guards against a round trip that nobody needs."""
        key, _ = self.driver.submit(verb=Verb.WRITE)
        connection = self.driver.running(key)
        self.assertEqual(states.Purpose.STATEMENT, connection.purpose)

    def test_refused_write_has_not_run(self):
        """Guards against a write with the values of another session."""
        key, connection = self.submit()
        for _ in range(results.SETUP_ATTEMPTS - 1):
            self.driver.reply(connection, support.refused(Code.FAILED))
            self.assertEqual((SET_ZONE,), connection.commands)
        outs = self.driver.reply(connection, support.refused(Code.FAILED))
        self.assertEqual([], support.sends(outs))
        outs = self.driver.tick(40)
        again = self.driver.running(key)
        self.assertEqual((SET_ZONE,), again.commands)
        self.assertIsNone(self.answer(outs, key))

    def test_refusal_beyond_the_budget(self):
        """Guards against retries that add load to a failing upstream."""
        self.driver.state.budget.balance = 0.0
        key, connection = self.submit()
        for _ in range(results.SETUP_ATTEMPTS):
            refusal = support.refused(Code.TIMEOUT)
            outs = self.driver.reply(connection, refusal)
        answer = self.answer(outs, key)
        self.assertIsInstance(answer, outcomes.NotRun)
        self.assertEqual(outcomes.Reason.UPSTREAM_FAILED, answer.reason)
        self.assertGreater(answer.retry_after_ms, 0)

    def test_refused_read_goes_elsewhere(self):
        """Guards against a read that a failing upstream keeps."""
        sample = support.log_positions.Sample(
            self.driver.now_ms, support.Place(1, 5)
        )
        self.driver.state.samples.append(sample)
        key, connection = self.submit(Verb.READ, support.BOUNDED)
        first = connection.upstream
        for _ in range(results.SETUP_ATTEMPTS):
            self.driver.reply(connection, support.refused(Code.FAILED))
        self.driver.tick(40)
        self.assertNotEqual(first, self.driver.running(key).upstream)

    def test_caller_leaves_meanwhile(self):
        """Guards against a statement that nobody waits for any more."""
        key, connection = self.submit()
        self.driver.tick(support.EXACT.timeout_ms)
        self.assertNotIn(key, self.driver.state.work)
        if connection.number in self.driver.state.connections:
            outs = self.driver.reply(connection)
            self.assertEqual([], support.sends(outs))

    def test_deadline_in_the_middle(self):
        """Guards against "may have run" for what was not sent."""
        key, connection = self.submit()
        self.driver.now_ms += support.EXACT.timeout_ms
        outs = self.driver.post(messages.Tick())
        self.assertIsInstance(self.answer(outs, key), outcomes.NotRun)

    def test_another_leads_meanwhile(self):
        """Guards against a write sent to a primary that was replaced."""
        key, connection = self.submit()
        self.driver.state.primary = 'u2'
        outs = self.driver.reply(connection)
        sent = [out.connection for out in support.sends(outs)]
        self.assertNotIn(connection.number, sent)
        self.assertIsNone(self.answer(outs, key))

    def test_connection_ends_meanwhile(self):
        """Guards against "may have run" for what was not sent."""
        key, connection = self.submit()
        self.driver.state.budget.balance = 0.0
        outs = self.driver.close(connection)
        self.assertIsInstance(self.answer(outs, key), outcomes.NotRun)

    def test_unknown_name(self):
        """Guards against names that are recorded and not there."""
        prepared = statements.Prepare('wq', statements.Access.WRITE, 'q')
        key, _ = self.driver.submit(verb=Verb.EXECUTE, prepared=prepared)
        connection = self.driver.running(key)
        self.driver.reply(connection)
        self.driver.reply(connection, support.refused(Code.NO_STATEMENT))
        self.driver.tick(40)
        self.assertEqual((prepared,), self.driver.running(key).commands)

    def test_isolated_meanwhile(self):
        """Guards against "may have run" for what is never sent."""
        key, connection = self.submit()
        work = self.driver.state.work[key]
        outs = expiry._abort(
            self.driver.state,
            self.driver.now_ms,
            work,
            outcomes.Reason.NOT_CONFIRMED,
        )
        self.assertIsInstance(self.answer(outs, key), outcomes.NotRun)
        self.assertNotIn(connection.number, self.driver.state.connections)


class TransactionTest(testtools.TestCase):
    """A transaction begins, and goes on, with acknowledged values."""

    def setUp(self):
        """Hold a proxy with one connection to each upstream."""
        super().setUp()
        self.driver = support.Driver(share=1).ready()

    def submit(self, verb=Verb.WRITE, begins=False, values=None):
        """Submit a statement of the transaction."""
        key, outs = self.driver.submit(
            verb=verb,
            transaction=TRANSACTION,
            begins=begins,
            values=ZONE if values is None else values,
        )
        return key, outs

    def begin(self) -> states.Connection:
        """Open a transaction."""
        key, _ = self.submit(begins=True)
        connection = self.driver.running(key)
        self.driver.reply(connection, in_transaction())
        self.driver.reply(connection, in_transaction())
        return connection

    def test_refused_set_up_of_a_begin(self):
        """Guards against a first statement with other values."""
        key, _ = self.submit(begins=True)
        connection = self.driver.running(key)
        begin = statements.Begin()
        self.assertEqual((SET_ZONE, begin), connection.commands)
        self.driver.reply(
            connection, support.refused(Code.FAILED), in_transaction()
        )
        self.assertIs(states.Purpose.ABORT, connection.purpose)
        self.driver.reply(connection)
        self.driver.tick(40)
        again = self.driver.running(key)
        self.assertEqual((SET_ZONE, begin), again.commands)

    def test_refused_begin(self):
        """Guards against callers refused for what takes no slot."""
        self.driver.state.budget.balance = 0.0
        key, _ = self.submit(begins=True, values={})
        for _ in range(3):
            connection = self.driver.running(key)
            outs = self.driver.reply(connection, support.refused(Code.FAILED))
            self.assertEqual({}, support.answers(outs))
            self.driver.tick(40)
        self.assertIn(key, self.driver.state.work)

    def test_unknown_name_inside(self):
        """Guards against names that are recorded and not there."""
        connection = self.begin()
        connection.prepared.add('wq')
        prepared = statements.Prepare('wq', statements.Access.WRITE, 'q')
        self.driver.submit(
            verb=Verb.EXECUTE,
            transaction=TRANSACTION,
            values=ZONE,
            prepared=prepared,
        )
        refusal = support.refused(Code.NO_STATEMENT, state=FAILED)
        self.driver.reply(connection, refusal)
        self.assertEqual(set(), connection.prepared)

    def test_value_set_inside(self):
        """The next statement follows the acknowledged value."""
        connection = self.begin()
        values = {**ZONE, 'lang': 'ga'}
        key, _ = self.submit(values=values)
        setting = statements.SetValue('lang', 'ga')
        self.assertEqual((setting,), connection.commands)
        self.driver.reply(connection, in_transaction())
        (command,) = connection.commands
        self.assertEqual(f'r{key}', command.request_id)

    def test_refused_value_inside(self):
        """Guards against a COMMIT, or a write, without the value."""
        for verb in (Verb.WRITE, Verb.COMMIT):
            for state in (IN_TRANSACTION, FAILED):
                self.driver = support.Driver(share=1).ready()
                connection = self.begin()
                key, _ = self.submit(verb, values={'zone': 'sligo'})
                refusal = support.refused(Code.FAILED, state=state)
                outs = self.driver.reply(connection, refusal)
                lost = outcomes.Reason.TRANSACTION_LOST
                self.assertEqual(
                    outcomes.NotRun(lost, 0), support.answers(outs)[key]
                )
                (sent,) = support.sends(outs)
                self.assertEqual((statements.Rollback(),), sent.commands)

    def test_connection_ends_before_the_commit_is_sent(self):
        """Guards against an unknown outcome of what was rolled back."""
        connection = self.begin()
        key, _ = self.submit(Verb.COMMIT, values={'zone': 'sligo'})
        outs = self.driver.close(connection)
        self.assertIsInstance(support.answers(outs)[key], outcomes.NotRun)

    def test_withdrawn_during_the_set_up(self):
        """Guards against a statement of a caller that has left."""
        connection = self.begin()
        self.submit(values={'zone': 'sligo'})
        self.driver.post(messages.Withdraw(TRANSACTION))
        if connection.number in self.driver.state.connections:
            outs = self.driver.reply(connection, in_transaction())
            (sent,) = support.sends(outs)
            self.assertEqual((statements.Rollback(),), sent.commands)

    def test_refused_rollback(self):
        """Guards against a connection that stays in the transaction."""
        connection = self.begin()
        self.driver.post(messages.Withdraw(TRANSACTION))
        if connection.number in self.driver.state.connections:
            refusal = support.refused(Code.FAILED, state=FAILED)
            self.driver.reply(connection, refusal)
            remaining = self.driver.state.connections
            self.assertNotIn(connection.number, remaining)


def in_transaction() -> statements.Reply:
    """Return a success inside a transaction."""
    return support.ok('s', state=IN_TRANSACTION)
