"""Incrementally maintained owners equal owners computed from scratch."""

import random

import testtools

from topazring.core import hashing
from topazring.core import placement as placements


class TestPlacement(testtools.TestCase):
    """The owners stay exact over joins and departures."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(1)
        self.placement = placements.Placement(2)
        self.databases = {}
        for number in range(60):
            region = f'r{number % 3}'
            self.databases[f'd{number}'] = region
            placements.set_database(self.placement, f'd{number}', region)

    def candidate(self, number):
        return hashing.Candidate(
            f'p{number}', f'r{number % 3}', f'c{number % 9}'
        )

    def compute_owners(self, name, candidates):
        return hashing.choose_owners(name, self.databases[name], candidates, 2)

    def test_joins_and_departures(self):
        """Cached owners equal owners from a full computation.

        Guards against two proxies that disagree permanently on the owners of a
        database. After many joins and departures in differing batches, the
        cached candidates lack one that a full computation would find.
        """
        present = set(range(40))
        for _ in range(60):
            flips = self.rng.sample(range(60), self.rng.randrange(1, 12))
            present ^= set(flips)
            candidates = [self.candidate(n) for n in sorted(present)]
            placements.set_candidates(self.placement, candidates)
            for name in self.databases:
                self.assertEqual(
                    self.compute_owners(name, candidates),
                    placements.owners_of(self.placement, name),
                )

    def test_region_without_proxies_is_served_by_others(self):
        others = [self.candidate(n) for n in (1, 2, 4, 5)]
        placements.set_candidates(self.placement, others)
        self.assertEqual(
            self.compute_owners('d0', others),
            placements.owners_of(self.placement, 'd0'),
        )
        own = self.candidate(0)
        changed = placements.set_candidates(self.placement, [*others, own])
        self.assertIn('d0', changed)
        self.assertEqual(('p0',), placements.owners_of(self.placement, 'd0'))

    def test_only_databases_with_changed_owners_are_returned(self):
        candidates = [self.candidate(n) for n in range(30)]
        placements.set_candidates(self.placement, candidates)
        before = {
            name: placements.owners_of(self.placement, name)
            for name in self.databases
        }
        changed = placements.set_candidates(self.placement, candidates[1:])
        for name, owners in before.items():
            self.assertEqual('p0' in owners, name in changed)
