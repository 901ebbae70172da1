"""Lose a primary in every way, under load, with real processes."""

import asyncio

from topazring.load import experiments
from topazring.tests import rivals
from topazring.tests import support


class TestFailover(support.FleetTestCase):
    """No acknowledged write is lost, none runs twice, no read goes back."""

    def test_primary_killed(self):
        """Symptom: a saved revision is missing after a crash.

        Sequence: the primary is killed between acknowledging and
        replicating. Cause: an acknowledgement that only it could vouch for.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')
            stats = await self.load_during_fault(
                fleet, lambda: fleet.kill(primary)
            )
            self.assertTrue(support.acknowledged_by_others(stats, primary))

        self.run_on_fleet(steps)

    def test_primary_frozen_and_thawed(self):
        """Symptom: a score acknowledged by a primary that was replaced.

        Sequence: the primary stops, another is promoted, the old one wakes
        and goes on as if nothing had happened. Cause: it still believes
        that it leads, and answers what it had taken in.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')

            async def fault():
                fleet.freeze(primary)
                await asyncio.sleep(2.0)
                fleet.thaw(primary)

            stats = await self.load_during_fault(fleet, fault)
            self.assertTrue(support.acknowledged_by_others(stats, primary))
            await self.wait_until_following(fleet, primary)

        self.run_on_fleet(steps)

    async def wait_until_following(self, fleet, name):
        """Wait until an old primary holds the new one's log."""

        async def follows():
            leader = await fleet.primary_of('calc1')
            old = await fleet.ledger(name)
            new = await fleet.ledger(leader)
            # The new one's log may have grown since the old one's was read.
            count = len(old['log'])
            same_term = count and old['log'][-1]['term'] == new['term']
            return same_term and old['log'] == new['log'][:count]

        await support.fleets.wait_until(follows, f'{name} follows')

    def test_cut_off_primary_rejoins_with_a_longer_log(self):
        """Symptom: two revisions argue on one drawing after a partition.

        Sequence: the primary is cut off from its replicas and from half of
        the proxies; the others go on giving it writes, so its log grows; a
        new primary is promoted; the partition heals. Cause: the old log is
        the longer one, and its tail was never majority-held.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')
            before = len((await fleet.ledger(primary))['log'])
            grown = []

            async def fault():
                await experiments.partition_primary(fleet, primary)
                await asyncio.sleep(2.0)
                grown.append(len((await fleet.ledger(primary))['log']))
                await restore_links(fleet, primary)

            stats = await self.load_during_fault(fleet, fault)
            self.assertTrue(support.acknowledged_by_others(stats, primary))
            self.assertGreater(grown[0], before)
            await self.wait_until_following(fleet, primary)
            self.assertIn('drops its log', fleet.read_log(primary))

        self.run_on_fleet(steps, faults=True)

    def test_service_down_while_the_primary_is_lost(self):
        """Symptom: writes stand still until the platform's service is back.

        Sequence: the service freezes, then the primary is killed. Cause: a
        promotion that has to ask the service for its term.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')

            async def fault():
                fleet.freeze('platform')
                await fleet.kill(primary)
                await asyncio.sleep(3.0)
                fleet.thaw('platform')

            stats = await self.load_during_fault(fleet, fault)
            self.assertTrue(support.acknowledged_by_others(stats, primary))

        self.run_on_fleet(steps)

    def test_first_owner_dies_with_the_primary(self):
        """Symptom: no failover when an instance with both roles' host dies.

        Sequence: the primary and the owner that would promote are killed
        at the same moment. Cause: the other owner waits for its agreement.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')
            owners = await fleet.owners_of('calc1')

            async def fault():
                await asyncio.gather(
                    fleet.kill(primary), fleet.kill(owners[0])
                )

            stats = await self.load_during_fault(fleet, fault, seconds=7.0)
            self.assertTrue(support.acknowledged_by_others(stats, primary))

        self.run_on_fleet(steps)

    def test_second_failure_in_one_outage(self):
        """Symptom: the second failover of an outage never happens.

        Sequence: the service is down; the primary is killed, then a frozen
        old replica returns and the new primary is killed as well. Cause: an
        owner that was granted just one term.
        """

        async def steps(fleet):
            first = await fleet.primary_of('calc1')

            async def fault():
                fleet.freeze('platform')
                fleet.freeze(first)
                second = await self.wait_for_other_primary(fleet, first)
                fleet.thaw(first)
                await self.wait_until_following(fleet, first)
                await fleet.kill(second)
                await self.wait_for_other_primary(fleet, second)
                fleet.thaw('platform')

            await self.load_during_fault(fleet, fault, seconds=8.0)

        self.run_on_fleet(steps)

    async def wait_for_other_primary(self, fleet, lost):
        """Wait until an upstream other than `lost` leads."""

        async def other():
            names = support.replicas_of(fleet, lost)
            for name in names:
                found = await fleet.ledger(name)
                if found and found['leads']:
                    return name
            return ''

        return await support.fleets.wait_until(other, 'a new primary')

    def test_two_owners_promote_at_once(self):
        """Symptom: two primaries, each with half of the saves.

        Sequence: the primary is killed; a rival, which believes to be an
        owner and was granted terms as one is, fences and promotes on its
        own at the same time as the owners. Cause: a promotion that is safe
        only if one owner promotes at a time.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')
            rival = await rivals.make_rival(fleet, 'calc1')
            names = support.replicas_of(fleet, primary)
            # One replica lags, so it matters which one is promoted.
            await fleet.post(f'{names[0]}/set', {'lag_ms': 400})

            async def fault():
                await fleet.kill(primary)
                for _ in range(4):
                    await rival.promote(names)
                    await asyncio.sleep(0.35)

            await self.load_during_fault(fleet, fault, seconds=7.0)
            self.assertGreater(rival.promoted, 0)
            leaders = {}
            for name in names:
                for entry in (await fleet.ledger(name))['ledger']:
                    if entry['what'] == 'read':
                        continue
                    led = leaders.setdefault(entry['term'], name)
                    self.assertEqual(led, name, entry)
            await rival.close()

        self.run_on_fleet(steps)

    def test_replicas_far_behind(self):
        """Symptom: writes end in doubt when replicas cannot keep up.

        Sequence: both replicas fall far behind; writes go on coming. Cause:
        they run at the primary and no majority holds them in time. Once
        the lag is known, they are refused before they run.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')
            session = await fleet.session('p1', 'impatient')
            await session.write(support.TABLE)
            for name in support.replicas_of(fleet, primary):
                await fleet.post(f'{name}/set', {'lag_ms': 20_000})
            reasons = set()

            async def refused():
                answer = await session.write(support.INSERT, ['IPE300'])
                reasons.add(answer.reason)
                return answer.reason == 'replicas_behind'

            await support.fleets.wait_until(refused, 'refused on arrival')
            self.assertNotIn('', reasons)
            self.assertEqual(primary, await fleet.primary_of('calc1'))
            for name in support.replicas_of(fleet, primary):
                await fleet.post(f'{name}/set', {'lag_ms': 5})

            async def accepted():
                return (await session.write(support.INSERT, ['x'])).done

            await support.fleets.wait_until(accepted, 'accepted', 60)

        self.run_on_fleet(steps)

    def test_session_roams_through_a_promotion(self):
        """Symptom: a checker at another office sees the older beam size.

        Sequence: a save; the primary is lost; the session moves to another
        proxy and reads with an old-age profile from a replica. Cause: a
        replica that is fresh enough by age and lacks the session's save.
        """

        async def steps(fleet):
            session = await fleet.session('p1', 'browse')
            await session.write(support.TABLE)
            sizes = []
            for number in range(12):
                size = f'IPE{number}'
                if number == 4:
                    await fleet.kill(await fleet.primary_of('calc1'))
                saved = await session.write(support.INSERT, [size])
                if saved.done:
                    sizes.append(size)
                self.assertNotEqual('unknown', saved.outcome)
                proxy = f'p{1 + number % 3}'
                token = session.token
                await session.close()
                session = await fleet.session(proxy, 'browse', token=token)
                read = await session.read(support.SELECT)
                self.assertEqual(sizes, [row[0] for row in read.rows])

        self.run_on_fleet(steps)


async def restore_links(fleet, primary):
    """Let all links of a primary pass again."""
    for peer in support.replicas_of(fleet, primary):
        await fleet.set_link(f'{primary}/{peer}')
    for number in range(fleet.plan.proxies):
        await fleet.set_link(f'p{number + 1}/{primary}')
