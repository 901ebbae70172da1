"""Close upstreams and databases for a while, with a store that may fail."""

import asyncio
import types
from unittest import mock

import msgspec
import testtools

from topazring.core.synchronous import listing as listings
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring import key_value
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import closures
from topazring.pooler.tests import fleet
from topazring.pooler.tests import test_promotion_lease

Kind = closures.Kind
Role = statements.Role
UPSTREAM = closures.Target(Kind.UPSTREAM, 's', 'u2')
DATABASE = closures.Target(Kind.DATABASE, '', 'old')
UPSTREAM_KEY = closures.KEY_PREFIX + 'upstream/s/u2'
DATABASE_KEY = closures.KEY_PREFIX + 'database//old'
SHORT_S = 0.15


class Store(test_promotion_lease.Store):
    """Fake store in which another operator may write in between."""

    def __init__(self, directory):
        super().__init__(directory)
        # Called before each write.
        self.before_write = lambda: None

    async def put_all(self, values):
        """Write the values, after what another operator writes."""
        self.before_write()
        if self.is_unavailable:
            return key_value.Unavailable('away')
        return await super().put_all(values)


class Log(events.EventLog):
    """Log that is kept in memory."""

    def __init__(self, name):
        super().__init__(name)
        self.events: list[str] = []

    def emit(self, part, event, *more, **fields):
        """Record an event."""
        self.events.append(event)


