"""Test replicas that restart within a promotion, which ends their pause.

The proxies reach neither each other nor the same members meanwhile.
"""

import testtools

from topazring.core.synchronous.tests import ablations
from topazring.core.synchronous.tests import fake_group
from topazring.core.synchronous.tests import test_absences
from topazring.core.synchronous.tests import walks

WALKS = 60
WALK_STEPS = 100
RESTART_MS = 40
SEEDS = 10
OVERTAKEN_ORDER_WALK = 119


class Play(test_absences.Play):
    """Play one sequence of faults; members restart within a promotion."""

    def restart(self, name: str) -> None:
        """Restart a member quickly; it keeps its log."""
        member = self.world.members[name]
        walks.restart_quickly(self.world, member, RESTART_MS)

    def choice_of(self, proxy: str, for_ms: int) -> str:
        """Run until an order of a proxy is accepted; return for whom."""
        for _ in range(for_ms // walks.ORDER_CHECK_MS):
            self.world.run(walks.ORDER_CHECK_MS)
            attempt = self.world.states[proxy].promotion
            if attempt is not None and attempt.accepted:
                return attempt.chosen
        return ''

    def pass_by(self, name: str) -> None:
        """Leave a list unread at a proxy that does not reach the holder."""
        self.cut('p1', name)
        self.world.without_store.add(name)


def play_take_over(seed: int) -> None:
    """Restart a replica after an order that p2 does not learn of."""
    play = Play(seed, 2, 5)
    play.cut('p1', 'p2')
    chosen = play.order()
    (other,) = {'u2', 'u3'} - {chosen}
    play.cut('p2', chosen)
    play.restart(other)
    play.work(8)
    play.finish()


def play_hand_over(seed: int) -> None:
    """Do the same while the primary leaves, which p2 does not learn of."""
    play = Play(seed, 2, 5)
    play.pass_by('p2')
    play.world.announce_leaving(play.world.members['u1'])
    chosen = play.choice(is_accepted=True)
    if not chosen:
        return
    (other,) = {'u2', 'u3'} - {chosen}
    play.cut('p2', chosen)
    play.without_log(chosen, 1500)
    play.restart(other)
    play.work(8)
    play.finish()


def play_overtaken_order(seed: int) -> str:
    """Have p2 promote another member than p1, whose successor restarts.

    Return whom p2 ordered, if that is another one.
    """
    play = Play(seed, 6, 0)
    play.cut('p1', 'p2')
    play.cut('p2', 'u1')
    play.work(2)
    play.world.announce_leaving(play.world.members['u1'])
    successor = play.choice(is_accepted=True)
    if not successor:
        return ''
    # The order was sent while the store was away.
    play.world.recorded_orders.clear()
    play.world.grant_lease('p2')
    chosen = play.choice_of('p2', 800)
    if chosen in ('', successor):
        return ''
    play.without_log(chosen, 1500)
    play.restart(successor)
    play.work(8)
    play.finish()
    return chosen


class RestartWithinPromotionTest(testtools.TestCase):
    """A paused replica restarts, out of reach of promoter and fence."""

    def test_owner_that_the_promoter_does_not_reach(self):
        """Guards against counting a member that lost its pause."""
        self.assertEqual({}, test_absences.failures(play_take_over))

    def test_owner_that_does_not_see_the_primary_leave(self):
        """Guards against the same where no owner is fenced at all."""
        self.assertEqual({}, test_absences.failures(play_hand_over))

    def test_each_play_needs_the_rule(self):
        """Guards against plays that pass for another reason."""
        for play in (play_take_over, play_hand_over):
            with ablations.ABLATIONS['count_restarted_members']():
                self.assertNotEqual({}, test_absences.failures(play))


class OvertakenOrderTest(testtools.TestCase):
    """An order is accepted, and one of a later lease holder replaces it."""

    def test_ordered_member_restarts(self):
        """Guards against counting an ordered member that lost its pause."""
        played = []

        def play(seed: int) -> None:
            played.append(seed)
            if not play_overtaken_order(seed):
                played.remove(seed)

        self.assertEqual({}, test_absences.failures(play, 3 * SEEDS))
        self.assertGreater(len(played), SEEDS)

    def test_walk(self):
        """Guards against the same beside other faults."""
        walk(OVERTAKEN_ORDER_WALK)


class LostPauseWalksTest(testtools.TestCase):
    """Random walks through restarts within promotions."""

    def test_walks(self):
        """Guards against lost writes beside other faults."""
        for seed in range(WALKS):
            walk(seed)

    def test_walks_notice_what_is_left_out(self):
        """Each rule that is left out leads to a violation on some walk."""
        for name in sorted(ablations.SOON_THROUGH_LOST_PAUSES):
            with ablations.ABLATIONS[name]():
                self.assertTrue(_is_any_walk_broken(), name)


def walk(seed: int) -> None:
    """Play one walk; raise Violation if a guarantee is violated."""
    walks.walk(seed, WALK_STEPS, walks.LOST_PAUSES, walks.SLOW_PROMOTE_MS)


def _is_any_walk_broken() -> bool:
    for seed in range(WALKS):
        try:
            walk(seed)
        except fake_group.Violation:
            return True
    return False
