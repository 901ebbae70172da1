"""Fail the primary in different ways, under load, with real processes."""

import asyncio

from topazring.load import experiments
from topazring.tests import rivals
from topazring.tests import support


class TestFailover(support.FleetTestCase):
    """Check that failover keeps acknowledged writes and session order.

    No acknowledged write is lost, no write runs twice, and no read returns
    an older state than the session has already seen.
    """

    def test_primary_killed(self):
        """Guard against losing an acknowledged write when the primary crashes.

        The primary is killed after it acknowledges a write and before it
        replicates it. The write is lost if the acknowledgement relied on
        the primary alone.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')
            stats = await self.load_during_fault(
                fleet, lambda: fleet.kill(primary)
            )
            self.assertTrue(support.acknowledged_by_others(stats, primary))

        self.run_on_fleet(steps)

    def test_primary_frozen_and_thawed(self):
        """Guard against acknowledgements by a primary that was replaced.

        The primary is suspended and another one is promoted. When the old
        primary resumes, it still assumes that it leads and answers the
        requests that it had already accepted.
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
        """Wait until a former primary holds the log of the current one."""

        async def follows():
            leader = await fleet.primary_of('calc1')
            old = await fleet.ledger(name)
            new = await fleet.ledger(leader)
            # The primary's log may have grown since the follower's was read.
            count = len(old['log'])
            same_term = count and old['log'][-1]['term'] == new['term']
            return same_term and old['log'] == new['log'][:count]

        await support.fleets.wait_until(follows, f'{name} follows')

    def test_partitioned_primary_rejoins_with_longer_log(self):
        """Guard against conflicting revisions after a partition heals.

        The primary is partitioned from its replicas and from half of the
        proxies. The other proxies keep sending it writes, so its log grows
        while a new primary is promoted. When the partition heals, the old
        log is the longer one, but no majority ever held its tail.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')
            length_before = len((await fleet.ledger(primary))['log'])
            log_lengths = []

            async def fault():
                await experiments.partition_primary(fleet, primary)
                await asyncio.sleep(2.0)
                log_lengths.append(len((await fleet.ledger(primary))['log']))
                await restore_links(fleet, primary)

            stats = await self.load_during_fault(fleet, fault)
            self.assertTrue(support.acknowledged_by_others(stats, primary))
            self.assertGreater(log_lengths[0], length_before)
            await self.wait_until_following(fleet, primary)
            self.assertIn('drops its log', fleet.read_log(primary))

        self.run_on_fleet(steps, faults=True)

    def test_platform_down_while_primary_is_lost(self):
        """Guard against writes that stall until the platform service is back.

        The service is suspended, then the primary is killed. Writes stall
        if a promotion has to request its term from the service.
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
        """Guard against no failover when owner and primary fail together.

        An instance that hosts both roles fails: the primary and the owner
        that would promote are killed at the same moment. No failover
        happens if the other owner waits for the agreement of the first.
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
        """Guard against a second failover that never happens in one outage.

        While the platform service is down, the first primary is suspended
        and replaced. It resumes as a replica, and the new primary is killed
        as well. An owner that was granted only one term cannot promote a
        second time.
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
        """Return the first upstream other than `lost` found to lead."""

        async def find_leader():
            names = support.replicas_of(fleet, lost)
            for name in names:
                found = await fleet.ledger(name)
                if found and found['leads']:
                    return name
            return ''

        return await support.fleets.wait_until(find_leader, 'a new primary')

    def test_two_owners_promote_at_once(self):
        """Guard against two primaries, each with half of the writes.

        The primary is killed. A rival, which acts as an owner and was
        granted terms like one, fences and promotes independently while the
        owners do the same. Two primaries result if a promotion is safe only
        when one owner promotes at a time.
        """

        async def steps(fleet):
            primary = await fleet.primary_of('calc1')
            rival = await rivals.make_rival(fleet, 'calc1')
            names = support.replicas_of(fleet, primary)
            # One replica lags, so the choice of the promoted replica matters.
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
                    leader = leaders.setdefault(entry['term'], name)
                    self.assertEqual(leader, name, entry)
            await rival.close()

        self.run_on_fleet(steps)

    def test_replicas_far_behind(self):
        """Guard against in-doubt writes when replicas cannot keep up.

        Both replicas fall far behind while writes continue. The writes run
        at the primary, but no majority holds them in time. Once the lag is
        detected, writes are refused before they run.
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
        """Guard against a session that misses its own write after moving.

        A session writes, the primary is lost, and the session moves to
        another proxy, where it reads from a replica under a profile that
        allows stale reads. The read returns the older value if the replica
        is within the staleness limit but lacks the session's write.
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
    """Restore all links of a primary."""
    for peer in support.replicas_of(fleet, primary):
        await fleet.set_link(f'{primary}/{peer}')
    for number in range(fleet.plan.proxies):
        await fleet.set_link(f'p{number + 1}/{primary}')
