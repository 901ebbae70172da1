"""Tests of the control connection to an upstream."""

import asyncio
from unittest import mock

import testtools
from tornado import websocket

from topazring.core import log_positions
from topazring.core import messages
from topazring.proxy import control_link


class ControlLinkTest(testtools.TestCase):
    """The core is notified of each new connection."""

    def test_opened_link_is_reported(self):
        """Guards against requests that are lost and never repeated.

        Requests sent while there is no connection are dropped. The core
        repeats them only if it receives LinkOpened.
        """
        posted = []
        socket = mock.Mock()

        async def send_and_connect():
            link = control_link.ControlLink(
                'u2', 'ws://u2', 'p1', posted.append
            )
            request = messages.RequestStatus(
                'u2', 1, 2, log_positions.ORIGIN, 1000
            )
            link.send(request, 0)
            await link.connect_task

        async def connect(*args, **kwargs):
            return socket

        with mock.patch.object(websocket, 'websocket_connect', connect):
            asyncio.run(send_and_connect())
        self.assertIn(messages.LinkOpened('u2'), posted)
