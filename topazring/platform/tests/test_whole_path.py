"""Serve sessions through real processes."""

import asyncio
import signal

from topazring.platform.tests import support


# A process that does not start for its settings is gone by then.
ENDS_S = 20.0


class WholePathTest(support.PlatformTestCase):
    """Callers, proxies, upstreams and the store together."""

    def test_sessions(self):
        """Every statement is answered as the protocol says."""
        self.run_on_platform(self.sessions)

    async def sessions(self):
        caller = await self.session('own')
        self.assertEqual(['READY I -'], caller.greeting)
        said = await caller.query('WRITE beam IPE300')
        self.assertTrue(said[0].startswith(f'DONE q{id(caller)}x1.'), said)
        said = await caller.query('READ beam')
        self.assertEqual('ROW IPE300', said[0])
        self.assertEqual('READY I -', said[-1])
        for text in ('SET zone cork', 'PREPARE s READ q', 'BEGIN'):
            self.assertEqual('DONE -', (await caller.query(text))[0])
        said = await caller.query('EXECUTE s beam')
        self.assertEqual(['ROW IPE300', 'READY T -'], [said[0], said[-1]])
        await caller.query('WRITE beam HEB200')
        said = await caller.query('COMMIT')
        self.assertEqual('READY I -', said[-1])
        self.assertEqual('ROW HEB200', (await caller.query('READ beam'))[0])
        values = [values for _, text, values in self.group.ran[2:]]
        self.assertEqual([{'zone': 'cork'}] * len(values), values)
        refused = await self.session('nowhere')
        self.assertTrue(refused.greeting[0].startswith('ERROR NODB'))

    def test_bad_input(self):
        """A clear error, and nobody else is harmed."""
        self.run_on_platform(self.bad_input)

    async def bad_input(self):
        good = await self.session('exact')
        bad = await self.session('exact')
        said = await bad.query('DROP everything')
        self.assertTrue(said[0].startswith('ERROR MALFORMED'), said)
        said = await bad.say('QUERY a WRITE k x\nQUERY b WRITE k y')
        self.assertTrue(said[0].startswith('ERROR MALFORMED'), said)
        bad.writer.write(b'QUERY c WRITE k ' + b'x' * 2_000_000)
        said = await bad.answer()
        self.assertTrue(said[0].startswith('ERROR TOOLARGE'), said)
        self.assertEqual([], self.group.ran)
        said = await good.query('READ k')
        self.assertTrue(said[0].startswith('DONE'), said)

    def test_too_many_callers(self):
        """Those beyond the limit are told so, the others are served.

        Symptom: a proxy serves nobody and answers no probe. Sequence: a few
        thousand connections come and say nothing. Cause: taking connections
        until there is no descriptor left.
        """
        self.run_on_platform(self.too_many)

    async def too_many(self):
        callers = [await self.session('own') for _ in range(20)]
        for caller in callers:
            self.assertEqual(['READY I -'], caller.greeting)
        beyond = await self.session('own')
        self.assertTrue(beyond.greeting[0].startswith('ERROR TOOMANY'))
        self.assertIn('200', await self.proxies[0].get('/-/ready'))
        callers.pop().close()
        await support.wait_until(lambda: self.is_served('own'))

    def test_lost_answer_of_a_write(self):
        """It is unknown, and it is not sent again."""
        self.run_on_platform(self.lost_answer)

    async def lost_answer(self):
        caller = await self.session('exact')
        await caller.query('READ k')
        self.group.primary().loses_answers = True
        said = await caller.query('WRITE k once')
        self.assertTrue(said[0].startswith('ERROR UNKNOWN'), said)
        writes = [text for _, text, _ in self.group.ran if 'once' in text]
        self.assertEqual(1, len(writes))

    def test_lost_primary(self):
        """Another is promoted, and nothing acknowledged is lost."""
        self.run_on_platform(self.lost_primary, proxies=2)

    async def lost_primary(self):
        caller = await self.session('own')
        await caller.query('WRITE beam IPE300')
        old = self.group.primary()
        self.group.crash(old.name)
        said = ['']
        async with asyncio.timeout(10):
            while not said[0].startswith('DONE'):
                said = await caller.query('WRITE beam HEB200')
        other = await self.session('exact', proxy=1)
        self.assertEqual('ROW HEB200', (await other.query('READ beam'))[0])
        self.assertNotEqual(old.name, self.group.primary().name)
        tokens = [order['token'] for order in self.store.orders]
        self.assertEqual(sorted(tokens), tokens)
        await support.wait_until(self.nobody_is_paused)

    async def nobody_is_paused(self) -> bool:
        """Say whether every replica receives."""
        return not any(member.paused_for_term for member in self.group.members)

    def test_configuration(self):
        """It is in force soon, also after the history was lost."""
        self.run_on_platform(self.configuration)

    async def configuration(self):
        await self.configure(5, support.route('late', 'primary'))
        await support.wait_until(lambda: self.is_served('late'))
        self.assertFalse(await self.is_served('exact'))
        self.store.compact_history()
        await self.configure(9, support.route('later', 'primary'))
        await support.wait_until(lambda: self.is_served('later'))

    async def is_served(self, database: str, proxy: int = 0) -> bool:
        """Say whether sessions on a database start."""
        caller = await self.session(database, proxy)
        caller.close()
        return caller.greeting == ['READY I -']

    def test_store_away(self):
        """What is known goes on; a restarted proxy refuses until it is back.

        Symptom: an outage of the store becomes an outage of everything.
        Sequence: the store fails for a while. Cause: asking it for what is
        known.
        """
        self.run_on_platform(self.store_away)

    async def store_away(self):
        self.store.failure_code = 503
        caller = await self.session('own')
        said = await caller.query('WRITE k v')
        self.assertTrue(said[0].startswith('DONE'), said)
        proxy = self.proxies[0]
        await proxy.stop(signal.SIGKILL)
        starting = asyncio.ensure_future(proxy.start())
        await support.wait_until(proxy.is_listening, support.STARTUP_TIMEOUT_S)
        await asyncio.sleep(0.5)
        self.assertIn('503', await proxy.get('/-/ready'))
        self.store.failure_code = 0
        await starting
        self.assertTrue(await self.is_served('own'))

    def test_store_that_swallows_calls(self):
        """A call that was swallowed is not waited for when the store is back.

        Symptom: one of seven proxies serves by an old configuration for six
        seconds. Sequence: the store goes silent; a proxy gives its watch up
        and asks again just before the store is back; that call is never
        answered, its connection lives; the configuration changes. Cause: the
        first call after an outage was a long watch.
        """
        self.run_on_platform(self.swallows)

    async def swallows(self):
        self.store.is_unresponsive = True
        # The watch under way is woken, and its answer swallowed.
        await self.configure(5, support.route('lost', 'primary'))
        await asyncio.sleep(4.5)
        self.store.is_unresponsive = False
        await self.configure(9, support.route('late', 'primary'))
        await support.wait_until(lambda: self.is_served('late'), 2.0)

    def test_turned_away_by_the_store(self):
        """A proxy that the store turns away learns from its peers.

        Symptom: a third of the proxies refuse callers for nine seconds, or
        serve by an old configuration. Sequence: the store serves some and
        turns others away; one of those restarts; the configuration changes.
        Cause: knowing only what the store tells oneself.
        """
        self.run_on_platform(self.turned_away, proxies=2)

    async def turned_away(self):
        first, second = self.proxies
        self.store.failure_codes_by_port[second.store_port] = 503
        await second.stop(signal.SIGKILL)
        await second.start()
        caller = await self.session('own', proxy=1)
        said = await caller.query('WRITE k v')
        self.assertTrue(said[0].startswith('DONE'), said)
        await self.configure(7, support.route('late', 'primary'))
        await support.wait_until(lambda: self.is_served('late', proxy=1), 3)

    def test_caller_that_comes_at_once(self):
        """One that comes before the first answer of the store waits for it.

        Symptom: requests refused in the first milliseconds of a proxy.
        Sequence: all proxies restart; callers press; the first reach a proxy
        before it has read its configuration. Cause: refusing what will be
        known in a moment.
        """
        self.run_on_platform(self.comes_at_once)

    async def comes_at_once(self):
        proxy = self.proxies[0]
        await proxy.stop(signal.SIGKILL)
        starting = asyncio.ensure_future(proxy.start())
        greeting = None
        while greeting is None:
            try:
                greeting = (await self.session('own')).greeting
            except OSError:
                await asyncio.sleep(0.002)
        self.assertEqual(['READY I -'], greeting)
        await starting

    def test_graceful_stop(self):
        """No request is cut, idle sessions end, the exit code is 0."""
        self.run_on_platform(self.graceful_stop)

    async def graceful_stop(self):
        proxy = self.proxies[0]
        idle = await self.session('own')
        busy = await self.session('own')
        await busy.query('BEGIN')
        await busy.query('WRITE k v')
        stopping = asyncio.ensure_future(proxy.stop())
        await asyncio.sleep(0.3)
        self.assertIn('503', await proxy.get('/-/ready'))
        said = await busy.query('COMMIT')
        self.assertTrue(said[0].startswith('DONE'), said)
        self.assertEqual([], await idle.answer())
        self.assertEqual(0, await stopping)

    def test_leaving_upstream(self):
        """A leaving replica gets nothing new; a leaving primary is replaced.

        Writes go on all the while.
        """
        self.run_on_platform(self.leaving_upstream)

    async def leaving_upstream(self):
        caller = await self.session('own')
        await caller.query('WRITE k 0')
        old = self.group.primary()
        await self.list_upstreams(**{old.name: {'state': 'draining'}})
        async with asyncio.timeout(10):
            while self.group.primary() is old:
                said = await caller.query('WRITE k 1')
                self.assertTrue(said[0].startswith('DONE'), said)

    def test_start_while_nobody_leads(self):
        """A proxy that starts has somebody lead where nobody does.

        Symptom: no write is ever served again. Sequence: a primary is
        demoted for a promotion; all proxies are killed before another is
        ordered; they start, and all upstreams are replicas. Cause: nobody
        is missed who was never seen to lead. Proof: in the soak of seed 229
        the demoted one is a replica at 9.6 s, the proxies are back at 11 s,
        one gains the duty at 11.8 s, and no promotion is considered up to
        the end at 39 s.
        """
        self.run_on_platform(self.nobody_leads)

    async def nobody_leads(self):
        proxy = self.proxies[0]
        await proxy.stop()
        for member in self.group.members:
            member.role = 'replica'
        await self.list_upstreams()

        def promote(service: str, name: str) -> bool:
            done = self.group.promote(service, name)
            self.listing = asyncio.ensure_future(self.list_upstreams())
            return done

        self.store.promote = promote
        await proxy.start()

        async def holds_duty() -> bool:
            return 'topazring_holds_duty 1' in await proxy.get('/metrics')

        await support.wait_until(holds_duty)

        async def is_written() -> bool:
            caller = await self.session('own')
            said = await caller.query('WRITE k v')
            caller.close()
            return said[0].startswith('DONE')

        await support.wait_until(is_written, 10.0)

    def test_log_and_metrics(self):
        """They explain a refusal, and hold nobody's data."""
        self.run_on_platform(self.log_and_metrics)

    async def log_and_metrics(self):
        proxy = self.proxies[0]
        caller = await self.session('own')
        await caller.query('WRITE secret-key secret-data')
        await caller.query('READ secret-key')
        for member in list(self.group.members):
            self.group.crash(member.name)
        said = await caller.query('WRITE secret-key secret-data')
        self.assertTrue(said[0].startswith('ERROR'), said)
        metrics = await proxy.get('/metrics')
        self.assertIn('topazring_answers_total', metrics)
        self.assertIn('notrun_no_primary', metrics)
        await proxy.stop()
        events = proxy.events()
        gave_up = [e for e in events if e['event'] == 'gave up']
        self.assertEqual(f'q{id(caller)}x3', gave_up[0]['request'])
        self.assertNotIn('secret', proxy.log.read_text())
        names = [event['event'] for event in events]
        self.assertEqual(('start', 'stop'), (names[0], names[-1]))
        reads = [
            count
            for name, count in events[-1]['inputs'].items()
            if name.startswith('read_session_at_')
        ]
        self.assertEqual(1, sum(reads))

    def test_settings(self):
        """A fault is told in one line with the field's name."""
        self.run_on_platform(self.settings)

    async def settings(self):
        proxy = self.proxies[0]
        await proxy.stop(signal.SIGKILL)
        proxy.path.write_text('{"name": "p1", "data_centre": 7}')
        proxy.log.write_text('')
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(proxy.start(), 1.5)
        # Python alone may take longer than that to start on a busy machine.
        ended = await asyncio.wait_for(proxy.process.wait(), ENDS_S)
        self.assertEqual(2, ended)
        self.assertIn('data_centre', proxy.log.read_text())
