"""Test the choice of owners and the forwarding of requests to them."""

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


def idle(owner: str) -> float:
    """Return the load of an idle, reachable owner."""
    return 0.0


class OwnershipTest(testtools.TestCase):
    """With many proxies and few connections, only some proxies own them."""

    def test_owners_shares_fit_into_the_limit(self):
        """Each owner has connections, and some are left in reserve."""
        for count, most in ((74, 23), (68, 34), (64, 94), (300, 23)):
            owned = ownership.select_owners('s', proxies(count), most)
            shares = [
                connections.share_of(most, len(owned.owners), rank)
                for rank in range(len(owned.owners))
            ]
            self.assertLessEqual(sum(shares) + len(shares), most)
            self.assertGreaterEqual(min(shares), 3)

    def test_few_proxies_own_everything(self):
        """Each proxy serves its own callers, and no request is forwarded."""
        for count, most in ((9, 16), (8, 23), (7, 30)):
            owned = ownership.select_owners('s', proxies(count), most)
            self.assertEqual(count, len(owned.owners))

    def test_owners_are_spread_over_data_centres(self):
        """Most callers have an owner in their own data centre."""
        owned = ownership.select_owners('s', proxies(74), 23)
        centres = [owner.data_centre for owner in owned.owners]
        counts = sorted(centres.count(centre) for centre in CENTRES)
        self.assertEqual([1, 2, 2], counts)

    def test_services_have_different_owners(self):
        """The work of all services is not concentrated on the same five."""
        owners = {
            owner.name
            for service in 'wxyz'
            for owner in ownership.select_owners(
                service, proxies(74), 23
            ).owners
        }
        self.assertGreater(len(owners), 10)

    def test_owner_that_leaves_moves_only_its_own_share(self):
        """The other owners keep their connections."""
        everyone = proxies(74)
        before = ownership.select_owners('s', everyone, 23).owners
        left = [proxy for proxy in everyone if proxy != before[0]]
        after = ownership.select_owners('s', left, 23).owners
        self.assertGreaterEqual(len(set(before) & set(after)), 4)

    def test_proxy_that_is_no_owner_holds_no_connection(self):
        """Its connections would be missing at the owners.

        Guards against refusing two thirds of all requests while upstreams are
        idle: if each of 74 proxies dials one connection and an upstream
        accepts 23, then 51 proxies have none and can serve no request.
        """
        driver = support.Driver()
        driver.post(messages.InstancesSeen(5, 23, None))
        outs = driver.list_upstreams() + driver.tick(5000)
        dials = [out for out in outs if isinstance(out, messages.Open)]
        self.assertEqual([], dials)

    def test_holder_of_the_promotion_lease_sees_the_members(self):
        """It promotes, so it has to query the members, owner or not."""
        driver = support.Driver()
        driver.post(messages.InstancesSeen(5, 23, None))
        driver.post(messages.PromotionLeaseSeen(True, 100))
        driver.list_upstreams()
        driver.open_all()
        held = {c.upstream for c in driver.state.connections.values()}
        self.assertEqual({'u1', 'u2', 'u3'}, held)


