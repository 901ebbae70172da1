"""One odd entry among those of the upstreams changes nothing else."""

import asyncio
import contextlib
import json
import types
from unittest import mock

import msgspec
import testtools

from topazring.bench import ports
from topazring.core.synchronous import listing as listings
from topazring.platform import records
from topazring.platform import store as stores
from topazring.platform.tests import fake_store
from topazring.platform.tests import odd_entries
from topazring.plumbing import events
from topazring.pooler import directory as directories
from topazring.pooler import follower_client
from topazring.pooler import peers
from topazring.pooler import proxy_entries
from topazring.pooler import settings
from topazring.pooler import stored_values

CENTRE = 'here'
IN_FORCE_MS = 900
WITHIN_S = 10.0
# Reads of the store by one proxy within the pause below, at most.
MAX_CALLS = 12
PAUSE_S = 1.0
MANY = 400
FAILED = 'task_failed_directory'


class Log(events.EventLog):
    """Keep the keys of bad entries."""

    def __init__(self, process: str):
        super().__init__(process)
        self.bad: list[str] = []

    def emit(self, part, event, request='', service='', inputs=None) -> None:
        """Keep the key that a line names."""
        if event == 'bad entry':
            self.bad.append(inputs['key'])


class Proxy:
    """Run one proxy's directory and its server for peers."""

    def __init__(self, name: str, store_port: int, port: int):
        self.name = name
        self.address = f'127.0.0.1:{port}'
        self.log = Log(name)
        self.store = stores.StoreClient(f'127.0.0.1:{store_port}')
        self.peer_client = peers.PeerClient((), self.address, self.log)
        self.directory = directories.Directory(
            types.SimpleNamespace(
                store=self.store, decode=records.decode, redact=records.redact
            ),
            self.peer_client,
            follower_client.FollowerClient(
                name, CENTRE, self.peer_client, self.log, IN_FORCE_MS
            ),
            self.log,
            lambda services: None,
        )
        self.server = peers.Server(self.directory.changes_after)

    def start(self) -> None:
        """Start to follow."""
        self.server.start(self.address)
        self.directory.start()

    def close(self) -> None:
        """Stop."""
        self.directory.close()
        self.server.close()
        self.store.close()

    @property
    def listing(self) -> listings.Listing:
        """Return what it has read."""
        return self.directory.listing

    @property
    def version(self) -> int:
        """Return the version in force, 0 if none is."""
        configuration = self.listing.configuration
        return 0 if configuration is None else configuration.version

    @property
    def is_reader(self) -> bool:
        """Return whether it reads from a follower."""
        return bool(self.directory.follower_client.source)


