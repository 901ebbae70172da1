"""Test conclusions from what is not listed, not heard of, or long ago."""

import contextlib
import random
import unittest

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import group
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import sessions
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import ablations
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import fake_group
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import simulation as simulations
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_confirmations
from topazring.core.synchronous.tests import walks

SEEDS = 10
EMPTY_LOG_WALK = 740130
LOST_LEASE_WALK = 780181
WITH = test_confirmations.WITH
STEP_MS = 10
READS = 400


class Play:
    """Play one sequence of faults; p1 may promote, p2 acknowledges writes."""

    def __init__(self, seed: int, at_p1: int, at_p2: int):
        self.rng = random.Random(seed)
        self.world = simulations.Simulation(seed, walks.SLOW_PROMOTE_MS)
        self.world.run(300)
        for proxy in ('p1',) * at_p1 + ('p2',) * at_p2:
            self.open_session(proxy)
        self.work(4)

    def open_session(self, proxy: str) -> None:
        """Open a session that demands exact reads."""
        session = sessions.Session(next(self.world.keys), 'exact')
        self.world.sessions.append((proxy, session))

    def work(self, count: int) -> None:
        """Submit statements for some 300 ms each."""
        for _ in range(count):
            walks.perform(self.world, self.rng, 'work')

    def read_beside_work(self, proxy: str) -> None:
        """Read at one proxy while the other sessions go on."""
        reader = sessions.Session(next(self.world.keys), 'exact')
        for _ in range(READS):
            walks.perform(self.world, self.rng, 'speak')
            self.world.run(STEP_MS)
            if not self.world.is_busy(reader):
                read = statements.Statement(
                    f'r{next(self.world.keys)}', statements.Verb.READ, 'read'
                )
                self.world.submit_statement(proxy, reader, read)

    def start_anew(self, proxy: str) -> None:
        """Restart the process of a proxy that has no sessions."""
        for key in [key for key in self.world.wires if key[0] == proxy]:
            del self.world.wires[key]
        before = self.world.states[proxy]
        self.world.states[proxy] = states.make_group('s', 'dc', before.limits)
        # Messages of its earlier connections match none of the new ones.
        self.world.states[proxy].next_connection = before.next_connection
        self.world.post(proxy, messages.InstancesSeen(2, 8))
        self.world.send_list(proxy)

    def list_only(self, *names: str) -> None:
        """Let the entries of all other members expire."""
        for member in self.world.members.values():
            member.listed = member.name in names
        self.send_lists()

    def send_lists(self) -> None:
        """Send the list to the proxies that reach the store."""
        for proxy in simulations.PROXIES:
            self.world.send_list(proxy)

    def cut(self, name: str, *others: str) -> None:
        """Cut the links between one process and others."""
        for other in others:
            self.world.cut_pairs.add(frozenset((name, other)))

    def heal(self, name: str, other: str) -> None:
        """Restore one link."""
        self.world.cut_pairs.discard(frozenset((name, other)))

    def isolate(self, name: str) -> None:
        """Cut one member off from all others, but not from the store."""
        others = {*simulations.PROXIES, *self.world.members} - {name}
        self.cut(name, *others)

    def without_log(self, name: str, for_ms: int) -> None:
        """Have a replica receive nothing for a while."""
        member = self.world.members[name]
        member.not_receiving_until_ms = int(self.world.now_ms) + for_ms

    def stop(self, name: str) -> None:
        """Crash a member."""
        walks._stop_member(self.world, self.world.members[name])
        for wire in self.world.wires.values():
            if wire.upstream == name:
                wire.silent = True

    def restart(self, name: str) -> None:
        """Restart a member; it keeps its log."""
        walks._restart_member(self.world, self.world.members[name])

    def resume(self, name: str) -> None:
        """End a pause, as a command of an earlier lease holder does late."""
        self.world.members[name].held_term = 0
        self.world.replicate(self.world.members['u1'])

    def choice(self, is_accepted: bool = False) -> str:
        """Run until p1 has ordered a promotion; return whose, if any."""
        for _ in range(300):
            self.world.run(STEP_MS)
            attempt = self.world.states['p1'].promotion
            if attempt is None or not attempt.chosen:
                continue
            if attempt.accepted or not is_accepted:
                return attempt.chosen
        return ''

    def order(self) -> str:
        """Cut p1 off from the primary; return whom it then promotes."""
        self.cut('p1', 'u1')
        return self.choice(is_accepted=True)

    def finish(self) -> None:
        """End all faults and check the final log."""
        self.world.end_faults()
        for member in self.world.members.values():
            member.revision += 1
        self.send_lists()
        self.work(4)
        self.world.finish()


