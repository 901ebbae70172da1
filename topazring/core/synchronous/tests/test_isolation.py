"""Test that no write is acknowledged behind a partition."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

WRITE = support.Verb.WRITE


def answer_queries_of(driver: support.Driver, *names: str, **reported) -> None:
    """Answer leadership checks and status queries; `u1` is the primary."""
    for connection in driver.busy():
        if connection.upstream not in names:
            continue
        if connection.commands == exchanges.STATUS_QUERY:
            reported = {'held_term': 0, **reported}
            driver.reply(connection, support.report(**reported))
        if connection.purpose is not states.Purpose.LEADERSHIP_CHECK:
            continue
        first = support.ok()
        if connection.upstream != 'u1':
            first = support.refused(statements.Code.READ_ONLY)
        driver.reply(connection, first, support.ok())


def run_for(
    driver: support.Driver, for_ms: int, *names: str, **reported
) -> list:
    """Let time pass while only these upstreams reply, with these reports."""
    outs = []
    for _ in range(for_ms // 20):
        outs += driver.tick(20)
        answer_queries_of(driver, *names, **reported)
    return outs


class IsolationTest(testtools.TestCase):
    """A proxy detects in time that it is cut off with the primary."""

    def isolated(self) -> support.Driver:
        """Have a write hang while no replica is reachable."""
        driver = support.Driver().ready()
        self.key, _ = driver.submit(verb=WRITE)
        self.outs = run_for(driver, 400, 'u1')
        return driver

    def test_hanging_write_is_given_up(self):
        """A replica that joins the cut-off primary may confirm it later.

        Guards against writes acknowledged during a partition and lost after
        it. A primary is cut off with two proxies from its replicas, and the
        other side promotes another. A new replica joins the old primary and
        confirms the hanging writes, which are acknowledged before the
        promotion ends. A late confirmation can only come from the wrong side.
        """
        self.isolated()
        outcome = support.answers(self.outs)[self.key]
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_new_write_is_refused_before_it_runs(self):
        """Its caller can reach the other side through another proxy."""
        driver = self.isolated()
        key, outs = driver.submit(verb=WRITE)
        outcome = support.answers(outs)[key]
        self.assertIsInstance(outcome, outcomes.NotRun)

    def test_silent_replicas_alone_are_no_isolation(self):
        """This proxy may be the only one that does not reach them."""
        driver = support.Driver().ready()
        driver.submit(support.OWN)
        run_for(driver, 600, 'u1')
        self.assertEqual('', driver.state.isolated_with)

    def test_hanging_write_alone_is_no_isolation(self):
        """Its reply may be lost; the replicas are reachable."""
        driver = support.Driver().ready()
        key, _ = driver.submit(verb=WRITE)
        outs = run_for(driver, 500, 'u1', 'u2', 'u3')
        self.assertEqual('', driver.state.isolated_with)
        self.assertNotIn(key, support.answers(outs))

    def test_isolation_ends_when_a_replica_replies(self):
        """The partition has healed."""
        driver = self.isolated()
        run_for(driver, 100, 'u1', 'u2')
        self.assertEqual('', driver.state.isolated_with)
        key, outs = driver.submit(verb=WRITE)
        self.assertNotIn(key, support.answers(outs))

    def test_fast_confirmation_behind_a_partition(self):
        """The confirming replica is not listed yet.

        Guards against two writes acknowledged during a partition and lost
        after it. A primary is cut off with two proxies, and the other side
        promotes another. A replica starts on the side of the old primary and
        confirms its writes 30 ms before it is listed. Each write is sent after
        the replicas became silent and is confirmed within 150 ms, so none
        hangs long enough to be given up, and the primary does not report which
        replica confirmed it. In the log: partition and silence of all replicas
        from 32.07 s, write sent at 32.54 s and confirmed at 32.62 s, replica
        listed at 32.65 s.
        """
        driver = support.Driver().ready()
        run_for(driver, 460, 'u1')
        key, _ = driver.submit(verb=WRITE)
        run_for(driver, 80, 'u1')
        outs = []
        for connection in driver.busy('u1'):
            if connection.work == key:
                outs += driver.reply(connection, support.ok('signed'))
        outcome = support.answers(outs).get(key)
        self.assertNotIsInstance(outcome, outcomes.Done)

    def confirmed_alone(self) -> support.Driver:
        """Have a write confirmed while no replica is reachable."""
        driver = support.Driver().ready()
        run_for(driver, 460, 'u1')
        self.key, _ = driver.submit(verb=WRITE)
        (connection,) = [c for c in driver.busy('u1') if c.work]
        driver.reply(connection, support.ok('signed'))
        driver.outs.clear()
        return driver

    def test_write_confirmed_alone_is_acknowledged_once_a_replica_replies(
        self,
    ):
        """Only this proxy did not reach the replicas."""
        driver = self.confirmed_alone()
        self.assertNotIn(self.key, support.answers(driver.outs))
        run_for(driver, 100, 'u1', 'u2', 'u3')
        outcome = support.answers(driver.outs)[self.key]
        self.assertIsInstance(outcome, outcomes.Done)

    def test_write_confirmed_alone_is_unknown_without_proof(self):
        """It is not acknowledged, not reported as not run, and not resent.

        Guards against a write that took effect and is reported as not run, so
        that its caller writes it twice.
        """
        driver = self.confirmed_alone()
        run_for(driver, 900, 'u1')
        outcome = support.answers(driver.outs)[self.key]
        self.assertIsInstance(outcome, outcomes.Unknown)
        sent = [
            send
            for send in support.sends(driver.outs)
            if any(isinstance(c, statements.Run) for c in send.commands)
        ]
        self.assertEqual([], sent)

    def test_write_confirmed_alone_at_a_replaced_primary(self):
        """The successor may lack the write, but it is not rerun there."""
        driver = self.confirmed_alone()
        driver.state.primary = 'u2'
        outs = driver.tick(20)
        self.assertIsInstance(
            support.answers(outs)[self.key], outcomes.Unknown
        )

    def test_write_confirmed_alone_proves_nothing(self):
        """It proves neither an acknowledged position nor a replica's age."""
        driver = support.Driver().ready()
        acknowledged = driver.state.acknowledged
        run_for(driver, 460, 'u1')
        driver.submit(verb=WRITE)
        (connection,) = [c for c in driver.busy('u1') if c.work]
        driver.reply(
            connection, support.ok('signed', place=support.Place(1, 9))
        )
        self.assertEqual(acknowledged, driver.state.acknowledged)

    def test_no_isolation_without_a_primary(self):
        """Without a primary no write is confirmed.

        Guards against fifty log lines a second that report an isolation: a
        group without a primary, whose replicas are silent, gets a new replica.
        An empty name was taken for that of a primary.
        """
        driver = support.Driver()
        driver.list_upstreams(primary='')
        driver.open_all()
        driver.list_upstreams(
            primary='', names=('u1', 'u2', 'u3', 'u4'), revision=2
        )
        run_for(driver, 600, 'u4')
        self.assertEqual(0, driver.state.counters['isolated'])
