"""Access the values of the platform's stand-in."""

import asyncio

import testtools

from topazring.bench import ports
from topazring import key_value
from topazring import platform_client
from topazring.standin import platform
from topazring.standin import settings


class KeysTest(testtools.TestCase):
    """A key names one value, whatever characters it holds."""

    def test_names_with_characters_of_a_url(self):
        """Guards against an operator's change of another value.

        A value named `calc1?old` was written to the key of `calc1`.
        """
        asyncio.run(self.write_all())

    async def write_all(self):
        port = ports.find_free_port()
        standin = platform.Platform(settings.PlatformSettings(port=port))
        await standin.start()
        client = platform_client.PlatformClient('127.0.0.1', port, 'p1')
        names = (
            'a',
            'a?b',
            'a#b',
            'a%62',
            'ab',
            'a b',
            'a+b',
            'a/b',
            '\u20ac',
        )
        for name in names:
            written = await client.put(f'k/{name}', name, None)
            self.assertIsInstance(written, key_value.Written, name)
            self.assertTrue(await client.announce(name, {'name': name}))
        self.assertEqual(
            {f'k/{name}' for name in names}, standin.values.values.keys()
        )
        self.assertEqual(set(names), standin.instances.values.keys())
        for name in names:
            found = await client.get(f'k/{name}')
            self.assertEqual(name, found.value)
            await client.delete(f'k/{name}', found.revision)
            self.assertIsNone(standin.values.get(f'k/{name}'))
            await client.withdraw(name)
        client.close()
        await standin.close()
