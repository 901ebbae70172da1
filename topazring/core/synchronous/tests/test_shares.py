"""Test how an upstream's connections are shared among all proxies."""

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
    """All proxies together stay within an upstream's connection limit."""

    def test_share_leaves_connections_for_a_whole_fleet(self):
        """Every proxy may return while its old connection lingers.

        Guards against proxies that serve no requests for three seconds after
        a power loss: all proxies lose power, and the upstreams keep their old
        connections for three seconds. The first proxies to return take the
        remaining connections and the others are refused.
        """
        for limit, proxies in ((23, 8), (30, 7), (23, 9), (30, 10)):
            shares = [
                connections.share_of(limit, proxies, rank)
                for rank in range(proxies)
            ]
            self.assertLessEqual(sum(shares) + proxies, limit)
            self.assertGreaterEqual(min(shares), 1)

    def test_few_owners_return_with_several_connections_each(self):
        """A single connection is held by the first transaction that pauses.

        Guards against a third of the requests failing in the second after a
        power loss although all proxies are up: eight owners return and each
        dials one connection to the primary, because the old ones linger. A
        transaction's caller pauses, and all other requests wait. A reserve of
        one connection per proxy suffices only if every proxy is an owner.
        """
        for limit, owners in ((88, 8), (94, 8), (34, 8), (23, 5), (16, 4)):
            shares = [
                connections.share_of(limit, owners, rank)
                for rank in range(owners)
            ]
            start = connections.reserve_of(limit, owners)
            self.assertLessEqual(sum(shares) + start * owners, limit)
        driver = support.Driver()
        driver.state.began_ms = None
        driver.post(messages.InstancesSeen(8, 88, 0))
        driver.list_upstreams(names=('u1',))
        for _ in range(6):
            driver.open_all()
        self.assertEqual(3, len(driver.state.connections))

    def test_started_proxy_opens_one_connection(self):
        """The second one is not dialled until old connections are dropped."""
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
        """Let time pass in a group without failures."""
        for _ in range(for_ms // 20):
            driver.tick(20)
            driver.answer_leadership_checks()

    def refuse_by_limit(self) -> support.Driver:
        """Have the only upstream refuse the first connection."""
        driver = support.Driver()
        outs = driver.list_upstreams(names=('u1',))
        (dial,) = opens(outs, 'u1')
        limit = statements.Code.CONNECTION_LIMIT
        driver.post(
            messages.Closed(dial.connection, Reason.CONNECTION_LIMIT, limit)
        )
        return driver

    def test_proxy_without_a_connection_retries_sooner(self):
        """A proxy that cannot serve any request retries more often."""
        driver = self.refuse_by_limit()
        outs = driver.tick(connections.UNCONNECTED_LIMIT_RETRY_MS + 20)
        self.assertEqual(1, len(opens(outs, 'u1')))

    def test_proxy_refused_by_the_limit_refuses_requests_at_once(self):
        """Refused callers can use a proxy that has connections.

        Guards against requests (88 in one run) that wait until their deadline
        at one proxy after a power loss, while the other proxies serve:
        upstreams hold the previous connections for three seconds, the
        remaining ones go to the proxies that return first, and one proxy is
        refused again and again.
        """
        driver = self.refuse_by_limit()
        key, outs = driver.submit(verb=Verb.WRITE)
        refusal = support.answers(outs)[key]
        self.assertIsInstance(refusal, outcomes.NotRun)
        self.assertEqual(Reason.CONNECTION_LIMIT, refusal.reason)

    def test_larger_share_waits(self):
        """A restarting proxy needs its connections again.

        Guards against the same failure as above, although the shares leave
        enough connections for a whole fleet: proxies restart one after the
        other, and the others use their connections for those seconds. Then
        all lose power, and the upstreams hold more than the shares of a whole
        fleet. A larger share must not be used as soon as a proxy leaves.
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

    def test_smaller_share_closes_connections(self):
        """A proxy that is added needs some of the connections."""
        driver = support.Driver(share=3).ready()
        outs = driver.post(messages.InstancesSeen(8, 23, 7))
        closed = [out for out in outs if isinstance(out, messages.Close)]
        self.assertEqual(6, len(closed))
