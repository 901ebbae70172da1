"""Test conclusions of the rule on uninterrupted members that may not hold.

`u1` is the primary of term 1 at the proxy that acknowledges.
"""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_absences
from topazring.core.synchronous.tests import test_confirmations
from topazring.core.synchronous.tests import test_isolation
from topazring.core.synchronous.tests import test_quick_restarts
from topazring.core.synchronous.tests import test_restarted_members
from topazring.pooler import acknowledgement_reports

HOLDER = test_restarted_members.HOLDER
UNPAUSED = test_restarted_members.UNPAUSED
WITH = test_confirmations.WITH
WITHOUT = test_confirmations.WITHOUT
LEADS = support.Place(2, 6)
SEEDS = 30
# Longer than a member drains.
DRAINED_MS = 7500
# From the call that promotes to its effect.
SOME_HUNDRED_MS = 300


def accept_order(driver: support.Driver, outs: list) -> str:
    """Accept the single order in the output; return for whom it is."""
    (order,) = support.orders(outs)
    driver.post(
        messages.PromotionOrdered(
            order.upstream, order.token, messages.OrderResult.ACCEPTED
        )
    )
    return order.upstream


def check_fence(driver: support.Driver) -> messages.FenceChecked:
    """Ask the lease holder whether a promotion is under way."""
    (checked,) = [
        out
        for out in driver.post(messages.CheckFence(5))
        if isinstance(out, messages.FenceChecked)
    ]
    return checked


class NextHandOverTest(test_restarted_members.RestartedMemberCase):
    """The successor of `u1` is handed over at once, unseen by this proxy.

    `u2` was ordered without the write, `u3` lost its pause and confirmed it.
    """

    def holder_of_next_term(self) -> support.Driver:
        """Return the holder that has promoted `u2`, which leaves."""
        holder = failover_support.make_lease_holder()
        failover_support.lose_primary(holder)
        outs = failover_support.answer_control_commands(holder)
        self.assertEqual('u2', accept_order(holder, outs))
        for _ in range(20):
            holder.tick(20)
            proof_support.answer_leadership_checks(
                holder, 'u2', support.ok(place=LEADS)
            )
            proof_support.answer_status_queries(
                holder,
                'u2',
                role=support.Role.PRIMARY,
                term=2,
                received=LEADS,
                held_term=0,
            )
            proof_support.answer_leadership_checks(
                holder, 'u3', proof_support.REFUSED
            )
        self.assertEqual('u2', holder.state.primary)
        holder.list_upstreams(primary='u2', leaving='u2', revision=2)
        holder.tick(20)
        return holder

    def test_successor_of_the_next_primary(self):
        """Guards against a name that belongs to a later term than a write."""
        checked = check_fence(self.holder_of_next_term())
        self.assertEqual(2, checked.term)
        self.assertEqual('u3', checked.successor)
        test_isolation.run_for(self.driver, 460, 'u1', 'u3')
        self.restart('u3')
        key = self.write(u3=HOLDER)
        self.assertIsNone(self.outcome(key))
        reported = acknowledgement_reports._to_reported(
            self.driver.now_ms, checked
        )
        self.driver.post(reported)
        self.assertNotIsInstance(self.outcome(key), outcomes.Done)


class ListBehindTest(testtools.TestCase):
    """A proxy does not list the member that another one has promoted."""

    def test_all_listed_members_restarted(self):
        """Guards against a write that an unlisted successor lacks.

        The other proxy lists `u3`, pauses `u2`, and orders `u3`. `u2` restarts
        and confirms a write here, where `u3` is not listed yet.
        """
        holder = failover_support.make_lease_holder()
        holder.list_upstreams(leaving='u1', revision=2)
        outs = []
        for _ in range(40):
            outs += holder.tick(20)
            outs += holder.answer_leadership_checks()
            outs += failover_support.answer_control_commands(holder)
        (order, *_) = support.orders(outs)
        self.assertEqual('u3', order.upstream)
        self.assertEqual(
            [], [o for o in outs if isinstance(o, messages.FenceOwners)]
        )
        owner = support.Driver().ready(names=('u1', 'u2'))
        owner.tick(40)
        for connection in states.connections_to(owner.state, 'u2'):
            owner.close(connection)
        for _ in range(10):
            owner.tick(20)
            owner.open_all()
            owner.answer_leadership_checks()
        key, _ = owner.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(owner, key)
        for _ in range(3):
            proof_support.answer_status_queries(owner, 'u2', **HOLDER)
            owner.tick(20)
        answer = support.answers(owner.outs).get(key)
        self.assertNotIsInstance(answer, outcomes.Done)


def hand_over_unseen(play: test_quick_restarts.Play, *new: str) -> str:
    """Hand over at p1; p2 does not reach the store, nor list new members.

    Return to whom. `u3` has drained and ended before.
    """
    world = play.world
    world.announce_leaving(world.members['u3'])
    play.send_lists()
    world.run(DRAINED_MS)
    world.remove_member(world.members['u3'])
    play.send_lists()
    play.work(4)
    play.pass_by('p2')
    for name in new:
        world.add_member(name)
    play.work(8)
    world.announce_leaving(world.members['u1'])
    return play.choice(is_accepted=True)


