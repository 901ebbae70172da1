"""A seed says the same each time, and all faults are drawn."""

import testtools

from topazring.soak import faults
from topazring.soak import schedules

SEEDS = range(200)


class SchedulesTest(testtools.TestCase):
    """Schedules of many seeds."""

    def test_same_each_time(self):
        for seed in SEEDS:
            self.assertEqual(
                schedules.draw(seed, 20), schedules.draw(seed, 20)
            )

    def test_all_faults_are_drawn(self):
        drawn = {
            step.fault
            for seed in SEEDS
            for step in schedules.draw(seed, 20).steps
        }
        self.assertEqual(set(faults.faults_by_name()), drawn)

    def test_ends_quietly(self):
        for seed in SEEDS:
            for step in schedules.draw(seed, 20).steps:
                self.assertLess(step.at_ms, 20_000 - schedules.FINAL_QUIET_MS)
