"""Lose primaries where orders are late and the platform checks no tokens."""

import asyncio
import json
import tempfile

import testtools

from topazring.platform.tests import soak_stage
from topazring.platform.tests import support
from topazring.soak import environment
from topazring.soak import faults
from topazring.soak import observations
from topazring.soak import report
from topazring.soak import schedules
from topazring.soak import soaks
from topazring.tests import failure_logs

PROXIES = 3
RECORD_KEY = 'topazring/orders'
# The order is carried out so late, and its upstream is away before.
LATE_S = 4.0
AWAY_S = 1.8
# Copies of an order that gets no answer.
COPIES = 40
# Others get writes acknowledged, if they lead.
WRITES_S = 0.5
# A member that is back receives nothing from its primary for so long.
DEAF_MS = 6000
# An order may cross the news that its upstream leads.
CROSSING_MS = 500
WITHIN_S = 10.0
# A proxy that does not become ready says why before.
START_S = support.STARTUP_TIMEOUT_S + 5
SCHEDULE = schedules.Schedule(
    seed=0,
    seconds=12.0,
    families=('orders',),
    promote_ms=120,
    callers=8,
    rest_scale=1.0,
    steps=(),
)


class LateOrdersTest(testtools.TestCase):
    """Every acknowledged write is kept, and no order is needless."""

    def play(self, steps) -> None:
        """Run steps beside callers; check every guarantee."""
        self.wrong: list[str] = []
        with tempfile.TemporaryDirectory() as folder:
            self.stage = soak_stage.Stage(SCHEDULE, PROXIES, folder)
            self.store = self.stage.store
            self.group = self.stage.upstreams.group
            self.store.note_order = self.note_order
            self.group.note = self.note
            try:
                self.check(asyncio.run(self._run(steps)))
            except Exception:
                for path in self.stage.logs():
                    failure_logs.attach_log(self, path.stem, path.read_text())
                raise

    async def _run(self, steps) -> soaks.Outcome:
        outcome, _ = await asyncio.gather(
            soaks.run_schedule(self.stage, SCHEDULE), self._disturb(steps)
        )
        return outcome

    async def _disturb(self, steps) -> None:
        await self.until(self.is_written, START_S)
        await asyncio.sleep(WRITES_S)
        await steps()

    def check(self, outcome: soaks.Outcome) -> None:
        """Check the outcome and what the platform received."""
        text = report.render(outcome, self.stage.logs())
        self.assertEqual([], outcome.violations, text)
        self.assertEqual([], self.store.violations, text)
        self.assertEqual([], self.wrong, text)

    def note(self, observation: observations.Observation) -> None:
        """Record since when the primary leads."""
        if isinstance(observation, observations.Led):
            self.led_ms = observation.at_ms
        self.stage.oracle.note(observation)

    def note_order(self, order: dict) -> None:
        """Check an order as it arrives."""
        self.stage.upstreams.note_order(order)
        led_for_ms = environment.now_ms() - self.led_ms
        if order['id'] == self.leader() and led_for_ms > CROSSING_MS:
            self.wrong.append(f'names the present primary: {order}')
        if order['id'] not in self.recorded():
            self.wrong.append(f'not recorded: {order}')

    def recorded(self) -> list[str]:
        """Return the upstreams whose orders the store has recorded."""
        if RECORD_KEY not in self.store.items:
            return []
        record = json.loads(self.store.value(RECORD_KEY))
        return record.get('upstreams', {}).get(support.SERVICE, [])

    def ordered(self) -> str:
        """Return the upstream of the last order, empty if there is none."""
        return self.store.orders[-1]['id'] if self.store.orders else ''

    def leader(self) -> str:
        """Return the name of the primary, empty if there is none."""
        primary = self.group.primary()
        leads = primary.role == 'primary' and not primary.is_down
        return primary.name if leads else ''

    async def until(self, holds, within_s: float = WITHIN_S) -> None:
        """Wait until a condition holds."""

        async def asked() -> bool:
            return holds()

        await support.wait_until(asked, within_s)

    def is_written(self) -> bool:
        """Return whether a write was acknowledged."""
        return 'write done' in self.stage.oracle.facts.counts

    async def holders(self) -> list[support.Proxy]:
        """Return the proxies that hold the promotion lease."""
        proxies = self.stage.instances
        texts = await asyncio.gather(*(p.get('/metrics') for p in proxies))
        return [
            proxy
            for proxy, text in zip(proxies, texts)
            if 'topazring_holds_duty 1' in text
        ]

    async def kill_holder(self) -> None:
        """Kill the lease holder; it restarts soon."""
        # The lease may be acquired only after the first writes.
        await support.wait_until(self.holders, WITHIN_S)
        (holder,) = await self.holders()
        choice = (self.stage.instances.index(holder) + 0.5) / PROXIES
        await faults.inject(self.stage, faults.Step(0, 'kill', choice, 0, 100))

    async def come_back(self, name: str, deaf_ms: float = 0) -> None:
        """Restart a crashed member with its log."""
        member = self.group.member(name)
        member.deaf_until_ms = environment.now_ms() + deaf_ms
        self.group.restart_member(member)

    def test_successor_is_lost(self):
        """Guards against a late order for an upstream that was replaced."""
        self.play(self.successor_is_lost)

    async def successor_is_lost(self):
        first = self.leader()
        self.store.late_orders_s = [LATE_S]
        self.group.crash(first)
        await self.until(lambda: self.leader() not in ('', first))
        second = self.leader()
        await self.come_back(first)
        await asyncio.sleep(WRITES_S)
        self.group.crash(second)
        await asyncio.sleep(AWAY_S)
        await self.come_back(second, DEAF_MS)

    def test_holder_is_killed(self):
        """Guards against a new lease holder that knows of no late order."""
        self.play(self.holder_is_killed)

    async def holder_is_killed(self):
        first = self.leader()
        self.store.late_orders_s = [LATE_S] * COPIES
        self.group.crash(first)
        await self.until(lambda: self.ordered() not in ('', first))
        second = self.ordered()
        await self.kill_holder()
        self.store.late_orders_s.clear()
        self.group.crash(second)
        await self.come_back(first)
        await asyncio.sleep(AWAY_S)
        await self.come_back(second, DEAF_MS)

    def test_normal_promotion(self):
        """Guards against a record that keeps settled orders."""
        self.play(self.normal_promotion)

    async def normal_promotion(self):
        first = self.leader()
        self.assertEqual([], self.recorded())
        self.group.crash(first)
        await self.until(lambda: self.leader() not in ('', first))
        # That it was recorded is checked as it arrives.
        self.assertEqual(self.leader(), self.ordered())
        await self.until(lambda: not self.recorded())
        await self.come_back(first)

    def test_new_holder(self):
        """Guards against orders that only fence earlier ones off."""
        self.play(self.new_holder)

    async def new_holder(self):
        await self.kill_holder()

        async def is_replaced() -> bool:
            return bool(await self.holders())

        await support.wait_until(is_replaced, WITHIN_S)
        await asyncio.sleep(WRITES_S)
        self.assertEqual([], self.store.orders)
