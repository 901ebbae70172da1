"""Test walks in which orders are carried out seconds late.

The platform checks tokens as it accepts an order. What it has accepted takes
effect a second later, whatever was called meanwhile.
"""

import testtools

from topazring.core.synchronous.tests import test_fence_gaps
from topazring.core.synchronous.tests import upstream_side
from topazring.core.synchronous.tests import walks

PLATFORM = upstream_side.Platform(
    checks_tokens=True,
    late_share=0.4,
    late_ms=(900, 2000, 3000, 5000),
    has_far_peers=True,
)


class LateEffectsTest(testtools.TestCase):
    """An order takes effect after its group was taken for settled."""

    def play(
        self, actions: tuple[tuple[str, int], ...], steps: int, *seeds: int
    ) -> None:
        """Play walks; a guarantee that does not hold raises Violation."""
        for seed in seeds:
            walks.walk(
                seed, steps, actions, walks.SLOW_PROMOTE_MS, platform=PLATFORM
            )

    def test_members_restart_and_leave(self):
        """Guards against writes acknowledged while an order is outstanding."""
        self.play(walks.ACTIONS, 400, 9)

    def test_splits(self):
        """Guards against the word that no promotion is under way."""
        self.play(walks.SPLITS, 200, 39, 45)

    def test_members_that_lose_their_pause(self):
        """Guards against an order that a later one has not replaced."""
        self.play(walks.LOST_PAUSES, 200, 1085, 1091)

    def test_splits_beside_releases(self):
        """Guards against a holder that resumes members once replaced."""
        self.play(test_fence_gaps.MIXED_SPLITS, 100, 70, 1050)
