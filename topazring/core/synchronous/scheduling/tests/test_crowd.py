"""Test order and admission under load, without a network.

A primary with five slots serves alone, and callers ask for up to one and a
half times what it can serve.
"""

import dataclasses

import testtools

from topazring.core.synchronous.scheduling.tests import crowd


class LonePrimaryCrowdPattern(testtools.TestCase):
    """Both replicas are late, and the primary cannot serve all callers.

    Guards against slots spent on requests that are late already. With eight
    owners 53% of a customer's 300 operations a second were in their goals,
    where the slots suffice for two thirds.
    """

    def run_crowd(self, kinds, owners: int) -> crowd.Crowd:
        """Return the finished simulation of eight seconds."""
        simulation = crowd.Crowd(1, kinds, owners)
        simulation.serve_alone(8000)
        return simulation

    def assert_served(self, simulation: crowd.Crowd, share: float) -> None:
        """Check the share of operations that were served in their goals."""
        tallies = simulation.tallies.values()
        begun = sum(tally.begun for tally in tallies)
        in_goal = sum(tally.in_goal for tally in tallies)
        self.assertGreater(in_goal, share * begun)

    def test_most_of_what_the_slots_suffice_for_is_in_its_goal(self):
        """Three fifths of the operations are in their goals."""
        for owners in (8, 3):
            simulation = self.run_crowd(crowd.recipe_kinds(300), owners)
            self.assert_served(simulation, 0.6)

    def test_few_accepted_requests_are_given_up(self):
        """Guards against requests that wait until they cannot be served."""
        for kinds in (crowd.recipe_kinds(300), crowd.game_kinds(300)):
            simulation = self.run_crowd(kinds, 8)
            tallies = simulation.tallies.values()
            begun = sum(tally.begun for tally in tallies)
            failed = sum(tally.failed_after_waiting for tally in tallies)
            self.assertLess(failed, 0.1 * begun)

    def test_nobody_is_refused_while_there_is_room(self):
        """Guards against refusals where the slots suffice for all."""
        simulation = self.run_crowd(crowd.recipe_kinds(150), 8)
        self.assert_served(simulation, 0.97)


class LowestPriorityCrowdPattern(testtools.TestCase):
    """Callers of the lowest priority come in three times their number.

    Guards against an order that lets them delay the highest priority. The
    owner runs as many statements as there are slots: what waits in an
    upstream's own queue is in no order.
    """

    def latency_ms(self, factor: float) -> float:
        """Return the 99th percentile of the highest priority."""
        taken_ms: list[float] = []
        for seed in range(1, 7):
            trade, ranking, harvest = crowd.game_kinds(150)
            ranking = dataclasses.replace(
                ranking, per_s=ranking.per_s * factor
            )
            simulation = crowd.Crowd(
                seed, (trade, ranking, harvest), 1, is_shared_exactly=True
            )
            simulation.serve_alone(10_000)
            taken_ms += simulation.tallies['trade'].by_organisation['']
        taken_ms.sort()
        return taken_ms[len(taken_ms) * 99 // 100]

    def test_highest_priority_waits_no_longer(self):
        """The 99th percentile changes by less than a tenth."""
        usual_ms = self.latency_ms(1.0)
        crowded_ms = self.latency_ms(3.0)
        self.assertLess(crowded_ms, usual_ms * 1.1)
