"""Values that cannot be read, or used, stop no part of a process."""

import asyncio
from unittest import mock
import zlib

import msgspec
import testtools

from topazring.core import revisions
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring import key_value
from topazring.plumbing import events
from topazring.pooler import acknowledgement_reports
from topazring.pooler import closures
from topazring.pooler import directory as directories
from topazring.pooler import member_records
from topazring.pooler import order_records
from topazring.pooler import peers
from topazring.pooler import promotion_lease as promotion_leases
from topazring.pooler import stored_values
from topazring.pooler.tests import fleet
from topazring.pooler.tests import test_promotion_lease
from topazring.pooler import upstream_link

# Deeper than a decoder follows, as a field and as the whole value.
NESTED = '[' * 1200 + ']' * 1200
BAD_PROXIES = (
    '{"data_centre": "cork", "hop_address": "nowhere"}',
    '{"data_centre": "cork", "peer_address": "10.0.0.1:99999"}',
    '{"data_centre": "cork", "weight": 1e999}',
    '{"data_centre": "cork", "weight": "heavy"}',
)
BAD_VALUES = (NESTED, '{"x":' + NESTED + '}', '', 'null', '9' * 5000, '-1')


class DirectoryTest(testtools.TestCase):
    """The directory goes on with the entries that follow."""

    def play(self, steps):
        """Run `steps()` with the directories of two proxies."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.fleet = fleet.Fleet(2)
        await self.fleet.start()
        try:
            await steps()
        finally:
            self.fleet.close()

    def counted(self, what: str) -> list[int]:
        """Return what each proxy has counted."""
        return [proxy.log.counters[what] for proxy in self.fleet.proxies]

    async def assert_follows(self) -> None:
        """Check that the next version is in force in time."""
        await self.fleet.configure()
        await self.fleet.in_force(self.fleet.proxies)

    def test_entries_of_proxies(self):
        """Guards against proxies that follow nothing any more."""

        async def steps():
            values = (*BAD_VALUES, *BAD_PROXIES)
            for value in values:
                key = directories.PROXY_PREFIX + 'other'
                await self.fleet.service.put(key, value)
                await self.assert_follows()
            for proxy in self.fleet.proxies:
                self.assertNotIn(key, proxy.directory.listing.proxies)
            expected = [len(values)] * 2
            self.assertEqual(expected, self.counted(stored_values.BAD_ENTRY))
            self.assertEqual([0] * 2, self.counted('task_failed_directory'))

        self.play(steps)

    def test_entry_that_was_good(self):
        """Guards against a proxy that counts on while its entry is bad."""

        async def steps():
            key = directories.PROXY_PREFIX + 'p1'
            good = self.fleet.service.values[key].value
            proxy = self.fleet.proxies[0]
            await self.fleet.service.put(key, NESTED)
            await self.assert_follows()
            missing = proxy.directory.listing.missing_since_ms
            self.assertIn(key, missing)
            await self.fleet.service.put(key, good)
            await self.assert_follows()
            self.assertNotIn(key, missing)
            self.assertIn(key, proxy.directory.listing.proxies)

        self.play(steps)

    def test_start_beside_a_bad_entry(self):
        """Guards against a proxy that never gets a configuration."""

        async def steps():
            key = directories.PROXY_PREFIX + 'other'
            await self.fleet.service.put(key, NESTED)
            proxy = fleet.Proxy('p9', 1, self.fleet.service)
            self.assertTrue(await proxy.directory.read_store_now())
            self.assertEqual(self.fleet.version, proxy.version)
            proxy.directory.close()

        self.play(steps)

    def test_answer_of_a_peer(self):
        """A proxy that the store refuses hears of a bad entry from others."""

        async def steps():
            key = directories.PROXY_PREFIX + 'other'
            proxy = self.fleet.proxies[0]
            proxy.client.is_unavailable = True
            await self.fleet.service.put(key, NESTED)
            await self.fleet.configure()
            await fleet.until(lambda: self.fleet.have_newest([proxy]))

        self.play(steps)

    def test_value_with_secrets(self):
        """A value is not kept if its secrets cannot be found."""

        async def steps():
            proxy = self.fleet.proxies[0]
            proxy.directory.adapter.redact = mock.Mock(
                side_effect=RecursionError
            )
            await self.fleet.service.put('any', 'secret')
            await fleet.until(lambda: 'any' in proxy.directory.known.changes)
            self.assertEqual('', proxy.directory.known.changes['any'].value)

        self.play(steps)

    def test_unexpected_error_of_a_read(self):
        """Guards against a task that ends; the error counts as no answer."""

        async def steps():
            proxy = self.fleet.proxies[0]
            real = proxy.client.changes
            proxy.client.changes = mock.Mock(side_effect=OverflowError('big'))
            failed = 'task_failed_directory'
            await fleet.until(lambda: proxy.log.counters[failed] > 1)
            self.assertFalse(proxy.directory.follows)
            self.assertLess(proxy.log.counters[failed], 20)
            proxy.client.changes = real
            await fleet.until(lambda: proxy.directory.follows)
            await self.assert_follows()

        self.play(steps)

    def test_changes_that_cannot_be_reported(self):
        """Guards against a change that is read but never in force."""

        async def steps():
            proxy = self.fleet.proxies[0]
            reported: list[set[str]] = []
            proxy.directory.on_change = mock.Mock(side_effect=OverflowError)
            await self.fleet.configure()
            failed = 'task_failed_listing'
            await fleet.until(lambda: proxy.log.counters[failed] > 1)
            self.assertLess(proxy.log.counters[failed], 10)
            proxy.directory.on_change = reported.append
            await fleet.until(lambda: reported)
            self.assertEqual([{'s'}], reported)
            # Nothing is reported again without need.
            await asyncio.sleep(2 * directories.EXPIRY_INTERVAL_S)
            self.assertEqual([{'s'}], reported)

        self.play(steps)


class OwnValuesTest(testtools.TestCase):
    """The proxies' own values may be damaged by other programs as well."""

    def setUp(self):
        """Hold a directory and a log."""
        super().setUp()
        self.directory = test_promotion_lease.Directory()
        self.store = test_promotion_lease.Store(self.directory)
        self.log = events.EventLog('p1')

    def make_lease(self) -> promotion_leases.PromotionLease:
        """Return a promotion lease with a record of orders."""
        lease = None
        records = order_records.OrderRecords(
            self.store,
            self.directory,
            self.log,
            400,
            lambda why: lease.give_up(why),
        )
        lease = promotion_leases.PromotionLease(
            'p1-a',
            self.store,
            self.directory,
            self.log,
            lambda holds, token: None,
            records,
        )
        lease.jitter_s = 0.0
        return lease

    def test_member_records(self):
        """Guards against a record that ends what reads it."""
        records = member_records.MemberRecords(
            self.store, self.directory, self.log, lambda: True
        )
        for value in BAD_VALUES:
            self.directory.set(member_records.KEY_PREFIX + 's', value)
            self.assertIsNone(records.read('s'))
            self.assertFalse(records.is_current('s'))
            self.assertFalse(records.is_own('s'))

    def test_holder(self):
        """An unreadable holder is nobody, and the lease is not free."""

        async def run():
            lease = self.make_lease()
            for value in BAD_VALUES:
                self.directory.set(promotion_leases.LEASE_KEY, value)
                found = await lease._read_holder()
                self.assertEqual(key_value.Missing(), found)
                self.assertEqual('', lease._find_successor())
                self.assertFalse(lease._is_free())
                listed = promotion_leases.listed_holder(
                    self.directory, self.log
                )
                self.assertEqual('', listed)

        asyncio.run(run())
        self.assertGreater(self.log.counters[stored_values.BAD_ENTRY], 0)

    def test_tokens_that_are_not_known(self):
        """Guards against a token that is lower than an earlier one."""

        async def run():
            lease = self.make_lease()
            for value in (*BAD_VALUES, 'nine', str(2**60)):
                self.directory.set(promotion_leases.TOKEN_BLOCK_KEY, value)
                lease.era = None
                await lease._try_acquire()
                self.assertFalse(lease.holds)
            # Repaired by an operator.
            self.directory.set(promotion_leases.TOKEN_BLOCK_KEY, '70000')
            await lease._try_acquire()
            self.assertTrue(lease.holds)
            self.assertGreater(lease.token, 70000)

        asyncio.run(run())

    def test_orders(self):
        """Guards against a holder that takes no order for outstanding."""

        async def run():
            for value in BAD_VALUES:
                lease = self.make_lease()
                self.directory.set(promotion_leases.LEASE_KEY, None)
                self.directory.set(promotion_leases.TOKEN_BLOCK_KEY, '70000')
                self.directory.set(order_records.KEY, value)
                await lease._try_acquire()
                self.assertTrue(lease.holds)
                self.assertTrue(lease.records.is_incomplete())
                await lease.close()

        asyncio.run(run())

    def test_closures(self):
        """Guards against a closure that ends the reading of all entries."""

        async def run():
            follower = closures.Closures(
                'p1',
                self.store,
                self.directory,
                self.log,
                lambda target: None,
                lambda target: None,
            )
            key = closures.KEY_PREFIX + 'upstream/s/u'
            for value in BAD_VALUES:
                self.directory.set(key, value)
                self.assertTrue(follower.handle_change(key))
                self.assertEqual({}, follower.in_force)
                page = await follower.handle_request(value.encode())
                self.assertEqual(400, page.code)

        asyncio.run(run())


