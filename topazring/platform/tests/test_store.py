"""Call the store with times that fit what depends on it."""

import asyncio
import socket
from unittest import mock

import testtools
from tornado import iostream
from tornado import tcpclient

from topazring import key_value
from topazring.platform import store
from topazring.pooler import promotion_lease as duties


class KeepTest(testtools.TestCase):
    """Renewals come in time."""

    def test_lease_outlasts_a_swallowed_renewal(self):
        """One call that gets no answer must not end a living holder's duty.

        Symptom: the duty moves on although its holder lives. Sequence: a
        renewal is swallowed; its holder waits for the answer; the next one
        comes after the lease has ended. Cause: a lease too short for two
        renewals and one wait.
        """
        needed_s = 2 * duties.RENEW_INTERVAL_S + store.RENEWAL_TIMEOUT_S
        self.assertLess(needed_s, duties.TTL_MS / 1000)


class EndingStoreTest(testtools.TestCase):
    """The store ends as it is reached."""

    def test_connection_that_ends_at_once(self):
        """It is no answer, and nothing else.

        Symptom: a proxy goes on by an old list for ever; its standard error
        says `Task exception was never retrieved`, AttributeError, with
        `_follow_forever`. Sequence: the store, or the peer that it hears,
        takes a connection and closes it at once. Cause: the closed stream
        has no socket left whose options could be set, and the error that
        this raises ends the task that follows the store. Proof: of 2,000
        calls to a listener that resets what it takes, 7 raised it.
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
