"""Frames pass whole, or the reader is told."""

import asyncio
import socket

import testtools
from tornado import iostream

from topazring.plumbing import framing


class FramingTest(testtools.TestCase):
    """Two ends of one stream."""

    def play(self, steps):
        """Run `steps(near, far)` with both ends."""

        async def run():
            near, far = (
                iostream.IOStream(sock) for sock in socket.socketpair()
            )
            await steps(near, far)
            near.close()
            far.close()

        asyncio.run(run())

    def test_frames_arrive_one_by_one(self):
        """Also empty ones."""

        async def steps(near, far):
            for body in (b'one', b'', b'three'):
                self.assertTrue(framing.write(near, body))
            read = [await framing.read(far) for _ in range(3)]
            self.assertEqual([b'one', b'', b'three'], read)

        self.play(steps)

    def test_length_that_nobody_would_send(self):
        """The other end speaks something else; its bytes are not awaited."""

        async def steps(near, far):
            await near.write(b'\xff\xff\xff\xff')
            try:
                await framing.read(far)
            except ValueError as error:
                self.assertIn('too long', str(error))
            else:
                self.fail('read')

        self.play(steps)

    def test_closed_stream(self):
        """The writer is told at once."""

        async def steps(near, far):
            near.close()
            self.assertFalse(framing.write(near, b'one'))

        self.play(steps)