class AnswerTest(testtools.TestCase):
    """Answers of other proxies may come from another process."""

    def test_unreadable_answers(self):
        """Guards against an error that ends what asks, and leaves no line."""
        bodies = (b'', b'x', b'\x91' * 2000, zlib.compress(b'[' * 3000))

        async def run():
            log = events.EventLog('p1')
            client = peers.PeerClient((), '', log)
            for body in bodies:
                reply = mock.Mock(code=200, body=body)
                call = mock.AsyncMock(return_value=reply)
                with mock.patch.object(peers.http_calls, 'call', call):
                    found = await client.fetch_changes('127.0.0.1:9', 0)
                self.assertIsNone(found)
            return log.counters[peers.BAD_ANSWER]

        self.assertEqual(len(bodies), asyncio.run(run()))

    def test_numbers_out_of_range(self):
        """Guards against an answer that cannot be passed on to others."""
        big = 2**63
        parts = (
            (big, True, True, 0, []),
            (-1, True, True, 0, []),
            (7, True, True, -big, []),
            (7, True, True, big, []),
            *(
                (7, True, True, 0, [revisions.Change('k', number, 'v')])
                for number in (-1, big, 2**64, 10**400)
            ),
        )

        async def run():
            log = events.EventLog('p1')
            client = peers.PeerClient((), '', log)
            for *numbers, changes in parts:
                rows = ','.join(
                    f'{{"key":"k","revision":{each.revision},"value":"v"}}'
                    for each in changes
                )
                packed = zlib.compress(f'[{rows}]'.encode())
                body = msgspec.msgpack.encode([*numbers, packed])
                reply = mock.Mock(code=200, body=body)
                call = mock.AsyncMock(return_value=reply)
                with mock.patch.object(peers.http_calls, 'call', call):
                    found = await client.fetch_changes('127.0.0.1:9', 0)
                self.assertIsNone(found)
            client.close()
            return log.counters[peers.BAD_ANSWER]

        self.assertEqual(len(parts), asyncio.run(run()))

    def test_request_out_of_range(self):
        """Guards against a request that ends in an error, unanswered."""

        async def run():
            server = peers.Server(mock.AsyncMock(side_effect=AssertionError))
            odd = ('', '-1', '9' * 5000, str(2**63), '\u0663', '1e999', '1.5')
            for number in odd:
                for name in ('after', 'wait_ms'):
                    body = await server._respond_with_changes({name: number})
                    self.assertIsNone(body)

        asyncio.run(run())

    def test_unreadable_reports(self):
        """Guards against an error that ends the process of a promoter."""
        log = events.EventLog('p1')
        reports = acknowledgement_reports.Reports(
            'p1', 'p1-a', mock.Mock(), log, mock.Mock()
        )
        kind = acknowledgement_reports.FenceAnswer
        for body in (b'', b'x', b'\x91' * 2000):
            self.assertIsNone(reports._decode('127.0.0.1:9', body, kind))
        self.assertEqual(3, log.counters[peers.BAD_ANSWER])


