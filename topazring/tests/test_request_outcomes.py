"""Tests that each request gets exactly one answer, and a correct one."""

import asyncio
import collections
import signal
import time

from topazring import client
from topazring.load import experiments
from topazring.load import generator
from topazring.tests import support


class TestRequestOutcomes(support.FleetTestCase):
    """Requests run at most once, are answered, and leave nothing open."""

    def test_owner_killed_under_load(self):
        """Guards against a write that runs twice after a proxy crash.

        The owner is killed with writes in flight, so the entry has no record
        of whether they ran. If it resent them, they could run twice. Instead
        the other owner resolves each in-doubt request: it is found done, or
        is prevented from ever running.
        """

        async def steps(fleet):
            owners = await fleet.owners_of('calc1')
            stats = await self.load_during_fault(
                fleet, lambda: fleet.kill(owners[0]), rate=200
            )
            self.assertGreater(len(stats.done_ids), 50)

        self.run_on_fleet(steps, proxies=4)

    def test_proxy_killed_in_a_transaction(self):
        """Guards against half a transaction and a connection left open.

        A caller has run two statements of a transaction when its proxy is
        killed. No process is left that would end the transaction.
        """

        async def steps(fleet):
            owners = await fleet.owners_of('calc1')
            entry = next(
                name for name in ('p1', 'p2', 'p3') if name not in owners
            )
            session = await fleet.session(entry)
            await session.write(support.TABLE)
            await session.begin()
            await session.execute(support.INSERT, ['IPE300'])
            await fleet.kill(entry)

            async def transaction_has_ended():
                found = await fleet.get(
                    f'{owners[0]} operator', '/explain/calc1'
                )
                return found['state']['transactions'] == 0

            await support.fleets.wait_until(
                transaction_has_ended, 'the transaction ends'
            )
            other = await fleet.session(owners[0], 'strict')
            read = await other.read(support.SELECT)
            self.assertEqual([], read.rows)

        self.run_on_fleet(steps)

    def test_answer_lost_after_the_write_took_effect(self):
        """Guards against a save that runs twice, as two conflicting revisions.

        The write runs at the primary, and its answer is lost on a connection
        that passes no more data, while new connections work. The fault is to
        treat the timeout as a failure of the write.
        """

        async def steps(fleet):
            session = await fleet.session('p1', 'saves')
            await session.write(support.TABLE)
            primary = await fleet.primary_of('calc1')
            for number in range(fleet.plan.proxies):
                await fleet.set_link(
                    f'p{number + 1}/{primary}', backward='drop', only='old'
                )
            request_id = client.new_request_id()
            saved = await session.write(support.INSERT, ['IPE300'], request_id)
            self.assertEqual('done', saved.outcome)
            self.assertEqual(1, await support.count_runs(fleet, request_id))
            self.assertEqual(primary, await fleet.primary_of('calc1'))

        self.run_on_fleet(steps, faults=True)

    def test_id_repeated_before_during_and_after_a_promotion(self):
        """Guards against a save that runs again when its caller repeats it.

        The same request id is sent to each proxy, before, during and after
        the loss of the primary. The save runs again if request records are
        kept in proxies or are lost with the primary.
        """

        async def steps(fleet):
            sessions = [await fleet.session(f'p{n}') for n in (1, 2, 3)]
            await sessions[0].write(support.TABLE)
            request_id = client.new_request_id()
            first = await sessions[0].write(
                support.INSERT, ['IPE300'], request_id
            )
            self.assertEqual('done', first.outcome)
            await fleet.kill(await fleet.primary_of('calc1'))
            during = await asyncio.gather(
                *(
                    s.write(support.INSERT, ['IPE300'], request_id, True)
                    for s in sessions
                )
            )
            after = await sessions[2].write(
                support.INSERT, ['IPE300'], request_id, True
            )
            for answer in (*during, after):
                self.assertEqual('done', answer.outcome)
                self.assertTrue(answer.repeated)
            read = await sessions[1].read(support.SELECT)
            self.assertEqual([['IPE300']], read.rows)

        self.run_on_fleet(steps)

    def test_late_answers_reach_nobody_else(self):
        """Guards against an answer that reaches the caller of another read.

        Reads time out while their answers are in transit, and other reads
        follow at once. If a connection is reused after a timeout, the late
        answer arrives first on it.
        """

        async def steps(fleet):
            session = await fleet.session('p1', 'impatient')
            await session.write(support.TABLE)
            for name in fleet.upstream_names('calc1'):
                for number in range(fleet.plan.proxies):
                    await fleet.set_link(f'p{number + 1}/{name}', delay_ms=400)
            slow = await asyncio.gather(
                *(session.read('SELECT ?', [n]) for n in range(20))
            )
            for name in fleet.upstream_names('calc1'):
                for number in range(fleet.plan.proxies):
                    await fleet.set_link(f'p{number + 1}/{name}')
            quick = await asyncio.gather(
                *(session.read('SELECT ?', [n]) for n in range(60))
            )
            timed_out = [a for a in slow if not a.done]
            self.assertNotEqual([], timed_out)
            for number, answer in enumerate(slow):
                if answer.done:
                    self.assertEqual([[number]], answer.rows)
            for number, answer in enumerate(quick):
                if answer.done:
                    self.assertEqual([[number]], answer.rows)

            async def reads_work():
                return (await session.read('SELECT 7')).rows == [[7]]

            await support.fleets.wait_until(reads_work, 'reads work again')

        self.run_on_fleet(steps, faults=True)

    def test_all_connections_go_silent_at_once(self):
        """Guards against a promotion or a stall while the primary is healthy.

        A device on the network path loses track of all open connections to
        the primary. None is closed, and new connections work. The fault is to
        treat silence of the old connections as silence of the upstream.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')

            async def fault():
                for number in range(fleet.plan.proxies):
                    await fleet.set_link(
                        f'p{number + 1}/{primary}',
                        forward='silent',
                        backward='silent',
                        only='old',
                    )

            stats = await self.load_during_fault(fleet, fault)
            self.assertFalse(support.acknowledged_by_others(stats, primary))
            self.assertEqual(primary, await fleet.primary_of('calc1'))
            unknown = [n for n in stats.outcomes if 'write unknown' in n]
            self.assertEqual([], unknown)

        self.run_on_fleet(steps, faults=True)

    def test_organisations_share_nothing(self):
        """Guards against access to the data of another organisation.

        Two organisations use one database, the same table name and the same
        request id, and one presents the other's token and key. One reads or
        blocks the other's data if any state is keyed without organisation.
        """

        async def steps(fleet):
            ours = await fleet.session('p1', organisation='ballinure')
            theirs = await fleet.session('p2', organisation='dizon')
            request_id = client.new_request_id()
            for session, size in ((ours, 'IPE300'), (theirs, 'pinball')):
                await session.write(support.TABLE)
                saved = await session.write(support.INSERT, [size], request_id)
                self.assertEqual('done', saved.outcome)
                self.assertFalse(saved.repeated)
            read = await ours.read(support.SELECT)
            self.assertEqual([['IPE300']], read.rows)
            read = await theirs.read(support.SELECT)
            self.assertEqual([['pinball']], read.rows)
            stolen = client.Session(
                fleet.url('p1'),
                'dizon',
                'dizon-key',
                'calc1',
                'saves',
                ours.token,
            )
            answer = await stolen.start()
            self.assertEqual('bad_token', answer.reason)
            forged = client.Session(
                fleet.url('p1'), 'ballinure', 'dizon-key', 'calc1', 'saves'
            )
            answer = await forged.start()
            self.assertEqual('forbidden', answer.reason)

        self.run_on_fleet(steps)


class TestLeaving(support.FleetTestCase):
    """A process that shuts down gets no new work and completes the rest."""

    def test_rolling_restart_of_all_proxies(self):
        """Guards against requests cut off during a rollout.

        Under load, each proxy in turn is stopped and replaced. Requests are
        cut off if a process exits with requests in flight, or if its peers
        continue to send to it.
        """

        async def steps(fleet):
            async def fault():
                for number in range(fleet.plan.proxies):
                    name = f'p{number + 1}'
                    fleet.send_signal(name, signal.SIGTERM)
                    # The proxy has ten seconds to drain. The timeout makes the
                    # test fail if it hangs.
                    async with asyncio.timeout(30):
                        code = await fleet.processes[name].wait()
                    self.assertEqual(0, code, fleet.read_log(name))
                    await fleet.spawn(name)
                    await fleet.wait_ready(name)

            stats = await self.load_during_fault(fleet, fault, seconds=9.0)
            bad = [n for n in stats.outcomes if not n.endswith(' done')]
            self.assertEqual([], bad)
            self.assertGreater(stats.roams, 0)

        self.run_on_fleet(steps)

    def test_open_transaction_ends_before_its_proxy(self):
        """Guards against a transaction lost in a graceful shutdown.

        A proxy is stopped while a transaction is open, and the caller goes
        on and commits. The transaction is lost if the drain counts requests
        in flight but not transactions between two statements.
        """

        async def steps(fleet):
            session = await fleet.session('p1')
            await session.write(support.TABLE)
            await session.begin()
            await session.execute(support.INSERT, ['IPE300'])
            fleet.send_signal('p1', signal.SIGTERM)
            await asyncio.sleep(1.0)
            await session.execute(support.INSERT, ['HEB200'])
            done = await session.commit()
            self.assertEqual('done', done.outcome)
            code = await fleet.processes['p1'].wait()
            self.assertEqual(0, code)
            other = await fleet.session('p2', 'strict')
            read = await other.read(support.SELECT)
            self.assertEqual([['IPE300'], ['HEB200']], read.rows)

        self.run_on_fleet(steps)

    def test_leaving_upstream_gets_nothing_new(self):
        """Guards against statements cut off when an upstream is removed.

        The platform lists the primary as leaving, under load. Statements are
        cut off if owners send it work until it is gone.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')

            async def fault():
                instance = {
                    'kind': 'upstream',
                    'name': primary,
                    'state': 'leaving',
                }
                await fleet.platform.announce(primary, instance)
                await asyncio.sleep(3.0)
                before = len((await fleet.ledger(primary))['ledger'])
                await asyncio.sleep(1.0)
                after = len((await fleet.ledger(primary))['ledger'])
                self.assertEqual(before, after)

            stats = await self.load_during_fault(fleet, fault, seconds=6.0)
            self.assertTrue(support.acknowledged_by_others(stats, primary))
            bad = [n for n in stats.outcomes if not n.endswith(' done')]
            self.assertEqual([], bad)

        self.run_on_fleet(steps)


