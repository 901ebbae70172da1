"""Test the framing of messages between proxies."""

import asyncio
import socket

import testtools
from tornado import iostream

from topazring.plumbing import framing


class FramingTest(testtools.TestCase):
    """Send frames between two ends of a socket pair."""

    def run_steps(self, steps):
        """Run `steps(near, far)` with the two ends."""

        async def run():
            near, far = (
                iostream.IOStream(sock) for sock in socket.socketpair()
            )
            await steps(near, far)
            near.close()
            far.close()

        asyncio.run(run())

    def test_frames_arrive_one_by_one(self):
        """Frames, also empty ones, are read one at a time."""

        async def steps(near, far):
            for body in (b'one', b'', b'three'):
                self.assertTrue(framing.write_frame(near, body))
            read = [await framing.read_frame(far) for _ in range(3)]
            self.assertEqual([b'one', b'', b'three'], read)

        self.run_steps(steps)

    def test_several_frames_in_one_read(self):
        """Frames that arrive together and in pieces are read whole."""

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

        self.run_steps(steps)

    def test_good_frame_before_a_bad_length(self):
        """A frame ahead of a bad length is still read; then reading fails."""

        async def steps(near, far):
            near.write(b'\0\0\0\3one\xff\xff\xff\xff')
            reader = framing.FrameReader(far)
            self.assertEqual(b'one', await reader.read())
            with testtools.ExpectedException(ValueError, '.*too long'):
                await reader.read()

        self.run_steps(steps)

    def test_excessive_length(self):
        """An excessive length fails at once, without reading the body.

        It means that the peer uses another protocol.
        """

        async def steps(near, far):
            await near.write(b'\xff\xff\xff\xff')
            try:
                await framing.read_frame(far)
            except ValueError as error:
                self.assertIn('too long', str(error))
            else:
                self.fail('read')

        self.run_steps(steps)

    def test_closed_stream(self):
        """Writing to a closed stream returns False."""

        async def steps(near, far):
            near.close()
            self.assertFalse(framing.write_frame(near, b'one'))

        self.run_steps(steps)
