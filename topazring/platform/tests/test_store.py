"""Test the store client's timeouts and connection errors."""

import asyncio
import socket
from unittest import mock

import testtools
from tornado import iostream
from tornado import tcpclient

from topazring import key_value
from topazring.platform import store
from topazring.pooler import promotion_lease


class RenewalTest(testtools.TestCase):
    """Leases are renewed in time."""

    def test_lease_outlasts_an_unanswered_renewal(self):
        """One unanswered renewal must not cost a live holder its lease.

        Guards against a TTL that is too short for two renewal intervals and
        one timeout: the holder waits for the answer to a renewal, its next
        renewal comes after the lease has expired, and the promotion lease
        moves to another proxy.
        """
        needed_s = (
            2 * promotion_lease.RENEW_INTERVAL_S + store.RENEWAL_TIMEOUT_S
        )
        self.assertLess(needed_s, promotion_lease.TTL_MS / 1000)


class ClosedConnectionTest(testtools.TestCase):
    """The store closes a connection as soon as it is opened."""

    def test_connection_closed_at_once(self):
        """A connection that is closed at once counts as unavailable.

        Guards against an AttributeError when socket options are set on a
        stream that the store, or the peer being polled, has closed already.
        It ended the task that follows the store (`Task exception was never
        retrieved` in `_follow_forever`), so the proxy used an old list
        forever. Seen in 7 of 2,000 calls to a listener that resets its
        connections.
        """
        asyncio.run(self.ends_at_once())

    async def ends_at_once(self):
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        stream = iostream.IOStream(ours)
        stream.close()
        client = store.StoreClient('127.0.0.1:1')
        self.addCleanup(client.close)
        dialled = mock.AsyncMock(return_value=stream)
        with mock.patch.object(tcpclient.TCPClient, 'connect', dialled):
            answer = await client.changes('', 1, 0)
        self.assertIsInstance(answer, key_value.Unavailable)


class UnreadableAnswerTest(testtools.TestCase):
    """An answer that cannot be decoded counts as none."""

    def test_calls(self):
        """Guards against an answer that ends the task that asked."""
        bodies = (b'', b'x', b'7', b'{"items":' + b'[' * 3000)

        async def run():
            client = store.StoreClient('127.0.0.1:1')
            client._call = mock.AsyncMock()
            values = (key_value.Value('k', 'v', 0),)
            for body in bodies:
                client._call.return_value = mock.Mock(code=200, body=body)
                for answer in (
                    await client.get('k'),
                    await client.put_all(values),
                    await client.read_all(''),
                    await client.changes('', 1, 0),
                    await client.lease(2000),
                    await client.renew_lease(7),
                ):
                    self.assertIsInstance(answer, key_value.Unavailable)
            client.close()
            return client.bad_answers

        self.assertEqual(6 * len(bodies), asyncio.run(run()))
