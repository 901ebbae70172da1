"""Carry requests between two proxies over a real stream."""

import asyncio
import itertools
import selectors
import socket
from unittest import mock

import testtools
from tornado import iostream
from tornado import tcpclient

from topazring.bench import ports
from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import hop
from topazring.pooler import hop_server

Verb = statements.Verb
POLICY = messages.Policy('d', 's', messages.Freshness.SESSION, 500, 600)


def request(verb=Verb.READ, **more) -> messages.Request:
    """Return a request with all that a session may bring along."""
    return messages.Request(
        7,
        statements.Statement('r1', verb, 'READ 1a4', name='s1'),
        POLICY,
        verb is Verb.WRITE,
        clock.boottime_ms(),
        session_place=log_positions.LogPosition(3, 12),
        values={'zone': 'cork'},
        prepared=statements.Prepare('rq', statements.Access.READ, 'q'),
        **more,
    )


class Owner:
    """Answer what comes, and remember it."""

    def __init__(self):
        self.keys = itertools.count(100)
        self.asked: list[messages.Request] = []
        self.withdrawn: list[tuple[str, int]] = []
        self.outcome = outcomes.Done(
            ['row'], log_positions.LogPosition(3, 13), 'u1', signature='sig'
        )
        self.answers = True
        self.pause_s = 0.0
        self.log = events.EventLog('owner')

    async def serve_for_peer(self, asked):
        """Answer at once, or never."""
        self.asked.append(asked)
        await asyncio.sleep(self.pause_s)
        if not self.answers:
            await asyncio.Event().wait()
        return self.outcome

    def withdraw_locally(self, service, transaction):
        """Note a transaction that is undone."""
        self.withdrawn.append((service, transaction))

    def queued_locally(self, service):
        """Tell of a line."""
        return 5

    def next_key(self):
        """Return a number."""
        return next(self.keys)


class CountingSelector(selectors.DefaultSelector):
    """Count how often a loop wakes."""

    def __init__(self):
        super().__init__()
        self.wakes = 0

    def select(self, timeout=None):
        """Wait as always."""
        self.wakes += 1
        return super().select(timeout)


class EndingPeerTest(testtools.TestCase):
    """The other proxy ends as this one reaches it."""

    def test_stream_that_ends_at_once(self):
        """A request is told that the link is lost.

        Symptom: a caller gets no answer, and its session stays open.
        Sequence: another proxy's process ends; a request is sent there; the
        connection is still taken, and closed at once. Cause: the stream's
        end is read before the request is noted on it, and nobody looks
        again. Proof: of 249 requests to a listener that resets what it
        takes, 5 had no answer after 2 s; others were told at once.
        """
        asyncio.run(self.ends_at_once())

    async def ends_at_once(self):
        ours, theirs = socket.socketpair()
        theirs.close()
        dialled = mock.AsyncMock(return_value=iostream.IOStream(ours))
        link = hop.Link('127.0.0.1:1')
        deadline_ms = clock.boottime_ms() + 500
        with (
            mock.patch.object(tcpclient.TCPClient, 'connect', dialled),
            mock.patch.object(hop.dialling, 'keep_alive', autospec=True),
        ):
            async with asyncio.timeout(2.0):
                answer = await link.send_request(
                    request(), deadline_ms, forwarding.Load()
                )
        self.assertIsInstance(answer, forwarding.LinkLost)
        link.close()


