"""Test wait estimates and the concurrency limits of upstreams."""

import dataclasses

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

LogPosition = support.Place
Reason = outcomes.Reason
Verb = support.Verb


def late_replicas(share: int = 2) -> support.Driver:
    """Return a group whose replicas lack an old log position."""
    driver = support.Driver(share).ready()
    for name in ('u2', 'u3'):
        upstream = driver.state.upstreams[name]
        upstream.place = LogPosition(1, 1)
        upstream.missing_place = LogPosition(1, 2)
        upstream.lagging_ms = driver.now_ms
        upstream.lagging_pause_ms = 10_000
    return driver


class WaitTest(testtools.TestCase):
    """A queue that only some of the upstreams can serve."""

    def test_idle_replicas_that_are_late_do_not_count(self):
        """A read behind many others is refused even if replicas are idle.

        Guards against reads (85 in one run) that wait until their deadline
        while replicas are idle, with none refused: both replicas apply
        entries seconds late. A new read is expected to be served by three
        upstreams within 100 ms, but one upstream serves it after a second, if
        at all. Upstreams that lack the log position must not be counted.
        """
        driver = late_replicas()
        driver.state.upstreams['u1'].service_ms = 100.0
        driver.state.upstreams['u1'].hold_ms = 100.0
        refused = []
        for _ in range(20):
            key, outs = driver.submit(support.BOUNDED)
            refused += support.answers(outs).values()
        self.assertGreater(len(refused), 10)
        for refusal in refused:
            self.assertEqual(Reason.OVERLOAD, refusal.reason)
            self.assertGreater(refusal.retry_after_ms, 0)

    def test_replicas_that_may_serve_count(self):
        """The same reads are accepted if the replicas keep up."""
        driver = support.Driver().ready()
        for _ in range(9):
            _, outs = driver.submit(support.BOUNDED)
            self.assertEqual({}, support.answers(outs))

    def test_transactions_hold_connections(self):
        """A queue moves no faster than connections are released.

        Guards against writes that wait until their deadline at one owner:
        transactions whose callers pause hold both connections for half a
        second each, while a statement takes 15 ms. The wait must not be
        estimated from the duration of statements alone.
        """
        driver = support.Driver().ready()
        driver.state.upstreams['u1'].hold_ms = 500.0
        for _ in range(2):
            driver.submit(support.EXACT, Verb.WRITE)
        driver.submit(support.EXACT, Verb.WRITE)
        key, outs = driver.submit(support.EXACT, Verb.WRITE)
        refusal = support.answers(outs)[key]
        self.assertEqual(Reason.OVERLOAD, refusal.reason)

    def test_hold_time_covers_whole_transactions(self):
        """The hold time of a connection includes the whole transaction."""
        driver = support.Driver().ready()
        upstream = driver.state.upstreams['u1']
        driver.submit(support.EXACT, Verb.WRITE, transaction=7, begins=True)
        (connection,) = [c for c in driver.busy('u1') if c.work]
        driver.reply(connection, support.ok())
        in_transaction = statements.SessionState.IN_TRANSACTION
        driver.reply(connection, support.ok('signed', state=in_transaction))
        before_ms = upstream.hold_ms
        driver.now_ms += 1000
        driver.submit(support.EXACT, Verb.COMMIT, transaction=7, writes=False)
        driver.reply(connection, support.ok('signed'))
        self.assertGreater(upstream.hold_ms, before_ms + 50)

    def test_first_in_queue_is_never_refused(self):
        """Otherwise connections would be idle between two requests."""
        driver = support.Driver().ready()
        driver.state.upstreams['u1'].hold_ms = 5000.0
        for _ in range(3):
            _, outs = driver.submit(support.EXACT, Verb.WRITE)
            self.assertEqual({}, support.answers(outs))