def failures(play, seeds: int = SEEDS) -> dict[int, str]:
    """Return the first line of each violated guarantee, by seed."""
    found = {}
    for seed in range(seeds):
        try:
            play(seed)
        except fake_group.Violation as error:
            found[seed] = str(error).splitlines()[0]
    return found


class AloneTest(testtools.TestCase):
    """The entries of both replicas expire; both are alive and follow."""

    def alone(self, seed: int, at_p1: int, at_p2: int) -> Play:
        """Return a play in which only the primary is listed."""
        play = Play(seed, at_p1, at_p2)
        play.list_only('u1')
        play.work(3)
        return play

    def test_other_replica_is_promoted_after_a_crash(self):
        """Guards against acknowledging what only an unlisted replica has."""

        def crash(seed: int) -> None:
            play = self.alone(seed, 0, 6)
            play.without_log('u3', 2000)
            play.work(1)
            play.world.run(100)
            play.stop('u1')
            play.list_only('u1', 'u3')
            play.work(10)
            play.finish()

        self.assertEqual({}, failures(crash))

    def test_other_replica_is_promoted_by_a_proxy_that_lists_it(self):
        """Guards against acknowledging on a list without any replica."""

        def cut(seed: int) -> None:
            play = self.alone(seed, 1, 5)
            play.world.without_store.add('p2')
            play.list_only('u1', 'u3')
            play.cut('p1', 'u1')
            play.work(10)
            play.finish()

        self.assertEqual({}, failures(cut))

    def test_replicas_that_leave_and_whose_entries_expire(self):
        """Guards against taking a member that drains for one that ended."""

        def drain(seed: int) -> None:
            play = Play(seed, 0, 6)
            for name in ('u2', 'u3'):
                play.world.announce_leaving(play.world.members[name])
            play.send_lists()
            play.world.run(900)
            play.list_only('u1')
            play.work(3)
            play.without_log('u3', 2000)
            play.work(1)
            play.world.run(100)
            play.stop('u1')
            play.list_only('u1', 'u3')
            play.work(10)
            play.finish()

        self.assertEqual({}, failures(drain))

    def test_proxy_that_starts_on_a_list_without_any_replica(self):
        """Guards against the same where no replica was ever listed."""

        def start(seed: int) -> None:
            play = Play(seed, 2, 0)
            play.list_only('u1')
            play.work(1)
            play.start_anew('p2')
            for _ in range(5):
                play.open_session('p2')
            play.work(2)
            play.world.without_store.add('p2')
            play.list_only('u1', 'u3')
            play.cut('p1', 'u1')
            play.work(10)
            play.finish()

        self.assertEqual({}, failures(start))

    def test_reads_on_a_list_without_any_replica(self):
        """Guards against exact reads at a primary that was replaced."""

        def split(seed: int) -> None:
            play = Play(seed, 4, 0)
            play.list_only('u1')
            play.world.run(1000)
            play.world.without_store.add('p2')
            play.list_only(*simulations.UPSTREAMS)
            play.world.run(3000)
            walks.split_off(play.world, {'p2'}, {'u1'})
            play.read_beside_work('p2')
            play.finish()

        self.assertEqual({}, failures(split))


class AcceptedOrderTest(testtools.TestCase):
    """An order is accepted, and nobody is seen to lead."""

    def test_chosen_member_leads_unseen(self):
        """Guards against a replaced primary whose writes are confirmed."""

        def unseen(seed: int) -> None:
            play = Play(seed, 3, 4)
            chosen = play.order()
            play.isolate(chosen)
            play.heal('p1', 'u1')
            # Nobody learns its new role from the list.
            play.world.without_store |= set(simulations.PROXIES)
            play.work(16)
            play.finish()

        self.assertEqual({}, failures(unseen))