class OddEntriesTest(testtools.TestCase):
    """Each way on which entries come in goes on beside odd ones."""

    def play(self, steps, proxies: int = 1) -> None:
        """Run `steps` with a store and proxies."""
        asyncio.run(self._play(steps, proxies))

    async def _play(self, steps, count: int) -> None:
        self.store = fake_store.FakeStore()
        found = ports.find_free_ports(2 * count)
        self.store.start(found[:count])
        self.version = 0
        self.proxies = [
            Proxy(f'p{number}', *pair)
            for number, pair in enumerate(
                zip(found[:count], found[count:], strict=True)
            )
        ]
        for proxy in self.proxies:
            value = proxy_entries.ProxyValue(CENTRE, proxy.address)
            await self.store.put(
                directories.PROXY_PREFIX + proxy.name,
                msgspec.json.encode(value).decode(),
            )
        await self.put('good', odd_entries.good())
        await self.configure()
        with contextlib.ExitStack() as stack:
            stack.enter_context(mock.patch.object(directories, 'STARTUP_S', 0))
            stack.callback(self.store.close)
            for proxy in self.proxies:
                stack.callback(proxy.close)
            await steps()

    async def put(self, name: str, value: str | None) -> None:
        """Write an entry of an upstream."""
        await self.store.put(f'servers/{name}', value)

    async def put_bad(self, prefix: str = 'odd-') -> None:
        """Write all entries that name no upstream."""
        for name, value in odd_entries.BAD.items():
            await self.put(prefix + name, value)

    async def configure(self) -> None:
        """Write the next configuration."""
        self.version += 1
        value = {'version': self.version, 'services': [{'name': 'calc-db'}]}
        await self.store.put_json('op/config', value)

    async def until(self, holds) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WITHIN_S):
            while not holds():
                await asyncio.sleep(0.02)

    async def assert_goes_on(self, bad: set[str], good: set[str]) -> None:
        """Check that bad entries are shown and that others are followed."""
        await self.configure()
        await self.put('newest', odd_entries.good())
        key = 'servers/newest'
        for proxy in self.proxies:
            await self.until(lambda p=proxy: key in p.listing.upstreams)
            self.assertEqual(self.version, proxy.version)
            expected = {f'servers/{name}' for name in {*good, 'newest'}}
            self.assertEqual(expected, set(proxy.listing.upstreams))
            self.assertEqual(
                {f'servers/{name}' for name in bad}, set(proxy.log.bad)
            )
            counters = proxy.log.counters
            self.assertEqual(len(bad), counters[stored_values.BAD_ENTRY])
            self.assertEqual(0, counters[FAILED])
            self.assertEqual(0, counters[peers.BAD_ANSWER])
            self.assertEqual(0, proxy.store.bad_answers)

    async def assert_idle(self) -> None:
        """Check that nobody reads again and again."""
        before = len(self.store.calls)
        await asyncio.sleep(PAUSE_S)
        calls = len(self.store.calls) - before
        self.assertLess(calls, MAX_CALLS * len(self.proxies))

    @property
    def all_bad(self) -> set[str]:
        """Return the names of all bad entries."""
        return {f'odd-{name}' for name in odd_entries.BAD}

    def test_watch(self):
        """Guards against an entry that ends the watch."""

        async def steps():
            self.proxies[0].start()
            await self.until(lambda: self.proxies[0].version)
            await self.put_bad()
            await self.assert_goes_on(self.all_bad, {'good'})
            await self.assert_idle()

        self.play(steps)

    def test_numbers_that_nobody_reads(self):
        """Fields that nobody reads hide no upstream."""

        async def steps():
            self.proxies[0].start()
            for name, value in odd_entries.HARMLESS.items():
                await self.put(name, value)
            good = {'good', *odd_entries.HARMLESS}
            await self.assert_goes_on(set(), good)

        self.play(steps)

    def test_full_read(self):
        """Guards against a proxy that starts and never gets the list."""

        async def steps():
            await self.put_bad()
            self.proxies[0].start()
            await self.until(lambda: self.proxies[0].version)
            await self.assert_goes_on(self.all_bad, {'good'})
            await self.assert_idle()

        self.play(steps)

    def test_read_again(self):
        """The same entries are read in full once the history is lost."""

        async def steps():
            self.proxies[0].start()
            await self.until(lambda: self.proxies[0].version)
            self.store.failure_code = 503
            lost = self.proxies[0].directory
            await self.until(lambda: lost.unavailable_since_ms is not None)
            await self.put_bad()
            self.store.compact_history()
            self.store.failure_code = 0
            await self.assert_goes_on(self.all_bad, {'good'})

        self.play(steps)

    def test_page_of_many(self):
        """Guards against a page that is lost for one of its entries."""

        async def steps():
            good = {f'm{number:03}' for number in range(MANY)}
            for name in sorted(good):
                await self.put(name, odd_entries.good(sequence=7))
            odd = odd_entries.BAD
            bad = set()
            # First, in the middle and last.
            for place in ('a-', f'm{MANY // 2:03}-', 'z-'):
                for form in (
                    'deep-1200',
                    'deep-100000-unknown',
                    'capacity-5000-digits',
                    'born-exponent',
                    'port-99999',
                    'port-arabic-digits',
                ):
                    bad.add(place + form)
                    await self.put(place + form, odd[form])
            with mock.patch.object(fake_store, 'PAGE_ITEMS', 500):
                self.proxies[0].start()
                await self.assert_goes_on(bad, {'good', *good})

        self.play(steps)

    def test_followers_and_peers(self):
        """Readers of a follower, and proxies without a store, go on too."""

        async def steps():
            for proxy in self.proxies:
                proxy.start()
            await self.until(lambda: all(p.version for p in self.proxies))
            await self.until(lambda: sum(p.is_reader for p in self.proxies))
            refused = next(p for p in self.proxies if not p.is_reader)
            port = int(refused.store.base.rpartition(':')[2])
            self.store.failure_codes_by_port[port] = 503
            await self.put_bad()
            await self.assert_goes_on(self.all_bad, {'good'})
            self.assertTrue(any(p.is_reader for p in self.proxies))

        self.play(steps, proxies=4)

    def test_start_with_a_peer_alone(self):
        """A proxy that the store refuses gets the list from a peer."""

        async def steps():
            first, second = self.proxies
            await self.put_bad()
            first.start()
            await self.until(lambda: first.version)
            port = int(second.store.base.rpartition(':')[2])
            self.store.failure_codes_by_port[port] = 503
            second.peer_client.seeds = (first.address,)
            second.start()
            await self.assert_goes_on(self.all_bad, {'good'})

        self.play(steps, proxies=2)

    def test_replaced(self):
        """Guards against an upstream that stays away once it is good again."""

        async def steps():
            proxy = self.proxies[0]
            proxy.start()
            await self.until(lambda: proxy.version)
            key = 'servers/good'
            missing = proxy.listing.missing_since_ms
            sequence = 5
            for name, value in odd_entries.BAD.items():
                await self.put('good', value)
                await self.until(lambda: key in missing)
                sequence += 1
                good = odd_entries.good(sequence=sequence, zone=name)
                await self.put('good', good)
                await self.until(lambda: key not in missing)
                listed = proxy.listing.upstreams[key]
                self.assertEqual(name, listed.upstream.data_centre)
            self.assertEqual(0, proxy.log.counters[FAILED])

        self.play(steps)

    def test_largest_sequence(self):
        """Guards against an upstream whose later entries are all ignored."""

        async def steps():
            proxy = self.proxies[0]
            proxy.start()
            await self.until(lambda: proxy.version)
            await self.put('good', odd_entries.good(sequence=2**53))
            await self.put(
                'good', odd_entries.good(sequence=6, state='draining')
            )
            key = 'servers/good'
            upstreams = proxy.listing.upstreams
            await self.until(lambda: upstreams[key].sequence == 6)
            self.assertTrue(upstreams[key].upstream.leaving)

        self.play(steps)

    def test_removed(self):
        """An odd entry that is removed again leaves nothing behind."""

        async def steps():
            self.proxies[0].start()
            await self.put_bad()
            await self.put_bad()
            for name in odd_entries.BAD:
                await self.put(f'odd-{name}', None)
            await self.configure()
            await self.until(lambda: self.proxies[0].version == self.version)
            self.assertEqual(
                {'servers/good'}, set(self.proxies[0].listing.upstreams)
            )

        self.play(steps)


