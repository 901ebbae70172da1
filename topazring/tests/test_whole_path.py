"""Test the complete request path through real processes."""

from topazring.tests import support


class TestWholePath(support.FleetTestCase):
    """Write through one proxy, move the session, read through others."""

    def test_save_roam_read_back(self):
        async def steps(fleet):
            writer = await fleet.session('p1', 'saves')
            created = await writer.write(
                'CREATE TABLE beams (id INTEGER PRIMARY KEY, size TEXT)'
            )
            self.assertEqual('done', created.outcome, created.reason)
            saved = await writer.write(
                'INSERT INTO beams (size) VALUES (?)', ['IPE300']
            )
            self.assertEqual('done', saved.outcome, saved.reason)
            for proxy in ('p2', 'p3'):
                for profile in ('browse', 'strict'):
                    moved = await fleet.session(
                        proxy, profile, token=writer.token
                    )
                    read = await moved.read('SELECT size FROM beams')
                    self.assertEqual([['IPE300']], read.rows)

        self.run_on_fleet(steps)
