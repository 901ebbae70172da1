"""Send changes to peers over slow links."""

import json
import random
import string

import testtools

from topazring.core import revisions
from topazring.pooler import follower_client
from topazring.pooler import peers

# Bandwidth of the slowest instances, and the number of readers that one of two
# followers has in a data centre of 25 proxies.
LINK_BITS_PER_S = 5_000_000
READERS = 12
# A configuration has to be in force within this time.
IN_FORCE_S = 5.0


class PackingTest(testtools.TestCase):
    """A large configuration passes a follower's link in time."""

    def configuration(self) -> str:
        """Return a configuration of 1,400 databases with distinct names."""
        rng = random.Random(1)

        def name(length: int) -> str:
            letters = string.ascii_lowercase + string.digits
            return ''.join(rng.choice(letters) for _ in range(length))

        routes = [
            {
                'name': f'r-{name(8)}',
                'host': name(7),
                'type': rng.choice(('primary', 'bounded', 'own')),
                'service': name(7),
                'timeout-ms': 1500,
                'latency-goal-ms': 250,
                'staleness-bound-ms': 2500,
            }
            for _ in range(1400)
        ]
        return json.dumps({'version': 7, 'routes': routes})

    def test_large_configuration_in_time(self):
        """All readers of a follower get it within their part of the time.

        Guards against 200 failed requests of 1.5 s, and as many late ones,
        when the configuration grows by 1,100 routes. A follower with a slow
        link sent a quarter of a megabyte, uncompressed, to each of eleven
        readers: its link was full for seconds, and its other traffic was
        queued behind that.
        """
        change = revisions.Change('configuration', 9, self.configuration())
        bits = len(peers.compress_changes([change])) * 8 * READERS
        part_s = IN_FORCE_S / follower_client.DEADLINE_PARTS
        self.assertLess(bits / LINK_BITS_PER_S, part_s)
