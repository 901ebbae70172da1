"""Tests of confirmation rounds."""

import random

import testtools

from topazring.core import log_positions
from topazring.core import messages
from topazring.core import owner
from topazring.core import rounds
from topazring.core import state as states

LogPosition = log_positions.LogPosition


def status(upstream, term, place, leads=False):
    return messages.Status(upstream, term, leads, place)


class TestRounds(testtools.TestCase):
    """A round confirms only what a majority holds under its term."""

    def setUp(self):
        super().setUp()
        self.state = rounds.Rounds(term=2)

    def start_round(self, now_ms=0):
        return rounds.start_round(self.state, now_ms, ['u2', 'u3'])

    def test_one_replica_of_three_confirms(self):
        rounds.add_waiter(self.state, 7, LogPosition(2, 5), 0)
        requests = self.start_round()
        self.assertEqual(
            {'u2', 'u3'}, {request.upstream for request in requests}
        )
        reply = status('u2', 2, LogPosition(2, 5))
        found = rounds.note_status(self.state, requests[0].round_id, reply, 2)
        self.assertEqual([7], [waiter.key for waiter in found])

    def test_round_from_before_the_read(self):
        """A status from before a read does not confirm the read.

        Guards against a strict read at a replaced primary that misses an
        acknowledged write. A round begins, and a replica that is still at the
        old term sends its status. Then the replica is fenced, a new primary is
        promoted and a write is acknowledged. The old primary, which the fence
        did not reach, serves the read, and the old status arrives. It must not
        confirm the read, since it says nothing about the time after it.
        """
        rounds.add_waiter(self.state, 1, LogPosition(2, 5), 0)
        requests = self.start_round()
        rounds.add_waiter(self.state, 2, LogPosition(2, 5), 10)
        reply = status('u2', 2, LogPosition(2, 5))
        found = rounds.note_status(self.state, requests[0].round_id, reply, 2)
        self.assertEqual([1], [waiter.key for waiter in found])
        self.assertIn(2, self.state.waiters)

    def test_longer_tail_of_an_older_term(self):
        """A log position of an older term confirms no write.

        Guards against acknowledging a write that only the primary holds and
        that is lost at the next promotion. A replica has a long tail of a
        replaced primary's log, accepts the new term, and reports its status
        before the new primary has truncated its log. Its position is past the
        write's, but in another log.
        """
        rounds.add_waiter(self.state, 1, LogPosition(2, 5), 0)
        requests = self.start_round()
        reply = status('u2', 2, LogPosition(1, 900))
        found = rounds.note_status(self.state, requests[0].round_id, reply, 2)
        self.assertEqual([], found)

    def test_higher_term_does_not_confirm(self):
        rounds.add_waiter(self.state, 1, LogPosition(2, 5), 0)
        requests = self.start_round()
        reply = status('u2', 3, LogPosition(2, 5))
        found = rounds.note_status(self.state, requests[0].round_id, reply, 2)
        self.assertEqual([], found)

    def test_one_round_serves_all_waiters(self):
        for key in range(50):
            rounds.add_waiter(self.state, key, LogPosition(2, key + 1), 0)
        requests = self.start_round()
        self.assertEqual(2, len(requests))
        self.assertEqual(LogPosition(2, 50), requests[0].place)
        self.assertEqual([], self.start_round())

    def test_rounds_in_flight_are_limited(self):
        for key in range(20):
            rounds.add_waiter(self.state, key, LogPosition(2, key + 1), 0)
            self.start_round()
        for in_flight in self.state.in_flight.values():
            self.assertEqual(rounds.MAX_ROUNDS_IN_FLIGHT, len(in_flight))

    def test_partial_reply_confirms_the_earlier_place(self):
        rounds.add_waiter(self.state, 1, LogPosition(2, 5), 0)
        rounds.add_waiter(self.state, 2, LogPosition(2, 9), 0)
        requests = self.start_round()
        reply = status('u3', 2, LogPosition(2, 6))
        found = rounds.note_status(self.state, requests[0].round_id, reply, 2)
        self.assertEqual([1], [waiter.key for waiter in found])


class TestLostRequests(testtools.TestCase):
    """Status requests that were never sent are repeated."""

    def test_ask_before_the_connection_is_open(self):
        """Requests dropped before the connections are open are sent again.

        Guards against a read that waits for a round whose requests were never
        sent: during a rolling restart it ends as not confirmed, although every
        upstream answers. A proxy becomes an owner and serves a read at the
        primary before the connections to the replicas are open. The status
        requests are dropped, but counted as in flight for two seconds, because
        the core was not notified.
        """
        state = states.make_owner(
            'p1',
            'calc1',
            ['u1', 'u2', 'u3'],
            states.Limits(),
            random.Random(1),
        )
        state.view.primary = 'u1'
        rounds.add_waiter(state.round_state, 1, LogPosition(0, 5), 0)
        first = owner.step(state, 0, messages.Tick())
        again = owner.step(state, 30, messages.LinkOpened('u2'))
        requested = [
            [m.upstream for m in outs if isinstance(m, messages.RequestStatus)]
            for outs in (first, again)
        ]
        self.assertIn('u2', requested[0])
        self.assertEqual(['u2'], requested[1])
