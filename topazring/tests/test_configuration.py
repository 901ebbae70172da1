"""Test configuration and membership in outages, with real processes."""

import asyncio
import json
import signal

from topazring.admin import changes
from topazring.admin import main as admin
from topazring import catalogue
from topazring.tests import support


def profile(**values):
    """Return a complete profile value; unset fields have their defaults."""
    return catalogue.check('profile', values).model_dump()


async def fetch_statuses(fleet):
    """Return the status of each proxy by name; None if it doesn't answer."""
    names = [f'p{n + 1}' for n in range(fleet.plan.proxies)]
    found = [await fleet.get(f'{n} operator', '/status') for n in names]
    return dict(zip(names, found, strict=True))


async def wait_until_in_force(fleet, revision, proxies):
    """Wait until these proxies have the revision or a later one."""

    async def reached():
        found = await fetch_statuses(fleet)
        return all(
            found[name] and found[name]['seen']['configuration'] >= revision
            for name in proxies
        )

    await support.fleets.wait_until(reached, f'revision {revision}')


class TestConfiguration(support.FleetTestCase):
    """Check that accepted configuration reaches all proxies and stays.

    No proxy returns to an older revision.
    """

    async def set_profile(self, fleet, name, expected=None, **values):
        result = await changes.change_value(
            fleet.platform, 'profile', name, profile(**values), expected
        )
        self.assertIsInstance(result, changes.Accepted)
        return result.revision

    def test_accepted_is_in_force_everywhere(self):
        async def steps(fleet):
            revision = await self.set_profile(fleet, 'new')
            proxies = await admin.list_proxies(fleet.platform)
            self.assertEqual(fleet.plan.proxies, len(proxies))
            missing = await changes.wait_everywhere(
                admin.fetch_status, proxies, revision, 5.0
            )
            self.assertIsNone(missing)
            for number in range(fleet.plan.proxies):
                session = await fleet.session(f'p{number + 1}', 'new')
                await session.close()

        self.run_on_fleet(steps, proxies=6)

    def test_wait_reports_frozen_proxy(self):
        """Guard against reporting a change as in force while a proxy lacks it.

        A proxy is suspended and a change is made with --wait. The report is
        wrong if the tool waits for a number of proxies, or only for those
        that answer.
        """

        async def steps(fleet):
            fleet.freeze('p2')
            revision = await self.set_profile(fleet, 'new')
            proxies = await admin.list_proxies(fleet.platform)
            missing = await changes.wait_everywhere(
                admin.fetch_status, proxies, revision, 3.0
            )
            self.assertEqual(['p2'], missing.proxies)
            fleet.thaw('p2')
            await wait_until_in_force(fleet, revision, ['p2'])

        self.run_on_fleet(steps)

    def test_database_reconfigured_under_load(self):
        """Guard against requests that hang forever after a reconfiguration.

        An operator changes the slots of a database under load, and its
        owners restart with the new value. Requests hang if the old owner
        task is closed while it holds requests that nothing answers.
        """

        async def steps(fleet):
            stored = await changes.read_value(
                fleet.platform, 'database', 'calc1'
            )

            async def fault():
                revision = stored.revision
                for slots in (2, 4, 3):
                    result = await changes.change_value(
                        fleet.platform,
                        'database',
                        'calc1',
                        {**stored.value, 'slots': slots},
                        revision,
                    )
                    revision = result.revision
                    await asyncio.sleep(0.7)

            stats = await self.load_during_fault(fleet, fault, rate=300)
            answered = sum(stats.outcomes.values())
            self.assertEqual(stats.sent, answered)
            self.assertFalse([n for n in stats.outcomes if 'unknown' in n])
            for kind, recorded in stats.latency.items():
                # Microseconds; the longest deadline is 8 s.
                self.assertLess(recorded.get_max_value(), 20e6, kind)

        self.run_on_fleet(steps)

    def test_operators_race_on_one_profile(self):
        """Guard against an operator's change being overwritten silently.

        Several operators read the same revision and all set a new value.
        All changes but the last are lost if the last write wins.
        """

        async def steps(fleet):
            base = await self.set_profile(fleet, 'raced')
            results = await asyncio.gather(
                *(
                    changes.change_value(
                        fleet.platform,
                        'profile',
                        'raced',
                        profile(max_staleness_ms=staleness_ms),
                        base,
                    )
                    for staleness_ms in (100, 200, 300)
                )
            )
            accepted = [f for f in results if isinstance(f, changes.Accepted)]
            rejected = [f for f in results if isinstance(f, changes.Conflict)]
            self.assertEqual((1, 2), (len(accepted), len(rejected)))
            stored = await changes.read_value(
                fleet.platform, 'profile', 'raced'
            )
            for conflict in rejected:
                self.assertEqual(stored.value, conflict.current)
                self.assertNotEqual(stored.value, conflict.requested)

        self.run_on_fleet(steps)

    def test_lost_reply_to_compare_and_swap(self):
        """Guard against reporting an operator's own change as a conflict.

        A compare-and-swap takes effect and its reply is lost. The tool
        retries and finds the value changed. It reports a conflict if the
        stored value does not identify the change that wrote it.
        """

        async def steps(fleet):
            lossy_client = admin.platform_client.PlatformClient(
                '127.0.0.1', fleet.port('link p1/platform'), 'operator'
            )
            base = await self.set_profile(fleet, 'lossy')
            await fleet.set_link('p1/platform', backward='drop')
            change_task = asyncio.create_task(
                changes.change_value(
                    lossy_client,
                    'profile',
                    'lossy',
                    profile(max_staleness_ms=70),
                    base,
                )
            )

            async def took_effect():
                found = await changes.read_value(
                    fleet.platform, 'profile', 'lossy'
                )
                return found.revision > base

            await support.fleets.wait_until(took_effect, 'it takes effect')
            await fleet.set_link('p1/platform', backward='cut')
            await fleet.set_link('p1/platform')
            result = await change_task
            lossy_client.close()
            self.assertIsInstance(result, changes.Accepted)

        self.run_on_fleet(steps, faults=True)

    def test_proxy_replaced_while_platform_is_down(self):
        """Guard against a proxy that refuses all requests after a restart.

        The platform service is killed, then a proxy is killed and restarted,
        and the service comes back later. The proxy refuses all requests if
        its start needs the service although all peers have the same data.
        """

        async def steps(fleet):
            await self.set_profile(fleet, 'known')
            before = await fetch_statuses(fleet)
            seen = before['p1']['seen']['configuration']
            await wait_until_in_force(fleet, seen, ['p1', 'p2', 'p3'])
            await fleet.kill('platform')
            await fleet.kill('p3')
            await fleet.spawn('p3')
            await wait_until_in_force(fleet, seen, ['p3'])
            session = await fleet.session('p3', 'known')
            await session.write(support.TABLE)
            saved = await session.write(support.INSERT, ['IPE300'])
            self.assertEqual('done', saved.outcome)
            await fleet.spawn('platform')
            await support.fleets.wait_until(
                fleet._is_platform_up, 'the platform answers'
            )
            revision = await self.set_profile(fleet, 'later')
            await wait_until_in_force(fleet, revision, ['p1', 'p2', 'p3'])

        self.run_on_fleet(steps)

    def test_platform_frozen_and_slow(self):
        """Guard against requests that fail as configuration cannot be read.

        The platform service is suspended for seconds, then answers late.
        Requests fail if their path includes a call to the service.
        """

        async def steps(fleet):
            async def fault():
                fleet.freeze('platform')
                await asyncio.sleep(4.0)
                fleet.thaw('platform')

            stats = await self.load_during_fault(fleet, fault, seconds=7.0)
            not_done = [n for n in stats.outcomes if not n.endswith(' done')]
            self.assertEqual([], not_done)
            revision = await self.set_profile(fleet, 'after')
            await wait_until_in_force(fleet, revision, ['p1', 'p2', 'p3'])

        self.run_on_fleet(steps)

    def test_proxy_partitioned_from_platform_only(self):
        """Guard against a proxy that applies an old profile for hours.

        The proxy can reach its peers, but not the platform service. It
        keeps the old profile if peers only send what was requested.
        """

        async def steps(fleet):
            await fleet.set_link('p1/platform', forward='cut', backward='cut')
            revision = await self.set_profile(fleet, 'gossiped')
            await wait_until_in_force(fleet, revision, ['p1'])
            session = await fleet.session('p1', 'gossiped')
            await session.close()

        self.run_on_fleet(steps, faults=True, proxies=6)

    def test_paused_proxy_does_not_restore_old_revision(self):
        """Guard against a resumed proxy that spreads an old profile.

        A proxy is suspended while a profile changes. It resumes and gossips
        the revision that it has. The old profile replaces the new one if
        the last message received wins.
        """

        async def steps(fleet):
            first = await self.set_profile(fleet, 'kept', repeatable=False)
            await wait_until_in_force(fleet, first, ['p1', 'p2', 'p3'])
            fleet.freeze('p3')
            last = await self.set_profile(
                fleet, 'kept', expected=first, repeatable=True
            )
            await wait_until_in_force(fleet, last, ['p1', 'p2'])
            fleet.thaw('p3')
            seen = []
            for _ in range(30):
                found = await fetch_statuses(fleet)
                seen.append(
                    [s['seen']['configuration'] for s in found.values() if s]
                )
                await asyncio.sleep(0.1)
            for before, after in zip(seen, seen[1:], strict=False):
                for old, new in zip(before, after, strict=False):
                    self.assertGreaterEqual(new, old)
            await wait_until_in_force(fleet, last, ['p3'])

        self.run_on_fleet(steps)

    def test_stale_list_does_not_restore_departed_proxy(self):
        """Guard against owners that keep sending to a departed instance.

        A proxy leaves and announces it, while the platform's list lags and
        still contains it. Owners keep sending to it if the list overrides
        what its peers observed.
        """

        async def steps(fleet):
            old = (await fetch_statuses(fleet))['p2']
            listed = await fleet.platform.instances(0)
            entry = next(
                json.loads(c.value)
                for c in listed.changes
                if c.key == 'p2' and c.value
            )
            fleet.send_signal('p2', signal.SIGTERM)
            await fleet.processes['p2'].wait()
            await fleet.platform.announce('p2', entry)
            await asyncio.sleep(1.0)
            found = await fetch_statuses(fleet)
            for name in ('p1', 'p3'):
                self.assertNotIn('p2', found[name]['members'])
            await fleet.spawn('p2')
            await fleet.wait_ready('p1')
            new = (await fetch_statuses(fleet))['p2']
            self.assertNotEqual(old['incarnation'], new['incarnation'])

        self.run_on_fleet(steps)
