"""Test partitions that last longer than the entries of the far side."""

import random

import testtools

from topazring.core.synchronous.tests import ablations
from topazring.core.synchronous.tests import fake_group
from topazring.core.synchronous.tests import simulation as simulations
from topazring.core.synchronous.tests import walks

SEEDS = 10
WALKS = 30
WALK_STEPS = 100
# Time for a proxy to settle.
CALM_ACTIONS = 6
# Number of `work` actions in a split; each takes some 300 ms.
SPLIT_ACTIONS = 30


def play(seed: int, side: set[str]) -> simulations.Simulation:
    """Split the proxy p2 and some members off for some 9 s."""
    rng = random.Random(seed)
    simulation = simulations.Simulation(seed, walks.SLOW_PROMOTE_MS)
    simulation.run(300)
    for _ in range(8):
        simulation.open_session()
    work(simulation, rng, CALM_ACTIONS)
    walks.split_off(simulation, {'p2'}, side)
    work(simulation, rng, SPLIT_ACTIONS)
    walks.heal_split(simulation)
    work(simulation, rng, CALM_ACTIONS)
    simulation.finish()
    return simulation


def work(
    simulation: simulations.Simulation, rng: random.Random, count: int
) -> None:
    """Submit statements for a while."""
    for _ in range(count):
        walks.perform(simulation, rng, 'work')


class LongSplitTest(testtools.TestCase):
    """Test a proxy and members behind a partition of many seconds."""

    def test_primary_and_replica_behind_a_long_split(self):
        """Guards against promoting a member that lacks writes held there."""
        for seed in range(SEEDS):
            play(seed, {'u1', 'u2'})

    def test_primary_alone_behind_a_long_split(self):
        """Guards against waiting for a primary when both replicas answer."""
        for seed in range(SEEDS):
            world = play(seed, {'u1'})
            self.assertGreater(world.oracle.counts.get('promoted', 0), 0)

    def test_walks_through_splits(self):
        """Guards against a loss in splits beside other faults."""
        for seed in range(WALKS):
            walks.walk(seed, WALK_STEPS, walks.SPLITS, walks.SLOW_PROMOTE_MS)

    def test_walks_notice_what_is_left_out(self):
        """Each rule that is left out leads to a violation on some walk."""
        for name in sorted(ablations.SOON_THROUGH_SPLITS):
            with ablations.ABLATIONS[name]():
                self.assertTrue(_is_any_walk_broken(), name)


def _is_any_walk_broken() -> bool:
    for seed in range(WALKS):
        try:
            walks.walk(seed, WALK_STEPS, walks.SPLITS, walks.SLOW_PROMOTE_MS)
        except fake_group.Violation:
            return True
    return False