class ClosuresTest(testtools.TestCase):
    """Proxies p1 and p2 follow the closures of one store."""

    def play(self, steps):
        """Run `steps()` with two proxies."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.directory = test_promotion_lease.Directory()
        self.store = Store(self.directory)
        self.fault = None
        self.proxies = [self.make_proxy('p1'), self.make_proxy('p2')]
        with mock.patch.object(closures, 'MIN_S', 0.01):
            await steps()
        for proxy in self.proxies:
            proxy.stop()

    def make_proxy(self, name: str) -> closures.Closures:
        """Return a proxy that follows no closure yet."""
        self.changed: list[closures.Target] = []
        return closures.Closures(
            name,
            self.store,
            self.directory,
            Log(name),
            lambda target: self.fault,
            self.changed.append,
        )

    def tell(self, key: str, *proxies: closures.Closures) -> None:
        """Have proxies, all if none is named, read a changed value."""
        for proxy in proxies or self.proxies:
            self.assertTrue(proxy.handle_change(key))

    async def ask(self, for_s: float, target=DATABASE, proxy: int = 0):
        """Send a request to a proxy; return the status and the answer."""
        body = {
            'kind': target.kind,
            'service': target.service,
            'name': target.name,
            'for_s': for_s,
        }
        page = await self.proxies[proxy].handle_request(
            msgspec.json.encode(body)
        )
        kind = closures.Result if page.code == 200 else closures.Refused
        return page.code, msgspec.json.decode(page.body, type=kind)

    async def close(self, for_s: float, target=DATABASE) -> None:
        """Close something at p1, and have all proxies hear of it."""
        code, _ = await self.ask(for_s, target)
        self.assertEqual(200, code)
        key = DATABASE_KEY if target is DATABASE else UPSTREAM_KEY
        self.tell(key)

    def closed_at(self) -> list[str]:
        """Return the proxies that refuse the database."""
        return [
            proxy.name
            for proxy in self.proxies
            if proxy.database_left_ms('old')
        ]

    def test_all_proxies_follow(self):
        async def steps():
            await self.close(30, UPSTREAM)
            now_ms = clock.boottime_ms()
            for proxy in self.proxies:
                until_ms = proxy.upstreams_until_ms('s')['u2']
                self.assertAlmostEqual(now_ms + 30_000, until_ms, delta=1000)
                self.assertEqual({}, proxy.upstreams_until_ms('other'))
            (view,) = self.proxies[1].views(now_ms)
            self.assertEqual(('s', 'u2'), (view.service, view.name))
            self.assertEqual([UPSTREAM], self.changed)
            self.assertEqual([], self.closed_at())
            self.assertEqual(['closure begins'], self.proxies[1].log.events)

        self.play(steps)

    def test_ends_with_its_lease(self):
        """Guards against a closure that outlasts its value in the store."""

        async def steps():
            await self.close(30)
            self.assertEqual(['p1', 'p2'], self.closed_at())
            self.directory.set(DATABASE_KEY, None)
            self.tell(DATABASE_KEY)
            self.assertEqual([], self.closed_at())
            self.assertEqual(
                ['closure begins', 'closure ends'], self.proxies[0].log.events
            )

        self.play(steps)

    def test_store_away_when_it_lapses(self):
        """Guards against a closure that lasts as long as an outage."""

        async def steps():
            await self.close(SHORT_S)
            await self.close(SHORT_S, UPSTREAM)
            self.store.is_unavailable = True
            self.directory.unavailable_since_ms = clock.boottime_ms()
            await fleet.until(
                lambda: not any(p.in_force for p in self.proxies), 2.0
            )
            self.assertEqual([], self.closed_at())
            self.assertEqual({}, self.proxies[1].upstreams_until_ms('s'))
            self.assertEqual(2, self.proxies[1].counters['closure_ended'])

        self.play(steps)

    def test_lapsed_value_is_read_again(self):
        """Guards against a closure that begins again after an outage.

        The leases of the store paused with it, so the value is still there.
        """

        async def steps():
            await self.close(SHORT_S)
            await fleet.until(lambda: not self.proxies[0].in_force, 2.0)
            self.tell(DATABASE_KEY)
            self.assertEqual([], self.closed_at())

        self.play(steps)

    def test_restart_in_between(self):
        """Guards against a closure that a restarted proxy does not know.

        The proxy that took the request is gone, too.
        """

        async def steps():
            await self.close(30)
            self.proxies.pop(0).stop()
            restarted = self.make_proxy('p3')
            self.proxies.append(restarted)
            self.tell(DATABASE_KEY, restarted)
            self.assertEqual(['p2', 'p3'], self.closed_at())

        self.play(steps)

    def test_late_proxy_counts_from_when_it_heard(self):
        """Guards against more than twice the time at a proxy that was cut off.

        It hears of a closure while the value is in the store, at the latest
        when the closure's time is over elsewhere.
        """

        async def steps():
            await self.ask(SHORT_S)
            self.tell(DATABASE_KEY, self.proxies[0])
            await asyncio.sleep(SHORT_S * 0.8)
            self.tell(DATABASE_KEY, self.proxies[1])
            heard_ms = clock.boottime_ms()
            await fleet.until(lambda: not self.proxies[1].in_force, 2.0)
            took_ms = clock.boottime_ms() - heard_ms
            self.assertGreaterEqual(took_ms, SHORT_S * 1000 - 1)

        self.play(steps)

    def test_opened_early(self):
        async def steps():
            await self.close(30)
            code, result = await self.ask(0, proxy=1)
            self.assertEqual((200, 0, 'p1'), (code, 0, result.replaced.by))
            self.tell(DATABASE_KEY)
            self.assertEqual([], self.closed_at())
            code, result = await self.ask(0)
            self.assertIsNone(result.replaced)

        self.play(steps)

    def test_open_what_is_not_closed(self):
        async def steps():
            code, result = await self.ask(0)
            self.assertEqual((200, None), (code, result.replaced))
            self.assertNotIn('put', self.store.calls)

        self.play(steps)

    def test_longer_without_a_gap(self):
        """Guards against work in the moment in which a closure is replaced."""

        async def steps():
            await self.close(30, UPSTREAM)
            seen = []
            for proxy in self.proxies:
                proxy.on_change = lambda target, proxy=proxy: seen.append(
                    'u2' in proxy.upstreams_until_ms('s')
                )
            await self.close(60, UPSTREAM)
            self.assertEqual([True, True], seen)
            events = ['closure begins', 'closure ends', 'closure begins']
            self.assertEqual(events, self.proxies[1].log.events)

        self.play(steps)

    def test_two_operators_race(self):
        """Guards against an operator who does not learn of the other.

        Both proxies have read that nothing is closed; p2 writes while p1 is
        about to.
        """

        async def steps():
            def write_first():
                self.store.before_write = lambda: None
                value = '{"closure":"x","for_ms":40000,"by":"p2"}'
                self.directory.set(DATABASE_KEY, value)
                self.tell(DATABASE_KEY, self.proxies[0])

            self.store.before_write = write_first
            code, result = await self.ask(20)
            self.assertEqual(200, code)
            self.assertEqual(
                (40_000, 'p2'), (result.replaced.for_ms, result.replaced.by)
            )
            self.assertAlmostEqual(40_000, result.replaced.left_ms, delta=900)
            self.tell(DATABASE_KEY)
            for proxy in self.proxies:
                left_ms = proxy.database_left_ms('old')
                self.assertAlmostEqual(20_000, left_ms, delta=900)

        self.play(steps)

    def test_race_without_end(self):
        """Guards against trying for as long as others write."""

        async def steps():
            def write_first():
                self.directory.set(
                    DATABASE_KEY, '{"closure":"x","for_ms":40000}'
                )

            self.store.before_write = write_first
            code, _ = await self.ask(20)
            self.assertEqual(412, code)
            counters = self.proxies[0].counters
            self.assertEqual(1, counters['closure_refused_conflict'])

        self.play(steps)

    def test_store_away_when_asked(self):
        """Guards against a closure that only one proxy follows."""

        async def steps():
            self.store.is_unavailable = True
            code, refused = await self.ask(30)
            self.assertEqual(503, code)
            self.assertIn('not done', refused.error)
            self.assertEqual([], self.closed_at())
            self.assertEqual(['closure refused'], self.proxies[0].log.events)

        self.play(steps)

    def test_lost_answer(self):
        """Guards against saying that it was not done, when it may be."""

        async def steps():
            self.store.drops_answer = True
            code, refused = await self.ask(30)
            self.assertEqual(504, code)
            self.assertIn('not known', refused.error)

        self.play(steps)

    def test_returned_store(self):
        """Guards against a closure that ends as the store lost it.

        The store returns from a copy that is older than the closure. It goes
        on here, and can be ended by an operator.
        """

        async def steps():
            await self.close(30)
            self.directory.era = self.store.era = 1
            self.directory.set(DATABASE_KEY, None)
            self.tell(DATABASE_KEY)
            self.assertEqual(['p1', 'p2'], self.closed_at())
            await self.ask(0)
            self.tell(DATABASE_KEY)
            self.assertEqual([], self.closed_at())

        self.play(steps)

    def test_malformed_requests(self):
        """Guards against a request that closes something else."""

        async def steps():
            for body in (
                b'',
                b'{}',
                b'{"kind":"database","name":"old"}',
                b'{"kind":"proxy","name":"old","for_s":5}',
                b'{"kind":"database","name":"","for_s":5}',
                b'{"kind":"database","name":"old","for_s":-1}',
                b'{"kind":"database","name":"old","for_s":"5"}',
                b'{"kind":"database","name":"old","for_s":0.001}',
                b'{"kind":"database","name":"old","for_s":601}',
                b'{"kind":"database","name":"old","for_s":5,"x":1}',
                b'{"kind":"database","name":"old","for_s":5,"service":"s"}',
                b'{"kind":"upstream","name":"u2","for_s":5}',
                b'{"kind":"database","for_s":5,"name":"%s"}' % (b'x' * 200),
            ):
                page = await self.proxies[0].handle_request(body)
                self.assertEqual(400, page.code, body)
            self.assertEqual([], self.store.calls)
            counters = self.proxies[0].counters
            self.assertEqual(13, counters['closure_refused_malformed'])

        self.play(steps)

    def test_unsupported_targets(self):
        async def steps():
            self.fault = closures.Fault(409, 'it is the primary')
            code, refused = await self.ask(30, UPSTREAM)
            self.assertEqual((409, 'it is the primary'), (code, refused.error))
            self.assertEqual([], self.store.calls)

        self.play(steps)

    def test_foreign_values(self):
        """Guards against a value that stops the directory."""

        async def steps():
            await self.close(30)
            for value in ('', 'x', '{}', '{"closure":"x","for_ms":-1}'):
                self.directory.set(DATABASE_KEY, value)
                self.tell(DATABASE_KEY)
                self.assertEqual([], self.closed_at())
            for key in ('', 'database', 'proxy//x', 'upstream/a/b/c'):
                self.directory.set(
                    closures.KEY_PREFIX + key, '{"closure":"y","for_ms":9000}'
                )
                self.tell(closures.KEY_PREFIX + key)
            self.assertFalse(self.proxies[0].handle_change('topazring/duty'))
            self.assertEqual({}, self.proxies[0].in_force)

        self.play(steps)


def _listed(name: str, role: Role = Role.REPLICA) -> listings.UpstreamRecord:
    upstream = messages.ListedUpstream(name, f'{name}:1', 'here', role, 1)
    return listings.UpstreamRecord('s', upstream)


class FindFaultTest(testtools.TestCase):
    """What may be closed follows from the listing."""

    def find(self, kind: Kind, service: str, name: str, leads: str = 'u1'):
        """Return the status of the refusal, None if there is none."""
        policy = messages.Policy('old', 's', messages.Freshness.PRIMARY)
        listing = listings.Listing(
            listings.Configuration(1, {'old': policy}, {'s': 9}),
            {
                'a': _listed('u1', Role.PRIMARY),
                'b': _listed('u2'),
                'c': _listed('u3'),
            },
        )
        state = types.SimpleNamespace(primary=leads)
        groups = {'s': types.SimpleNamespace(state=state)}
        target = closures.Target(kind, service, name)
        fault = closures.find_fault(listing, groups, target)
        return None if fault is None else fault.code

    def test_each(self):
        self.assertIsNone(self.find(Kind.DATABASE, '', 'old'))
        self.assertIsNone(self.find(Kind.UPSTREAM, 's', 'u2'))
        self.assertEqual(404, self.find(Kind.DATABASE, '', 'new'))
        self.assertEqual(404, self.find(Kind.UPSTREAM, 's', 'u9'))
        self.assertEqual(404, self.find(Kind.UPSTREAM, 't', 'u2'))

    def test_primary(self):
        """Guards against a group whose writes nobody serves.

        The listing may name an earlier primary.
        """
        self.assertEqual(409, self.find(Kind.UPSTREAM, 's', 'u1', 'u3'))
        self.assertEqual(409, self.find(Kind.UPSTREAM, 's', 'u3', 'u3'))

    def test_no_configuration(self):
        target = closures.Target(Kind.DATABASE, '', 'old')
        fault = closures.find_fault(listings.Listing(), {}, target)
        self.assertEqual(503, fault.code)
