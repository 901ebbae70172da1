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
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import group_task
from topazring.pooler.tests import fake_core

# The longest check of the lease: the store and then the peers are asked.
MAX_CHECK_MS = 500
# The end of the log that may be promoted.
END = log_positions.LogPosition(6, 4)

Verb = statements.Verb
POLICY = messages.Policy('d', 's', messages.Freshness.PRIMARY, 0, 600)
RESTARTED = outcomes.Reason.GROUP_RESTARTED


class Link:
    """Fake connection to an upstream."""

    def __init__(self, number, codec, post, reporter):
        self.number = number
        self.post = post
        self.closed = False
        self.sent = []

    def start(self, service, target):
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

    def test_order_is_logged_with_its_reason(self):
        """Guards against an order that nobody can tell the reason of."""

        async def steps():
            self.task.log = mock.Mock()
            order = messages.OrderPromotion('u1', 7, 'it leaves')
            self.task._execute(order)
            for _ in range(5):
                await asyncio.sleep(0)
            logged = {
                call.args[1]: call.args[4]
                for call in self.task.log.emit.call_args_list
                if call.args[1].startswith('order ')
            }
            self.assertEqual('it leaves', logged['order sent']['why'])
            answered = logged['order answered']
            self.assertEqual('it leaves', answered['why'])
            self.assertEqual('unanswered', answered['result'])
            self.assertTrue(answered['sent'])

        self.play(steps)

    def order(self, why='it leaves', **hooks) -> tuple[object, int]:
        """Send an order with these hooks; return its result and the calls."""
        results = []

        async def steps():
            for name, hook in hooks.items():
                setattr(self.task, name, hook)
            self.task.state.limits = states.Limits(
                checks_tokens='record_order' not in hooks
            )
            post = self.task.post
            self.task.post = lambda message: (
                results.append(message.result)
                if isinstance(message, messages.PromotionOrdered)
                else post(message)
            )
            order = messages.OrderPromotion('u1', 7, why)
            await self.task._order_promotion(order)
            results.append(self.task.adapter.orders.promote.await_count)

        self.play(steps)
        return tuple(results)

    def test_order_without_a_record_is_withheld(self):
        """Guards against an order that the next lease holder cannot know."""
        record = mock.AsyncMock(return_value=False)
        result, calls = self.order(record_order=record)
        self.assertEqual(messages.OrderResult.WITHHELD, result)
        self.assertEqual(0, calls)
        record.assert_awaited_once_with('s', 'u1')

    def test_order_is_withheld_after_a_pause(self):
        """Guards against an order of a holder that slept since its check.

        The platform would carry it out, with a lower token than that of the
        next holder.
        """

        result, calls = self.order(
            record_order=mock.AsyncMock(return_value=True),
            verify_holder=self.verify_after(group_task.MAX_ORDER_AGE_MS + 1),
        )
        self.assertEqual(messages.OrderResult.WITHHELD, result)
        self.assertEqual(0, calls)

    def verify_after(self, after_ms: int):
        """Return a check that confirms the lease after a pause."""

        async def verify():
            later = clock.boottime_ms() + after_ms
            patch = mock.patch.object(
                group_task.clock,
                'boottime_ms',
                autospec=True,
                return_value=later,
            )
            self.addCleanup(patch.stop)
            patch.start()
            return True

        return verify

    def order_after_pause(self, why: str) -> tuple[object, int]:
        """Pause the process while the lease is checked."""
        verify = self.verify_after(2 * MAX_CHECK_MS)
        return self.order(why, verify_holder=verify)

    def test_fencing_order_is_withheld_after_a_pause(self):
        """Guards against an order for a primary that was replaced meanwhile.

        It would lead again, without what was acknowledged since.
        """
        result, calls = self.order_after_pause(promotion_lease.FENCE_WHY)
        self.assertEqual(messages.OrderResult.WITHHELD, result)
        self.assertEqual(0, calls)

    def test_verifying_order_is_withheld_after_a_pause(self):
        """Guards against the same where the order shows the lease."""
        result, calls = self.order_after_pause(promotion_lease.VERIFY_WHY)
        self.assertEqual(messages.OrderResult.WITHHELD, result)
        self.assertEqual(0, calls)

    def test_order_without_effect_is_sent_after_a_slow_check(self):
        """Guards against orders that are not fenced off for a slow store."""
        result, calls = self.order(
            promotion_lease.FENCE_WHY,
            verify_holder=self.verify_after(MAX_CHECK_MS),
        )
        self.assertEqual(messages.OrderResult.UNANSWERED, result)
        self.assertEqual(1, calls)

    def test_recorded_order_is_sent(self):
        """The platform is asked once the store has recorded the order."""
        result, calls = self.order(
            record_order=mock.AsyncMock(return_value=True),
            verify_holder=mock.AsyncMock(return_value=True),
        )
        self.assertEqual(messages.OrderResult.UNANSWERED, result)
        self.assertEqual(1, calls)

    def test_lease_is_verified_without_an_order(self):
        """Guards against an order that is to change nothing."""

        async def steps():
            self.task.verify_holder = mock.AsyncMock(return_value=False)
            posted = []
            self.task.post = posted.append
            await self.task._verify_lease()
            self.assertEqual([messages.LeaseVerified(False)], posted)
            self.task.adapter.orders.promote.assert_not_awaited()
            del self.task.post

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


