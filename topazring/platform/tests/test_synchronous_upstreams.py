"""Test the simulated upstreams of the soak: commits, pauses, promotions."""

import asyncio

import testtools

from topazring.bench import ports
from topazring.platform.tests import support
from topazring.platform.tests import synchronous_upstreams

SERVICE = support.SERVICE
# Longer than replicas take to receive a commit, and much shorter than the
# time the tests wait for one.
SHORT_S = 0.2
PROMOTE_MS = 30


class GroupTest(testtools.TestCase):
    """Run three upstreams and connect to them as a proxy does."""

    def run_steps(self, steps) -> None:
        """Run steps with a started group."""
        asyncio.run(self._run_steps(steps))

    async def _run_steps(self, steps) -> None:
        self.noted: list[object] = []
        self.group = synchronous_upstreams.Group(
            SERVICE, ports.find_free_ports(3), self.noted.append, PROMOTE_MS
        )
        self.group.changed = lambda member: None
        self.group.rng.random = lambda: 1.0
        self.group.start()
        try:
            await steps()
        finally:
            self.group.close()

    async def connect(self, number: int) -> support.Caller:
        """Connect to a member as a proxy does."""
        member = self.group.members[number]
        opened = await asyncio.open_connection('127.0.0.1', member.port)
        caller = support.Caller(*opened)
        await caller.send_line(f'START {SERVICE} me {member.name}')
        return caller

    async def hangs(self, caller: support.Caller, text: str) -> bool:
        """Return whether a statement gets no answer within SHORT_S."""
        try:
            async with asyncio.timeout(SHORT_S):
                await caller.query(text)
        except TimeoutError:
            return True
        return False

    def test_write_waits_for_a_replica(self):
        self.run_steps(self.write_waits)

    async def write_waits(self):
        primary = await self.connect(0)
        answer = await primary.query('WRITE k v')
        self.assertTrue(answer[0].startswith('DONE'), answer)
        self.assertEqual('READY I 1.2', answer[1])
        for member in self.group.members[1:]:
            member.deaf_until_ms = synchronous_upstreams.now_ms() + 400
        self.assertTrue(await self.hangs(primary, 'WRITE k w'))
        answer = await primary.read_answer()
        self.assertTrue(answer[0].startswith('DONE'), answer)

    def test_paused_replicas_confirm_nothing(self):
        self.run_steps(self.paused)

    async def paused(self):
        primary = await self.connect(0)
        for number in (1, 2):
            replica = await self.connect(number)
            answer = await replica.query('PAUSE 2')
            self.assertEqual('ROW replica 1 1.1 2 0 0 1', answer[0])
        self.assertTrue(await self.hangs(primary, 'WRITE k v'))
        await replica.query('RESUME')
        answer = await primary.read_answer()
        self.assertTrue(answer[0].startswith('DONE'), answer)

    def test_promotion_truncates_logs(self):
        """Other members are truncated to the new primary's log."""
        self.run_steps(self.promotion)

    async def promotion(self):
        old, new, third = self.group.members
        caller = await self.connect(0)
        new.deaf_until_ms = synchronous_upstreams.now_ms() + 10_000
        await caller.query('WRITE k v')
        self.assertEqual((2, 1, 2), tuple(map(self.size, (old, new, third))))
        self.assertTrue(self.group.promote(SERVICE, new.name))
        await asyncio.sleep(SHORT_S)
        roles = [member.role for member in self.group.members]
        self.assertEqual(['replica', 'primary', 'replica'], roles)
        self.assertEqual((1, 1, 1), tuple(map(self.size, (old, new, third))))
        answer = await caller.query('WRITE k v')
        self.assertTrue(answer[0].startswith('ERROR READONLY'), answer)

    def size(self, member) -> int:
        """Return how many entries a member's log has."""
        return len(member.log)

    def test_partitioned_primary_stays_primary(self):
        """A partitioned primary stays one until it reaches its successor."""
        self.run_steps(self.stays_primary)

    async def stays_primary(self):
        old, new, third = self.group.members
        self.group.cut_pairs = {
            frozenset((old.name, other.name)) for other in (new, third)
        }
        self.group.promote(SERVICE, new.name)
        await asyncio.sleep(SHORT_S)
        self.assertEqual(['primary'] * 2, [old.role, new.role])
        caller = await self.connect(0)
        self.assertTrue(await self.hangs(caller, 'WRITE k v'))
        new_member = self.group.add_replica(ports.find_free_port())
        self.group.cut_pairs.add(frozenset((new.name, new_member.name)))
        answer = await caller.read_answer()
        self.assertTrue(answer[0].startswith('DONE'), answer)
        self.assertEqual(2, self.size(new_member))
        self.group.cut_pairs.clear()
        await asyncio.sleep(synchronous_upstreams.STEP_DOWN_MS / 1000 + 0.3)
        self.assertEqual('replica', old.role)
        self.assertEqual(1, self.size(old))

    def test_successor_demoted_meanwhile(self):
        """Guards against a replaced primary that leads for ever."""
        self.run_steps(self.successor_demoted)

    async def successor_demoted(self):
        old, new, third = self.group.members
        self.group.is_far = lambda member: member is old
        self.group.promote(SERVICE, new.name)
        await asyncio.sleep(SHORT_S)
        self.group.become_replica(new)
        await asyncio.sleep(synchronous_upstreams.STEP_DOWN_MS / 1000 + 0.3)
        self.assertEqual('primary', old.role)
        del self.group.is_far
        await asyncio.sleep(synchronous_upstreams.STEP_DOWN_MS / 1000 + 0.3)
        self.assertEqual('replica', old.role)
