"""Other programs write to the store too; the proxies go on."""

import asyncio
import json
import os
import pathlib
import signal

from topazring.platform.tests import odd_entries
from topazring.platform.tests import support

# Deeper than a decoder follows.
NESTED = '{"a":' * 1200 + '0' + '}' * 1200
KEY = 'servers/i-other'
PAUSE_S = 0.3
HEARTBEATS = 8
# Processor time within a second beside bad entries that have been read.
MAX_BUSY_S = 0.5


class OtherWritersTest(support.PlatformTestCase):
    """Entries that no upstream wrote change nothing."""

    async def wait_in_force(self, name: str) -> None:
        """Wait until each proxy accepts sessions of a new database."""

        async def is_in_force() -> bool:
            greetings = []
            for number in range(len(self.proxies)):
                caller = await self.session(name, number)
                greetings += caller.greeting
                caller.close()
            return all(line.startswith('READY') for line in greetings)

        await support.wait_until(is_in_force)

    async def replace_route(self, version: int, name: str) -> None:
        """Replace all routes by one; wait until only that is in force."""
        await self.configure(version, support.route(name, 'primary'))
        await self.wait_in_force(name)
        for number in range(len(self.proxies)):
            caller = await self.session('exact', number)
            self.assertEqual('ERROR NODB', caller.greeting[0][:10])
            caller.close()

    async def assert_served(self, name: str) -> None:
        """Check that each proxy runs a statement."""
        for number in range(len(self.proxies)):
            caller = await self.session(name, number)
            answer = await caller.query('WRITE k v')
            self.assertTrue(answer[0].startswith('DONE'), answer)
            caller.close()

    def test_unreadable_entry(self):
        """Guards against a configuration that no proxy follows any more."""
        self.run_on_platform(self.unreadable_entry, proxies=2)

    async def unreadable_entry(self):
        await self.store.put(KEY, NESTED)
        await asyncio.sleep(PAUSE_S)
        await self.replace_route(2, 'added')
        await self.assert_served('added')
        metrics = await self.proxies[0].get('/metrics')
        self.assertIn('{what="bad_entry"} 1\n', metrics)
        self.assertIn('{what="task_failed_directory"} 0\n', metrics)
        bad = [
            event['inputs']
            for event in self.proxies[0].events()
            if event['event'] == 'bad entry'
        ]
        self.assertEqual(KEY, bad[0]['key'])
        self.assertEqual('RecursionError', bad[0]['error'])

    def test_entry_out_of_range(self):
        """Guards against an entry that ends all processes for good."""
        self.run_on_platform(self.out_of_range, proxies=2)

    async def out_of_range(self):
        member = self.group.members[1]
        good = json.dumps(self.group.entry(member))
        for field in ('capacity', 'sequence', 'born'):
            value = json.dumps({**json.loads(good), field: 10**400})
            await self.store.put(f'{KEY}-{field}', value)
        # A group that breaks at each heartbeat ends its process by then.
        for sequence in range(2, 2 + HEARTBEATS):
            more = {m.name: {'sequence': sequence} for m in self.group.members}
            await self.list_upstreams(**more)
            await asyncio.sleep(PAUSE_S)
        for proxy in self.proxies:
            self.assertIsNone(proxy.process.returncode)
        await self.assert_served('exact')

    def test_start_beside_an_unreadable_entry(self):
        """Guards against a proxy that never becomes ready."""
        self.run_on_platform(self.start_beside, proxies=2)

    async def start_beside(self):
        await self.store.put(KEY, NESTED)
        first, second = self.proxies
        for proxy in self.proxies:
            await proxy.stop(signal.SIGKILL)
        await first.start()
        # Reads the entry from the first proxy as well.
        await second.start()
        await self.assert_served('exact')
        await self.replace_route(2, 'added')

    def test_unreadable_entry_is_replaced(self):
        """The upstream's own entry counts again, and is removed as others."""
        self.run_on_platform(self.replaced)

    async def replaced(self):
        member = self.group.members[1]
        key = f'servers/{member.name}'
        await self.store.put(key, NESTED)
        await asyncio.sleep(PAUSE_S)
        await self.store.put_json(key, self.group.entry(member))
        caller = await self.session('exact')
        # Commits are confirmed by listed members only.
        for _ in range(3):
            answer = await caller.query('WRITE k v')
            self.assertTrue(answer[0].startswith('DONE'), answer)
        await self.store.put(key, NESTED)
        await self.store.put(key, None)
        await self.replace_route(2, 'added')
        await self.assert_served('added')

    def test_odd_entries(self):
        """Guards against any odd entry that ends or stops a process."""
        self.run_on_platform(self.odd, proxies=2)

    async def odd(self):
        first, second = self.proxies
        for name, value in odd_entries.BAD.items():
            await self.store.put(f'servers/i-{name}', value)
        await self.replace_route(2, 'added')
        counted = f'{{what="bad_entry"}} {len(odd_entries.BAD)}\n'
        for proxy in self.proxies:
            self.assertIn(counted, await proxy.get('/metrics'))
        # Starts beside all of them.
        await first.stop(signal.SIGKILL)
        await first.start()
        # One of the group's own is odd for a while, in each of three ways.
        member = self.group.members[1]
        key = f'servers/{member.name}'
        for form in ('deep-100000', 'capacity-exponent', 'port-99999'):
            await self.store.put(key, odd_entries.BAD[form])
            await asyncio.sleep(PAUSE_S)
            await self.store.put_json(key, self.group.entry(member))
        await self.replace_route(3, 'again')
        await self.assert_served('again')
        before = [self.busy_s(proxy) for proxy in self.proxies]
        await asyncio.sleep(1)
        for proxy, busy_s in zip(self.proxies, before, strict=True):
            self.assertLess(self.busy_s(proxy) - busy_s, MAX_BUSY_S)
            self.assertIsNone(proxy.process.returncode)
            metrics = await proxy.get('/metrics')
            for task in ('directory', 'expiry', 'membership', 'listing'):
                self.assertIn(f'{{what="task_failed_{task}"}} 0\n', metrics)
            self.assertIn('{what="task_failed_unhandled"} 0\n', metrics)
            bad = {
                event['inputs']['key']
                for event in proxy.events()
                if event['event'] == 'bad entry'
            }
            self.assertIn('servers/i-deep-100000', bad)
        self.assertEqual([first.process], first.started[1:])
        self.assertEqual([second.process], second.started)

    def busy_s(self, proxy: support.Proxy) -> float:
        """Return the processor time that a process has used."""
        path = pathlib.Path(f'/proc/{proxy.process.pid}/stat')
        # The name of the process, in parentheses, may contain blanks.
        fields = path.read_text().rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')
