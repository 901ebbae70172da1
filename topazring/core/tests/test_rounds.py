"""Rounds that confirm, and those that must not."""

import random

import testtools

from topazring.core import log_positions
from topazring.core import messages
from topazring.core import owner
from topazring.core import rounds
from topazring.core import state as states

Place = log_positions.LogPosition


def status(upstream, term, place, leads=False):
    return messages.Status(upstream, term, leads, place)


class TestRounds(testtools.TestCase):
    """Confirm only what a majority holds under the round's term."""

    def setUp(self):
        super().setUp()
        self.state = rounds.Rounds(term=2)

    def ask(self, now_ms=0):
        return rounds.start_round(self.state, now_ms, ['u2', 'u3'])

    def test_one_replica_of_three_confirms(self):
        rounds.add_waiter(self.state, 7, Place(2, 5), 0)
        asks = self.ask()
        self.assertEqual({'u2', 'u3'}, {ask.upstream for ask in asks})
        reply = status('u2', 2, Place(2, 5))
        found = rounds.note_status(self.state, asks[0].round_id, reply, 2)
        self.assertEqual([7], [waiter.key for waiter in found])

    def test_round_from_before_the_read(self):
        """A stale read at a primary that was replaced.

        Symptom: a strict read misses an acknowledged write. Sequence: a
        round begins; its status is sent by a replica that still holds to
        the old term; that replica is fenced, a new primary promoted and a
        write acknowledged; the old primary, which the fence did not reach,
        serves the read; the old status arrives. Cause: the status says
        nothing about the time after the read.
        """
        rounds.add_waiter(self.state, 1, Place(2, 5), 0)
        asks = self.ask()
        rounds.add_waiter(self.state, 2, Place(2, 5), 10)
        reply = status('u2', 2, Place(2, 5))
        found = rounds.note_status(self.state, asks[0].round_id, reply, 2)
        self.assertEqual([1], [waiter.key for waiter in found])
        self.assertIn(2, self.state.waiters)

    def test_longer_tail_of_an_older_term(self):
        """A write acknowledged that only the primary holds.

        Symptom: a save is gone after the next promotion. Sequence: a
        replica holds a long tail of a replaced primary, accepts the new
        term, and reports before the new primary has cut its log back.
        Cause: its position is past the save's, in another log.
        """
        rounds.add_waiter(self.state, 1, Place(2, 5), 0)
        asks = self.ask()
        reply = status('u2', 2, Place(1, 900))
        found = rounds.note_status(self.state, asks[0].round_id, reply, 2)
        self.assertEqual([], found)

    def test_higher_term_does_not_confirm(self):
        rounds.add_waiter(self.state, 1, Place(2, 5), 0)
        asks = self.ask()
        reply = status('u2', 3, Place(2, 5))
        found = rounds.note_status(self.state, asks[0].round_id, reply, 2)
        self.assertEqual([], found)

    def test_one_round_serves_all_that_wait(self):
        for key in range(50):
            rounds.add_waiter(self.state, key, Place(2, key + 1), 0)
        asks = self.ask()
        self.assertEqual(2, len(asks))
        self.assertEqual(Place(2, 50), asks[0].place)
        self.assertEqual([], self.ask())

    def test_asks_in_flight_are_limited(self):
        for key in range(20):
            rounds.add_waiter(self.state, key, Place(2, key + 1), 0)
            self.ask()
        for asked in self.state.in_flight.values():
            self.assertEqual(rounds.MAX_ROUNDS_IN_FLIGHT, len(asked))

    def test_partial_reply_confirms_the_earlier_place(self):
        rounds.add_waiter(self.state, 1, Place(2, 5), 0)
        rounds.add_waiter(self.state, 2, Place(2, 9), 0)
        asks = self.ask()
        reply = status('u3', 2, Place(2, 6))
        found = rounds.note_status(self.state, asks[0].round_id, reply, 2)
        self.assertEqual([1], [waiter.key for waiter in found])


class TestLostAsks(testtools.TestCase):
    """Asks that were never sent are asked again."""

    def test_ask_before_the_connection_is_open(self):
        """A read that waits for a round that nobody was asked for.

        Symptom: during a rolling restart a read ends as not confirmed,
        though every upstream answers. Sequence: a proxy becomes an owner; a
        read at the primary comes before the connections to the replicas are
        open; the asks are dropped; they count as under way for two seconds.
        Cause: nobody told the core.
        """
        state = states.make_owner(
            'p1',
            'calc1',
            ['u1', 'u2', 'u3'],
            states.Limits(),
            random.Random(1),
        )
        state.view.primary = 'u1'
        rounds.add_waiter(state.round_state, 1, Place(0, 5), 0)
        first = owner.step(state, 0, messages.Tick())
        again = owner.step(state, 30, messages.LinkOpened('u2'))
        asked = [
            [m.upstream for m in outs if isinstance(m, messages.RequestStatus)]
            for outs in (first, again)
        ]
        self.assertIn('u2', asked[0])
        self.assertEqual(['u2'], asked[1])
