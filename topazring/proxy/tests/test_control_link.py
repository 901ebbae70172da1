"""Tell the core what a control connection lost."""

import asyncio
from unittest import mock

import testtools
from tornado import websocket

from topazring.core import log_positions
from topazring.core import messages
from topazring.proxy import control_link


class ControlLinkTest(testtools.TestCase):
    """A new connection says that what was asked before it is lost."""

    def test_opened_link_is_told(self):
        """Asks are dropped while there is no connection."""
        posted = []
        socket = mock.Mock()

        async def steps():
            link = control_link.ControlLink(
                'u2', 'ws://u2', 'p1', posted.append
            )
            ask = messages.RequestStatus(
                'u2', 1, 2, log_positions.ORIGIN, 1000
            )
            link.send(ask, 0)
            await link.opening

        async def connect(*args, **more):
            return socket

        with mock.patch.object(websocket, 'websocket_connect', connect):
            asyncio.run(steps())
        self.assertIn(messages.LinkOpened('u2'), posted)
