"""Estimate waits from what may serve; keep queues at upstreams short."""

import dataclasses

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Place = support.Place
Reason = outcomes.Reason
Verb = support.Verb


def late_replicas(share: int = 2) -> support.Driver:
    """Reach a group whose replicas lack what its primary held long ago."""
    driver = support.Driver(share).ready()
    for name in ('u2', 'u3'):
        upstream = driver.state.upstreams[name]
        upstream.place = Place(1, 1)
        upstream.missing_place = Place(1, 2)
        upstream.lagging_ms = driver.now_ms
        upstream.lagging_pause_ms = 10_000
    return driver


class WaitTest(testtools.TestCase):
    """Pattern: a line that only some of the upstreams can serve."""

    def test_idle_replicas_that_are_late_do_not_count(self):
        """A read behind many is refused, however idle they are.

        Symptom: 85 reads wait for their whole time beside idle replicas, and
        none is refused. Sequence: both replicas apply seconds late; a read
        that comes is expected to be served within 100 ms by three upstreams;
        one serves it, if at all, after a second. Cause: counting upstreams
        that lack the place. Proof: lines of the log that show waiting reads,
        idle connections to replicas, and "lacks".
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
        """The same reads are let in where replicas keep up."""
        driver = support.Driver().ready()
        for _ in range(9):
            _, outs = driver.submit(support.BOUNDED)
            self.assertEqual({}, support.answers(outs))

    def test_transactions_keep_connections(self):
        """A line moves no faster than connections come free.

        Symptom: saves wait for their whole time at one owner. Sequence:
        transactions whose callers pause keep both connections for half a
        second each; a statement itself takes 15 ms. Cause: estimating the
        wait from how long statements take.
        """
        driver = support.Driver().ready()
        driver.state.upstreams['u1'].hold_ms = 500.0
        for _ in range(2):
            driver.submit(support.EXACT, Verb.WRITE)
        driver.submit(support.EXACT, Verb.WRITE)
        key, outs = driver.submit(support.EXACT, Verb.WRITE)
        refusal = support.answers(outs)[key]
        self.assertEqual(Reason.OVERLOAD, refusal.reason)

    def test_whole_transaction_is_learned(self):
        """A connection counts as kept until it is free again."""
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

    def test_first_in_line_is_never_refused(self):
        """Otherwise connections would be idle between two requests."""
        driver = support.Driver().ready()
        driver.state.upstreams['u1'].hold_ms = 5000.0
        for _ in range(3):
            _, outs = driver.submit(support.EXACT, Verb.WRITE)
            self.assertEqual({}, support.answers(outs))


class RoomTest(testtools.TestCase):
    """Pattern: many owners before an upstream whose slots are full.

    Symptom: a save of a few ms takes 130 ms, a transaction half a second.
    Sequence: eight owners have all their connections at work at an upstream
    with three slots; its queue takes all in the order in which they come.
    Cause: a connection that is free was reason enough to use it. Proof: 26
    connections at work, and statements of 85 to 140 ms instead of 15.
    """

    def slowed(self, answers: int, service_ms: float) -> states.GroupState:
        """Have an upstream answer some times, each time as slowly."""
        state = support.Driver(share=4).ready().state
        upstream = state.upstreams['u1']
        for _ in range(answers):
            upstream.service_ms = service_ms
            concurrency_limit.adjust_limit(state, upstream)
        return state

    def test_less_at_work_where_statements_queue(self):
        """Down to one, never to none."""
        state = self.slowed(40, 130.0)
        self.assertEqual(1, round(state.upstreams['u1'].concurrency_limit))
        self.assertTrue(
            concurrency_limit.has_capacity(
                state, 10_000, state.upstreams['u1']
            )
        )

    def test_more_again_once_it_is_quick(self):
        """Within some sixty quick answers all may be at work."""
        state = self.slowed(40, 130.0)
        upstream = state.upstreams['u1']
        for _ in range(60):
            upstream.service_ms = 15.0
            concurrency_limit.adjust_limit(state, upstream)
        self.assertEqual(4, round(upstream.concurrency_limit))

    def test_slow_by_nature_is_no_queue(self):
        """Statements that always take long are the upstream's quick time."""
        state = self.slowed(3000, 130.0)
        self.assertEqual(4, round(state.upstreams['u1'].concurrency_limit))

    def test_urgent_goes_next(self):
        """The line is here, so it is served in the order of priorities."""
        driver = support.Driver(share=2).ready()
        driver.state.upstreams['u1'].concurrency_limit = 1.0
        low = dataclasses.replace(support.EXACT, priority=2)
        for _ in range(2):
            driver.submit(low)
        key, _ = driver.submit(support.EXACT)
        (running,) = [c for c in driver.busy('u1') if c.work]
        driver.reply(running, support.ok('signed'))
        self.assertEqual([key], [c.work for c in driver.busy('u1') if c.work])

    def test_lost_answer_takes_no_room(self):
        """A connection that waits for an answer that is lost is not at work.

        Symptom: an owner sends nothing to an idle primary for 1.5 s at a
        time. Sequence: statements queue, so one connection is to be at work;
        its answer is lost on the way. Cause: counting it as at work for as
        long as its answer is waited for. Proof: read in the code.
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

    def test_full_replica_is_left_alone_for_a_moment(self):
        """It has room again after about one statement.

        Symptom: one read is sent 209 times in 60 ms to a replica that refuses
        it each time. Sequence: all others lack the place that the read has to
        see; the replica's queue is full, and it is near. Cause: a replica that
        was full ranked lower, but the only one was asked again at once.
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