def play_list_behind(seed: int) -> str:
    """Restart `u2` after an order for a member that p2 does not list."""
    play = test_quick_restarts.Play(seed, 2, 5)
    chosen = hand_over_unseen(play, 'u4')
    if chosen != 'u4':
        return chosen
    play.without_log('u4', 1500)
    play.restart('u2')
    play.work(8)
    play.finish()
    return chosen


def play_reads_behind(seed: int) -> str:
    """Read at p2 in a split from the members that it does not list."""
    play = test_quick_restarts.Play(seed, 5, 0)
    chosen = hand_over_unseen(play, 'u4', 'u5')
    if chosen not in ('u4', 'u5'):
        return chosen
    for name in ('u4', 'u5'):
        play.cut(name, 'u1', 'u2', 'p2')
    play.cut('p1', 'u1', 'u2')
    play.read_beside_work('p2')
    play.finish()
    return chosen


class ListBehindPlayTest(testtools.TestCase):
    """The same with all processes, in a release of the members."""

    def test_new_member_is_the_successor(self):
        """Guards against the loss of what all listed members hold."""
        chosen = []
        found = test_absences.failures(
            lambda seed: chosen.append(play_list_behind(seed)), SEEDS
        )
        self.assertEqual({}, found)
        self.assertIn('u4', chosen)

    def test_reads_beside_an_unlisted_primary(self):
        """Guards against stale reads on the refusals of listed members."""
        chosen = []
        found = test_absences.failures(
            lambda seed: chosen.append(play_reads_behind(seed))
        )
        self.assertEqual({}, found)
        self.assertTrue({'u4', 'u5'} & set(chosen))


def play_accepted_order(seed: int) -> str:
    """Change the holder once its order is accepted; return whose it was.

    The platform carries out what it has accepted, whatever was called since.
    The new holder orders the present primary meanwhile.
    """
    play = test_quick_restarts.Play(seed, 0, 6)
    world = play.world
    world.promote_ms = SOME_HUNDRED_MS
    chosen = play.order()
    if not chosen:
        return ''
    play.without_log(chosen, 2500)
    world.post('p1', messages.PromotionLeaseSeen(False))
    world.grant_lease('p2')
    play.work(8)
    play.finish()
    return chosen


class AcceptedOrderTest(testtools.TestCase):
    """A holder that leaves has an accepted order that takes effect later."""

    def test_next_holder_excludes_a_promotion(self):
        """Guards against "nobody is promoted" before an order has effect."""
        chosen = []
        found = test_absences.failures(
            lambda seed: chosen.append(play_accepted_order(seed)), SEEDS
        )
        self.assertEqual({}, found)
        self.assertNotEqual([], [name for name in chosen if name])


class RecreatedMemberTest(test_restarted_members.RestartedMemberCase):
    """`u2` is born again empty; an answer of its predecessor arrives late."""

    def test_answer_of_the_predecessor(self):
        """Guards against crediting an empty log with an earlier one."""
        key, _ = self.driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(self.driver, key)
        (asked,) = [
            connection
            for connection in self.driver.busy('u2')
            if connection.purpose is states.Purpose.STATUS_QUERY
        ]
        self.driver.list_upstreams(revision=2, born_ms={'u2': 5})
        self.driver.reply(asked, support.report(**HOLDER))
        self.assertNotEqual(WITH, self.driver.state.upstreams['u2'].log_end)

    def test_write_on_the_word_of_the_predecessor(self):
        """Guards against all members holding a write that one lacks."""
        self.restart('u3')
        test_isolation.run_for(self.driver, 100, 'u1', 'u2')
        key, _ = self.driver.submit(verb=support.Verb.WRITE)
        test_confirmations.confirm(self.driver, key)
        (asked,) = [
            connection
            for connection in self.driver.busy('u2')
            if connection.purpose is states.Purpose.STATUS_QUERY
        ]
        self.driver.list_upstreams(revision=2, born_ms={'u2': 5})
        self.driver.reply(asked, support.report(**HOLDER))
        for _ in range(3):
            proof_support.answer_status_queries(self.driver, 'u3', **HOLDER)
            self.driver.tick(20)
        self.assertNotIsInstance(self.outcome(key), outcomes.Done)


class UrgentQueryTest(test_restarted_members.RestartedMemberCase):
    """A write waits for the holder just after a query ahead of need."""

    def test_write_behind_a_query_ahead(self):
        """Guards against a write that waits for the interval of such queries.

        That query may itself wait for seconds, after a call without an answer.
        """
        test_isolation.run_for(self.driver, 460, 'u1', 'u3')
        self.restart('u3')
        test_isolation.run_for(self.driver, 20, 'u1', 'u3')
        queries = [
            out
            for out in self.driver.outs
            if isinstance(out, messages.QueryFence)
        ]
        self.assertEqual([False], [query.is_urgent for query in queries])
        self.driver.outs.clear()
        self.write(u3=HOLDER)
        queries = [
            out
            for out in self.driver.outs
            if isinstance(out, messages.QueryFence)
        ]
        self.assertEqual([True], [query.is_urgent for query in queries])
