"""Test how owners share the slots of an upstream."""

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import messages
from topazring.core.synchronous.scheduling import upstream_room
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Verb = support.Verb
SLOTS = 5
ROOM = 7
BUSY = support.refused(statements.Code.BUSY)


def make_owner(
    count: int, rank: int | None = 0, slots: int = SLOTS, share: int = 8
) -> support.Driver:
    """Return an owner whose upstreams state their slots."""
    driver = support.Driver(share).ready()
    for upstream in driver.state.upstreams.values():
        upstream.slots = slots
    upstream_room.note_owners(
        driver.state, messages.InstancesSeen(count, 61, rank)
    )
    return driver


def submit_many(driver: support.Driver, count: int) -> int:
    """Submit writes; return how many run at the primary."""
    for _ in range(count):
        driver.submit(support.EXACT, Verb.WRITE)
    return sum(bool(connection.work) for connection in driver.busy('u1'))


class PartsTest(testtools.TestCase):
    """The parts of all owners sum up to the room of the upstream."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        slots=strategies.integers(1, 40), owners=strategies.integers(1, 64)
    )
    def test_parts_never_sum_above_the_room(self, slots: int, owners: int):
        """Beyond it there is at most one statement for each owner."""
        room = upstream_room.room_of(slots)
        parts = [
            upstream_room.part_of_room(room, owners, rank)
            for rank in range(owners)
        ]
        self.assertEqual(max(room, owners), sum(parts))
        self.assertLessEqual(room, slots + max(1, 0.4 * slots + 1))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
    @hypothesis.given(
        owners=strategies.integers(1, 8),
        events=strategies.lists(strategies.sampled_from('qsb'), max_size=60),
    )
    def test_limits_stay_within_the_parts(self, owners: int, events: list):
        """No sequence of quick, slow and refused replies exceeds them."""
        total = 0
        for rank in range(owners):
            state = make_owner(owners, rank).state
            upstream = state.upstreams['u1']
            for event in events:
                upstream.service_ms = 200.0 if event == 's' else 10.0
                if event == 'b':
                    concurrency_limit.reduce_limit(state, upstream)
                else:
                    concurrency_limit.adjust_limit(state, upstream)
            part = upstream_room.part_of(state, upstream)
            limit = min(part, round(upstream.concurrency_limit))
            self.assertGreaterEqual(limit, 1)
            total += limit
        self.assertLessEqual(total, max(ROOM, owners))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        slots=strategies.integers(1, 40),
        counts=strategies.lists(
            strategies.integers(1, 8), min_size=1, max_size=8
        ),
    )
    def test_owners_with_different_lists(self, slots: int, counts: list):
        """Guards against owners that each take the room of all.

        Owners that see fewer of the others, as after a link was cut, take
        what these would have, and no more than the whole room.
        """
        room = upstream_room.room_of(slots)
        parts = [
            upstream_room.part_of_room(room, count, min(rank, count - 1))
            for rank, count in enumerate(counts)
        ]
        fewest = min(counts)
        self.assertLessEqual(max(parts), max(1, -(-room // fewest)))

    def test_owners_run_only_their_parts(self):
        """Three owners have seven connections each but share seven places."""
        running = [submit_many(make_owner(3, rank), 8) for rank in range(3)]
        self.assertEqual([3, 2, 2], running)

    def test_unknown_slots(self):
        """The limit adapts to the service time, as without this module."""
        driver = make_owner(8, 7, slots=0)
        self.assertIsNone(
            upstream_room.part_of(driver.state, driver.state.upstreams['u1'])
        )
        self.assertEqual(8, submit_many(driver, 8))

    def test_more_owners_than_the_room_has_places_for(self):
        """Guards against parts that exceed the slots four times."""
        driver = make_owner(8, 7, slots=2)
        self.assertIsNone(
            upstream_room.part_of(driver.state, driver.state.upstreams['u1'])
        )
        driver = make_owner(8, 7, slots=4)
        self.assertEqual(
            1,
            upstream_room.part_of(driver.state, driver.state.upstreams['u1']),
        )

    def test_proxy_that_is_no_owner(self):
        """It has no part; the lease holder may still query the upstream."""
        driver = make_owner(8, None)
        self.assertIsNone(
            upstream_room.part_of(driver.state, driver.state.upstreams['u1'])
        )

    def test_owner_that_left(self):
        """Guards against a part that nobody uses after its owner has left."""
        driver = make_owner(7, 1)
        upstream = driver.state.upstreams['u1']
        self.assertEqual(1, upstream_room.part_of(driver.state, upstream))
        outs = driver.post(messages.InstancesSeen(2, 61, 1))
        self.assertEqual(3, upstream_room.part_of(driver.state, upstream))
        logged = [o for o in outs if isinstance(o, messages.LogDecision)]
        self.assertIn('part of the room', [o.what for o in logged])
        outs = driver.post(messages.InstancesSeen(2, 61, 1))
        self.assertNotIn(
            'part of the room',
            [o.what for o in outs if isinstance(o, messages.LogDecision)],
        )


class RefusingUpstreamTest(testtools.TestCase):
    """An upstream refuses statements as others exceed their parts."""

    def test_part_is_used_again_after_eight_replies(self):
        """Guards against seconds at half of the room after a crowd."""
        state = make_owner(1).state
        upstream = state.upstreams['u1']
        for _ in range(4):
            concurrency_limit.reduce_limit(state, upstream)
        self.assertEqual(1, round(upstream.concurrency_limit))
        for _ in range(concurrency_limit.REPLIES_TO_PART):
            concurrency_limit.adjust_limit(state, upstream)
        self.assertEqual(ROOM, round(upstream.concurrency_limit))
        self.assertEqual(4, state.counters['refused_within_part'])

    def test_slow_statements_keep_the_part(self):
        """Guards against idle slots of an upstream that has become slow."""
        state = make_owner(1).state
        upstream = state.upstreams['u1']
        for _ in range(40):
            upstream.service_ms = 300.0
            concurrency_limit.adjust_limit(state, upstream)
        self.assertEqual(ROOM, round(upstream.concurrency_limit))
