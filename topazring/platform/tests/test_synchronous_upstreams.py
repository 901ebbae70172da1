"""The soak's upstreams confirm, pause and promote as the pages say."""

import asyncio

import testtools

from topazring.bench import ports
from topazring.platform.tests import support
from topazring.platform.tests import synchronous_upstreams

SERVICE = support.SERVICE
# Longer than replicas take, much shorter than the tests wait for them.
SHORT_S = 0.2
PROMOTE_MS = 30


class GroupTest(testtools.TestCase):
    """Three upstreams, spoken to as a proxy does."""

    def play(self, steps) -> None:
        """Run steps on a group that has started."""
        asyncio.run(self._play(steps))

    async def _play(self, steps) -> None:
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
        await caller.say(f'START {SERVICE} me {member.name}')
        return caller

    async def hangs(self, caller: support.Caller, text: str) -> bool:
        """Say whether a statement gets no answer for a moment."""
        try:
            async with asyncio.timeout(SHORT_S):
                await caller.query(text)
        except TimeoutError:
            return True
        return False

    def test_write_waits_for_a_replica(self):
        self.play(self.write_waits)

    async def write_waits(self):
        primary = await self.connect(0)
        said = await primary.query('WRITE k v')
        self.assertTrue(said[0].startswith('DONE'), said)
        self.assertEqual('READY I 1.2', said[1])
        for member in self.group.members[1:]:
            member.deaf_until_ms = synchronous_upstreams.now_ms() + 400
        self.assertTrue(await self.hangs(primary, 'WRITE k w'))
        said = await primary.answer()
        self.assertTrue(said[0].startswith('DONE'), said)

    def test_paused_replicas_confirm_nothing(self):
        self.play(self.paused)

    async def paused(self):
        primary = await self.connect(0)
        for number in (1, 2):
            replica = await self.connect(number)
            said = await replica.query('PAUSE 2')
            self.assertEqual('ROW replica 1 1.1 2 0 0 1', said[0])
        self.assertTrue(await self.hangs(primary, 'WRITE k v'))
        await replica.query('RESUME')
        said = await primary.answer()
        self.assertTrue(said[0].startswith('DONE'), said)

    def test_promotion_cuts_back(self):
        """Whoever leads begins with what it had, and nothing more."""
        self.play(self.promotion)

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
        said = await caller.query('WRITE k v')
        self.assertTrue(said[0].startswith('ERROR READONLY'), said)

    def size(self, member) -> int:
        """Return how many entries a member's log has."""
        return len(member.log)

    def test_cut_off_primary_goes_on(self):
        """It leads beside its successor until it reaches that."""
        self.play(self.goes_on)

    async def goes_on(self):
        old, new, third = self.group.members
        self.group.cut_pairs = {
            frozenset((old.name, other.name)) for other in (new, third)
        }
        self.group.promote(SERVICE, new.name)
        await asyncio.sleep(SHORT_S)
        self.assertEqual(['primary'] * 2, [old.role, new.role])
        caller = await self.connect(0)
        self.assertTrue(await self.hangs(caller, 'WRITE k v'))
        newcomer = self.group.add_replica(ports.find_free_port())
        self.group.cut_pairs.add(frozenset((new.name, newcomer.name)))
        said = await caller.answer()
        self.assertTrue(said[0].startswith('DONE'), said)
        self.assertEqual(2, self.size(newcomer))
        self.group.cut_pairs.clear()
        await asyncio.sleep(synchronous_upstreams.STEP_DOWN_MS / 1000 + 0.3)
        self.assertEqual('replica', old.role)
        self.assertEqual(1, self.size(old))
