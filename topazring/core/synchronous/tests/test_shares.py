"""Share an upstream's connections among all proxies."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import connections
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Reason = outcomes.Reason
Verb = support.Verb


def opens(outs: list, upstream: str) -> list[messages.Open]:
    """Return the dials to an upstream."""
    return [
        out
        for out in outs
        if isinstance(out, messages.Open) and out.upstream == upstream
    ]


class ShareTest(testtools.TestCase):
    """All proxies together stay within an upstream's connections."""

    def test_share_leaves_room_for_a_whole_fleet(self):
        """Every proxy may come back while its old connection lingers.

        Symptom: for three seconds after a loss of power some proxies serve
        nothing. Sequence: all lose power; the upstreams hold their old
        connections for three seconds; the first proxies back take what is
        left; the others are refused. Cause: sharing out all but a few.
        """
        for most, proxies in ((23, 8), (30, 7), (23, 9), (30, 10)):
            shares = [
                connections.share_of(most, proxies, rank)
                for rank in range(proxies)
            ]
            self.assertLessEqual(sum(shares) + proxies, most)
            self.assertGreaterEqual(min(shares), 1)

    def test_fleet_of_few_owners_comes_back_with_several_each(self):
        """One connection is held by the first transaction that pauses.

        Symptom: a third of what is asked in the second after a loss of power
        fails though all proxies are up. Sequence: eight owners come back;
        each dials one connection to the primary, for the old ones linger;
        a transaction's caller pauses, and all others wait. Cause: a reserve
        of one connection a proxy, made for fleets in which each is an owner.
        """
        for most, owners in ((88, 8), (94, 8), (34, 8), (23, 5), (16, 4)):
            shares = [
                connections.share_of(most, owners, rank)
                for rank in range(owners)
            ]
            start = connections.reserve_of(most, owners)
            self.assertLessEqual(sum(shares) + start * owners, most)
        driver = support.Driver()
        driver.state.began_ms = None
        driver.post(messages.InstancesSeen(8, 88, 0))
        driver.list_upstreams(names=('u1',))
        for _ in range(6):
            driver.open_all()
        self.assertEqual(3, len(driver.state.connections))

    def test_proxy_that_began_takes_one_connection(self):
        """The second one waits until old connections are dropped."""
        driver = support.Driver()
        driver.state.began_ms = driver.now_ms
        driver.list_upstreams()
        driver.open_all()
        self.pass_time(driver, 3000)
        self.assertEqual(3, len(driver.state.connections))
        self.pass_time(driver, 1000)
        driver.open_all()
        self.assertEqual(6, len(driver.state.connections))

    def pass_time(self, driver: support.Driver, for_ms: int) -> None:
        """Let time pass in a calm group."""
        for _ in range(for_ms // 20):
            driver.tick(20)
            driver.answer_leadership_checks()

    def shut_out(self) -> support.Driver:
        """Have the only upstream refuse the first connection."""
        driver = support.Driver()
        outs = driver.list_upstreams(names=('u1',))
        (dial,) = opens(outs, 'u1')
        limit = statements.Code.CONNECTION_LIMIT
        driver.post(
            messages.Closed(dial.connection, Reason.CONNECTION_LIMIT, limit)
        )
        return driver

    def test_proxy_without_a_connection_asks_again_soon(self):
        """One that can serve nothing asks far more often than others."""
        driver = self.shut_out()
        outs = driver.tick(connections.UNCONNECTED_LIMIT_RETRY_MS + 20)
        self.assertEqual(1, len(opens(outs, 'u1')))

    def test_proxy_that_is_shut_out_refuses_at_once(self):
        """Its callers reach a proxy that has connections.

        Symptom: 88 requests at one proxy wait for their whole time after a
        loss of power, while the others serve. Sequence: upstreams hold the
        connections of before for three seconds; those that are left go to
        the proxies that are back first; one is refused again and again.
        Cause: a request waits for a connection that does not come.
        """
        driver = self.shut_out()
        key, outs = driver.submit(verb=Verb.WRITE)
        refusal = support.answers(outs)[key]
        self.assertIsInstance(refusal, outcomes.NotRun)
        self.assertEqual(Reason.CONNECTION_LIMIT, refusal.reason)

    def test_larger_share_waits(self):
        """A proxy that restarts comes back for its connections.

        Symptom: as above, though the shares leave room for a whole fleet.
        Sequence: proxies restart one after the other, and the others take
        their connections for those seconds; all lose their power; the
        upstreams hold more than the shares of a whole fleet. Cause: using
        a larger share the moment that a proxy leaves.
        """
        driver = support.Driver(share=2).ready()
        driver.post(messages.InstancesSeen(7, 23, 0))
        driver.tick(1000)
        self.assertEqual(2, driver.state.connection_share)
        driver.post(messages.InstancesSeen(8, 23, 0))
        driver.tick(connections.GROW_AFTER_MS)
        self.assertEqual(2, driver.state.connection_share)
        driver.post(messages.InstancesSeen(7, 23, 0))
        driver.tick(connections.GROW_AFTER_MS + 20)
        self.assertEqual(3, driver.state.connection_share)

    def test_smaller_share_gives_connections_back(self):
        """A proxy that comes needs some of them."""
        driver = support.Driver(share=3).ready()
        outs = driver.post(messages.InstancesSeen(8, 23, 7))
        closed = [out for out in outs if isinstance(out, messages.Close)]
        self.assertEqual(6, len(closed))
