"""Own one group of upstreams: its core, its connections, its timer."""

import asyncio
import collections
import os
import traceback

from topazring.core import groups
from topazring.core import outcomes
from topazring.core.synchronous import group as groups_synchronous
from topazring.core.synchronous import messages
from topazring.core.synchronous import restart
from topazring.core.synchronous import state as states
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import ports
from topazring.pooler import upstream_link

__all__ = ['GroupTask']

# EX_SOFTWARE of sysexits.h.
EXIT_BROKEN_INVARIANT = 70
# A state that breaks again and again is not mended by beginning anew; then
# the process ends, and all that it holds in memory with it.
MAX_RESTARTS = 3
RESTART_WINDOW_MS = 60_000
# What a group is told once and goes on knowing when it begins anew, in the
# order in which it needs it.
_LASTING = (
    messages.InstancesSeen,
    messages.UpstreamsSeen,
    messages.PromotionLeaseSeen,
)


class GroupTask:
    """Run a group's core and do what it says."""

    def __init__(
        self,
        service: str,
        data_centre: str,
        name: str,
        limits: states.Limits,
        adapter: ports.Adapter,
        log: events.EventLog,
        kind: str = groups_synchronous.SYNCHRONOUS,
    ):
        self.service = service
        self.name = name
        self.adapter = adapter
        self.log = log
        self.kind = groups.group_kind(kind)
        self.state = states.make_group(service, data_centre, limits)
        self.links: dict[int, upstream_link.UpstreamLink] = {}
        self.answers: dict[int, asyncio.Future] = {}
        self.inbox: collections.deque[object] = collections.deque()
        self.working = False
        # The last of each kind of message that a new state needs again.
        self.told: dict[type, object] = {}
        self.restarts_ms: collections.deque[int] = collections.deque(
            maxlen=MAX_RESTARTS
        )
        self.tasks: set[asyncio.Task] = set()
        # Called when the duty may be lost: an order was refused, or this
        # process stood still.
        self.request_lease_recheck = None
        # Says, right before an order, whether the duty is still ours.
        self.verify_holder = None
        # Reads anew what is listed, and tells what has changed.
        self.read_upstream_list = None
        # Called when another proxy should have the duty.
        self.yield_lease = None

    def start(self) -> None:
        """Begin to tick."""
        self._spawn(self._tick_forever())

    def close(self) -> None:
        """Answer what is in hand and close every connection."""
        self.post(messages.Shutdown())
        for task in list(self.tasks):
            task.cancel()
        for link in self.links.values():
            link.close()

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._tell_broken(task.exception())
            self._end_process()

    async def submit(self, request: messages.Request) -> outcomes.Outcome:
        """Return the request's one final answer."""
        answer = asyncio.get_running_loop().create_future()
        self.answers[request.key] = answer
        self.post(messages.Submit(request))
        return await answer

    def post(self, message: object) -> None:
        """Put a message in the inbox and work the inbox off."""
        if isinstance(message, _LASTING):
            self.told[type(message)] = message
        self.inbox.append(message)
        if self.working:
            return
        self.working = True
        try:
            while self.inbox:
                self._take(self.inbox.popleft())
        finally:
            self.working = False

    def _take(self, message: object) -> None:
        try:
            for out in self.kind.step(
                self.state, clock.boottime_ms(), message
            ):
                self._perform(out)
        except Exception as error:
            self._begin_anew(error)

    def _begin_anew(self, error: Exception) -> None:
        """Replace a state that broke an invariant; answer its requests.

        The process serves other groups, whose callers' sessions would be cut
        with it: of ten groups the other nine lose nothing.
        """
        now_ms = clock.boottime_ms()
        self._tell_broken(error)
        full = len(self.restarts_ms) == MAX_RESTARTS
        if full and now_ms - self.restarts_ms[0] < RESTART_WINDOW_MS:
            self._end_process()
        self.restarts_ms.append(now_ms)
        broken, self.state = self.state, restart.recreate_state(self.state)
        for link in self.links.values():
            link.close()
        self.links.clear()
        waiting = {
            message.request.key
            for message in self.inbox
            if isinstance(message, messages.Submit)
        }
        for key in list(self.answers):
            if key not in waiting:
                outcome = restart.outcome_after_restart(broken, key)
                self._answer(messages.Answer(key, outcome))
        told = [self.told[kind] for kind in _LASTING if kind in self.told]
        self.inbox.extendleft(reversed(told))

    def _perform(self, out: object) -> None:
        match out:
            case messages.Send():
                self.links[out.connection].send(out.commands)
            case messages.Answer():
                self._answer(out)
            case messages.Open():
                self._open(out)
            case messages.Close():
                link = self.links.pop(out.connection, None)
                if link is not None:
                    link.close()
            case messages.OrderPromotion():
                self._spawn(self._order(out))
            case messages.ReadUpstreamList():
                self._spawn(self._read_list(out))
            case messages.YieldPromotionLease():
                if self.yield_lease:
                    self.yield_lease(out.why)
            case messages.LogDecision():
                self.log.emit(
                    'group', out.what, out.request_id, self.service, out.inputs
                )

    def _answer(self, out: messages.Answer) -> None:
        answer = self.answers.pop(out.key)
        if not answer.done():
            answer.set_result(out.outcome)

    def _open(self, out: messages.Open) -> None:
        link = upstream_link.UpstreamLink(
            out.connection, self.adapter.upstreams, self.handle_link_message
        )
        self.links[out.connection] = link
        link.start(self.service, out.upstream, out.address)

    def handle_link_message(self, message: object) -> None:
        """Take in what a link tells; forget the link at its end."""
        if isinstance(message, messages.Closed):
            self.links.pop(message.connection, None)
        self.post(message)

    async def _order(self, out: messages.OrderPromotion) -> None:
        result = messages.OrderResult.REFUSED
        if self.verify_holder is None or await self.verify_holder():
            result = await self.adapter.orders.promote(
                self.service, out.upstream, self.name, out.token
            )
        self.log.emit(
            'group',
            'order answered',
            service=self.service,
            inputs={
                'upstream': out.upstream,
                'token': out.token,
                'result': str(result),
            },
        )
        self.post(messages.PromotionOrdered(out.upstream, out.token, result))
        if (
            result is messages.OrderResult.REFUSED
            and self.request_lease_recheck
        ):
            self.request_lease_recheck()

    async def _read_list(self, out: messages.ReadUpstreamList) -> None:
        told = (
            self.read_upstream_list is None or await self.read_upstream_list()
        )
        self.post(messages.UpstreamListRead(out.token, told))

    async def _tick_forever(self) -> None:
        before_ms = clock.boottime_ms()
        while True:
            period_ms = groups_synchronous.tick_interval_ms(self.state)
            await asyncio.sleep(period_ms / 1000)
            now_ms = clock.boottime_ms()
            paused_ms = now_ms - before_ms - period_ms
            before_ms = now_ms
            self.post(messages.Tick(max(0, paused_ms)))
            paused = paused_ms >= groups_synchronous.LEASE_RECHECK_PAUSE_MS
            if paused and self.request_lease_recheck:
                self.request_lease_recheck()

    def _tell_broken(self, error: BaseException) -> None:
        self.log.emit(
            'group',
            'broken invariant',
            service=self.service,
            inputs={'error': repr(error), 'restarts': len(self.restarts_ms)},
        )
        traceback.print_exception(error)

    def _end_process(self) -> None:
        """End at once: a broken invariant must not serve anyone."""
        self.log.close()
        os._exit(EXIT_BROKEN_INVARIANT)
