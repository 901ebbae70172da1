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
                self.assertTrue(framing.write_frame(near, body))
            read = [await framing.read_frame(far) for _ in range(3)]
            self.assertEqual([b'one', b'', b'three'], read)

        self.play(steps)

    def test_frames_that_come_together(self):
        """Several at once, and one in pieces."""

        async def steps(near, far):
            frames = b''.join(
                len(body).to_bytes(4, 'big') + body
                for body in (b'one', b'', b'x' * 100_000, b'last')
            )
            near.write(frames[:-5])
            reader = framing.FrameReader(far)
            self.assertEqual(b'one', await reader.read())
            self.assertEqual(b'', await reader.read())
            self.assertEqual(b'x' * 100_000, await reader.read())
            waiting = asyncio.ensure_future(reader.read())
            await asyncio.sleep(0.01)
            self.assertFalse(waiting.done())
            near.write(frames[-5:])
            self.assertEqual(b'last', await waiting)

        self.play(steps)

    def test_good_frame_before_a_bad_length(self):
        """It is read, and then the reader is told."""

        async def steps(near, far):
            near.write(b'\0\0\0\3one\xff\xff\xff\xff')
            reader = framing.FrameReader(far)
            self.assertEqual(b'one', await reader.read())
            with testtools.ExpectedException(ValueError, '.*too long'):
                await reader.read()

        self.play(steps)

    def test_length_that_nobody_would_send(self):
        """The other end speaks something else; its bytes are not awaited."""

        async def steps(near, far):
            await near.write(b'\xff\xff\xff\xff')
            try:
                await framing.read_frame(far)
            except ValueError as error:
                self.assertIn('too long', str(error))
            else:
                self.fail('read')

        self.play(steps)

    def test_closed_stream(self):
        """The writer is told at once."""

        async def steps(near, far):
            near.close()
            self.assertFalse(framing.write_frame(near, b'one'))

        self.play(steps)
