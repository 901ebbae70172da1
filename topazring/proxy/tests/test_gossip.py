"""Tests of closing the gossip sockets."""

import asyncio

import testtools

from topazring.plumbing import logs
from topazring.proxy import gossip as gossips


class CancellationSwallowingListener:
    """Return a message in place of a cancellation, as pynng does.

    This happens when a message has arrived before the cancellation.
    """

    def __init__(self):
        self.has_swallowed = False
        self.closed = False

    async def arecv(self) -> bytes:
        """Wait for a message; swallow the first cancellation."""
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if self.has_swallowed:
                raise
            self.has_swallowed = True
        return b'\xc1 no message'

    def close(self) -> None:
        """Record that the listener was closed."""
        self.closed = True


class CloseTest(testtools.TestCase):
    """Closing the gossip of a proxy that stops must terminate."""

    def test_message_that_comes_with_the_cancellation(self):
        """Guards against a proxy that is stopped and never exits.

        After draining, the proxy cancels its receive task. If a message has
        already arrived, the library returns it and swallows the cancellation.
        The loop, which relied on the cancellation alone, then waited for the
        next message, and close() waited for the loop. Four minutes later the
        loop still logged a message that could not be decoded.
        """

        async def close_gossip():
            gossip = gossips.Gossip(
                'unused', lambda message: None, logs.FailureLog()
            )
            gossip.listener = CancellationSwallowingListener()
            gossip.task = asyncio.create_task(gossip._receive_forever())
            await asyncio.sleep(0)
            closing = asyncio.create_task(gossip.close())
            _, unfinished = await asyncio.wait([closing], timeout=1)
            closing.cancel()
            self.assertEqual(set(), unfinished)
            self.assertTrue(gossip.listener.closed)

        asyncio.run(close_gossip())
