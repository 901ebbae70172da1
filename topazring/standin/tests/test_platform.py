"""The stand-in of the platform's service goes on beside odd instances."""

import asyncio
import json

import testtools

from topazring.bench import ports
from topazring.standin import platform as platforms
from topazring.standin import settings

GOOD = {'host': '127.0.0.1', 'health_port': 1, 'state': 'live'}
ODD = (
    *('[]', '7', 'null', '{}', '9' * 5000, '[' * 1200 + ']' * 1200),
    *('[' * 1_040_000, '{"health_port": 5}'),
    *(
        json.dumps({**GOOD, 'health_port': port})
        for port in (65536, 99999, -1, 2**64, '', '\u0663', 1.5, [1])
    ),
    f'{{"host": "127.0.0.1", "health_port": {"9" * 5000}}}',
    '{"host": "127.0.0.1", "health_port": 1e999}',
)
WITHIN_S = 10.0


class ProbeTest(testtools.TestCase):
    """Instances are probed whatever others list."""

    def test_odd_instances(self):
        """Guards against probes that end at one odd instance."""

        async def run():
            port = ports.find_free_ports(1)[0]
            config = settings.PlatformSettings(
                host='127.0.0.1', port=port, list_lag_ms=0
            )
            platform = platforms.Platform(config)
            await platform.start()
            for number, value in enumerate(ODD):
                await platform.instances.put(f'odd{number}', value)
            await asyncio.sleep(2 * platforms.PROBE_INTERVAL_S)
            # Nobody answers for it, so probes remove it.
            await platform.instances.put('gone', json.dumps(GOOD))
            async with asyncio.timeout(WITHIN_S):
                while platform.instances.get('gone') is not None:
                    self.assertFalse(platform.probe_task.done())
                    await asyncio.sleep(0.05)
            await platform.close()

        asyncio.run(run())
