"""Every request has one final answer, and the answer is true."""

import asyncio
import collections
import signal
import time

from topazring import client
from topazring.load import experiments
from topazring.load import generator
from topazring.tests import support


class TestFates(support.FleetTestCase):
    """At most once, whole answers, nothing left hanging."""

    def test_owner_killed_under_load(self):
        """Symptom: a score is posted twice after a proxy's crash.

        Sequence: the owner is killed with writes under way; the entry does
        not know whether they ran. Cause: it sends them once more. Instead
        the other owner settles each: it is found done, or can never run.
        """

        async def steps(fleet):
            owners = await fleet.owners_of('calc1')
            stats = await self.load_during_fault(
                fleet, lambda: fleet.kill(owners[0]), rate=200
            )
            self.assertGreater(len(stats.done_ids), 50)

        self.run_on_fleet(steps, proxies=4)

    def test_proxy_killed_in_a_transaction(self):
        """Symptom: half a transaction shows, or its connection is stuck.

        Sequence: a caller has run two statements of a transaction; its
        proxy is killed. Cause: nobody is left to end the transaction.
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

            async def ended():
                found = await fleet.get(
                    f'{owners[0]} operator', '/explain/calc1'
                )
                return found['state']['transactions'] == 0

            await support.fleets.wait_until(ended, 'the transaction ends')
            other = await fleet.session(owners[0], 'strict')
            read = await other.read(support.SELECT)
            self.assertEqual([], read.rows)

        self.run_on_fleet(steps)

    def test_answer_lost_after_the_write_took_effect(self):
        """Symptom: a save lands twice; two revisions argue on one drawing.

        Sequence: the write runs at the primary; its answer is lost on the
        way, on a connection that passes nothing any more; new connections
        work. Cause: a timeout taken for a failure.
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
        """Symptom: a caller that lost its answer runs its save again.

        Sequence: the same id is sent at each proxy, before, during and
        after the loss of the primary. Cause: a memory of requests that is
        kept in proxies or dies with the primary.
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
        """Symptom: a caller is shown another's rows.

        Sequence: reads time out while their answers are under way; other
        reads follow at once. Cause: a connection used again after a
        timeout, on which the late answer comes first.
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
            late = [a for a in slow if not a.done]
            self.assertNotEqual([], late)
            for number, answer in enumerate(slow):
                if answer.done:
                    self.assertEqual([[number]], answer.rows)
            for number, answer in enumerate(quick):
                if answer.done:
                    self.assertEqual([[number]], answer.rows)

            async def recovered():
                return (await session.read('SELECT 7')).rows == [[7]]

            await support.fleets.wait_until(recovered, 'reads work again')

        self.run_on_fleet(steps, faults=True)

    def test_all_connections_go_silent_at_once(self):
        """Symptom: a promotion, or a stall, though the primary is well.

        Sequence: something between the ends loses track of all open
        connections to the primary; nothing is closed; new ones work. Cause:
        silence of old connections taken for silence of the upstream.
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
        """Symptom: one organisation reads or blocks what is another's.

        Sequence: two organisations use one database, the same table name
        and the same request id; one hands in the other's token and key.
        Cause: anything keyed without the organisation.
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
    """What leaves gets nothing new and cuts nothing off."""

    def test_rolling_restart_of_all_proxies(self):
        """Symptom: requests cut off during a rollout.

        Sequence: every proxy in turn is told to stop and replaced, under
        load. Cause: a process that ends with requests in flight, or peers
        that go on sending to it.
        """

        async def steps(fleet):
            async def fault():
                for number in range(fleet.plan.proxies):
                    name = f'p{number + 1}'
                    fleet.send_signal(name, signal.SIGTERM)
                    # It has ten seconds to drain; one that hangs is told.
                    async with asyncio.timeout(30):
                        code = await fleet.processes[name].wait()
                    self.assertEqual(0, code, fleet.log_of(name))
                    await fleet.spawn(name)
                    await fleet.wait_ready(name)

            stats = await self.load_during_fault(fleet, fault, seconds=9.0)
            bad = [n for n in stats.outcomes if not n.endswith(' done')]
            self.assertEqual([], bad)
            self.assertGreater(stats.roams, 0)

        self.run_on_fleet(steps)

    def test_open_transaction_ends_before_its_proxy(self):
        """Symptom: a transaction lost to a shutdown that was announced.

        Sequence: a transaction is open; its proxy is told to stop; the
        caller goes on and commits. Cause: a drain that counts requests in
        flight and forgets transactions between two statements.
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
        """Symptom: statements cut when an upstream is taken away.

        Sequence: the platform lists the primary as leaving, under load.
        Cause: owners that give it work until it is gone.
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
    """One organisation's flood is its own problem."""

    def test_flood_beside_an_ordinary_organisation(self):
        """Symptom: one organisation's batch stalls everyone's schedules.

        Sequence: one sends ten times what the slots carry, others a
        trickle. Cause: one line for all. Where processor time is short the
        line is the stream to the owner, which reads slower than the flood
        arrives: the other's write waits unread behind thousands, the owner
        looks silent ("p3 went silent"), and all that it has is settled at
        the next owner first ("986 left deadline (0 wait, 1691 in hand)").
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
            until = time.monotonic() + 2.0
            while time.monotonic() < until:
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