class ForwardingTest(testtools.TestCase):
    """A request is forwarded to the next owner only if it did not run."""

    owned = ownership.Ownership(
        tuple(ownership.Proxy(f'o{n}', CENTRES[n % 3]) for n in range(5))
    )

    def next_owner(self, plan, name='p1', centre='b', weigh=idle, turn=0):
        """Return the owner that is tried next."""
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
        """Requests of its callers are not forwarded."""
        plan = forwarding.Plan()
        self.assertEqual(
            forwarding.THIS_PROXY, self.next_owner(plan, name='o3')
        )

    def test_own_data_centre_first(self):
        """Traffic between data centres costs money."""
        plan = forwarding.Plan()
        self.assertIn(self.next_owner(plan), ('o1', 'o4'))

    def test_turns_spread_the_load(self):
        """Requests are spread over the owners of a data centre."""
        plan = forwarding.Plan()
        found = {self.next_owner(plan, turn=turn) for turn in range(4)}
        self.assertEqual({'o1', 'o4'}, found)

    def test_only_owner_of_a_data_centre_is_not_overloaded(self):
        """Owners elsewhere serve requests while it has a queue.

        Guards against a third of one data centre's requests waiting until
        their deadline on a busy day while other owners are idle: of five
        owners in three data centres, one is alone in its data centre and gets
        all its callers if the own data centre is always preferred.
        """
        plan = forwarding.Plan()
        found = self.next_owner(
            plan, centre='c', weigh=lambda n: 12.0 if n == 'o2' else 0.0
        )
        self.assertNotEqual('o2', found)

    def test_busy_owner_forwards_its_own_callers(self):
        """An idle owner elsewhere serves them sooner."""
        plan = forwarding.Plan()
        busy = {forwarding.THIS_PROXY: 12.0}
        found = self.next_owner(
            plan, name='o3', weigh=lambda n: busy.get(n, 0.0)
        )
        self.assertNotEqual(forwarding.THIS_PROXY, found)

    def test_reported_queue_length_decays(self):
        """An owner that gets no more requests is tried again later."""
        load = forwarding.Load(waiting=16, reported_ms=1000)
        self.assertEqual(16, load.expected_ahead(1000))
        later_ms = 1000 + 5 * forwarding.LOAD_HALF_LIFE_MS
        self.assertLess(load.expected_ahead(later_ms), forwarding.HOP_COST)

    def test_unreachable_owner_is_skipped(self):
        """An owner in another data centre serves instead."""
        plan = forwarding.Plan()
        unreachable = {'o1': None, 'o4': None}
        found = self.next_owner(plan, weigh=lambda n: unreachable.get(n, 0.0))
        self.assertIn(found, ('o0', 'o2', 'o3'))

    def test_owner_that_cannot_serve_forwards(self):
        """An owner may be cut off together with a replaced primary.

        Guards against two thirds of all proxies refusing writes for seven
        seconds while the others serve them: these proxies were cut off with
        the replaced primary and used only upstreams they reach themselves.
        """
        plan = forwarding.Plan([forwarding.THIS_PROXY])
        refusal = outcomes.NotRun(Reason.NO_PRIMARY, 50)
        self.assertFalse(forwarding.is_final(self.request(), refusal))
        self.assertIsNotNone(self.next_owner(plan, name='o3'))

    def test_other_refusals_are_final(self):
        """The owners together have no more capacity than one of them."""
        refusal = outcomes.NotRun(Reason.OVERLOAD, 50)
        self.assertTrue(forwarding.is_final(self.request(), refusal))

    def test_statement_of_a_transaction_stays(self):
        """The proxy that began it holds its connection."""
        later = self.request(transaction=7)
        refusal = outcomes.NotRun(Reason.NO_PRIMARY, 50)
        self.assertTrue(forwarding.is_final(later, refusal))

    def test_no_loops(self):
        """Each owner is tried once, and the number of attempts is limited."""
        refusal = outcomes.NotRun(Reason.NO_PRIMARY, 50)
        plan = forwarding.Plan(last=refusal)
        seen = []
        while (owner := self.next_owner(plan, name='o3')) is not None:
            seen.append(owner)
            plan.tried.append(owner)
        self.assertEqual(len(set(seen)), len(seen))
        self.assertEqual(forwarding.MAX_ATTEMPTS, len(seen))
        self.assertIs(refusal, forwarding.final_outcome(plan))

    def test_lost_link(self):
        """A request that may have run is not run again.

        Guards against a write taking effect twice: an owner runs it and loses
        power before it answers, and the entry sends the write to the next
        owner as if the first one had refused it.
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

    def test_no_owner_is_reachable(self):
        """The request is refused at once with a retry delay."""
        plan = forwarding.Plan()
        self.assertIsNone(self.next_owner(plan, weigh=lambda owner: None))
        refusal = forwarding.final_outcome(plan)
        self.assertIs(Reason.NO_OWNER, refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 0)
