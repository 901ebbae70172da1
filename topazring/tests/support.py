"""Helpers of the tests that run real processes."""

import asyncio
import collections

import testtools

from topazring.bench import fleet as fleets
from topazring.bench import plans
from topazring.load import experiments
from topazring.load import generator
from topazring.tests import failure_logs

TABLE = 'CREATE TABLE IF NOT EXISTS beams (id INTEGER PRIMARY KEY, size TEXT)'
INSERT = 'INSERT INTO beams (size) VALUES (?)'
SELECT = 'SELECT size FROM beams ORDER BY id'


class FleetTestCase(testtools.TestCase):
    """Run each test on a fleet of its own and close the fleet."""

    def run_on_fleet(self, steps, **plan):
        """Run `steps(fleet)` on a fleet with the given plan."""
        asyncio.run(self._on_fleet(steps, plans.Plan(**plan)))

    async def _on_fleet(self, steps, plan):
        fleet = fleets.Fleet(plan)
        try:
            await fleet.start()
            await steps(fleet)
        except Exception:
            for name in fleet.processes:
                failure_logs.attach_log(self, name, fleet.read_log(name))
            raise
        finally:
            await fleet.close()

    async def check_ledgers(self, fleet, stats, database=''):
        """Check the outcomes that callers received against the primary's log.

        No request may have run twice, no acknowledged request may be missing
        and no request that was reported as not run may have run.
        """
        log = await surviving_log(fleet, database)
        ran = collections.Counter(
            entry['request_id'] for entry in log if not entry['cancelled']
        )
        twice = [rid for rid, count in ran.items() if rid and count > 1]
        self.assertEqual([], twice, 'ran twice')
        lost = [rid for rid in stats.done_ids if rid not in ran]
        self.assertEqual([], lost, 'acknowledged, but lost')
        wrong = [rid for rid in stats.not_run_ids if rid in ran]
        self.assertEqual([], wrong, 'reported as not run, but ran')
        self.assertEqual([], stats.violations)

    async def load_during_fault(self, fleet, fault, seconds=5.0, **mix):
        """Load the fleet, cause the fault meanwhile, check the outcomes."""
        # Sessions move between proxies all the time, also during the fault.
        settings = {
            'rate': 100,
            'read_share': 0.5,
            'sessions': 12,
            'roam_share': 0.05,
            **mix,
        }
        load = experiments.load_on(
            fleet, generator.Mix(seconds=seconds, **settings)
        )
        await load.start()
        running = asyncio.create_task(load.run())
        await asyncio.sleep(1.0)
        await fault()
        stats = await running
        await load.close()
        self.assertGreater(stats.roams, 0)
        await self.check_ledgers(fleet, stats)
        return stats


async def surviving_log(fleet, database=''):
    """Return the log of the primary of the highest term."""
    primary = await fleet.wait_primary(database or fleet.plan.databases[0])
    ledger = await fleet.ledger(primary)
    return ledger['log']


async def count_runs(fleet, request_id):
    """Return the number of uncancelled log entries of a request id.

    The log is that of the primary of the highest term.
    """
    log = await surviving_log(fleet)
    return sum(
        1
        for entry in log
        if entry['request_id'] == request_id and not entry['cancelled']
    )


def replicas_of(fleet, primary):
    """Return the other upstreams of the first database."""
    names = fleet.upstream_names(fleet.plan.databases[0])
    return [name for name in names if name != primary]


def acknowledged_by_others(stats, primary):
    """Return whether writes were acknowledged by another primary."""
    return any(name != primary for _, name in stats.acknowledged)
