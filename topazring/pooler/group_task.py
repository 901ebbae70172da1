"""Run one group of upstreams: its core, its connections and its timer."""

import asyncio
import collections
import itertools
import os
import traceback

from topazring.core import groups
from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import group as groups_synchronous
from topazring.core.synchronous import messages
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import restart
from topazring.core.synchronous import state as states
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import ports
from topazring.pooler import upstream_link

__all__ = ['GroupTask']

# EX_SOFTWARE of sysexits.h.
EXIT_BROKEN_INVARIANT = 70
# A state that breaks again and again is not repaired by a restart of the
# group; then the process ends, and with it all that it holds in memory.
MAX_RESTARTS = 3
RESTART_WINDOW_MS = 60_000
# The core answers a check for another proxy at once, unless it fails.
CHECK_TIMEOUT_S = 0.25
# How long after its choice an order may be sent that first had to be recorded:
# together with the age of the list that it was chosen from, this is less than
# it takes until a new member's word counts. Later the holder may also have
# been replaced, which the platform would not notice.
MAX_ORDER_AGE_MS = 100
# How long after its decision an order may be sent that is to change nothing.
# The check of the lease takes 500 ms at most. Later the primary that it names
# may have been replaced, and would lead again without what was acknowledged.
MAX_FENCE_AGE_MS = 600
# Messages that a group receives once and needs again after a restart, in the
# order in which it needs them.
_RETAINED_MESSAGES = (
    messages.InstancesSeen,
    messages.MembersRecorded,
    messages.UpstreamsSeen,
    messages.UpstreamsClosed,
    messages.PromotionLeaseSeen,
    messages.RegistrationSeen,
)


