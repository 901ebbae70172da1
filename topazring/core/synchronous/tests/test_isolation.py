"""Acknowledge nothing behind a partition."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

WRITE = support.Verb.WRITE


def answer_queries_of(driver: support.Driver, *names: str, **said) -> None:
    """Answer guards, and what is asked as writes go out; `u1` leads."""
    for connection in driver.busy():
        if connection.upstream not in names:
            continue
        if connection.commands == exchanges.STATUS_QUERY:
            said = {'held_term': 0, **said}
            driver.reply(connection, support.report(**said))
        if connection.purpose is not states.Purpose.LEADERSHIP_CHECK:
            continue
        first = support.ok()
        if connection.upstream != 'u1':
            first = support.refused(statements.Code.READ_ONLY)
        driver.reply(connection, first, support.ok())


def run_for(driver: support.Driver, for_ms: int, *names: str, **said) -> list:
    """Let time pass while only these upstreams answer, and say this."""
    outs = []
    for _ in range(for_ms // 20):
        outs += driver.tick(20)
        answer_queries_of(driver, *names, **said)
    return outs


class IsolationTest(testtools.TestCase):
    """A proxy that is cut off together with the primary says so in time."""

    def isolated(self) -> support.Driver:
        """Have a write hang while no replica can be reached."""
        driver = support.Driver().ready()
        self.key, _ = driver.submit(verb=WRITE)
        self.outs = run_for(driver, 400, 'u1')
        return driver

    def test_hanging_write_is_given_up(self):
        """A replica that joins the cut off primary may confirm it later.

        Symptom: saves that were acknowledged during a partition are gone
        after it. Sequence: a primary is cut off with two proxies from its
        replicas; the others promote another; a new replica joins the old
        primary and confirms writes that hung; they are acknowledged; the
        promotion ends. Cause: waiting for a confirmation that, if it still
        comes, comes from the wrong side.
        """
        self.isolated()
        outcome = support.answers(self.outs)[self.key]
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_new_write_is_refused_before_it_runs(self):
        """Its caller reaches the other side through another proxy."""
        driver = self.isolated()
        key, outs = driver.submit(verb=WRITE)
        outcome = support.answers(outs)[key]
        self.assertIsInstance(outcome, outcomes.NotRun)

    def test_silent_replicas_alone_say_nothing(self):
        """It may be this proxy alone that does not reach them."""
        driver = support.Driver().ready()
        driver.submit(support.OWN)
        run_for(driver, 600, 'u1')
        self.assertEqual('', driver.state.isolated_with)

    def test_hanging_write_alone_says_nothing(self):
        """Its answer may be lost; the replicas can be reached."""
        driver = support.Driver().ready()
        key, _ = driver.submit(verb=WRITE)
        outs = run_for(driver, 500, 'u1', 'u2', 'u3')
        self.assertEqual('', driver.state.isolated_with)
        self.assertNotIn(key, support.answers(outs))

    def test_ends_when_a_replica_is_heard(self):
        """The partition has healed."""
        driver = self.isolated()
        run_for(driver, 100, 'u1', 'u2')
        self.assertEqual('', driver.state.isolated_with)
        key, outs = driver.submit(verb=WRITE)
        self.assertNotIn(key, support.answers(outs))

    def test_quick_confirmation_behind_a_partition(self):
        """A replica that nobody has listed yet gives it.

        Symptom: two saves that were acknowledged during a partition are gone
        after it. Sequence: a primary is cut off with two proxies; the others
        promote another; a replica starts on the side of the old primary and
        confirms its writes 30 ms before it is listed. Each write is sent
        after the replicas fell silent and confirmed within 150 ms, so none
        hangs long enough to be given up. Cause: nobody tells which replica
        confirmed. Proof: in the log the partition begins at 32.07 s, all
        replicas are silent here from then on, the save is sent at 32.54 s
        and confirmed at 32.62 s, the replica is listed at 32.65 s.
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
        """Have a write confirmed while no replica can be reached."""
        driver = support.Driver().ready()
        run_for(driver, 460, 'u1')
        self.key, _ = driver.submit(verb=WRITE)
        (connection,) = [c for c in driver.busy('u1') if c.work]
        driver.reply(connection, support.ok('signed'))
        driver.outs.clear()
        return driver

    def test_write_confirmed_alone_is_answered_once_a_replica_is_heard(self):
        """It was this proxy alone that did not reach them."""
        driver = self.confirmed_alone()
        self.assertNotIn(self.key, support.answers(driver.outs))
        run_for(driver, 100, 'u1', 'u2', 'u3')
        outcome = support.answers(driver.outs)[self.key]
        self.assertIsInstance(outcome, outcomes.Done)

    def test_write_confirmed_alone_is_unknown_without_proof(self):
        """Neither acknowledged, nor said not to have run, nor sent again.

        What would be wrong: a save that took effect and is refused as not
        run, so that its caller saves it twice.
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
        """Its successor may lack it, so it is not run there again either."""
        driver = self.confirmed_alone()
        driver.state.primary = 'u2'
        outs = driver.tick(20)
        self.assertIsInstance(
            support.answers(outs)[self.key], outcomes.Unknown
        )

    def test_write_confirmed_alone_proves_nothing(self):
        """Neither what is acknowledged, nor how old replicas are."""
        driver = support.Driver().ready()
        acknowledged = driver.state.acknowledged
        run_for(driver, 460, 'u1')
        driver.submit(verb=WRITE)
        (connection,) = [c for c in driver.busy('u1') if c.work]
        driver.reply(
            connection, support.ok('signed', place=support.Place(1, 9))
        )
        self.assertEqual(acknowledged, driver.state.acknowledged)

    def test_needs_a_primary(self):
        """Without one nothing is confirmed by anyone.

        Symptom: fifty lines a second in the log that say `isolated`.
        Sequence: a group without a primary, whose replicas are silent, gets
        a new one. Cause: an empty name taken for a primary's.
        """
        driver = support.Driver()
        driver.list_upstreams(primary='')
        driver.open_all()
        driver.list_upstreams(
            primary='', names=('u1', 'u2', 'u3', 'u4'), revision=2
        )
        run_for(driver, 600, 'u4')
        self.assertEqual(0, driver.state.counters['isolated'])
