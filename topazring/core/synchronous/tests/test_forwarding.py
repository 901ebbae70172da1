"""Bring requests to proxies that can serve them."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import connections
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Reason = outcomes.Reason
Verb = statements.Verb

CENTRES = ('a', 'b', 'c')


def proxies(count: int) -> list[ownership.Proxy]:
    """Return proxies in three data centres."""
    return [ownership.Proxy(f'p{n}', CENTRES[n % 3]) for n in range(count)]


def idle(place: str) -> float:
    """Reach everyone, all idle."""
    return 0.0


class OwnershipTest(testtools.TestCase):
    """Many proxies before few connections: some of them hold all."""

    def test_all_connections_that_owners_take_are_there(self):
        """No owner is without one, and some room is left."""
        for count, most in ((74, 23), (68, 34), (64, 94), (300, 23)):
            owned = ownership.select_owners('s', proxies(count), most)
            shares = [
                connections.share_of(most, len(owned.owners), rank)
                for rank in range(len(owned.owners))
            ]
            self.assertLessEqual(sum(shares) + len(shares), most)
            self.assertGreaterEqual(min(shares), 3)

    def test_few_proxies_own_everything(self):
        """Each serves its own callers, and no request makes a hop."""
        for count, most in ((9, 16), (8, 23), (7, 30)):
            owned = ownership.select_owners('s', proxies(count), most)
            self.assertEqual(count, len(owned.owners))

    def test_owners_are_spread_over_data_centres(self):
        """Most callers find one in their own."""
        owned = ownership.select_owners('s', proxies(74), 23)
        centres = [owner.data_centre for owner in owned.owners]
        counts = sorted(centres.count(centre) for centre in CENTRES)
        self.assertEqual([1, 2, 2], counts)

    def test_services_have_other_owners(self):
        """The work of all services is not on the same five."""
        owners = {
            owner.name
            for service in 'wxyz'
            for owner in ownership.select_owners(
                service, proxies(74), 23
            ).owners
        }
        self.assertGreater(len(owners), 10)

    def test_one_that_leaves_moves_only_its_own(self):
        """The others keep their connections."""
        everyone = proxies(74)
        before = ownership.select_owners('s', everyone, 23).owners
        left = [proxy for proxy in everyone if proxy != before[0]]
        after = ownership.select_owners('s', left, 23).owners
        self.assertGreaterEqual(len(set(before) & set(after)), 4)

    def test_others_hold_no_connection(self):
        """Those would be taken from the owners.

        Symptom: two thirds of all requests are refused although upstreams
        are idle. Sequence: 74 proxies dial one connection each; an upstream
        takes 23; 51 proxies have none and serve nobody. Cause: at least one
        for each proxy.
        """
        driver = support.Driver()
        driver.post(messages.InstancesSeen(5, 23, None))
        outs = driver.list_upstreams() + driver.tick(5000)
        dials = [out for out in outs if isinstance(out, messages.Open)]
        self.assertEqual([], dials)

    def test_holder_of_the_duty_sees_the_members(self):
        """It promotes, so it has to ask them, owner or not."""
        driver = support.Driver()
        driver.post(messages.InstancesSeen(5, 23, None))
        driver.post(messages.PromotionLeaseSeen(True, 100))
        driver.list_upstreams()
        driver.open_all()
        held = {c.upstream for c in driver.state.connections.values()}
        self.assertEqual({'u1', 'u2', 'u3'}, held)


class ForwardingTest(testtools.TestCase):
    """A request goes on to the next place only if it did not run."""

    owned = ownership.Ownership(
        tuple(ownership.Proxy(f'o{n}', CENTRES[n % 3]) for n in range(5))
    )

    def place(self, plan, name='p1', centre='b', weigh=idle, turn=0):
        """Return where a request goes next."""
        return forwarding.next_owner(
            plan, self.owned, name, centre, weigh, turn
        )

    def request(self, verb=Verb.READ, **more) -> messages.Request:
        """Return a request."""
        return messages.Request(
            1,
            statements.Statement('r1', verb, 'text'),
            support.EXACT,
            verb is Verb.WRITE,
            1000,
            **more,
        )

    def test_owner_serves_its_own_callers(self):
        """Without a hop."""
        plan = forwarding.Plan()
        self.assertEqual(forwarding.THIS_PROXY, self.place(plan, name='o3'))

    def test_own_data_centre_first(self):
        """Bytes between data centres cost money."""
        plan = forwarding.Plan()
        self.assertIn(self.place(plan), ('o1', 'o4'))

    def test_turns_spread_the_load(self):
        """Over the owners of a data centre."""
        plan = forwarding.Plan()
        found = {self.place(plan, turn=turn) for turn in range(4)}
        self.assertEqual({'o1', 'o4'}, found)

    def test_only_owner_of_a_data_centre_is_not_swamped(self):
        """Others serve while it has a line.

        Symptom: a third of one data centre's requests wait for their whole
        time, on a busy day, while other owners are idle. Sequence: five
        owners in three data centres; one has a single owner, which gets all
        of its callers. Cause: the own data centre first, at any price.
        """
        plan = forwarding.Plan()
        found = self.place(
            plan, centre='c', weigh=lambda n: 12.0 if n == 'o2' else 0.0
        )
        self.assertNotEqual('o2', found)

    def test_busy_owner_lets_its_own_callers_go(self):
        """It is no better than another one that is idle."""
        plan = forwarding.Plan()
        busy = {forwarding.THIS_PROXY: 12.0}
        found = self.place(plan, name='o3', weigh=lambda n: busy.get(n, 0.0))
        self.assertNotEqual(forwarding.THIS_PROXY, found)

    def test_what_was_told_of_a_line_ages(self):
        """One that is not asked any more is tried again."""
        load = forwarding.Load(waiting=16, reported_ms=1000)
        self.assertEqual(16, load.expected_ahead(1000))
        later_ms = 1000 + 5 * forwarding.LOAD_HALF_LIFE_MS
        self.assertLess(load.expected_ahead(later_ms), forwarding.HOP_COST)

    def test_unreachable_owner_is_left_out(self):
        """Another data centre serves instead."""
        plan = forwarding.Plan()
        unreached = {'o1': None, 'o4': None}
        found = self.place(plan, weigh=lambda n: unreached.get(n, 0.0))
        self.assertIn(found, ('o0', 'o2', 'o3'))

    def test_owner_that_cannot_sends_it_on(self):
        """It may be cut off with a primary that was replaced.

        Symptom: two thirds of all proxies refuse writes for seven seconds
        while the others serve. Sequence: a primary is cut off with them and
        replaced. Cause: serving only what one reaches oneself.
        """
        plan = forwarding.Plan([forwarding.THIS_PROXY])
        refusal = outcomes.NotRun(Reason.NO_PRIMARY, 50)
        self.assertFalse(forwarding.is_final(self.request(), refusal))
        self.assertIsNotNone(self.place(plan, name='o3'))

    def test_other_refusals_are_final(self):
        """The owners together have no more room than one of them."""
        refusal = outcomes.NotRun(Reason.OVERLOAD, 50)
        self.assertTrue(forwarding.is_final(self.request(), refusal))

    def test_statement_of_a_transaction_stays(self):
        """Its connection is there."""
        later = self.request(transaction=7)
        refusal = outcomes.NotRun(Reason.NO_PRIMARY, 50)
        self.assertTrue(forwarding.is_final(later, refusal))

    def test_no_circles(self):
        """Each place is tried once, and only some."""
        refusal = outcomes.NotRun(Reason.NO_PRIMARY, 50)
        plan = forwarding.Plan(last=refusal)
        seen = []
        while (place := self.place(plan, name='o3')) is not None:
            seen.append(place)
            plan.tried.append(place)
        self.assertEqual(len(set(seen)), len(seen))
        self.assertEqual(forwarding.MAX_ATTEMPTS, len(seen))
        self.assertIs(refusal, forwarding.final_outcome(plan))

    def test_lost_link(self):
        """What may have run is not run again.

        Symptom: a save lands twice. Sequence: an owner runs it and loses its
        power before it answers; the entry asks the next owner. Cause: taking
        a lost link for a refusal.
        """
        commit = self.request(Verb.COMMIT, transaction=7)
        later = self.request(Verb.READ, transaction=7)
        first = self.request(Verb.WRITE, transaction=7, begins=True)
        not_run, unknown = outcomes.NotRun, outcomes.Unknown
        for request, sent, expected in (
            (self.request(Verb.WRITE), True, unknown),
            (self.request(Verb.WRITE), False, None),
            (self.request(Verb.READ), True, None),
            (first, True, None),
            (commit, True, unknown),
            (commit, False, not_run),
            (later, True, not_run),
        ):
            lost = forwarding.LinkLost(sent)
            found = forwarding.lost_link_outcome(request, lost)
            if expected is None:
                self.assertIsNone(found)
            else:
                self.assertIsInstance(found, expected)

    def test_nobody_can_be_reached(self):
        """Said at once, with when to come back."""
        plan = forwarding.Plan()
        self.assertIsNone(self.place(plan, weigh=lambda name: None))
        refusal = forwarding.final_outcome(plan)
        self.assertIs(Reason.NO_OWNER, refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 0)
