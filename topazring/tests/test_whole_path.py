"""The whole path through real processes."""

import asyncio

import testtools

from topazring.bench import fleet as fleets
from topazring.bench import plans


class TestWholePath(testtools.TestCase):
    """Save at one proxy, roam, read the save at another."""

    def test_save_roam_read_back(self):
        asyncio.run(self._save_roam_read_back())

    async def _save_roam_read_back(self):
        fleet = fleets.Fleet(plans.Plan())
        try:
            await fleet.start()
            cork = await fleet.session('p1', 'saves')
            created = await cork.write(
                'CREATE TABLE beams (id INTEGER PRIMARY KEY, size TEXT)'
            )
            self.assertEqual('done', created.outcome)
            saved = await cork.write(
                'INSERT INTO beams (size) VALUES (?)', ['IPE300']
            )
            self.assertEqual('done', saved.outcome)
            for proxy in ('p2', 'p3'):
                for profile in ('browse', 'strict'):
                    roamed = await fleet.session(
                        proxy, profile, token=cork.token
                    )
                    read = await roamed.read('SELECT size FROM beams')
                    self.assertEqual([['IPE300']], read.rows)
        finally:
            await fleet.close()