class AcknowledgementFenceTest(testtools.TestCase):
    """A group asks other proxies, and answers those that ask it."""

    def play(self, steps):
        """Run `steps()` with a group that is driven by a fake core."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        self.core = fake_core.Core()
        self.task = fake_core.make_group(self.core)
        with contextlib.redirect_stderr(io.StringIO()):
            await steps()
            self.task.close()

    async def emit(self, out):
        """Have the core return an action; process what follows."""
        self.task.post(fake_core.Emit(out))
        for _ in range(5):
            await asyncio.sleep(0)

    def test_report_is_posted(self):
        """The core gets the report of the queried proxies."""
        reported = messages.AcknowledgementsReported(
            3, True, log_positions.LogPosition(2, 5), 40
        )
        query = messages.QueryAcknowledgements(3, 7, END)

        async def steps():
            queried = mock.AsyncMock(return_value=reported)
            self.task.query_acknowledgements = queried
            await self.emit(query)
            queried.assert_awaited_once_with('s', query)
            self.assertEqual(
                [reported], self.core.of(messages.AcknowledgementsReported)
            )

        self.play(steps)

    def test_query_without_other_proxies_to_ask(self):
        """A group that nobody has connected reports nothing as complete."""

        async def steps():
            await self.emit(messages.QueryAcknowledgements(3, 7, END))
            await self.emit(messages.QueryFence(True))
            self.assertEqual(
                [messages.AcknowledgementsReported(3, False, term=7)],
                self.core.of(messages.AcknowledgementsReported),
            )

        self.play(steps)

    def test_release_is_posted_only_if_the_holder_answers(self):
        """The core gets the holder's release as it is."""

        async def steps():
            released = messages.FenceReleased(40, 2)
            self.task.query_fence = mock.AsyncMock(return_value=None)
            await self.emit(messages.QueryFence(True))
            self.assertEqual([], self.core.of(messages.FenceReleased))
            self.task.query_fence = mock.AsyncMock(return_value=released)
            await self.emit(messages.QueryFence(True))
            self.task.query_fence.assert_awaited_once_with('s', True)
            self.assertEqual(
                [released],
                self.core.of(messages.FenceReleased),
            )

        self.play(steps)

    def test_query_ahead_of_need(self):
        """Guards against queries that claim that a write waits."""

        async def steps():
            released = messages.FenceReleased(40, 2)
            self.task.query_fence = mock.AsyncMock(return_value=released)
            await self.emit(messages.QueryFence(False))
            self.task.query_fence.assert_awaited_once_with('s', False)
            self.assertEqual([released], self.core.of(messages.FenceReleased))

        self.play(steps)

    def test_checks_are_answered_by_key(self):
        """Several proxies ask at the same time."""

        async def steps():
            self.core.is_silent = True
            checks = [
                asyncio.create_task(
                    self.task.fence_acknowledgements(term, END)
                )
                for term in (7, 8)
            ]
            checks.append(asyncio.create_task(self.task.check_fence()))
            await asyncio.sleep(0)
            first, second = self.core.of(messages.FenceAcknowledgements)
            (third,) = self.core.of(messages.CheckFence)
            self.assertEqual((7, 8), (first.term, second.term))
            outs = [
                messages.FenceChecked(third.key, True, 1),
                *(
                    messages.AcknowledgementsFenced(
                        fence.key, log_positions.LogPosition(fence.term, 1), 9
                    )
                    for fence in (second, first)
                ),
            ]
            for out in outs:
                await self.emit(out)
            answers = await asyncio.gather(*checks)
            self.assertEqual([outs[2], outs[1], outs[0]], answers)
            self.assertEqual({}, self.task.pending_checks)

        self.play(steps)

    def test_check_that_the_core_does_not_answer(self):
        """Guards against a question that is kept for good.

        The group breaks, and its new state knows nothing of the question.
        """

        async def steps():
            self.core.is_silent = True
            self.assertIsNone(await self.task.fence_acknowledgements(7, END))
            (fence,) = self.core.of(messages.FenceAcknowledgements)
            self.assertEqual({}, self.task.pending_checks)
            late = messages.AcknowledgementsFenced(
                fence.key, log_positions.ORIGIN, 9
            )
            await self.emit(late)

        with mock.patch.object(group_task, 'CHECK_TIMEOUT_S', 0.02):
            self.play(steps)

    def test_registration_survives_a_restart(self):
        """A group that breaks still knows until when its proxy is listed."""

        async def steps():
            seen = messages.RegistrationSeen(40)
            self.task.post(messages.RegistrationSeen(30))
            self.task.post(seen)
            failing = mock.Mock(
                side_effect=lambda *args: self.fail_once(failing)
            )
            self.task.kind = groups.GroupKind('broken', failing)
            self.core.received.clear()
            self.task.post(messages.Tick())
            self.assertEqual([seen], self.core.received)

        self.play(steps)

    def test_closures_survive_a_restart(self):
        """Guards against work for a closed upstream after its group broke."""

        async def steps():
            listed = messages.UpstreamsSeen(())
            closed = messages.UpstreamsClosed({'u2': 90})
            self.task.post(closed)
            self.task.post(listed)
            failing = mock.Mock(
                side_effect=lambda *args: self.fail_once(failing)
            )
            self.task.kind = groups.GroupKind('broken', failing)
            self.core.received.clear()
            self.task.post(messages.Tick())
            self.assertEqual([listed, closed], self.core.received)

        self.play(steps)

    def fail_once(self, step):
        """Break the group; its next step is that of the fake core."""
        step.side_effect = self.core.step
        raise KeyError(9)


def _runs(link) -> bool:
    """Return whether a caller's statement is in flight on a link."""
    return any(isinstance(c, statements.Run) for c in link.sent)