class UpstreamLinkTest(testtools.TestCase):
    """Replies that cannot be decoded end the connection."""

    def test_unexpected_error_of_the_decoder(self):
        """Guards against a connection whose replies are awaited for good."""
        closed = []

        async def run():
            codec = mock.Mock()
            codec.hello.return_value = b'hello\r\n'
            codec.reader.return_value.feed.side_effect = OverflowError
            server = await asyncio.start_server(
                lambda reader, writer: writer.write(b'x'), '127.0.0.1', 0
            )
            port = server.sockets[0].getsockname()[1]
            log = events.EventLog('p1')
            link = upstream_link.UpstreamLink(1, codec, closed.append, log)
            target = messages.Open(1, 'u', f'127.0.0.1:{port}')
            link.start('s', target)
            await fleet.until(lambda: closed)
            server.close()
            return log.counters['task_failed_upstream_link']

        self.assertEqual(1, asyncio.run(run()))
        self.assertIsInstance(closed[0], messages.Closed)


class StoredValuesTest(testtools.TestCase):
    """Decoding returns a value or reports why there is none."""

    def test_decode(self):
        """Whatever a decoder raises is reported with the key."""
        log = events.EventLog('p1')
        decoder = msgspec.json.Decoder(statements.Role).decode
        found = stored_values.decode(log, 'k', '"replica"', decoder)
        self.assertIs(statements.Role.REPLICA, found)
        with mock.patch.object(log, 'emit', autospec=True) as emit:
            self.assertIsNone(stored_values.decode(log, 'k', NESTED, decoder))
        self.assertEqual('k', emit.call_args.kwargs['inputs']['key'])
        self.assertEqual(1, log.counters[stored_values.BAD_ENTRY])
