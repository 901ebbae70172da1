"""Gossip ends when it is told to."""

import asyncio

import testtools

from topazring.proxy import gossip as gossips


class LateListener:
    """Give a message that came with the cancellation, as pynng does."""

    def __init__(self):
        self.swallowed = False
        self.closed = False

    async def arecv(self) -> bytes:
        """Wait for a message; swallow the first cancellation."""
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if self.swallowed:
                raise
            self.swallowed = True
        return b'\xc1 no message'

    def close(self) -> None:
        """End it."""
        self.closed = True


class CloseTest(testtools.TestCase):
    """A proxy that stops comes to its end."""

    def test_message_that_comes_with_the_cancellation(self):
        """Symptom: a proxy that was told to stop never ends.

        Sequence: it has drained and cancels its receiving; a message has
        arrived already, so the library returns that instead of the
        cancellation; the loop waits for the next one, and the end for the
        loop. Cause: relying on the cancellation alone. Proof: four minutes
        later the loop still told of a message that could not be read.
        """

        async def run():
            gossip = gossips.Gossip('unused', lambda message: None)
            gossip.listener = LateListener()
            gossip.task = asyncio.create_task(gossip._receive_forever())
            await asyncio.sleep(0)
            closing = asyncio.create_task(gossip.close())
            _, late = await asyncio.wait([closing], timeout=1)
            closing.cancel()
            self.assertEqual(set(), late)
            self.assertTrue(gossip.listener.closed)

        asyncio.run(run())