class DepartedMemberTest(testtools.TestCase):
    """A replica lives, but its entry expired; one proxy still lists it."""

    def test_promoter_is_cut_off_from_the_primary(self):
        """Guards against a bound on the log of a member that still follows."""

        def cut(seed: int) -> None:
            play = Play(seed, 2, 5)
            play.world.without_store.add('p2')
            play.list_only('u1', 'u3')
            play.work(2)
            play.cut('p1', 'u1')
            play.work(10)
            play.finish()

        self.assertEqual({}, failures(cut))

    def test_promoter_is_split_off_with_the_other_replica(self):
        """Guards against the same where no promotion is seen at all."""

        def split(seed: int) -> None:
            play = Play(seed, 2, 5)
            play.world.without_store.add('p2')
            play.list_only('u1', 'u3')
            play.work(2)
            play.cut('p1', 'u1', 'u2')
            play.cut('u3', 'u1', 'u2', 'p2')
            play.work(10)
            play.finish()

        self.assertEqual({}, failures(split, 6 * SEEDS))


class UnlistedPrimaryTest(testtools.TestCase):
    """A member is promoted that one proxy's older list lacks."""

    def test_reads_on_the_refusals_of_the_listed_members(self):
        """Guards against a proof without the member that leads."""

        def lead(seed: int) -> None:
            play = Play(seed, 4, 0)
            play.list_only('u1', 'u3')
            play.world.run(1000)
            play.world.without_store.add('p2')
            play.list_only(*simulations.UPSTREAMS)
            play.world.run(3000)
            play.world.members['u3'].lag_ms = 200
            play.cut('u1', 'u2', 'u3', 'p1')
            play.cut('p2', 'u2')
            play.read_beside_work('p2')
            play.finish()

        self.assertEqual({}, failures(lead))


class FirstListTest(testtools.TestCase):
    """A proxy starts while members are paused and another one starts."""

    def test_new_member_in_the_first_list(self):
        """Guards against taking all members of a first list for long known."""

        def start(seed: int) -> None:
            play = Play(seed, 2, 0)
            play.order()
            play.world.run(200)
            play.world.add_member('u4')
            play.start_anew('p2')
            for _ in range(5):
                play.open_session('p2')
            play.work(10)
            play.finish()

        self.assertEqual({}, failures(start, 3 * SEEDS))


class RestartTest(testtools.TestCase):
    """A paused replica restarts, which ends its pause, after an order."""

    def test_replica_that_the_promoter_does_not_reach(self):
        """Guards against taking a member that is not paused for no promotion.

        The proxy that acknowledges does not reach the ordered member.
        """

        def restart(seed: int) -> None:
            play = Play(seed, 2, 5)
            chosen = play.order()
            (other,) = {'u2', 'u3'} - {chosen}
            play.restart(other)
            play.cut('p1', other)
            play.cut('p2', chosen)
            play.work(8)
            play.finish()

        self.assertEqual({}, failures(restart, 3 * SEEDS))


class LateResumeTest(testtools.TestCase):
    """A resume of an earlier lease holder ends a pause after an order."""

    def test_replica_that_the_promoter_does_not_reach(self):
        """Guards against an owner that is not told of a promotion.

        The member has not restarted, so nothing else tells of its lost pause.
        """

        def resume(seed: int) -> None:
            play = Play(seed, 2, 5)
            chosen = play.order()
            (other,) = {'u2', 'u3'} - {chosen}
            play.resume(other)
            play.cut('p1', other)
            play.cut('p2', chosen)
            play.work(8)
            play.finish()

        self.assertEqual({}, failures(resume, 3 * SEEDS))


class OwnWriteTest(testtools.TestCase):
    """The promoter itself acknowledged the last write of the group."""

    def test_write_itself_is_known_as_acknowledged(self):
        """Guards against promoting a log that ends just before the write."""
        driver = support.Driver().ready()
        key, _ = driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(driver, key)
        report = {'received': WITH, 'term': 1, 'held_term': 0}
        outs = proof_support.answer_status_queries(driver, 'u2', **report)
        self.assertIn(key, support.answers(outs))
        self.assertEqual(WITH, driver.state.acknowledged)

    def test_position_of_another_term_tells_nothing_more(self):
        """Guards against requiring a position that no log reaches."""
        driver = support.Driver().ready()
        driver.state.upstreams['u1'].place = support.Place(0, 9)
        key, _ = driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(driver, key)
        report = {'received': WITH, 'term': 1, 'held_term': 0}
        proof_support.answer_status_queries(driver, 'u2', **report)
        self.assertLessEqual(driver.state.acknowledged, WITH)


