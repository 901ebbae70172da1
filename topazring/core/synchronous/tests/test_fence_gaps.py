"""Test sequences that lose writes if a fence or a bound is passed by."""

import random

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import fake_group
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import simulation as simulations
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_confirmations
from topazring.core.synchronous.tests import test_long_splits
from topazring.core.synchronous.tests import walks

SEEDS = 10


def cut(simulation, side: set[str], others: set[str]) -> None:
    """Cut all of one side from all of the others."""
    for one in side:
        for other in others:
            simulation.cut_pairs.add(frozenset((one, other)))


def play_growing_split(seed: int) -> simulations.Simulation:
    """Split p2 and u3 off from p1, u2 and the store; u1 follows after 5 s."""
    rng = random.Random(seed)
    simulation = simulations.Simulation(seed, walks.SLOW_PROMOTE_MS)
    simulation.run(300)
    for _ in range(8):
        simulation.open_session()
    test_long_splits.work(simulation, rng, 10)
    cut(simulation, {'p2', 'u3'}, {'p1', 'u2'})
    simulation.without_store.add('p2')
    simulation.note('p2 and u3 are split off; u1 reaches both sides')
    simulation.at(walks.EXPIRY_MS, walks._expire_members, simulation, {'u3'})
    test_long_splits.work(simulation, rng, 17)
    cut(simulation, {'u1'}, {'p1', 'u2'})
    simulation.note('u1 is split off too')
    simulation.at(
        walks.EXPIRY_MS, walks._expire_members, simulation, {'u1', 'u3'}
    )
    test_long_splits.work(simulation, rng, 20)
    walks.heal_split(simulation)
    test_long_splits.work(simulation, rng, 6)
    simulation.finish()
    return simulation


def play_release_in_split(seed: int) -> simulations.Simulation:
    """Split p2, u1 and u2 off; the two had just reported that they leave.

    The store has refused p2 since before these reports.
    """
    rng = random.Random(seed)
    simulation = simulations.Simulation(seed, walks.SLOW_PROMOTE_MS)
    simulation.run(300)
    for _ in range(8):
        simulation.open_session()
    test_long_splits.work(simulation, rng, 10)
    simulation.add_member('u4')
    test_long_splits.work(simulation, rng, 2)
    simulation.without_store.add('p2')
    for name in ('u2', 'u1'):
        simulation.announce_leaving(simulation.members[name])
    walks.split_off(simulation, {'p2'}, {'u1', 'u2'})
    test_long_splits.work(simulation, rng, 20)
    walks.heal_split(simulation)
    test_long_splits.work(simulation, rng, 6)
    simulation.finish()
    return simulation


class ReleaseInSplitTest(testtools.TestCase):
    """Test members that drain behind a split."""

    def test_draining_members_whose_entries_expired(self):
        """Guards against taking them for gone while they serve."""
        for seed in range(SEEDS):
            play_release_in_split(seed)


def play_last_copies(
    seed: int, is_another_new: bool
) -> simulations.Simulation:
    """End all members but one that receives nothing, and may be a new one."""
    rng = random.Random(seed)
    simulation = simulations.Simulation(seed, walks.SLOW_PROMOTE_MS)
    simulation.run(300)
    for _ in range(8):
        simulation.open_session()
    test_long_splits.work(simulation, rng, 4)
    simulation.members['u2'].not_receiving_until_ms = 10**6
    test_long_splits.work(simulation, rng, 4)
    for name in ('u1', 'u3'):
        end_at_once(simulation, name)
    if is_another_new:
        simulation.add_member('u4')
    test_long_splits.work(simulation, rng, 10)
    return simulation


def end_at_once(simulation: simulations.Simulation, name: str) -> None:
    """End a member without notice; its log is lost."""
    member = simulation.members[name]
    member.role = statements.Role.REPLICA
    simulation.remove_member(member)


