"""Forward requests between two proxies over a real stream."""

import asyncio
import dataclasses
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
from topazring.core.synchronous import ownership
from topazring.core.synchronous import prepared_names
from topazring.core.synchronous import sessions
from topazring.core.synchronous import statements
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import hop
from topazring.pooler import hop_server
from topazring.pooler import router

Reason = outcomes.Reason
Verb = statements.Verb
POLICY = messages.Policy('d', 's', messages.Freshness.SESSION, 500, 600)


def request(verb=Verb.READ, **more) -> messages.Request:
    """Return a request with all kinds of session state."""
    return messages.Request(
        7,
        statements.Statement('r1', verb, 'READ 1a4', name='s1'),
        POLICY,
        verb is Verb.WRITE,
        clock.boottime_ms(),
        session_place=log_positions.LogPosition(3, 12),
        values={'zone': 'cork'},
        prepared=prepared_names.prepare_command(statements.Access.READ, 'q'),
        **more,
    )


class Owner:
    """Answer requests and record them."""

    def __init__(self):
        self.keys = itertools.count(100)
        self.asked: list[messages.Request] = []
        self.withdrawn: list[tuple[str, int]] = []
        self.outcome = outcomes.Done(
            ['row'], log_positions.LogPosition(3, 13), 'u1', signature='sig'
        )
        # By the id of the request, in place of `outcome`.
        self.outcomes: dict[str, outcomes.Outcome] = {}
        self.answers = True
        self.pause_s = 0.0
        self.log = events.EventLog('owner')

    async def serve_for_peer(self, asked):
        """Answer after a pause, or never."""
        self.asked.append(asked)
        await asyncio.sleep(self.pause_s)
        if not self.answers:
            await asyncio.Event().wait()
        return self.outcomes.get(asked.statement.request_id, self.outcome)

    def withdraw_locally(self, service, transaction):
        """Record an aborted transaction."""
        self.withdrawn.append((service, transaction))

    def queued_locally(self, service):
        """Report a queue length."""
        return 5

    def next_key(self):
        """Return a number."""
        return next(self.keys)


class CountingSelector(selectors.DefaultSelector):
    """Count the wake-ups of an event loop."""

    def __init__(self):
        super().__init__()
        self.wakeups = 0

    def select(self, timeout=None):
        """Wait for events and count the wake-up."""
        self.wakeups += 1
        return super().select(timeout)


