"""Serve one caller over a real socket, with the process faked round it."""

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
    """Return both ends of a connection."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        far = socket.create_connection(listener.getsockname())
        near, _ = listener.accept()
    return near, far


class Host:
    """Hold what a session needs of its process, and play its group."""

    def __init__(self):
        self.codec = caller_codec.CallerCodec()
        self.log = events.EventLog('test')
        self.shutdown_phase = caller_task.ShutdownPhase.RUNNING
        self.keys = 0
        self.release = asyncio.Event()
        self.submitted = 0

    def policy(self, database):
        return POLICY

    def withdraw(self, service, transaction):
        """Undo nothing."""

    def next_key(self):
        self.keys += 1
        return self.keys

    def message_bytes(self):
        return 1 << 20

    def note(self, kind, outcome, ms):
        """Count nothing."""

    def configured(self):
        return True

    async def run(self, request):
        self.submitted += 1
        await self.release.wait()
        return outcomes.Done(['row'], log_positions.ORIGIN, signature='sig')


class LastRequestsTest(testtools.TestCase):
    """A process that ends cuts nothing that it has taken in."""

    def play(self, steps) -> None:
        """Run steps with a host, a session, and the caller's end."""

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

    def test_operation_that_comes_last_is_refused(self):
        """It runs at another proxy instead of being cut here.

        Symptom: a request that was sent 5.3 s after a proxy was told to stop
        ran, and its connection was closed without an answer. Sequence: a
        session is never still for long enough to be closed; the time of the
        process is up while its last request is under way. Cause: taking new
        work until the very end.
        """

        async def steps(host, task, caller):
            host.shutdown_phase = caller_task.ShutdownPhase.REFUSE_NEW
            for text in (b'READ 1', b'WRITE 1 x', b'BEGIN'):
                await caller.write(b'QUERY q1 ' + text + b'\r\n')
                answer = await caller.read_until(b'READY I -\r\n')
                self.assertTrue(answer.startswith(b'ERROR BUSY draining'))
            self.assertEqual(0, host.submitted)

        self.play(steps)

    def test_operation_under_way_is_answered(self):
        """It has the rest of the grace."""

        async def steps(host, task, caller):
            await caller.write(b'QUERY q1 READ 1\r\n')
            while not host.submitted:
                await asyncio.sleep(0.01)
            host.shutdown_phase = caller_task.ShutdownPhase.REFUSE_NEW
            task.close_if_idle()
            host.release.set()
            answer = await caller.read_until(b'READY I -\r\n')
            self.assertIn(b'DONE sig', answer)

        self.play(steps)
