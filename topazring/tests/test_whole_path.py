"""The whole path through real processes."""

from topazring.tests import support


class TestWholePath(support.FleetTestCase):
    """Save at one proxy, roam, read the save at another."""

    def test_save_roam_read_back(self):
        async def steps(fleet):
            cork = await fleet.session('p1', 'saves')
            created = await cork.write(
                'CREATE TABLE beams (id INTEGER PRIMARY KEY, size TEXT)'
            )
            self.assertEqual('done', created.outcome, created.reason)
            saved = await cork.write(
                'INSERT INTO beams (size) VALUES (?)', ['IPE300']
            )
            self.assertEqual('done', saved.outcome, saved.reason)
            for proxy in ('p2', 'p3'):
                for profile in ('browse', 'strict'):
                    roamed = await fleet.session(
                        proxy, profile, token=cork.token
                    )
                    read = await roamed.read('SELECT size FROM beams')
                    self.assertEqual([['IPE300']], read.rows)

        self.run_on_fleet(steps)
