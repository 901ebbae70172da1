"""Test that the simulation does not take away what the product has."""

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous.tests import simulation as simulations


class YieldedLeaseTest(testtools.TestCase):
    """One proxy yields the promotion lease; the other has no store."""

    def setUp(self):
        """Have p1 yield the lease."""
        super().setUp()
        self.simulation = simulations.Simulation(1)
        self.simulation.run(300)
        self.simulation.without_store.add('p2')
        self.block = self.simulation.next_block
        self.simulation.post('p1', messages.PromotionLeaseSeen(False))
        self.simulation.perform('p1', messages.YieldPromotionLease('test'))

    def test_it_is_gained_again(self):
        """Guards against walks in which nobody may promote any more."""
        self.simulation.run(simulations.YIELD_PAUSE_MS - 500)
        self.assertEqual(self.block, self.simulation.next_block)
        self.simulation.run(1000)
        self.assertEqual('p1', self.simulation.holder)
        self.assertGreater(self.simulation.next_block, self.block)

    def test_the_other_gains_it_once_it_reaches_the_store(self):
        """Guards against a holder that only a split prevents."""
        self.simulation.run(500)
        self.simulation.without_store.clear()
        self.simulation.run(500)
        self.assertEqual('p2', self.simulation.holder)