class GroupTask:
    """Run a group's core and execute the actions that it returns."""

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
        upstream_link.register(log)
        self.kind = groups.group_kind(kind)
        self.state = states.make_group(service, data_centre, limits)
        self.links: dict[int, upstream_link.UpstreamLink] = {}
        self.pending_answers: dict[int, asyncio.Future] = {}
        # The requests that wait for these.
        self.pending_requests: dict[int, messages.Request] = {}
        self.check_keys = itertools.count(1)
        # Checks for other proxies that the core has not answered.
        self.pending_checks: dict[int, asyncio.Future] = {}
        self.inbox: collections.deque[object] = collections.deque()
        self.is_processing = False
        # The last message of each retained type, for a new state.
        self.retained: dict[type, object] = {}
        self.restarts_ms: collections.deque[int] = collections.deque(
            maxlen=MAX_RESTARTS
        )
        self.tasks: set[asyncio.Task] = set()
        # Called when the promotion lease may be lost: an order was refused,
        # or this process resumed after a pause.
        self.request_lease_recheck = None
        # Returns, right before an order, whether the lease is still held, or,
        # where the platform checks no tokens, whether nobody else can hold it.
        self.verify_holder = None
        # The highest token of an order that the core has decided on.
        self.newest_token = 0
        # Records an order in the store, right before it is sent. Where the
        # platform checks tokens, it is also sent if the store is away.
        self.record_order = None
        # Names the upstreams of the group whose orders are to stay recorded.
        self.keep_orders = None
        # Records in the store which members may still obey a resume.
        self.record_resumes = None
        # Reads the listed upstreams again and posts what has changed.
        self.read_upstream_list = None
        # Called when another proxy should acquire the promotion lease.
        self.yield_lease = None
        # Returns what the other proxies have acknowledged, and fences them.
        self.query_acknowledgements = None
        # Fences the other owners; does not return what they acknowledged.
        self.fence_owners = None
        # Fences them if that could not be done before.
        self.fence_unfenced_owners = None
        # Writes the record of the members to the store.
        self.record_members = None
        # Returns the release of the fence, if the lease holder needs none.
        self.query_fence = None

    def start(self) -> None:
        """Start the timer."""
        self._spawn(self._tick_forever())

    def close(self) -> None:
        """Answer all pending requests and close every connection."""
        self.post(messages.Shutdown())
        for task in list(self.tasks):
            task.cancel()
        for link in self.links.values():
            link.close()

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log_broken_invariant(task.exception())
            self._end_process()

    async def submit(self, request: messages.Request) -> outcomes.Outcome:
        """Return the final outcome of a request."""
        answer = asyncio.get_running_loop().create_future()
        self.pending_answers[request.key] = answer
        self.pending_requests[request.key] = request
        self.post(messages.Submit(request))
        return await answer

    def is_known(self, key: int) -> bool:
        """Return whether the core still holds a request."""
        return key in self.state.work

    async def fence_acknowledgements(
        self, term: int, position: log_positions.LogPosition
    ) -> messages.AcknowledgementsFenced | None:
        """Fence older terms; return what has been acknowledged."""
        key = next(self.check_keys)
        return await self._check(
            messages.FenceAcknowledgements(key, term, position)
        )

    async def check_fence(self) -> messages.FenceChecked | None:
        """Return whether a promotion here needs a fence."""
        return await self._check(messages.CheckFence(next(self.check_keys)))

    async def _check(
        self, message: messages.FenceAcknowledgements | messages.CheckFence
    ) -> messages.AcknowledgementsFenced | messages.FenceChecked | None:
        """Return the core's answer, None if the group broke meanwhile."""
        answer = asyncio.get_running_loop().create_future()
        self.pending_checks[message.key] = answer
        self.post(message)
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                return await answer
        except TimeoutError:
            return None
        finally:
            self.pending_checks.pop(message.key, None)

    def post(self, message: object) -> None:
        """Add a message to the inbox and process the inbox."""
        if isinstance(message, _RETAINED_MESSAGES):
            self.retained[type(message)] = message
        self.inbox.append(message)
        if self.is_processing:
            return
        self.is_processing = True
        try:
            while self.inbox:
                self._step(self.inbox.popleft())
        finally:
            self.is_processing = False

    def _step(self, message: object) -> None:
        try:
            for out in self.kind.step(
                self.state, clock.boottime_ms(), message
            ):
                self._execute(out)
        except Exception as error:
            self._restart(error)

    def _restart(self, error: Exception) -> None:
        """Replace a state that broke an invariant; answer its requests.

        Ending the process would cut the sessions of callers of its other
        groups: with a restart, nine of ten groups lose nothing.
        """
        now_ms = clock.boottime_ms()
        self._log_broken_invariant(error)
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
        for key in list(self.pending_answers):
            if key not in waiting:
                outcome = restart.outcome_after_restart(broken, key)
                self._answer(messages.Answer(key, outcome))
        retained = [
            self.retained[kind]
            for kind in _RETAINED_MESSAGES
            if kind in self.retained
        ]
        self.inbox.extendleft(reversed(retained))

    def _execute(self, out: object) -> None:
        match out:
            case messages.Send():
                self.links[out.connection].send(out.commands)
            case messages.Answer():
                self._answer(out)
            case messages.Open():
                self._open_link(out)
            case messages.Close():
                link = self.links.pop(out.connection, None)
                if link is not None:
                    link.close()
            case messages.OrderPromotion():
                self.newest_token = max(self.newest_token, out.token)
                self._spawn(self._order_promotion(out))
            case messages.OrdersOutstanding():
                if self.keep_orders is not None:
                    self.keep_orders(self.service, out.upstreams)
            case messages.RecordResumes():
                self._spawn(self._record_resumes(out))
            case messages.VerifyLease():
                self._spawn(self._verify_lease())
            case messages.ReadUpstreamList():
                self._spawn(self._read_list(out))
            case messages.YieldPromotionLease():
                if self.yield_lease:
                    self.yield_lease(out.why)
            case messages.QueryAcknowledgements():
                self._spawn(self._query_acknowledgements(out))
            case messages.FenceOwners():
                if self.fence_owners is not None:
                    self._spawn(self.fence_owners(self.service, out.term))
            case messages.FenceUnfencedOwners():
                if self.fence_unfenced_owners is not None:
                    self._spawn(
                        self.fence_unfenced_owners(self.service, out.term)
                    )
            case messages.RecordMembers():
                if self.record_members:
                    self.record_members(self.service, out.members)
            case messages.QueryFence():
                self._spawn(self._query_fence(out.is_urgent))
            case messages.AcknowledgementsFenced() | messages.FenceChecked():
                self._answer_check(out)
            case messages.LogDecision():
                self.log.emit(
                    'group', out.what, out.request_id, self.service, out.inputs
                )

    def _answer(self, out: messages.Answer) -> None:
        answer = self.pending_answers.pop(out.key)
        del self.pending_requests[out.key]
        if not answer.done():
            answer.set_result(out.outcome)

    def _answer_check(
        self, out: messages.AcknowledgementsFenced | messages.FenceChecked
    ) -> None:
        # Nobody waits any more if the core was slow.
        answer = self.pending_checks.pop(out.key, None)
        if answer is not None and not answer.done():
            answer.set_result(out)

    def _open_link(self, out: messages.Open) -> None:
        link = upstream_link.UpstreamLink(
            out.connection,
            self.adapter.upstreams,
            self.handle_link_message,
            self.log,
        )
        self.links[out.connection] = link
        link.start(self.service, out)

    def handle_link_message(self, message: object) -> None:
        """Post a link's message; remove the link when it is closed."""
        if isinstance(message, messages.Closed):
            self.links.pop(message.connection, None)
        self.post(message)

    async def _order_promotion(self, out: messages.OrderPromotion) -> None:
        began_ms = clock.boottime_ms()
        order = {
            'upstream': out.upstream,
            'token': out.token,
            'why': out.why,
        }
        refusal = await self._refuse_order(out, began_ms)
        result = refusal
        if result is None:
            inputs = {**order, 'after_ms': clock.boottime_ms() - began_ms}
            self.log.emit('group', 'order sent', '', self.service, inputs)
            result = await self.adapter.orders.promote(
                self.service, out.upstream, self.name, out.token
            )
        inputs = {
            **order,
            'sent': refusal is None,
            'result': str(result),
            'took_ms': clock.boottime_ms() - began_ms,
        }
        self.log.emit('group', 'order answered', '', self.service, inputs)
        self.post(messages.PromotionOrdered(out.upstream, out.token, result))
        if (
            result is messages.OrderResult.REFUSED
            and self.request_lease_recheck
        ):
            self.request_lease_recheck()

    async def _refuse_order(
        self, out: messages.OrderPromotion, began_ms: int
    ) -> messages.OrderResult | None:
        """Return why an order must not be sent, None if it may be."""
        checks_tokens = self.state.limits.checks_tokens
        is_fence = out.why in promotion_lease.WITHOUT_EFFECT
        is_recorded = is_fence or await self._record_order(out)
        if not is_recorded and not checks_tokens:
            return messages.OrderResult.WITHHELD
        is_held = await self._is_lease_held()
        age_ms = clock.boottime_ms() - began_ms
        if checks_tokens and not is_held:
            return messages.OrderResult.REFUSED
        if checks_tokens:
            is_old = is_fence and age_ms > MAX_FENCE_AGE_MS
            return messages.OrderResult.WITHHELD if is_old else None
        is_recent = age_ms <= MAX_ORDER_AGE_MS
        is_newest = out.token >= self.newest_token
        if is_held and is_recent and is_newest:
            return None
        return messages.OrderResult.WITHHELD

    async def _record_order(self, out: messages.OrderPromotion) -> bool:
        return self.record_order is None or await self.record_order(
            self.service, out.upstream
        )

    async def _record_resumes(self, out: messages.RecordResumes) -> None:
        if self.record_resumes is None:
            return
        if await self.record_resumes(self.service, out.upstreams):
            self.post(messages.ResumesRecorded(out.upstreams))

    async def _is_lease_held(self) -> bool:
        return self.verify_holder is None or await self.verify_holder()

    async def _verify_lease(self) -> None:
        holds = await self._is_lease_held()
        if not holds:
            self.log.emit('group', 'lease not verified', '', self.service)
        self.post(messages.LeaseVerified(holds))

    async def _read_list(self, out: messages.ReadUpstreamList) -> None:
        is_read = (
            self.read_upstream_list is None or await self.read_upstream_list()
        )
        self.post(messages.UpstreamListRead(out.token, is_read))

    async def _query_acknowledgements(
        self, out: messages.QueryAcknowledgements
    ) -> None:
        reported = messages.AcknowledgementsReported(
            out.token, False, term=out.term
        )
        if self.query_acknowledgements is not None:
            reported = await self.query_acknowledgements(self.service, out)
        self.post(reported)

    async def _query_fence(self, is_urgent: bool) -> None:
        if self.query_fence is None:
            return
        released = await self.query_fence(self.service, is_urgent)
        if released is not None:
            self.post(released)

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

    def _log_broken_invariant(self, error: BaseException) -> None:
        self.log.emit(
            'group',
            'broken invariant',
            service=self.service,
            inputs={'error': repr(error), 'restarts': len(self.restarts_ms)},
        )
        traceback.print_exception(error)

    def _end_process(self) -> None:
        """Exit at once: a process with a broken invariant must not serve."""
        self.log.close()
        os._exit(EXIT_BROKEN_INVARIANT)