class UnansweredOrderTest(testtools.TestCase):
    """An order without an answer may be carried out seconds later."""

    def refused(self) -> support.Driver:
        """Have an order refused that was sent before and not answered."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        (order,) = support.orders(
            failover_support.answer_control_commands(driver)
        )
        self.answer_all(driver)
        self.assertEqual('u1', driver.state.primary)
        driver.outs.clear()
        for result in ('UNANSWERED', 'REFUSED'):
            driver.post(
                messages.PromotionOrdered(
                    order.upstream, order.token, messages.OrderResult[result]
                )
            )
        return driver

    def answer_all(self, driver: support.Driver) -> None:
        """Let some time pass in which all members answer; u1 leads."""
        for _ in range(20):
            driver.tick(20)
            driver.open_all()
            driver.answer_leadership_checks()
            failover_support.answer_control_commands(driver)

    def resumed(self, driver: support.Driver) -> bool:
        """Return whether a member was resumed."""
        return any(
            isinstance(command, statements.Resume)
            for sent in support.sends(driver.outs)
            for command in sent.commands
        )

    def test_members_stay_paused_after_a_refusal(self):
        """Guards against writes that the late order's upstream lacks."""
        driver = self.refused()
        driver.tick(40)
        self.assertFalse(self.resumed(driver))

    def accept_fence(self, driver: support.Driver) -> None:
        """Accept the last order, which is to change nothing."""
        fence = support.orders(driver.outs)[-1]
        self.assertEqual('u1', fence.upstream)
        accepted = messages.OrderResult.ACCEPTED
        driver.post(
            messages.PromotionOrdered(fence.upstream, fence.token, accepted)
        )

    def answer_paused(self, driver: support.Driver, for_ms: int) -> None:
        """Let time pass in which the replicas report that they are paused."""
        for _ in range(for_ms // 20):
            driver.tick(20)
            driver.open_all()
            driver.answer_leadership_checks()
            for connection in driver.busy():
                if connection.purpose is states.Purpose.CONTROL:
                    driver.reply(connection, support.report(held_term=2))

    def test_members_are_resumed_after_the_fence(self):
        """Guards against members that stay paused.

        The order may have been accepted just before the fence, so that its
        upstream leads soon after.
        """
        driver = self.refused()
        driver.post(messages.PromotionLeaseSeen(True, 5000))
        self.answer_all(driver)
        self.accept_fence(driver)
        effect_ms = outstanding_orders.EFFECT_TIMEOUT_MS
        self.answer_paused(driver, effect_ms - 100)
        self.assertFalse(self.resumed(driver))
        self.answer_paused(driver, 200)
        # Shows that the lease is still held.
        self.accept_fence(driver)
        self.answer_paused(driver, 100)
        self.assertTrue(self.resumed(driver))


class HandOverTest(testtools.TestCase):
    """A leaving primary is handed over beside other faults."""

    def test_primary_is_recreated_while_the_promoter_pauses(self):
        """Guards against a successor compared with a recreated, empty log."""
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(leaving='u1', revision=2)
        driver.tick(20)
        self.assertEqual('u1', driver.state.promotion.old_primary)
        driver.tick(20, group.PROCESS_PAUSE_MS)
        outs = driver.list_upstreams(
            primary='', leaving='u1', revision=3, born_ms={'u1': 99}
        )
        outs += driver.tick(20)
        ended = support.decisions(outs, 'promotion ended')
        self.assertEqual(['lost meanwhile'], [each['how'] for each in ended])

    def test_walk_that_compared_with_an_empty_log(self):
        """Guards against the same loss beside other faults."""
        walks.walk(
            EMPTY_LOG_WALK, 400, walks.THROUGH_ENTRIES, walks.SLOW_PROMOTE_MS
        )

    def test_new_member_confirms_what_the_successor_lacks(self):
        """Guards against leaving out a member for its silence here."""
        played = []

        def silent(seed: int) -> None:
            play = Play(seed, 2, 5)
            play.cut('p2', 'u3')
            play.work(12)
            play.world.announce_leaving(play.world.members['u1'])
            if play.choice() != 'u3':
                return
            played.append(seed)
            play.without_log('u3', 3000)
            play.cut('p1', 'u4')
            play.world.add_member('u4')
            play.work(10)
            play.finish()

        self.assertEqual({}, failures(silent, 3 * SEEDS))
        self.assertGreater(len(played), SEEDS)


class LostLeaseTest(testtools.TestCase):
    """A proxy loses the promotion lease after it ordered a promotion."""

    def outcome(self, has_ordered: bool) -> object:
        """Return the outcome of a write that another replica reports."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        (order,) = support.orders(
            failover_support.answer_control_commands(driver)
        )
        if has_ordered:
            accepted = messages.OrderResult.ACCEPTED
            driver.post(
                messages.PromotionOrdered(
                    order.upstream, order.token, accepted
                )
            )
        else:
            driver.state.promotion = None
        driver.post(messages.PromotionLeaseSeen(False))
        for _ in range(20):
            driver.tick(20)
            driver.open_all()
            driver.answer_leadership_checks()
        self.assertEqual('u1', driver.state.primary)
        key, _ = driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(driver, key)
        (other,) = {'u2', 'u3'} - {order.upstream}
        report = {'received': WITH, 'term': 1, 'held_term': 0}
        proof_support.answer_status_queries(driver, other, **report)
        return support.answers(driver.outs).get(key)

    def test_write_that_the_ordered_member_lacks(self):
        """Guards against forgetting an order along with the lease."""
        self.assertIsNone(self.outcome(has_ordered=True))

    def test_write_without_an_order(self):
        """Guards against writes that wait after any loss of the lease."""
        self.assertIsInstance(self.outcome(has_ordered=False), outcomes.Done)

    def test_walk_that_forgot_an_order(self):
        """Guards against the same beside other faults."""
        walks.walk(
            LOST_LEASE_WALK, 400, walks.THROUGH_ENTRIES, walks.SLOW_PROMOTE_MS
        )


class ListedPrimaryTest(testtools.TestCase):
    """The promoted member is cut off, and its entry says that it leads."""

    def led_unseen(self, seed: int) -> tuple[Play, str]:
        """Return a play in which only the list tells p1 who leads."""
        play = Play(seed, 1, 5)
        chosen = play.order()
        play.isolate(chosen)
        return play, chosen

    def test_proxy_that_does_not_see_the_entry(self):
        """Guards against resuming members that cannot reach the new one."""

        def old_list(seed: int) -> None:
            play, _ = self.led_unseen(seed)
            play.world.without_store.add('p2')
            play.work(8)
            play.finish()

        self.assertEqual({}, failures(old_list))

    def test_entry_that_expires(self):
        """Guards against writes of an ended term after some seconds."""

        def expires(seed: int) -> None:
            play, chosen = self.led_unseen(seed)
            play.work(12)
            play.list_only(*(set(play.world.members) - {chosen}))
            play.work(30)
            play.finish()

        self.assertEqual({}, failures(expires))


class AblationTest(testtools.TestCase):
    """The plays notice a rule that is left out."""

    def failed(self, case, method: str, *names: str) -> int:
        """Return whether a play fails without these rules, as 0 or 1."""
        result = unittest.TestResult()
        with contextlib.ExitStack() as stack:
            for name in names:
                stack.enter_context(ablations.ABLATIONS[name]())
            case(method).run(result)
        self.assertEqual([], result.errors)
        return len(result.failures)

    def test_each_rule_is_needed(self):
        """Guards against plays that pass for another reason."""
        for name, case, method in (
            (
                'release_the_fence_for_all_terms',
                DepartedMemberTest,
                'test_promoter_is_split_off_with_the_other_replica',
            ),
            (
                'fence_no_owners',
                LateResumeTest,
                'test_replica_that_the_promoter_does_not_reach',
            ),
            (
                'prove_by_listed_members',
                UnlistedPrimaryTest,
                'test_reads_on_the_refusals_of_the_listed_members',
            ),
        ):
            self.assertEqual(1, self.failed(case, method, name), name)

    def test_either_of_two_rules_is_needed(self):
        """Guards against a play that neither rule, or a third one, passes."""
        method = 'test_replica_that_the_promoter_does_not_reach'
        rules = ('fence_no_owners', 'count_restarted_members')
        self.assertEqual(1, self.failed(RestartTest, method, *rules))
        for name in rules:
            self.assertEqual(0, self.failed(RestartTest, method, name), name)
