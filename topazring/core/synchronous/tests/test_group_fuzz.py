"""Walk at random through groups with synchronous replicas."""

import testtools

from topazring.core.synchronous.tests import walks

WALKS = 60
STEPS = 400


class GroupFuzzTest(testtools.TestCase):
    """Every promise holds on every walk."""

    def test_walks(self):
        """No walk breaks a promise, and all together do what they should."""
        counts: dict[str, int] = {}
        for seed in range(WALKS):
            world = walks.walk(seed, STEPS)
            for what, count in world.oracle.counts.items():
                counts[what] = counts.get(what, 0) + count
        self.assertGreater(counts['promoted'], WALKS / 4)
        self.assertGreater(counts['Done'], counts['NotRun'])
        self.assertGreater(counts['Done'], 10 * counts.get('Unknown', 0))