class LastCopiesTest(testtools.TestCase):
    """The only members that hold acknowledged writes end."""

    def test_others_lack_writes(self):
        """Guards against promoting a member that lacks them."""
        for seed in range(SEEDS):
            for is_another_new in (False, True):
                simulation = play_last_copies(seed, is_another_new)
                self.assert_incomplete(simulation)
                error = self.assertRaises(
                    fake_group.Violation, simulation.finish
                )
                self.assertEqual('no primary', str(error))

    def assert_incomplete(self, simulation: simulations.Simulation) -> None:
        """Check that each remaining member lacks an acknowledged write."""
        acknowledged = simulation.oracle.acknowledged.keys()
        for member in simulation.members.values():
            held = {w for entry in member.log for w in entry.writes}
            self.assertNotEqual(set(), acknowledged - held)


# Splits beside whatever else the suite's walks know.
MIXED_SPLITS = (
    *walks.SPLITS,
    ('restart', 1),
    ('begin_again', 2),
    ('release', 1),
    ('freeze', 2),
    ('duty', 2),
    ('replace_in_turn', 1),
    ('lose_entry', 1),
    ('heal_cut', 1),
)
CUT_SPLITS = (*walks.SPLITS, ('cut', 3), ('heal_cut', 1), ('freeze', 1))
WALK_STEPS = 100


class WalkTest(testtools.TestCase):
    """Replay walks that lost acknowledged writes."""

    def play(self, seed: int, actions: tuple[tuple[str, int], ...]) -> None:
        """Play one walk."""
        walks.walk(seed, WALK_STEPS, actions, walks.SLOW_PROMOTE_MS)

    def test_new_holder_counts_on_pauses_that_the_old_one_ends(self):
        """Guards against a bound that a resumed member passes."""
        self.play(24, MIXED_SPLITS)

    def test_all_old_members_drain_behind_a_split(self):
        """Guards against an order that asks nobody what was acknowledged."""
        self.play(34, MIXED_SPLITS)

    def test_member_leaves_in_a_split(self):
        """Guards against promoting a member that lacks its writes."""
        self.play(95, MIXED_SPLITS)

    def test_empty_log_is_promoted(self):
        """Guards against an order that asks nobody what was acknowledged."""
        self.play(197, MIXED_SPLITS)

    def test_early_bound_of_an_unlisted_member(self):
        """Guards against a bound that a member passes that receives."""
        for seed in (90, 274):
            self.play(seed, CUT_SPLITS)

    def test_term_is_raised_once_all_proxies_have_reported(self):
        """Guards against acknowledging what the chosen member lacks."""
        for seed in (470, 652):
            self.play(seed, MIXED_SPLITS)

    def test_another_leads_while_an_accepted_order_is_carried_out(self):
        """Guards against an order that is forgotten once accepted."""
        self.play(977, MIXED_SPLITS)

    def test_order_that_is_sent_while_another_is_carried_out(self):
        """Guards against counting on a successor that is not accepted."""
        self.play(594, MIXED_SPLITS)

    def test_primary_of_a_newer_term_is_not_listed(self):
        """Guards against acknowledging writes of the one it replaced."""
        self.play(254, CUT_SPLITS)

    def test_two_replacements_end_the_same_member(self):
        """Guards against a walk that stops before its final check."""
        for seed in (28, 114, 403):
            self.play(seed, MIXED_SPLITS)


class GrowingSplitTest(testtools.TestCase):
    """Test a split that takes the primary later than a replica."""

    def test_unlisted_replica_that_goes_on_receiving(self):
        """Guards against taking an early bound on a live member's log."""
        for seed in range(SEEDS):
            play_growing_split(seed)


def write(driver: support.Driver, term: int = 1) -> outcomes.Outcome | None:
    """Confirm a write that only `u2` holds; return its outcome, if any."""
    key, _ = driver.submit(verb=support.Verb.WRITE)
    place = support.Place(term, test_confirmations.WITH.position)
    done = support.ok('1.2', place=place)
    driver.reply(driver.running(key), done)
    report = {'received': place, 'term': term, 'held_term': 0}
    proof_support.answer_status_queries(driver, 'u2', **report)
    return support.answers(driver.outs).get(key)


