"""Test API keys end to end, with proxies as real processes."""

import json

import testtools

from topazring.core import organisations
from topazring.platform import records
from topazring.platform.tests import support

ASH_KEY = 'ash-key-nax7u27gx'
BIRCH_KEY = 'birch-key-pjsujq'


def tenant(name: str, *keys: str, **more) -> dict:
    """Return an organisation as the operator writes it."""
    return {'name': name, 'api-keys': list(keys), **more}


class ConfigurationTest(testtools.TestCase):
    """Organisations are decoded without their keys, or rejected whole."""

    def decode(self, *tenants: dict, **route):
        """Decode a configuration with these organisations."""
        text = json.dumps(
            {
                'version': 3,
                'routes': [support.route('exact', 'primary', **route)],
                'services': [{'name': support.SERVICE, 'max-conns': 23}],
                'tenants': list(tenants),
            }
        )
        redacted = records.redact('op/config', text)
        return records.decode('op/config', redacted, 1)

    def test_holder_of_a_key(self):
        """Guards against an organisation that is found by another's key."""
        found = self.decode(
            tenant('ash', ASH_KEY), tenant('birch', BIRCH_KEY)
        ).known_organisations
        for key, name in ((ASH_KEY, 'ash'), (BIRCH_KEY, 'birch')):
            self.assertEqual(name, found.names[organisations.hash_key(key)])
        self.assertIsNone(found.names.get(organisations.hash_key('')))
        self.assertEqual(2, len(found.names))

    def test_keys_are_not_kept(self):
        """Guards against a key in memory or in a message to another proxy."""
        text = json.dumps({'version': 1, 'tenants': [tenant('ash', ASH_KEY)]})
        redacted = records.redact('op/config', text)
        self.assertNotIn(ASH_KEY, redacted)
        self.assertEqual(redacted, records.redact('op/config', redacted))
        broken = records.redact('op/config', text[:-1])
        self.assertNotIn(ASH_KEY, broken)

    def test_routes_without_a_key(self):
        """A database needs no key if it says so, or if nobody has one."""
        self.assertFalse(self.decode().policies['exact'].anonymous)
        policy = self.decode(anonymous=True).policies['exact']
        self.assertTrue(policy.anonymous)
        text = json.dumps(
            {
                'version': 1,
                'routes': [support.route('exact', 'primary')],
            }
        )
        found = records.decode('op/config', text, 1)
        self.assertTrue(found.policies['exact'].anonymous)
        self.assertIsNone(found.known_organisations)

    def test_quotas(self):
        """A missing rate is no limit; a missing burst is one second's."""
        quotas = self.decode(
            tenant('ash', ASH_KEY, **{'rate-per-s': 3}),
            tenant('birch', BIRCH_KEY),
            tenant('cedar', **{'rate-per-s': 0, 'burst': 0}),
        ).known_organisations.quotas
        self.assertEqual(organisations.Quota(3, 3), quotas['ash'])
        self.assertEqual(organisations.Quota(0, 0), quotas['cedar'])
        self.assertNotIn('birch', quotas)

    def test_invalid_organisations(self):
        """Guards against a name that splits a line towards an upstream."""
        for tenants in (
            [tenant('')],
            [tenant('ash birch')],
            [tenant('ash\nbirch')],
            [tenant('ash', **{'rate-per-s': -1})],
            [tenant('ash', **{'rate-per-s': 'many'})],
            [tenant('ash', ASH_KEY), tenant('birch', ASH_KEY)],
        ):
            self.assertRaises(ValueError, self.decode, *tenants)

    def test_one_key_twice(self):
        """The same organisation may list a key twice."""
        found = self.decode(tenant('ash', ASH_KEY, ASH_KEY))
        self.assertEqual(1, len(found.known_organisations.names))


