"""Test the sharing of an upstream's slots under simulated load.

Rates, service times and goals are those of a customer's specification whose
upstreams run five statements at a time; the replicas apply late, so the
primary serves alone.
"""

import functools
import statistics

import testtools

from topazring.core.synchronous.scheduling.tests import room_simulation
from topazring.core.synchronous.scheduling import upstream_room

CROWD = 300
MODERATE = 150


def crowded(owners: int, seed: int = 1) -> room_simulation.RoomSimulation:
    """Simulate 5 s in which a crowd asks for half more than there is."""
    simulation = room_simulation.RoomSimulation(seed, CROWD, owners)
    simulation.serve_alone(5000)
    return simulation


@functools.cache
def finished(owners: int) -> room_simulation.RoomSimulation:
    """Return a simulation of a crowd; it must not be continued."""
    return crowded(owners)


class SharedSlotsTest(testtools.TestCase):
    """Several owners share the five slots of a primary that serves alone.

    Guards against eight limits from one to eight over five slots: statements
    wait in the upstream's queue, which knows no priority, and writes of a
    higher priority miss their goal behind reads.
    """

    def test_writes_meet_their_goal_in_a_crowd(self):
        """Requests of the higher priority go first at two and eight owners."""
        for owners in (2, 8):
            tally = finished(owners).tallies['trade']
            self.assertGreater(tally.in_goal, 0.9 * tally.begun, owners)

    def test_no_statement_is_refused_by_a_full_queue(self):
        """The owners' parts leave the upstream's queue almost empty."""
        for owners in (2, 5, 8):
            simulation = finished(owners)
            self.assertEqual(0, simulation.refused_by_full_queue(), owners)
            primary = simulation.upstreams['u1']
            room = max(owners, upstream_room.room_of(primary.slots))
            waiting = statistics.fmean(simulation.waiting_at_primary)
            # Beyond the room there are only statements of transactions.
            self.assertLess(waiting, room - primary.slots + 2, owners)

    def test_slots_are_busy_in_a_crowd(self):
        """Guards against slots that idle while statements are on their way."""
        for owners in (2, 8):
            running = statistics.fmean(finished(owners).running_at_primary)
            self.assertGreater(running, 0.95 * room_simulation.SLOTS, owners)


class ChangingLoadTest(testtools.TestCase):
    """The load, or the speed of the primary, changes at once."""

    def next_second(self, simulation) -> float:
        """Return the share in goal of what arrives after half a second."""
        simulation.run(500)
        simulation.reset_tallies()
        simulation.run(3000)
        return simulation.in_goal()

    def test_crowd_leaves(self):
        """Guards against seconds until the room is used again."""
        simulation = crowded(8)
        simulation.rate = MODERATE / CROWD
        self.assertGreater(self.next_second(simulation), 0.95)

    def test_upstream_was_slow(self):
        """Guards against a limit that grows back over seconds."""
        simulation = room_simulation.RoomSimulation(1, MODERATE, 8)
        simulation.serve_alone(1000)
        simulation.slowness = 4.0
        simulation.run(2000)
        simulation.slowness = 1.0
        self.assertGreater(self.next_second(simulation), 0.9)

    def test_upstream_was_shedding(self):
        """The upstream refuses nearly all statements for two seconds."""
        simulation = room_simulation.RoomSimulation(1, MODERATE, 2)
        simulation.serve_alone(1000)
        primary = simulation.upstreams['u1']
        primary.queue = 0
        simulation.run(2000)
        primary.queue = room_simulation.QUEUE
        self.assertGreater(simulation.refused_by_full_queue(), 100)
        self.assertGreater(self.next_second(simulation), 0.9)
