"""Test a caller's task over a real socket, with a fake host process."""

import asyncio
import socket

import testtools
from tornado import iostream

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.platform import caller_codec
from topazring.plumbing import events
from topazring.pooler import caller_task

POLICY = messages.Policy('db', 's', messages.Freshness.PRIMARY)


def _connected() -> tuple[socket.socket, socket.socket]:
    """Return the two ends of a connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        far = socket.create_connection(listener.getsockname())
        near, _ = listener.accept()
    return near, far


class Host:
    """Fake the process that hosts a session, and its group."""

    def __init__(self):
        self.codec = caller_codec.CallerCodec()
        self.log = events.EventLog('test')
        self.shutdown_phase = caller_task.ShutdownPhase.RUNNING
        self.keys = 0
        self.release = asyncio.Event()
        self.submitted = 0
        self.withdrawn: list[tuple[str, int]] = []

    def policy(self, database):
        return POLICY

    def withdraw(self, service, transaction):
        """Record an aborted transaction."""
        self.withdrawn.append((service, transaction))

    def organisation(self, database, key_hash):
        return ''

    def next_key(self):
        self.keys += 1
        return self.keys

    def message_bytes(self):
        return 1 << 20

    def note(self, kind, outcome, ms):
        """Ignore the outcome."""

    def configured(self):
        return True

    async def run(self, request):
        self.submitted += 1
        await self.release.wait()
        return outcomes.Done(['row'], log_positions.ORIGIN, signature='sig')


class CallerTestCase(testtools.TestCase):
    """Provide each test with a started session."""

    def run_steps(self, steps) -> None:
        """Run `steps(host, task, caller)` with a started session."""

        async def run():
            near, far = _connected()
            host = Host()
            task = caller_task.CallerTask(host, iostream.IOStream(near))
            caller = iostream.IOStream(far)
            serving = asyncio.create_task(task.serve())
            await caller.write(b'START db who\r\n')
            await caller.read_until(b'READY I -\r\n')
            async with asyncio.timeout(5):
                await steps(host, task, caller)
            caller.close()
            await serving

        asyncio.run(run())


class RefusedStatementTest(CallerTestCase):
    """A statement that is refused fails the transaction that it is part of."""

    def test_pipelined_commit(self):
        """Guards against a COMMIT that keeps a part of a transaction."""
        for text in (
            b'WRITE q',
            b'SELECT 1',
            b'COMMIT ',
            b'ROLLBACK x',
            b'READ '.ljust((1 << 20) - 20, b'x'),
            b'READ \xff',
        ):
            self.run_steps(lambda *args, text=text: self.pipeline(*args, text))

    async def pipeline(self, host, task, caller, text):
        """Send a transaction with a refused statement before its COMMIT."""
        host.release.set()
        lines = (b'BEGIN', b'WRITE p 1', text, b'COMMIT', b'READ k')
        for line in lines:
            await caller.write(b'QUERY q1 ' + line + b'\r\n')
        for start, state in (
            (b'DONE -', b'T'),
            (b'ROW row', b'T'),
            (b'ERROR ', b'E'),
            (b'ERROR ABORTED', b'I'),
            (b'ROW row', b'I'),
        ):
            answer = await caller.read_until_regex(b'READY . -\r\n')
            self.assertTrue(answer.startswith(start), answer)
            self.assertTrue(answer.endswith(b'READY %s -\r\n' % state))
        self.assertEqual(2, host.submitted)
        self.assertEqual(1, len(host.withdrawn))

    def test_outside_a_transaction(self):
        """The session goes on."""

        async def steps(host, task, caller):
            await caller.write(b'QUERY q1 SELECT 1\r\n')
            answer = await caller.read_until(b'READY I -\r\n')
            self.assertTrue(answer.startswith(b'ERROR MALFORMED'))
            self.assertEqual([], host.withdrawn)

        self.run_steps(steps)


class LastRequestsTest(CallerTestCase):
    """A process that shuts down answers every request it has accepted."""

    def test_late_operation_is_refused(self):
        """Operations that arrive late in a shutdown are refused.

        The caller can then run them at another proxy. Guards against
        accepting work until the process exits: a session that
        was never idle long enough to be closed sent a request 5.3 s after
        the proxy received the stop signal. The request ran, but the process
        exited and closed the connection without an answer.
        """

        async def steps(host, task, caller):
            host.shutdown_phase = caller_task.ShutdownPhase.REFUSE_NEW
            for text in (b'READ 1', b'WRITE 1 x', b'BEGIN'):
                await caller.write(b'QUERY q1 ' + text + b'\r\n')
                answer = await caller.read_until(b'READY I -\r\n')
                self.assertTrue(answer.startswith(b'ERROR BUSY draining'))
            self.assertEqual(0, host.submitted)

        self.run_steps(steps)

    def test_operation_in_flight_is_answered(self):
        """It may use the rest of the grace period."""

        async def steps(host, task, caller):
            await caller.write(b'QUERY q1 READ 1\r\n')
            while not host.submitted:
                await asyncio.sleep(0.01)
            host.shutdown_phase = caller_task.ShutdownPhase.REFUSE_NEW
            task.close_if_idle()
            host.release.set()
            answer = await caller.read_until(b'READY I -\r\n')
            self.assertIn(b'DONE sig', answer)

        self.run_steps(steps)