class EndingPeerTest(testtools.TestCase):
    """The other proxy exits while a request is sent to it."""

    def test_stream_that_is_closed_at_once(self):
        """Guards against a caller without an answer and a session left open.

        Another proxy's process exits; the connection is still accepted, and
        closed at once. The end of the stream is read before the request is
        recorded as pending, and nothing checks again. Of 249 requests to a
        listener that resets its connections, 5 had no answer after 2 s; the
        others got LinkLost at once.
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
            mock.patch.object(hop.dialling, 'enable_keepalive', autospec=True),
        ):
            async with asyncio.timeout(2.0):
                answer = await link.send_request(
                    request(), deadline_ms, forwarding.Load()
                )
        self.assertIsInstance(answer, forwarding.LinkLost)
        link.close()


class HopTest(testtools.TestCase):
    """A request and its answer arrive complete, or the link is lost."""

    def play(self, steps):
        """Run `steps()` with a link to an owner."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        address = f'127.0.0.1:{ports.find_free_port()}'
        self.owner = Owner()
        self.server = hop_server.Server(self.owner)
        self.server.start_at(address)
        self.link = hop.Link(address)
        await steps()
        self.link.close()
        self.server.close()

    async def send_request(self, asked=None):
        """Send a request to the owner."""
        deadline_ms = clock.boottime_ms() + 500
        load = forwarding.Load()
        return await self.link.send_request(
            asked or request(), deadline_ms, load
        )

    def test_request_arrives_whole(self):
        """The session state arrives; the owner sets its own key and time."""

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
        """Each outcome is the same on both sides."""

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

    def test_owner_reports_its_queue_length(self):
        """The sending proxies use it to choose among owners."""

        async def steps():
            load = forwarding.Load()
            deadline_ms = clock.boottime_ms() + 500
            await self.link.send_request(request(), deadline_ms, load)
            self.assertEqual((5, 0), (load.waiting, load.in_flight))

        self.play(steps)

    def test_transaction_gets_a_local_number(self):
        """Two sending proxies may use the same transaction number."""

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
        """Guards against upstreams that run out of connections.

        Sending proxies lose power in the middle of transactions. Waiting for
        their next statements would hold the connections for nobody.
        """

        async def steps():
            await self.send_request(request(transaction=9, begins=True))
            self.link.close()
            async with asyncio.timeout(2):
                while not self.owner.withdrawn:
                    await asyncio.sleep(0.01)

        self.play(steps)

    def test_transaction_that_begins_after_its_link_ended(self):
        """Guards against a transaction that is left open, as above.

        The stream ends while the statement that begins the transaction is in
        flight: at that moment there is no transaction to abort yet. It is
        aborted once more when its first statement is answered.
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

    def test_idle_link_causes_no_wakeups(self):
        """Guards against idle processes that use up a fleet's CPU time.

        A proxy has a link to each owner of each database, and few are in use
        at a time. Each link was checked 20 times a second.
        """
        selector = CountingSelector()

        async def steps():
            await self.send_request()
            await asyncio.sleep(2 * hop.WATCH_INTERVAL_S)
            before = selector.wakeups
            await asyncio.sleep(20 * hop.WATCH_INTERVAL_S)
            self.assertLess(selector.wakeups - before, 4)

        loop = asyncio.SelectorEventLoop(selector)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            runner.run(self._play(steps))

    def test_owner_that_closes_its_streams(self):
        """A request in flight may have run."""

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

    def test_silent_owner_is_detected_in_time(self):
        """Guards against requests that take seconds.

        An owner is paused, loses power or is partitioned. The sending proxies
        get no event, and the kernel detects the loss only after seconds.
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

    def test_slow_owner_is_not_given_up(self):
        """The owner answers pings."""

        async def steps():
            self.owner.answers = False
            asking = asyncio.create_task(self.send_request())
            await asyncio.sleep(hop.SILENCE_TIMEOUT_MS * 2 / 1000)
            self.assertFalse(asking.done())
            asking.cancel()

        self.play(steps)

    def test_unknown_outcome_ends_the_link(self):
        """Guards against a caller's session that ends without an answer.

        An owner of a later version answers with an unknown outcome. It must
        be decoded where the link is read, which ends the link, and not where
        the caller waits.
        """

        async def steps():
            self.owner.outcome = outcomes.NotRun('too_many_moons', 40)
            self.assertEqual(
                forwarding.LinkLost(True), await self.send_request()
            )

        self.play(steps)

    def test_malformed_frame_ends_only_its_stream(self):
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


LONG_ROWS = ['x' * 900_000] * 9