class AddressTest(testtools.TestCase):
    """An address is a host and a port of one to five digits."""

    def test_ports(self):
        """Guards against a port that is another to those who read it."""
        for name, port in odd_entries.PORTS.items():
            for host in ('127.0.0.1', 'host'):
                self.assertRaises(
                    settings.SettingsError,
                    settings.endpoint,
                    f'{host}:{port}',
                )
            for field in ('hop_address', 'peer_address'):
                value = json.dumps(
                    {'data_centre': 'd', field: f'127.0.0.1:{port}'}
                )
                self.assertRaises(
                    ValueError, proxy_entries.decode, name, value
                )
        self.assertEqual(65535, settings.endpoint('127.0.0.1:65535').port)
        self.assertEqual(1, settings.endpoint('127.0.0.1:1').port)

    def test_entries_of_proxies(self):
        """Guards against a number that no part of a proxy can use."""
        numbers = odd_entries.NUMBERS
        for name, raw in numbers.items():
            text = f'{{"data_centre": "d", "weight": {raw}}}'
            with contextlib.suppress(ValueError):
                found = proxy_entries.decode(name, text).record
                self.assertTrue(0 < found.weight <= 2)
            text = f'{{"data_centre": "d", "unknown": {raw}}}'
            self.assertIsNotNone(proxy_entries.decode(name, text))


class ConfigurationTest(testtools.TestCase):
    """An odd configuration leaves the one in force."""

    def test_numbers(self):
        """Guards against a number that no part of a proxy can use."""
        for raw in odd_entries.NUMBERS.values():
            self.assertRaises(ValueError, self.decode, 'version', raw)
            # Of a field that nobody reads.
            self.assertEqual(3, self.decode('unknown', raw).version)

    def test_numbers_beside_keys(self):
        """Guards against keys that hide a configuration from all proxies."""
        tenants = '[{"name": "t", "api-keys": ["k"], "odd": 1}]'
        for raw in odd_entries.NUMBERS.values():
            text = f'{{"version": 3, "x": {raw}, "tenants": {tenants}}}'
            kept = records.redact('op/config', text)
            self.assertNotIn('api-keys', kept)
            found = records.decode('op/config', kept, 7)
            self.assertEqual(3, found.version)
            self.assertIsNotNone(found.known_organisations)

    def decode(self, field: str, raw: str) -> listings.Configuration:
        """Decode a configuration with one odd field."""
        fields = {'version': '3', field: raw}
        inner = ', '.join(f'"{name}": {fields[name]}' for name in fields)
        return records.decode('op/config', f'{{{inner}}}', 7)
