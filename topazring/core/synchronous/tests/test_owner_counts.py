"""Test the number of owners that the slots of a group call for under load."""

import testtools

from topazring.core.synchronous import ownership
from topazring.core.synchronous.tests import owner_counts

SEEDS = (1, 2)


class PrimaryAloneTest(testtools.TestCase):
    """Replicas lag, and the primary is asked for more than it can run."""

    def trials(self, slots: int, kills: bool = False) -> list:
        """Run trials with the owners that a fleet of 75 chooses."""
        fleet = [ownership.Proxy(f'p{n}', 'abc'[n % 3]) for n in range(75)]
        most, _ = owner_counts.UPSTREAMS[slots]
        owned = ownership.select_owners('s', fleet, most, slots)
        return [
            owner_counts.trial(slots, len(owned.owners), 1.4, seed, kills)
            for seed in SEEDS
        ]

    def test_trades_go_first_at_five_slots(self):
        """Guards against trades that wait behind rankings at the primary.

        Each of eight owners keeps at least one statement running there, and
        its own queue has no priorities. Five owners bring 97% of the trades in
        within their goal.
        """
        trades = [each.tallies['trade'] for each in self.trials(5)]
        begun = sum(tally.begun for tally in trades)
        in_goal = sum(tally.in_goal for tally in trades)
        self.assertGreater(in_goal, 0.95 * begun)

    def test_loss_of_an_owner_at_five_slots(self):
        """Guards against fewer owners making the loss of one too costly.

        What the lost owner held fails: some four of a thousand operations
        in eight seconds.
        """
        tallies = [
            tally
            for each in self.trials(5, kills=True)
            for tally in each.tallies.values()
        ]
        begun = sum(tally.begun for tally in tallies)
        failed = sum(tally.failed_after_waiting for tally in tallies)
        self.assertLess(failed, 0.02 * begun)