class ListedAgainTest(testtools.TestCase):
    """A proxy was not listed when a promotion queried those that were."""

    def setUp(self):
        """Reach a steady state."""
        super().setUp()
        self.driver = support.Driver().ready()
        self.driver.tick(20)

    def register(self, valid_for_ms: int) -> None:
        """Report until when this proxy is listed."""
        until_ms = self.driver.now_ms + valid_for_ms
        self.driver.post(messages.RegistrationSeen(until_ms))

    def test_write_of_a_listed_proxy(self):
        """Guards against a test that passes for another reason."""
        self.register(28_000)
        self.assertIsInstance(write(self.driver), outcomes.Done)

    def test_entry_that_ended_and_was_written_again(self):
        """Guards against an acknowledgement nobody has asked about."""
        self.driver.post(messages.RegistrationSeen(0))
        self.driver.tick(20)
        self.register(28_000)
        self.assertIsNone(write(self.driver))

    def test_renewal_after_the_entry_may_have_ended(self):
        """Guards against an entry that was missing for a while."""
        self.register(10)
        self.driver.tick(20)
        self.register(28_000)
        self.assertIsNone(write(self.driver))

    def test_released_before_it_was_listed(self):
        """Guards against a promotion that began before it was listed."""
        self.driver.state.is_fence_checked = False
        self.driver.post(messages.RegistrationSeen(0))
        self.driver.post(messages.FenceReleased(self.driver.now_ms, 1))
        self.driver.tick(20)
        self.register(28_000)
        self.assertIsNone(write(self.driver))


class NewerTermTest(testtools.TestCase):
    """A promoter that was cut off does not know the newest term."""

    def test_fenced_by_a_promoter_of_an_older_term(self):
        """Guards against a fence that lets the present term pass."""
        driver = support.Driver().ready()
        driver.tick(20)
        driver.state.term = 2
        driver.state.upstreams['u1'].lead_term = 2
        # The promoter has seen term 1 and is to begin the next one.
        driver.post(
            messages.FenceAcknowledgements(7, 2, test_confirmations.WITHOUT)
        )
        self.assertIsNone(write(driver, term=2))


class CheckTest(testtools.TestCase):
    """A proxy asks whether its fence is still needed."""

    def is_needed(self, driver: support.Driver) -> bool:
        """Return the answer to a check."""
        (checked,) = [
            out
            for out in driver.post(messages.CheckFence(5))
            if isinstance(out, messages.FenceChecked)
        ]
        return checked.is_needed

    def test_ordered_upstream_may_lead_unseen(self):
        """Guards against a release while paused members stay paused."""
        driver = failover_support.make_lease_holder()
        driver.state.successor_gone = True
        self.assertTrue(self.is_needed(driver))

    def test_primary_that_only_the_list_names(self):
        """Guards against a release while paused members stay paused."""
        driver = failover_support.make_lease_holder()
        driver.state.proven_primary = ''
        self.assertTrue(self.is_needed(driver))


class SlowReportTest(testtools.TestCase):
    """Querying all proxies of a large fleet takes a second and more."""

    def order_after(self, took_ms: int) -> bool:
        """Return whether a report that takes so long leads to an order."""
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(names=('u1', 'u2'), revision=2)
        end_ms = driver.now_ms + 20_000
        pending: list[tuple[int, messages.QueryAcknowledgements]] = []
        outs: list = []
        while driver.now_ms < end_ms:
            new = driver.tick(20)
            for connection in list(driver.state.connections.values()):
                if connection.upstream == 'u1':
                    new += driver.close(connection)
            new += driver.answer_leadership_checks(primary='')
            new += failover_support.answer_control_commands(driver)
            while pending and pending[0][0] <= driver.now_ms:
                _, query = pending.pop(0)
                report = messages.AcknowledgementsReported(
                    query.token, True, support.Place(1, 5), term=query.term
                )
                new += driver.post(report)
            pending += [
                (driver.now_ms + took_ms, out)
                for out in new
                if isinstance(out, messages.QueryAcknowledgements)
            ]
            outs += new
            if support.orders(outs):
                return True
        return False

    def test_report_within_an_attempt(self):
        """Guards against a test that passes for another reason."""
        self.assertTrue(self.order_after(200))

    def test_report_that_takes_longer_than_an_attempt(self):
        """Guards against a large group that never gets a primary."""
        self.assertTrue(self.order_after(1000))