class ConcurrencyLimitTest(testtools.TestCase):
    """Many owners share an upstream whose slots are full.

    Guards against writes of a few ms that take 130 ms, and transactions that
    take half a second: eight owners use all their connections to an upstream
    with three slots, and its queue serves statements in order of arrival. In
    one run 26 connections were busy and statements took 85 to 140 ms instead
    of 15. A free connection must not be used just because it is free.
    """

    def slow_down(self, answers: int, service_ms: float) -> states.GroupState:
        """Return the state after some replies with this service time."""
        state = support.Driver(share=4).ready().state
        upstream = state.upstreams['u1']
        for _ in range(answers):
            upstream.service_ms = service_ms
            concurrency_limit.adjust_limit(state, upstream)
        return state

    def test_limit_decreases_while_statements_queue(self):
        """The limit decreases to one, but never to zero."""
        state = self.slow_down(40, 130.0)
        self.assertEqual(1, round(state.upstreams['u1'].concurrency_limit))
        self.assertTrue(
            concurrency_limit.has_capacity(
                state, 10_000, state.upstreams['u1']
            )
        )

    def test_limit_increases_once_statements_are_quick(self):
        """After about sixty quick replies all connections may be busy."""
        state = self.slow_down(40, 130.0)
        upstream = state.upstreams['u1']
        for _ in range(60):
            upstream.service_ms = 15.0
            concurrency_limit.adjust_limit(state, upstream)
        self.assertEqual(4, round(upstream.concurrency_limit))

    def test_constantly_slow_statements_are_no_queue(self):
        """Constantly slow statements do not indicate a queue.

        Their duration counts as the upstream's time without queueing.
        """
        state = self.slow_down(3000, 130.0)
        self.assertEqual(4, round(state.upstreams['u1'].concurrency_limit))

    def test_highest_priority_goes_next(self):
        """The queue is local, so it is served in order of priority."""
        driver = support.Driver(share=2).ready()
        driver.state.upstreams['u1'].concurrency_limit = 1.0
        low = dataclasses.replace(support.EXACT, priority=2)
        for _ in range(2):
            driver.submit(low)
        key, _ = driver.submit(support.EXACT)
        (running,) = [c for c in driver.busy('u1') if c.work]
        driver.reply(running, support.ok('signed'))
        self.assertEqual([key], [c.work for c in driver.busy('u1') if c.work])

    def test_lost_reply_takes_no_capacity(self):
        """A connection that waits for a lost reply does not count as busy.

        Guards against an owner that sends nothing to an idle primary for 1.5
        s at a time: statements queue, so the concurrency limit is one, and
        the reply on that connection is lost. The connection must not count as
        busy for as long as its reply is awaited. The fault was found by
        reading the code.
        """
        driver = support.Driver(share=2).ready()
        driver.state.upstreams['u1'].concurrency_limit = 1.0
        driver.submit(support.EXACT, Verb.WRITE)
        lost = next(c for c in driver.busy('u1') if c.work)
        key, _ = driver.submit(support.EXACT, Verb.WRITE)
        for _ in range(10):
            driver.tick(20)
            driver.answer_leadership_checks()
        (running,) = [c for c in driver.busy('u1') if c.work == key]
        self.assertNotEqual(lost.number, running.number)

    def test_full_replica_is_not_retried_immediately(self):
        """It has capacity again after about one statement.

        Guards against sending one read 209 times in 60 ms to a replica that
        refuses it each time: all other upstreams lack the log position that
        the read needs, and the queue of the nearby replica is full. A full
        replica ranked lower, but the only candidate was retried immediately.
        """
        driver = support.Driver().ready(centres={'u1': 'there'})
        key, _ = driver.submit(support.BOUNDED)
        connection = driver.running(key)
        full = driver.state.upstreams[connection.upstream]
        for upstream in driver.state.upstreams.values():
            if upstream is not full:
                driver.state.work[key].passed_over.add(upstream.name)
        busy = support.refused(statements.Code.BUSY)
        driver.reply(connection, busy)
        self.assertEqual(set(), driver.state.work[key].running)
        driver.tick(20)
        self.assertEqual(1, len(driver.state.work[key].running))