class LongFrameTest(testtools.TestCase):
    """A frame that no receiver accepts harms only its own request."""

    def play(self, steps):
        """Run `steps()` with a router and an owner of service s."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        address = f'127.0.0.1:{ports.find_free_port()}'
        self.owner = Owner()
        self.server = hop_server.Server(self.owner)
        self.server.start_at(address)
        self.log = events.EventLog('entry')
        self.router = router.Router('entry', 'a', mock.Mock(), self.log)
        owners = (ownership.Proxy('owner', 'a'),)
        self.router.ownerships['s'] = ownership.Ownership(owners)
        self.router.set_peers({'owner': address})
        await steps()
        self.router.close()
        self.server.close()

    async def begin_transaction(self) -> int:
        """Begin transaction 9; return its number at the owner."""
        done = await self.router.run(request(transaction=9, begins=True))
        self.assertEqual(self.owner.outcome, done)
        return self.owner.asked[-1].transaction

    def long_request(self, **more) -> messages.Request:
        """Return a request that is too long for a frame."""
        values = {f'v{n}': 'x' * 900_000 for n in range(9)}
        return dataclasses.replace(request(**more), key=9, values=values)

    def test_long_request(self):
        """Guards against one caller's request that ends the link of all."""

        async def steps():
            transaction = await self.begin_transaction()
            waiting = asyncio.create_task(self.router.run(request()))
            outcome = await self.router.run(self.long_request(verb=Verb.WRITE))
            self.assertIsInstance(outcome, outcomes.Rejected)
            self.assertEqual(Reason.TOO_LARGE, outcome.reason)
            self.assertEqual(self.owner.outcome, await waiting)
            self.assertEqual(1, len(self.server.peer_streams))
            # Neither the owner nor another transaction is given up.
            await self.router.run(request(transaction=9))
            self.assertEqual(transaction, self.owner.asked[-1].transaction)
            self.assertEqual(3, len(self.owner.asked))
            self.assertEqual({'frame_too_long': 1}, self.log.counters)
            self.assertEqual(1, self.log.lines)

        self.play(steps)

    def test_longest_request_of_a_session(self):
        """Guards against a session that may hold more than is forwarded."""
        longest = (1 << 20) - 200
        session = sessions.Session(1, 'd')

        def submit(verb, **more):
            statement = statements.Statement('r', verb, **more)
            return sessions.handle_statement(session, 0, 9, statement, POLICY)

        done = outcomes.Done([], log_positions.ORIGIN)
        shape = {'access': statements.Access.READ, 'value': 'x' * longest}
        answer = submit(Verb.PREPARE, text='PREPARE', name='s', **shape)
        self.assertEqual(done, answer.outcome)
        for size in (longest, longest, longest, 801_000):
            name = f'v{len(session.values)}'
            answer = submit(Verb.SET, text='SET', name=name, value='x' * size)
            self.assertEqual(done, answer.outcome)
        left_bytes = sessions.MAX_HELD_BYTES - session.held_bytes
        self.assertLess(left_bytes, sessions.ENTRY_BYTES)
        arguments = 'k' * longest
        asked = submit(
            Verb.EXECUTE,
            text=f'EXECUTE s {arguments}',
            name='s',
            arguments=arguments,
        )
        asked = dataclasses.replace(asked, arrived_ms=clock.boottime_ms())

        async def steps():
            outcome = await self.router.run(asked)
            self.assertEqual(self.owner.outcome, outcome)
            self.assertEqual(asked.values, self.owner.asked[0].values)
            self.assertEqual({'frame_too_long': 0}, self.log.counters)

        self.play(steps)

    def test_long_request_in_a_transaction(self):
        """Guards against a transaction that stays open for nobody."""

        async def steps():
            transaction = await self.begin_transaction()
            outcome = await self.router.run(self.long_request(transaction=9))
            self.assertEqual(Reason.TOO_LARGE, outcome.reason)
            await self.router.run(request())
            self.assertEqual([('s', transaction)], self.owner.withdrawn)
            self.assertFalse(self.server.is_busy())
            self.assertEqual({}, self.router.transaction_owners)

        self.play(steps)

    def answer_at_length(self, asked: messages.Request):
        """Return the outcome of a request whose answer is too long.

        Another request is in flight on the same link.
        """
        found = []

        async def steps():
            if asked.continues_transaction:
                await self.begin_transaction()
            usual = self.owner.outcome
            long_done = dataclasses.replace(usual, rows=LONG_ROWS)
            self.owner.outcomes['r9'] = long_done
            self.owner.pause_s = 0.1
            waiting = asyncio.create_task(self.router.run(request()))
            found.append(await self.router.run(asked))
            self.assertEqual(usual, await waiting)
            self.owner.pause_s = 0.0
            self.assertEqual(usual, await self.router.run(request()))
            self.assertEqual(1, len(self.server.peer_streams))
            self.assertFalse(self.server.is_busy())
            self.assertEqual({'frame_too_long': 1}, self.owner.log.counters)
            self.assertEqual(1, self.owner.log.lines)

        self.play(steps)
        (outcome,) = found
        self.assertEqual(Reason.TOO_LARGE, outcome.reason)
        return outcome

    def asked(self, verb=Verb.READ, **more) -> messages.Request:
        """Return the request that gets the long answer."""
        usual = request(verb, **more)
        statement = dataclasses.replace(usual.statement, request_id='r9')
        return dataclasses.replace(usual, key=9, statement=statement)

    def test_long_answer_to_a_read(self):
        """Guards against an answer that ends the link of all callers."""
        outcome = self.answer_at_length(self.asked())
        self.assertIsInstance(outcome, outcomes.Rejected)

    def test_long_answer_to_a_write(self):
        """Guards against a write that ran and is called not run."""
        outcome = self.answer_at_length(self.asked(Verb.WRITE))
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_long_answer_to_a_commit(self):
        """Guards against a commit that ran and is called not run."""
        asked = self.asked(Verb.COMMIT, transaction=9)
        outcome = self.answer_at_length(asked)
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual([], self.owner.withdrawn)

    def test_long_answer_in_a_transaction(self):
        """Guards against a transaction that stays open for nobody.

        Nothing of it is kept, so that its write did not run either.
        """
        for begins in (True, False):
            asked = self.asked(Verb.WRITE, transaction=9, begins=begins)
            outcome = self.answer_at_length(asked)
            self.assertIsInstance(outcome, outcomes.Rejected)
            (came,) = [
                came
                for came in self.owner.asked
                if came.statement.request_id == 'r9'
            ]
            self.assertEqual([('s', came.transaction)], self.owner.withdrawn)