class HopTest(testtools.TestCase):
    """A request and its answer pass whole, or the link is lost."""

    def play(self, steps):
        """Run `steps(self)` with a link to an owner."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        address = f'127.0.0.1:{ports.free()}'
        self.owner = Owner()
        self.server = hop_server.Server(self.owner)
        self.server.start_at(address)
        self.link = hop.Link(address)
        await steps()
        self.link.close()
        self.server.close()

    async def ask(self, asked=None):
        """Ask the owner."""
        deadline_ms = clock.boottime_ms() + 500
        load = forwarding.Load()
        return await self.link.send_request(
            asked or request(), deadline_ms, load
        )

    def test_request_arrives_whole(self):
        """With the session's state, under a key and time of the owner's."""

        async def steps():
            sent = request()
            self.assertEqual(self.owner.outcome, await self.send_request(sent))
            (came,) = self.owner.asked
            self.assertEqual(sent.statement, came.statement)
            self.assertEqual(sent.values, came.values)
            self.assertEqual(sent.prepared, came.prepared)
            self.assertEqual(sent.session_place, came.session_place)
            self.assertGreaterEqual(came.arrived_ms, sent.arrived_ms)
            self.assertEqual(100, came.key)
            self.assertLessEqual(came.policy.timeout_ms, 500)

        self.play(steps)

    def test_every_outcome_passes(self):
        """A refusal says the same on both sides."""

        async def steps():
            for outcome in (
                outcomes.Done([], None, 'u2'),
                outcomes.NotRun(outcomes.Reason.OVERLOAD, 40),
                outcomes.Unknown(outcomes.Reason.NOT_CONFIRMED),
                outcomes.Rejected(outcomes.Reason.NO_STATEMENT, 's9'),
            ):
                self.owner.outcome = outcome
                self.assertEqual(outcome, await self.send_request())

        self.play(steps)

    def test_owner_tells_of_its_line(self):
        """So that its entries ask others as well."""

        async def steps():
            load = forwarding.Load()
            deadline_ms = clock.boottime_ms() + 500
            await self.link.send_request(request(), deadline_ms, load)
            self.assertEqual((5, 0), (load.waiting, load.in_flight))

        self.play(steps)

    def test_transaction_keeps_its_number(self):
        """Two entries may have given theirs the same one."""

        async def steps():
            await self.send_request(request(transaction=9, begins=True))
            await self.send_request(request(transaction=9))
            first, second = self.owner.asked
            self.assertNotEqual(9, first.transaction)
            self.assertEqual(first.transaction, second.transaction)
            self.assertTrue(self.server.is_busy())
            self.link.withdraw('s', 9)
            await self.send_request()
            withdrawn = [('s', first.transaction)]
            self.assertEqual(withdrawn, self.owner.withdrawn)

        self.play(steps)

    def test_transaction_ends_with_its_link(self):
        """Its connection would be held for nobody.

        Symptom: upstreams have no connection left. Sequence: entries lose
        their power in the middle of transactions. Cause: waiting for
        statements of entries that are gone.
        """

        async def steps():
            await self.send_request(request(transaction=9, begins=True))
            self.link.close()
            async with asyncio.timeout(2):
                while not self.owner.withdrawn:
                    await asyncio.sleep(0.01)

        self.play(steps)

    def test_transaction_that_begins_after_its_link_ended(self):
        """It is undone once more when its first statement is answered.

        Symptom: as above. Sequence: the stream ends while the statement
        that begins the transaction is under way; the transaction is not
        there yet to be undone, and begins. Cause: undoing at the stream's
        end alone.
        """

        async def steps():
            self.owner.pause_s = 0.1
            asked = request(transaction=9, begins=True)
            asking = asyncio.create_task(self.send_request(asked))
            while not self.owner.asked:
                await asyncio.sleep(0.01)
            self.link.close()
            await asking
            async with asyncio.timeout(2):
                while len(self.owner.withdrawn) < 2:
                    await asyncio.sleep(0.01)
            (came,) = self.owner.asked
            undone = ('s', came.transaction)
            self.assertEqual([undone, undone], self.owner.withdrawn)

        self.play(steps)

    def test_idle_link_wakes_nobody(self):
        """Symptom: processes without work use up a fleet's processor time.

        Sequence: a proxy has a link to each owner of each database; hardly
        any is in use at a time. Cause: each was looked at 20 times a second.
        """
        selector = CountingSelector()

        async def steps():
            await self.send_request()
            await asyncio.sleep(2 * hop.WATCH_INTERVAL_S)
            before = selector.wakes
            await asyncio.sleep(20 * hop.WATCH_INTERVAL_S)
            self.assertLess(selector.wakes - before, 4)

        loop = asyncio.SelectorEventLoop(selector)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            runner.run(self._play(steps))

    def test_owner_that_ends(self):
        """What was sent may have run."""

        async def steps():
            self.owner.answers = False
            asking = asyncio.create_task(self.send_request())
            while not self.owner.asked:
                await asyncio.sleep(0.01)
            self.server.close()
            self.assertEqual(forwarding.LinkLost(True), await asking)
            self.assertEqual(
                forwarding.LinkLost(False), await self.send_request()
            )

        self.play(steps)

    def test_silent_owner_is_noticed_in_time(self):
        """It is frozen, without power or behind a partition.

        Symptom: requests take seconds. Sequence: an owner loses its power;
        nothing tells its entries. Cause: waiting for the kernel.
        """

        async def steps():
            began_ms = clock.boottime_ms()
            with mock.patch.object(
                hop_server._PeerStream, 'handle_frame', lambda *_: None
            ):
                self.assertEqual(
                    forwarding.LinkLost(True), await self.send_request()
                )
            took_ms = clock.boottime_ms() - began_ms
            self.assertGreaterEqual(took_ms, hop.SILENCE_TIMEOUT_MS - 20)

        self.play(steps)

    def test_slow_owner_is_waited_for(self):
        """It gives signs of life."""

        async def steps():
            self.owner.answers = False
            asking = asyncio.create_task(self.send_request())
            await asyncio.sleep(hop.SILENCE_TIMEOUT_MS * 2 / 1000)
            self.assertFalse(asking.done())
            asking.cancel()

        self.play(steps)

    def test_answer_that_nobody_here_knows(self):
        """The owner is of another version; its link ends.

        Symptom: a caller's session ends without an answer. Sequence: an
        owner answers with an outcome of a later version. Cause: reading an
        answer where its caller waits, not where the link is read.
        """

        async def steps():
            self.owner.outcome = outcomes.NotRun('too_many_moons', 40)
            self.assertEqual(
                forwarding.LinkLost(True), await self.send_request()
            )

        self.play(steps)

    def test_bytes_that_are_no_frame(self):
        """They end that stream, and no other."""

        async def steps():
            await self.send_request()
            target = self.link.address.split(':')
            _, writer = await asyncio.open_connection(*target)
            writer.write(b'\x00\x00\x00\x04nope')
            await writer.drain()
            await asyncio.sleep(0.05)
            self.assertEqual(1, len(self.server.peer_streams))
            self.assertEqual(1, self.owner.log.lines)
            self.assertEqual(self.owner.outcome, await self.send_request())
            writer.close()

        self.play(steps)
