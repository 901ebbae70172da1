"""Keep a process with many groups running when one group breaks."""

import asyncio
import contextlib
import io
import itertools
from unittest import mock

import testtools

from topazring.core import groups
from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import group_task

Verb = statements.Verb
POLICY = messages.Policy('d', 's', messages.Freshness.PRIMARY, 0, 600)
RESTARTED = outcomes.Reason.GROUP_RESTARTED


class Link:
    """Fake connection to an upstream."""

    def __init__(self, number, codec, post):
        self.number = number
        self.post = post
        self.closed = False
        self.sent = []

    def start(self, service, upstream, address):
        """Report an open connection at once."""
        place = log_positions.LogPosition(1, 5)
        loop = asyncio.get_running_loop()
        loop.call_soon(self.post, messages.Opened(self.number, place))

    def send(self, commands):
        """Answer status queries; leave the callers' statements in flight."""
        self.sent += commands
        answered = (statements.Begin, statements.Rollback, statements.Status)
        if all(isinstance(command, answered) for command in commands):
            self.reply(len(commands))

    def reply(self, count):
        """Answer with successes."""
        reply = statements.Reply(
            signature='-', place=log_positions.LogPosition(1, 5)
        )
        replied = messages.Replied(self.number, (reply,) * count)
        asyncio.get_running_loop().call_soon(self.post, replied)

    def close(self):
        """Record that the link is closed."""
        self.closed = True


class FailingStep:
    """Step as the group's kind does, and fail on demand."""

    def __init__(self, step):
        self.step = step
        self.fails = False

    def __call__(self, state, now_ms, message):
        """Fail after the next tick has changed the state."""
        outs = self.step(state, now_ms, message)
        if self.fails and isinstance(message, messages.Tick):
            self.fails = False
            raise KeyError(9)
        return outs


class GroupTaskTest(testtools.TestCase):
    """A broken invariant restarts its group and affects no other."""

    def play(self, steps):
        """Run `steps()` with a group that is ready to serve."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.links = []
        self.keys = itertools.count(1)
        adapter = mock.Mock()
        adapter.orders.promote = mock.AsyncMock(
            return_value=messages.OrderResult.UNANSWERED
        )
        log = events.EventLog('p1')
        self.task = group_task.GroupTask(
            's', 'here', 'p1', states.Limits(), adapter, log
        )
        self.step = FailingStep(self.task.kind.step)
        self.task.kind = groups.GroupKind('broken', self.step)
        link = mock.patch.object(
            group_task.upstream_link, 'UpstreamLink', self.make_link
        )
        with link, contextlib.redirect_stderr(io.StringIO()):
            listed = messages.ListedUpstream(
                'u1', 'u1:1', 'here', statements.Role.PRIMARY, 1
            )
            self.task.post(messages.InstancesSeen(1, 3))
            self.task.post(messages.UpstreamsSeen((listed,)))
            await self.settle()
            await steps()
            self.task.close()

    def make_link(self, *args):
        """Return a link and remember it."""
        self.links.append(Link(*args))
        return self.links[-1]

    async def settle(self):
        """Process ticks until no new actions are expected."""
        for _ in range(20):
            self.task.post(messages.Tick())
            await asyncio.sleep(0)

    def submit(self, verb, **more) -> asyncio.Task:
        """Submit a statement; return the task that waits for its answer."""
        key = next(self.keys)
        request = messages.Request(
            key,
            statements.Statement(f'r{key}', verb, 'text'),
            POLICY,
            verb is Verb.WRITE,
            clock.boottime_ms(),
            **more,
        )
        return asyncio.create_task(self.task.submit(request))

    async def break_group(self):
        """Make the next tick break the group's state."""
        self.step.fails = True
        self.task.post(messages.Tick())
        await asyncio.sleep(0)

    def test_restart_answers_requests_and_serves_again(self):
        """Sent writes end as Unknown, reads and queued requests as NotRun.

        Guards against a KeyError in one group that ends a process with ten
        groups and all sessions of its callers. A tick finds a request that
        names a removed connection, and any error in one group ended the
        process.
        """

        async def steps():
            write = self.submit(Verb.WRITE)
            await asyncio.sleep(0)
            waiting = [self.submit(Verb.WRITE) for _ in range(3)]
            read = self.submit(Verb.READ)
            await asyncio.sleep(0)
            before = list(self.links)
            await self.break_group()
            self.assertEqual(outcomes.Unknown(RESTARTED), await write)
            kinds = [type(await answer) for answer in waiting]
            self.assertIn(outcomes.NotRun, kinds)
            self.assertEqual(RESTARTED, (await read).reason)
            self.assertIsInstance(await read, outcomes.NotRun)
            self.assertTrue(all(link.closed for link in before))
            await self.settle()
            again = self.submit(Verb.WRITE)
            await asyncio.sleep(0)
            sent = [link for link in self.links if not link.closed]
            (serving,) = [link for link in sent if _runs(link)]
            serving.reply(1)
            self.assertIsInstance(await again, outcomes.Done)
            counters = self.task.state.counters
            self.assertEqual(1, counters['group_restarted'])

        self.play(steps)

    def test_numbers_and_tokens_survive_a_restart(self):
        """Late messages of old connections are ignored; tokens only grow."""

        async def steps():
            self.task.post(messages.PromotionLeaseSeen(True, 10_000))
            self.task.state.token = 10_007
            numbers = {link.number for link in self.links}
            await self.break_group()
            await self.settle()
            came = {link.number for link in self.links} - numbers
            self.assertTrue(came)
            self.assertGreater(min(came), max(numbers))
            self.assertTrue(self.task.state.holds_promotion_lease)
            self.assertGreaterEqual(self.task.state.token, 10_007)

        self.play(steps)

    def test_repeated_restarts_end_the_process(self):
        """A restart does not repair every state; the platform restarts it."""

        async def steps():
            exit_ = mock.patch.object(group_task.os, '_exit', autospec=True)
            with exit_ as exits:
                for _ in range(group_task.MAX_RESTARTS):
                    await self.break_group()
                exits.assert_not_called()
                await self.break_group()
                exits.assert_called_once_with(group_task.EXIT_BROKEN_INVARIANT)

        self.play(steps)


def _runs(link) -> bool:
    """Return whether a caller's statement is in flight on a link."""
    return any(isinstance(c, statements.Run) for c in link.sent)
