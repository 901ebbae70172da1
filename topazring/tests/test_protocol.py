"""Test the callers' protocol: error reasons and session survival."""

import json

from topazring import client
from topazring.tests import support


class TestProtocol(support.FleetTestCase):
    """Check that bad input is answered with a named reason.

    The connection and the process survive it.
    """

    def test_bad_input(self):
        self.run_on_fleet(self._check_bad_input, proxies=2)

    async def _check_bad_input(self, fleet):
        session = await fleet.session('p1')
        await session.write(support.TABLE)

        async def send_for_reason(frame):
            return (await session.send(frame)).reason

        write = {'type': 'write', 'statement': 'SELECT 1'}
        cases = (
            ({'type': 'zebra'}, 'bad_frame'),
            ({'type': 'read'}, 'bad_frame'),
            ({'type': 'read', 'statement': ''}, 'bad_frame'),
            ({'type': 'read', 'statement': 'x', 'more': 1}, 'bad_frame'),
            ({'type': 'read', 'statement': 'zebra'}, 'bad_statement'),
            ({**write, 'request_id': 'x'}, 'bad_request_id'),
            (
                {**write, 'request_id': '10000000000-0123456789'},
                'request_id_too_old',
            ),
            ({'type': 'execute', 'statement': 'x'}, 'no_transaction'),
            ({'type': 'rollback'}, 'no_transaction'),
            (
                {'type': 'read', 'statement': 'x' * 1_100_000},
                'too_large',
            ),
            (
                {'type': 'read', 'statement': 'x', 'token': 'forged'},
                'bad_token',
            ),
            ({'type': 'hello', **session.hello}, 'bad_frame'),
        )
        for frame, expected in cases:
            self.assertEqual(expected, await send_for_reason(frame), frame)
        # A frame that is not JSON has no id to answer; the session stays open.
        session.socket.write_message('{')
        session.socket.write_message(b'\x00\xff', binary=True)
        answer = await session.read('SELECT 7')
        self.assertEqual([[7]], answer.rows)
        await self._check_forbidden_statements(session)
        await self._check_bad_hellos(fleet)

    async def _check_forbidden_statements(self, session):
        for sql in (
            'COMMIT',
            '/* */ ROLLBACK',
            'BEGIN',
            "ATTACH 'x' AS y",
            'PRAGMA query_only=OFF',
            'SELECT * FROM topazring_requests',
        ):
            answer = await session.write(sql)
            self.assertEqual('bad_statement', answer.reason, sql)

    async def _check_bad_hellos(self, fleet):
        good = ('ballinure', 'ballinure-key', 'calc1', 'saves')
        cases = (
            (0, 'zebra', 'forbidden'),
            (1, 'wrong', 'forbidden'),
            (2, 'zebra', 'unknown_database'),
            (3, 'zebra', 'unknown_profile'),
        )
        for index, value, expected in cases:
            arguments = list(good)
            arguments[index] = value
            session = client.Session(fleet.url('p2'), *arguments)
            answer = await session.start()
            self.assertEqual(expected, answer.reason)
            # The connection survives and accepts a valid hello afterwards.
            hello = dict(
                zip(
                    ('organisation', 'key', 'database', 'profile'),
                    good,
                    strict=True,
                )
            )
            again = await session.send({'type': 'hello', **hello})
            self.assertTrue(again.done)
            await session.close()

    def test_batches_and_transactions(self):
        async def steps(fleet):
            session = await fleet.session('p1')
            await session.write(support.TABLE)
            batch = await session.batch(
                [(support.INSERT, ['a']), (support.INSERT, ['b'])]
            )
            self.assertEqual('done', batch.outcome)
            bad = await session.batch(
                [(support.INSERT, ['c']), ('INSERT INTO nowhere', [])]
            )
            self.assertEqual('bad_statement', bad.reason)
            await session.begin()
            again = await session.begin()
            self.assertEqual('bad_frame', again.reason)
            await session.execute(support.INSERT, ['d'])
            await session.rollback()
            read = await session.read(support.SELECT)
            self.assertEqual([['a'], ['b']], read.rows)

        self.run_on_fleet(steps, proxies=2)

    def test_conflicting_transactions(self):
        """Guard against lost updates between two transactions.

        Two transactions read the same data, both change it and both commit.
        An update is lost if the second commits over a change that it has
        not read.
        """

        async def steps(fleet):
            first = await fleet.session('p1')
            second = await fleet.session('p2')
            await first.write(support.TABLE)
            for session in (first, second):
                await session.begin()
                await session.execute('SELECT count(*) FROM beams')
                await session.execute(support.INSERT, ['x'])
            self.assertEqual('done', (await first.commit()).outcome)
            refused = await second.commit()
            self.assertEqual('conflict', refused.reason)
            read = await first.read(support.SELECT)
            self.assertEqual([['x']], read.rows)

        self.run_on_fleet(steps, proxies=2)

    def test_health_metrics_and_status(self):
        async def steps(fleet):
            health = await fleet.get('p1 operator', '/health')
            self.assertEqual({'state': 'ready'}, health)
            session = await fleet.session('p1')
            await session.read('zebra')
            url = f'http://127.0.0.1:{fleet.port("p1 operator")}/metrics'
            text = (await fleet.http.fetch(url)).body.decode()
            self.assertIn('reason="bad_statement"} 1.0', text)
            self.assertIn('reason="overload"} 0.0', text)
            self.assertIn('topazring_latency_milliseconds', text)
            status = await fleet.get('p1 operator', '/status')
            self.assertIsNotNone(json.dumps(status))

        self.run_on_fleet(steps, proxies=2)
