"""Test the stream between an entry and an owner."""

import asyncio
from unittest import mock

import testtools

from topazring.bench import ports
from topazring.core import forwarding
from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core import requests
from topazring.plumbing import logs
from topazring.proxy import entry as entries
from topazring.proxy import hop

Kind = requests.Kind
Reason = outcomes.Reason
PROFILE = requests.Profile('saves')
SHORT = outcomes.Done([['row']], log_positions.ORIGIN)
LONG = outcomes.Done([['x' * 900_000]] * 9, log_positions.ORIGIN)


class LongFrameTest(testtools.TestCase):
    """A frame that no receiver accepts harms only its own request."""

    def play(self, steps):
        """Run `steps()` with an entry and an owner, another process."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.withdrawn = []
        self.waiting = []
        self.owner_log, self.entry_log = logs.FailureLog(), logs.FailureLog()
        self.server = hop.HopServer(self.serve, self.owner_log)
        port = ports.find_free_port()
        self.server.listen(port, '127.0.0.1')
        state = mock.Mock()
        state.members.listed = {}
        self.entry = entries.Entry('p1', state, mock.Mock(), self.entry_log)
        self.client = hop.HopClient('p2', '127.0.0.1', port)
        self.entry.clients['p2', 'i'] = self.client
        await steps()
        self.entry.close()
        self.server.stop()

    def serve(self, frame, answer):
        """Answer by the request's id, or keep the request open."""
        if isinstance(frame, hop.Withdraw):
            self.withdrawn.append(frame.transaction)
        elif frame.request_id == 'waits':
            self.waiting.append(answer)
        else:
            answer(7, LONG if frame.request_id == 'long' else SHORT)

    async def send(self, kind, request_id='', **more):
        """Send a request as the entry of its caller; return the outcome."""
        job = entries.Job(
            kind,
            'ash',
            mock.Mock(),
            PROFILE,
            0,
            request_id=request_id,
            **more,
        )
        job.database.name = 'd'
        step = forwarding.Send('p2', kind is Kind.SETTLE, 1000)
        return await self.entry._send(job, step)

    async def beside_another(self, kind, request_id='', **more):
        """Return the outcome of a request beside another on its stream."""
        other = asyncio.create_task(self.send(Kind.WRITE, 'waits'))
        while not self.waiting:
            await asyncio.sleep(0.01)
        outcome, _ = await self.send(kind, request_id, **more)
        if not other.done():
            self.waiting[0](8, SHORT)
        self.assertEqual((SHORT, 0), await other)
        self.assertEqual({}, self.client.pending)
        return outcome

    def long_answer(self, kind, **more):
        """Return the outcome of a request whose answer is too long."""
        found = []

        async def steps():
            found.append(await self.beside_another(kind, 'long', **more))
            self.assertEqual(1, self.owner_log.counters['frame_too_long'])

        self.play(steps)
        return found[0]

    def test_long_answer(self):
        """Guards against an answer that ends the stream of all callers.

        What ran is not called rejected.
        """
        outcome = self.long_answer(Kind.READ)
        self.assertIsInstance(outcome, outcomes.Rejected)
        for kind in (Kind.WRITE, Kind.COMMIT, Kind.SETTLE):
            self.assertEqual(
                outcomes.Unknown(Reason.TOO_LARGE), self.long_answer(kind)
            )
            self.assertEqual([], self.withdrawn)

    def test_long_answer_in_a_transaction(self):
        """Guards against a statement that is called lost and is kept."""
        opened = entries.OpenTransaction('p2', 7)
        outcome = self.long_answer(Kind.EXECUTE, open_transaction=opened)
        lost = outcomes.NotRun(Reason.TRANSACTION_LOST, 0)
        self.assertEqual(lost, outcome)
        self.assertEqual([7], self.withdrawn)

    def test_long_request(self):
        """Guards against one caller's request that ends the stream of all."""
        long = (requests.Statement('x' * 900_000),) * 9

        async def steps():
            outcome = await self.beside_another(Kind.WRITE, statements=long)
            self.assertIsInstance(outcome, outcomes.Rejected)
            self.assertEqual(Reason.TOO_LARGE, outcome.reason)
            outcome, _ = await self.send(
                Kind.WRITE, statements=long, repeat=True
            )
            self.assertEqual(outcomes.Unknown(Reason.TOO_LARGE), outcome)
            self.assertEqual(2, self.entry_log.counters['frame_too_long'])

        self.play(steps)
