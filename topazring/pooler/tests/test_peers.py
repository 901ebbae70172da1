"""Tell peers what changed, over links that are slow."""

import json
import random
import string

import testtools

from topazring.core import revisions
from topazring.pooler import follower_client
from topazring.pooler import peers

# Of the slowest instances, and the hearers that one of two followers has
# where 25 proxies share a data centre.
LINK_BITS_PER_S = 5_000_000
HEARERS = 12
# A configuration has to be in force within it.
IN_FORCE_S = 5.0


class PackingTest(testtools.TestCase):
    """A large configuration passes a follower's link in time."""

    def configuration(self) -> str:
        """Return one of 1,400 databases with names of their own."""
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
        """All hearers of a follower have it in their part of the time.

        Symptom: 200 requests of a second and a half fail, and as many again
        are late, when the configuration grows by 1,100 routes. Sequence: a
        follower with a slow link tells eleven hearers a quarter of a
        megabyte each; its link is full for seconds, and what it serves waits
        behind that. Cause: telling it as it is kept.
        """
        change = revisions.Change('configuration', 9, self.configuration())
        bits = len(peers.compress_changes([change])) * 8 * HEARERS
        part_s = IN_FORCE_S / follower_client.DEADLINE_PARTS
        self.assertLess(bits / LINK_BITS_PER_S, part_s)
