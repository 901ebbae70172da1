"""Test what operators ask and order, with proxies as real processes."""

import asyncio
import contextlib
import io
import json

from topazring.admin import closure_commands
from topazring.admin import exits
from topazring.admin import load_command
from topazring.platform.tests import support


def _run(command) -> tuple[int, str]:
    """Run a command; return its exit code and what it printed."""
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        try:
            command()
        except SystemExit as exit_request:
            return exit_request.code, out.getvalue()
    return 0, out.getvalue()


class OperatorsTest(support.PlatformTestCase):
    """Two proxies, a store, and the commands of an operator."""

    async def run_command(self, command) -> tuple[int, str]:
        """Run a command while the store goes on answering."""
        return await asyncio.to_thread(_run, command)

    def address(self, proxy: int = 0) -> str:
        """Return the address of a proxy's probe."""
        return f'127.0.0.1:{self.proxies[proxy].ready_port}'

    async def load(self) -> dict:
        """Return the load that all proxies report."""
        addresses = [self.address(0), self.address(1)]
        command = load_command.Load(addresses, as_json=True)
        code, text = await self.run_command(command)
        self.assertEqual(0, code, text)
        return json.loads(text)

    async def until_closed_at(self, *proxies: str) -> None:
        """Wait until these proxies report one closure, or none does."""

        async def follow() -> bool:
            closures = (await self.load())['closures']
            return [each['proxies'] for each in closures] == (
                [list(proxies)] if proxies else []
            )

        await support.wait_until(follow)

    def test_load(self):
        """The parts of both proxies make up the whole."""
        self.run_on_platform(self.show_load, proxies=2)

    async def show_load(self):
        for proxy in (0, 1):
            caller = await self.session('exact', proxy)
            for _ in range(3):
                answer = await caller.query('WRITE k x')
                self.assertTrue(answer[0].startswith('DONE'), answer)
        load = await self.load()
        (group,) = load['groups']
        self.assertEqual(support.SERVICE, group['service'])
        (callers,) = group['callers']
        self.assertEqual(
            ('exact', 6), (callers['database'], callers['served'])
        )
        self.assertEqual({}, callers['refused'])
        leads = [each['primary_for'] for each in group['upstreams']]
        self.assertEqual([0, 0, 2], sorted(leads))
        await self.proxies[1].stop()
        command = load_command.Load([self.address(0), self.address(1)])
        code, text = await self.run_command(command)
        self.assertEqual(exits.EXIT_UNREACHABLE, code)
        self.assertIn('1 of 2 proxies answered', text)

    def test_closed_database(self):
        """All proxies refuse it, also one that restarts, until it is open."""
        self.run_on_platform(self.close_database, proxies=2)

    async def close_database(self):
        close = closure_commands.CloseDatabase('exact', 60, self.address())
        code, text = await self.run_command(close)
        self.assertEqual((0, 'exact is closed for 60 s\n'), (code, text))
        await self.until_closed_at('p1', 'p2')
        await self.check_refused(1)
        # The proxy that took the request is gone without a trace.
        await self.proxies[0].stop(9)
        await self.proxies[0].start()
        await self.until_closed_at('p1', 'p2')
        await self.check_refused(0)
        metrics = await self.proxies[0].get('/metrics')
        self.assertIn('what="notrun_database_closed"} 1\n', metrics)
        self.assertIn('topazring_closures 1\n', metrics)
        self.assertIn('what="closure_begun"} 1\n', metrics)
        code, text = await self.run_command(
            closure_commands.OpenDatabase('exact', self.address(1))
        )
        self.assertEqual(0, code)
        self.assertIn('replaced a closure for 60 s, asked for at p1', text)
        await self.until_closed_at()
        caller = await self.session('exact')
        answer = await caller.query('WRITE k x')
        self.assertTrue(answer[0].startswith('DONE'), answer)
        events = [
            (each['event'], each['inputs'].get('why'))
            for each in self.proxies[1].events()
            if each['part'] == 'closures'
        ]
        self.assertEqual(
            [('closure begins', None), ('closure ends', 'opened')], events
        )

    async def check_refused(self, proxy: int) -> None:
        """Check that a proxy refuses the database and serves another."""
        caller = await self.session('exact', proxy)
        answer = await caller.query('WRITE k x')
        self.assertIn('database_closed retry-after-ms=', answer[0])
        left_ms = int(answer[0].rpartition('=')[2].strip('"'))
        self.assertAlmostEqual(50_000, left_ms, delta=10_000)
        other = await self.session('own', proxy)
        answer = await other.query('READ k')
        self.assertTrue(answer[-2].startswith('DONE'), answer)

    def test_closed_upstream(self):
        """It ends by each proxy's clock; the primary is refused."""
        self.run_on_platform(self.close_upstream, proxies=2)

    async def close_upstream(self):
        primary = self.group.primary().name
        replica = next(
            each.name for each in self.group.members if each.name != primary
        )
        close = closure_commands.CloseUpstream(
            support.SERVICE, primary, 30, self.address()
        )
        code, text = await self.run_command(close)
        self.assertEqual(exits.EXIT_REFUSED, code, text)
        self.assertIn('it is the primary', text)
        page = await self.proxies[0].get('/closures')
        self.assertTrue(page.startswith('HTTP/1.1 405'), page)
        close = closure_commands.CloseUpstream(
            support.SERVICE, replica, 3, self.address()
        )
        code, text = await self.run_command(close)
        self.assertEqual(0, code, text)
        await self.until_closed_at('p1', 'p2')
        (group,) = (await self.load())['groups']
        closed = [
            each['name']
            for each in group['upstreams']
            if each['closed_for_ms']
        ]
        self.assertEqual([replica], closed)
        # The leases of this store do not end.
        await self.until_closed_at()