class SessionTest(support.PlatformTestCase):
    """Sessions live as long as the key that they began with."""

    async def configure_tenants(self, version: int, *tenants: dict) -> None:
        """Write a configuration with organisations."""
        entry = json.loads(self.store.value('op/config'))
        entry.update({'version': version, 'tenants': list(tenants)})
        await self.store.put_json('op/config', entry)

    async def greeting(self, key: str, proxy: int = 0) -> str:
        """Return the answer to the start of a session with a key."""
        caller = await self.session_with(key, proxy)
        caller.close()
        return caller.greeting[0]

    async def session_with(self, key: str, proxy: int = 0) -> support.Caller:
        """Start a session with a key."""
        port = self.proxies[proxy].caller_port
        return await support.Caller.connect(port, 'own', key)

    async def is_accepted(self, key: str, proxy: int = 0) -> bool:
        """Return whether a key is accepted."""
        return await self.greeting(key, proxy) == 'READY I -'

    async def is_rejected(self, key: str, proxy: int = 0) -> bool:
        """Return whether a key is rejected."""
        answer = await self.greeting(key, proxy)
        return answer.startswith('ERROR NOAUTH')

    def test_keys(self):
        """Upstreams are told the organisation, and never another one."""
        self.run_on_platform(self.keys)

    async def keys(self):
        await self.configure_tenants(
            2, tenant('ash', ASH_KEY), tenant('birch', BIRCH_KEY)
        )
        await support.wait_until(lambda: self.is_rejected('unknown'))
        for key in ('', 'unknown', ASH_KEY.upper(), 'x' * 5000, 'a b', 'é'):
            self.assertTrue(await self.is_rejected(key), key)
        ash = await self.session_with(ASH_KEY)
        birch = await self.session_with(BIRCH_KEY)
        for number in range(4):
            for name, caller in (('ash', ash), ('birch', birch)):
                answer = await caller.query(f'WRITE {name}{number} x')
                self.assertTrue(answer[0].startswith('DONE'), answer)
                answer = await caller.query(f'READ {name}{number}')
                self.assertEqual('ROW x', answer[0])
        for name, text in self.group.ran_for:
            self.assertIn(name, text)
        self.assertEqual(16, len(self.group.ran_for))
        self.assertNotIn(ASH_KEY, self.proxies[0].log.read_text())

    def test_key_that_is_revoked(self):
        """Guards against sessions that outlive the key that allowed them."""
        self.run_on_platform(self.revoked)

    async def revoked(self):
        both = (tenant('ash', ASH_KEY), tenant('birch', BIRCH_KEY))
        await self.configure_tenants(2, *both)
        await support.wait_until(lambda: self.is_rejected('unknown'))
        idle = await self.session_with(ASH_KEY)
        between = await self.session_with(ASH_KEY)
        await between.query('WRITE k ash')
        pausing = await self.session_with(ASH_KEY)
        await pausing.query('BEGIN')
        await pausing.query('WRITE k lost-ash')
        other = await self.session_with(BIRCH_KEY)
        await self.configure_tenants(3, tenant('ash', 'new'), both[1])
        await support.wait_until(lambda: self.is_accepted('new'))
        for caller in (idle, between):
            self.assertEqual([], await caller.query('READ k'))
        answer = await pausing.query('READ k')
        self.assertTrue(answer[0].startswith('ERROR NOAUTH'), answer)
        self.assertEqual('READY E -', answer[-1])
        answer = await pausing.query('ROLLBACK')
        self.assertEqual('READY I -', answer[-1])
        self.assertEqual([], await pausing.read_answer())
        answer = await other.query('READ k')
        self.assertEqual('ROW ash', answer[0])
        self.assertTrue(await self.is_rejected(ASH_KEY))

    def test_statements_after_the_key_is_revoked(self):
        """Guards against a statement that gets no answer before the close."""
        self.run_on_platform(self.sent_together)

    async def sent_together(self):
        both = (tenant('ash', ASH_KEY), tenant('birch', BIRCH_KEY))
        await self.configure_tenants(2, *both)
        await support.wait_until(lambda: self.is_rejected('unknown'))
        caller = await self.session_with(ASH_KEY)
        await caller.query('BEGIN')
        await caller.query('READ k')
        # Its answer comes after the change.
        for member in self.group.members:
            member.reads_take_s = 0.4
        caller.writer.write(b'QUERY q1 READ k\r\n')
        await self.configure_tenants(3, both[1])
        await support.wait_until(lambda: self.is_rejected(ASH_KEY))
        caller.writer.write(b'QUERY q2 READ k\r\nQUERY q3 COMMIT\r\n')
        answers = [await caller.read_answer() for _ in range(3)]
        self.assertTrue(answers[0][0].startswith(('ROW', 'DONE')), answers)
        for answer in answers[1:]:
            self.assertTrue(answer[0].startswith('ERROR NOAUTH'), answers)
        self.assertEqual('READY I -', answers[2][-1])

    def test_configuration_that_is_invalid(self):
        """The last good configuration stays in force, with its keys."""
        self.run_on_platform(self.invalid)

    async def invalid(self):
        await self.configure_tenants(2, tenant('ash', ASH_KEY))
        await support.wait_until(lambda: self.is_rejected('unknown'))
        await self.configure_tenants(
            3, tenant('ash', BIRCH_KEY), tenant('birch', BIRCH_KEY)
        )
        await self.configure_tenants(
            4, tenant('ash', ASH_KEY), tenant('cedar', 'cedar-key')
        )
        await support.wait_until(lambda: self.is_accepted('cedar-key'))
        self.assertTrue(await self.is_accepted(ASH_KEY))
        self.assertFalse(await self.is_accepted(BIRCH_KEY))

    def test_quota(self):
        """Guards against an organisation beyond its quota over all proxies."""
        self.run_on_platform(self.quota, proxies=2)

    async def quota(self):
        await self.configure_tenants(
            2,
            tenant('ash', ASH_KEY, **{'rate-per-s': 1, 'burst': 1}),
            tenant('birch', BIRCH_KEY),
        )
        callers = []
        for number in (0, 1):
            await support.wait_until(
                lambda number=number: self.is_rejected('unknown', number)
            )
            callers.append(await self.session_with(ASH_KEY, number))
        refused = done = 0
        for _ in range(40):
            for caller in callers:
                answer = (await caller.query('READ k'))[0]
                done += answer.startswith('DONE')
                refused += answer.startswith('ERROR BUSY quota')
        self.assertEqual(80, done + refused)
        # A window's operations, a tenth of them and twenty.
        self.assertLessEqual(done, 6 * 1.1 + 20)
        self.assertGreater(done, 0)
        other = await self.session_with(BIRCH_KEY)
        answer = await other.query('READ k')
        self.assertTrue(answer[0].startswith('DONE'), answer)