class TestFairness(support.FleetTestCase):
    """Overload by one organisation must not affect the others."""

    def test_flood_beside_an_ordinary_organisation(self):
        """Guards against one organisation's batch that stalls all others.

        One organisation sends ten times what the slots can process, others
        send little. The others stall if all share one queue. When processor
        time is short, that queue is the stream to the owner, which reads more
        slowly than the batch arrives. Another organisation's write then waits
        unread behind thousands, and the owner appears to have timed out ("p3
        did not answer a ping; closing the stream"). All its requests must then
        be resolved at the next owner first ("986 left deadline (0 wait, 1691
        in hand)").
        """

        async def steps(fleet):
            flood = experiments.load_on(
                fleet,
                generator.Mix(rate=3000, read_share=0.0, seconds=4),
            )
            await flood.start()
            other = await fleet.session('p2', organisation='dizon')
            await other.write(support.TABLE)
            flooding = asyncio.create_task(flood.run())
            await asyncio.sleep(1.0)
            answers = []
            until_s = time.monotonic() + 2.0
            while time.monotonic() < until_s:
                answers.append(await other.write(support.INSERT, ['x']))
            stats = await flooding
            await flood.close()
            reasons = collections.Counter(a.reason for a in answers)
            self.assertEqual(
                {'done'}, {a.outcome for a in answers}, str(reasons)
            )
            refused = [n for n in stats.outcomes if 'not_run' in n]
            self.assertNotEqual([], refused)

        self.run_on_fleet(steps, statement_ms=5.0)
