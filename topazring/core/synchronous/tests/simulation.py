"""Simulate proxies and a group of upstreams under faults.

Time is simulated with a heap of events. Links delay messages, connections
stop passing data, upstreams crash or stop receiving the log, promotion orders
arrive late, and holders of the promotion lease change and overlap. The oracle
checks what upstreams run and what callers receive.
"""

import collections
import itertools
import random

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import group
from topazring.core.synchronous import messages
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import sessions
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import command_lines
from topazring.core.synchronous.tests import fake_group
from topazring.core.synchronous.tests import invariants
from topazring.core.synchronous.tests import oracle as oracles
from topazring.core.synchronous.tests import simulated_time
from topazring.core.synchronous.tests import upstream_side

Code = statements.Code
Role = statements.Role
SessionState = statements.SessionState

UPSTREAMS = ('u1', 'u2', 'u3')
PROXIES = ('p1', 'p2')
TICK_MS = 20
# Time until another proxy gains a promotion lease that was yielded.
GAIN_MS = 150
# Time until the proxy that yielded it may gain it again.
YIELD_PAUSE_MS = 3000
# Lifetime of the entry of a proxy, and the interval of its renewals.
REGISTRATION_MS = 28_000
RENEW_MS = 10_000
# A proxy that does not answer another one's query is given up.
PEER_TIMEOUT_MS = 250
# Key of a fence whose answer nobody waits for.
NO_KEY = 0
# Time to read the list again, including the slowest answer.
LIST_READ_MS = 10
# A proxy that cannot record an order in the store gives up after this time.
RECORD_TIMEOUT_MS = 250
POLICIES = (
    messages.Policy('exact', 's', messages.Freshness.PRIMARY, 0, 600),
    messages.Policy('bounded', 's', messages.Freshness.BOUNDED, 500, 900),
    messages.Policy('own', 's', messages.Freshness.SESSION, 800, 600),
)


class Simulation(upstream_side.UpstreamSide, simulated_time.SimulatedTime):
    """Hold proxies, upstreams, messages in flight and the oracle."""

    def __init__(
        self,
        seed: int,
        promote_ms: int = upstream_side.PROMOTE_MS,
        organisations: tuple[str, ...] = (),
        platform: upstream_side.Platform = upstream_side.CHECKED,
    ):
        super().__init__(now_ms=1000)
        self.platform = platform
        self.organisations = organisations
        self.promote_ms = promote_ms
        self.rng = random.Random(seed)
        self.keys = itertools.count(1)
        self.oracle = oracles.Oracle()
        self.members = {
            name: fake_group.Member(name, Role.REPLICA) for name in UPSTREAMS
        }
        self.members['u1'].role = Role.PRIMARY
        self.term = 1
        self.token_seen = 0
        # The highest token of an order, whether it was answered or not.
        self.token_received = 0
        self.next_block = 0
        self.holder = ''
        # What the store records of orders that may be carried out.
        self.recorded_orders: set[str] = set()
        # Members that it names as resumed without an answer.
        self.recorded_resumes: set[str] = set()
        self.wires: dict[tuple[str, int], fake_group.Wire] = {}
        self.waiting_acks: list = []
        self.cut_pairs: set[frozenset[str]] = set()
        # Proxies that cannot reach the store, nor the platform's orders.
        self.without_store: set[str] = set()
        # Queries between proxies that await their answer, by key.
        self.peer_queries: dict[int, tuple[str, object]] = {}
        self.states: dict[str, states.GroupState] = {}
        self.frozen_until_ms: dict[str, int] = {}
        # Messages queued for paused proxies.
        self.frozen_inboxes = {name: collections.deque() for name in PROXIES}
        self.sessions: list[tuple[str, sessions.Session]] = []
        self.pending: dict[tuple[str, int], sessions.Session] = {}
        # Sessions whose answers can no longer be delivered.
        self.detached_sessions: set[int] = set()
        self.signatures = itertools.count(1)
        # Numbers for the names of upstreams that start later.
        self.new_member_numbers = itertools.count(len(UPSTREAMS) + 1)
        # When the current replacement of several members ends.
        self.replaced_until_ms = 0.0
        self.trace: list[str] = []
        for proxy in PROXIES:
            self.states[proxy] = states.make_group('s', 'dc', self.limits())
            self.post(proxy, messages.InstancesSeen(2, 8))
            self.send_list(proxy)
            self.renew_registration(proxy)
            released = messages.FenceReleased(int(self.now_ms), self.term)
            self.post(proxy, released)
            self.at(TICK_MS, self.tick, proxy, self.now_ms)
        self.grant_lease('p1')

    def limits(self) -> states.Limits:
        """Return the limits of a proxy on this platform."""
        return states.Limits(
            checks_tokens=self.platform.checks_tokens,
            late_order_ms=self.platform.latest_ms,
        )

    def note(self, text: str) -> None:
        """Add a line to the trace that is printed on a failure."""
        self.trace.append(f'{self.now_ms:.0f} {text}')

    # ---- proxies ----

    def is_frozen(self, proxy: str) -> bool:
        """Return whether a proxy is paused."""
        return self.now_ms < self.frozen_until_ms.get(proxy, 0)

    def post(self, proxy: str, message: object) -> None:
        """Post a message to the core of a proxy, once it is not paused."""
        inbox = self.frozen_inboxes[proxy]
        if inbox or self.is_frozen(proxy):
            inbox.append(message)
            if len(inbox) == 1:
                self.deliver_queued(proxy)
            return
        self.deliver(proxy, message)

    def deliver_queued(self, proxy: str) -> None:
        """Deliver the messages that arrived during a pause, in order."""
        if self.is_frozen(proxy):
            delay_ms = self.frozen_until_ms[proxy] - self.now_ms
            self.at(delay_ms, self.deliver_queued, proxy)
            return
        while self.frozen_inboxes[proxy]:
            self.deliver(proxy, self.frozen_inboxes[proxy].popleft())

    def deliver(self, proxy: str, message: object) -> None:
        """Run one step of the core of a proxy and execute its output."""
        outs = group.step(self.states[proxy], int(self.now_ms), message)
        broken = invariants.broken(self.states[proxy])
        if broken:
            raise fake_group.Violation(f'{proxy} after {message}: {broken}')
        for out in outs:
            self.perform(proxy, out)

    def tick(self, proxy: str, before_ms: float) -> None:
        """Tick a core; the tick is late after a pause."""
        if self.is_frozen(proxy):
            delay_ms = self.frozen_until_ms[proxy] - self.now_ms
            self.at(delay_ms, self.tick, proxy, before_ms)
            return
        paused_ms = int(self.now_ms - before_ms - TICK_MS)
        self.post(proxy, messages.Tick(max(0, paused_ms)))
        if paused_ms >= group.LEASE_RECHECK_PAUSE_MS:
            self.at(30, self.confirm_lease, proxy)
        self.at(TICK_MS, self.tick, proxy, self.now_ms)

    def perform(self, proxy: str, out: object) -> None:
        """Execute one output message of a core."""
        match out:
            case messages.Open():
                self.at(self.delay(), self.dial, proxy, out)
            case messages.Send():
                wire = self.wires.get((proxy, out.connection))
                if wire is not None and not wire.silent:
                    self.at(self.delay(), self.arrive, wire, out.commands)
            case messages.Close():
                self.at(self.delay(), self.close_wire, proxy, out.connection)
            case messages.Answer():
                self.take_answer(proxy, out)
            case messages.OrderPromotion():
                self.send_order(proxy, out)
            case messages.OrdersOutstanding():
                if proxy == self.holder and proxy not in self.without_store:
                    self.recorded_orders = set(out.upstreams)
            case messages.RecordResumes():
                self.record_resumes(proxy, out)
            case messages.VerifyLease():
                self.verify_lease(proxy)
            case messages.ReadUpstreamList():
                self.at(self.delay(), self.read_list, proxy, out)
            case messages.QueryAcknowledgements():
                self.query_acknowledgements(proxy, out)
            case messages.FenceOwners():
                self.fence_owners(proxy, out)
            case messages.AcknowledgementsFenced():
                self.report_acknowledgements(proxy, out)
            case messages.QueryFence():
                self.query_fence(proxy)
            case messages.FenceChecked():
                self.report_fence(out)
            case messages.YieldPromotionLease():
                self.at(GAIN_MS, self.grant_lease_after_yield, proxy)
            case messages.LogDecision():
                self.note(f'{proxy} {out.what} {dict(out.inputs)}')

    def send_order(self, proxy: str, out: messages.OrderPromotion) -> None:
        """Send an order, once the store has recorded it if that is needed."""
        is_recorded = proxy not in self.without_store and proxy == self.holder
        is_fence = out.why in promotion_lease.WITHOUT_EFFECT
        if is_recorded and not is_fence:
            self.recorded_orders.add(out.upstream)
        if is_recorded or self.platform.checks_tokens:
            self.order_promotion(proxy, out)
            return
        if proxy not in self.without_store:
            self.post(proxy, messages.PromotionLeaseSeen(False))
        withheld = messages.OrderResult.WITHHELD
        self.at(RECORD_TIMEOUT_MS, self.ordered, proxy, out, withheld)

    def record_resumes(self, proxy: str, out: messages.RecordResumes) -> None:
        """Record resumes; a proxy finds out that it was replaced."""
        if proxy in self.without_store:
            return
        if proxy != self.holder:
            self.post(proxy, messages.PromotionLeaseSeen(False))
            return
        self.recorded_resumes = set(out.upstreams)
        recorded = messages.ResumesRecorded(out.upstreams)
        self.at(self.delay(), self.post, proxy, recorded)

    def read_list(self, proxy: str, out: messages.ReadUpstreamList) -> None:
        """Send a proxy the current list, after a delay."""
        if proxy in self.without_store:
            unread = messages.UpstreamListRead(out.token, False)
            self.at(LIST_READ_MS, self.post, proxy, unread)
            return
        self.at(self.delay(), self.send_list, proxy, self.listed())
        self.at(
            LIST_READ_MS,
            self.post,
            proxy,
            messages.UpstreamListRead(out.token),
        )

    def renew_registration(self, proxy: str) -> None:
        """Keep a proxy listed while it reaches the store."""
        if proxy not in self.without_store:
            until_ms = int(self.now_ms) + REGISTRATION_MS
            self.post(proxy, messages.RegistrationSeen(until_ms))
        self.at(RENEW_MS, self.renew_registration, proxy)

    # ---- the fence of acknowledgements ----

    def can_talk(self, proxy: str, other: str) -> bool:
        """Return whether a proxy gets an answer from another one."""
        is_cut = frozenset((proxy, other)) in self.cut_pairs
        return not is_cut and not self.is_frozen(other)

    def query_acknowledgements(
        self, proxy: str, out: messages.QueryAcknowledgements
    ) -> None:
        """Query the other proxy; without an answer the result is partial."""
        (other,) = [name for name in PROXIES if name != proxy]
        if proxy in self.without_store or not self.can_talk(proxy, other):
            partial = messages.AcknowledgementsReported(
                out.token, False, term=out.term
            )
            self.at(PEER_TIMEOUT_MS, self.post, proxy, partial)
            return
        key = next(self.keys)
        self.peer_queries[key] = (proxy, out)
        asked = messages.FenceAcknowledgements(key, out.term, out.position)
        self.at(self.delay(), self.post, other, asked)

    def fence_owners(self, proxy: str, out: messages.FenceOwners) -> None:
        """Fence the other proxy, if it can be reached."""
        (other,) = [name for name in PROXIES if name != proxy]
        if self.can_talk(proxy, other):
            fence = messages.FenceAcknowledgements(
                NO_KEY, out.term, log_positions.ORIGIN
            )
            self.at(self.delay(), self.post, other, fence)

    def report_acknowledgements(
        self, proxy: str, out: messages.AcknowledgementsFenced
    ) -> None:
        """Return what a proxy acknowledged to the one that queried it."""
        if out.key == NO_KEY:
            return
        asker, query = self.peer_queries.pop(out.key)
        reported = messages.AcknowledgementsReported(
            query.token,
            self.can_talk(proxy, asker),
            out.position,
            int(self.now_ms) - out.created_ms_ago,
            None
            if out.complete_ms_ago is None
            else int(self.now_ms) - out.complete_ms_ago,
            query.term,
        )
        self.at(self.delay(), self.post, asker, reported)

    def query_fence(self, proxy: str) -> None:
        """Query the holder of the promotion lease for a fence."""
        if proxy != self.holder and not self.can_talk(proxy, self.holder):
            return
        key = next(self.keys)
        self.peer_queries[key] = (proxy, int(self.now_ms))
        asked = messages.CheckFence(key)
        self.at(self.delay(), self.post, self.holder, asked)

    def report_fence(self, out: messages.FenceChecked) -> None:
        """Release the fence of a proxy if none is needed."""
        asker, asked_ms = self.peer_queries.pop(out.key)
        if not out.is_needed:
            released = messages.FenceReleased(asked_ms, out.term)
            self.at(self.delay(), self.post, asker, released)
        elif out.successor:
            reported = messages.HandOverReported(
                asked_ms, out.successor, out.term
            )
            self.at(self.delay(), self.post, asker, reported)

    def delay(self) -> float:
        """Return a random message delay in milliseconds."""
        return self.rng.choice((0.5, 1, 1, 2, 9))

    def grant_lease(self, proxy: str) -> None:
        """Grant the promotion lease; other proxies are not notified."""
        self.next_block += 1000
        self.holder = proxy
        ordered = frozenset(self.recorded_orders)
        self.post(
            proxy,
            messages.PromotionLeaseSeen(
                True,
                self.next_block,
                ordered,
                resumed=frozenset(self.recorded_resumes),
            ),
        )

    def grant_lease_after_yield(
        self, before: str, waited_ms: int = GAIN_MS
    ) -> None:
        """Grant a yielded promotion lease to a proxy that reaches the store.

        The one that yielded it tries again after a while.
        """
        if self.holder != before:
            return
        (other,) = [name for name in PROXIES if name != before]
        candidates = [other]
        if waited_ms >= YIELD_PAUSE_MS:
            candidates.append(before)
        for proxy in candidates:
            if proxy not in self.without_store:
                self.grant_lease(proxy)
                return
        waited_ms += GAIN_MS
        self.at(GAIN_MS, self.grant_lease_after_yield, before, waited_ms)

    def confirm_lease(self, proxy: str) -> None:
        """Confirm the promotion lease if the proxy still holds it."""
        if proxy == self.holder:
            self.post(
                proxy, messages.PromotionLeaseSeen(True, self.next_block)
            )

    def send_list(
        self,
        proxy: str,
        listed: tuple[messages.ListedUpstream, ...] | None = None,
    ) -> None:
        """Send a proxy the current list or an earlier one."""
        if proxy in self.without_store:
            return
        listed = self.listed() if listed is None else listed
        self.post(proxy, messages.UpstreamsSeen(listed))

    def listed(self) -> tuple[messages.ListedUpstream, ...]:
        """Return the list of the platform."""
        return tuple(
            messages.ListedUpstream(
                member.name,
                member.name,
                'dc' if member.name == 'u2' else 'other',
                member.role,
                member.revision,
                member.leaving,
                born_ms=member.born_ms,
                slots=member.slots,
            )
            for member in self.members.values()
            if member.listed
        )

    # ---- connections ----

    def reachable(self, proxy: str, upstream: str) -> bool:
        """Return whether a proxy can reach an upstream."""
        member = self.members.get(upstream)
        if member is None or member.is_down:
            return False
        return frozenset((proxy, upstream)) not in self.cut_pairs

    def is_dial_refused(self, proxy: str, upstream: str) -> bool:
        """Return whether an upstream has ended, or restarts in reach."""
        member = self.members.get(upstream)
        if member is None:
            return True
        is_cut = frozenset((proxy, upstream)) in self.cut_pairs
        return member.is_down and member.refuses_dials and not is_cut

    def dial(self, proxy: str, out: messages.Open) -> None:
        """Answer a dial."""
        if out.connection not in self.states[proxy].connections:
            return
        if self.is_dial_refused(proxy, out.upstream):
            closed = messages.Closed(
                out.connection, outcomes.Reason.CONNECTION_LOST
            )
            self.at(self.delay(), self.post, proxy, closed)
            return
        if not self.reachable(proxy, out.upstream):
            return
        wires = [w for w in self.wires.values() if w.upstream == out.upstream]
        if len(wires) >= fake_group.MAX_CONNECTIONS:
            closed = messages.Closed(
                out.connection,
                outcomes.Reason.CONNECTION_LIMIT,
                Code.CONNECTION_LIMIT,
            )
            self.at(self.delay(), self.post, proxy, closed)
            return
        wire = fake_group.Wire(
            proxy, out.connection, out.upstream, out.organisation
        )
        self.wires[(proxy, out.connection)] = wire
        place = self.members[out.upstream].place()
        opened = messages.Opened(out.connection, place)
        self.at(self.delay(), self.post, proxy, opened)

    def close_wire(self, proxy: str, number: int) -> None:
        """Remove a connection closed by its proxy; this rolls back."""
        self.wires.pop((proxy, number), None)

    def reset(self, wire: fake_group.Wire) -> None:
        """Reset a connection from the side of the upstream."""
        if self.wires.pop((wire.proxy, wire.number), None) is None:
            return
        if wire.silent:
            return
        closed = messages.Closed(
            wire.number,
            outcomes.Reason.CONNECTION_LOST,
            None,
            tuple(wire.replies),
        )
        self.at(self.delay(), self.post, wire.proxy, closed)

    def arrive(self, wire: fake_group.Wire, commands: tuple) -> None:
        """Receive commands at the upstream."""
        if (wire.proxy, wire.number) not in self.wires or wire.silent:
            return
        if not self.reachable(wire.proxy, wire.upstream):
            wire.silent = True
            return
        wire.replies = []
        wire.inbox.extend(command_lines.carry(each) for each in commands)
        if not wire.busy:
            self.work(wire)

    def work(self, wire: fake_group.Wire) -> None:
        """Run the next command of a connection."""
        if (wire.proxy, wire.number) not in self.wires:
            return
        if not wire.inbox:
            self.send_back(wire)
            return
        wire.busy = True
        command = wire.inbox.popleft()
        takes_ms = 0.0
        if isinstance(
            command, statements.Run | statements.Execute | statements.Commit
        ):
            takes_ms = self.rng.choice((1, 3, 8, 30))
        self.at(takes_ms, self.execute, wire, command)

    def send_back(self, wire: fake_group.Wire) -> None:
        """Send the replies to all commands of one batch."""
        wire.busy = False
        if not wire.replies or wire.silent:
            return
        if wire.lose_answer:
            wire.lose_answer = False
            wire.silent = True
            return
        if not self.reachable(wire.proxy, wire.upstream):
            wire.silent = True
            return
        replied = messages.Replied(wire.number, tuple(wire.replies))
        wire.replies = []
        self.at(self.delay(), self.post, wire.proxy, replied)

    # ---- callers ----

    def open_session(self) -> None:
        """Open a session at a random proxy."""
        proxy = self.rng.choice(PROXIES)
        policy = self.rng.choice(POLICIES)
        number = next(self.keys)
        session = sessions.Session(number, policy.database)
        if self.organisations:
            index = number % len(self.organisations)
            session.organisation = self.organisations[index]
        self.sessions.append((proxy, session))

    def submit_statement(
        self,
        proxy: str,
        session: sessions.Session,
        statement: statements.Statement,
    ) -> None:
        """Submit a statement of a session."""
        policy = next(p for p in POLICIES if p.database == session.database)
        before = session.transaction
        result = sessions.handle_statement(
            session, int(self.now_ms), next(self.keys), statement, policy
        )
        if isinstance(result, sessions.LocalAnswer):
            self.record_local_answer(proxy, before, result)
            return
        self.pending[(proxy, result.key)] = session
        self.oracle.submitted(self.now_ms, session, result)
        self.post(proxy, messages.Submit(result))

    def record_local_answer(
        self,
        proxy: str,
        before: sessions.OpenTransaction | None,
        result: sessions.LocalAnswer,
    ) -> None:
        """Record an answer that needed no upstream."""
        if before is None:
            return
        if isinstance(result.outcome, outcomes.Done) and not result.ends:
            return
        writes = self.oracle.uncommitted_writes.pop(before.key, [])
        self.oracle.denied.update(writes)
        if result.ends:
            self.post(proxy, messages.Withdraw(result.ends))

    def take_answer(self, proxy: str, out: messages.Answer) -> None:
        """Deliver an answer to its caller."""
        session = self.pending.pop((proxy, out.key))
        request = next(
            asked.request
            for asked in self.oracle.asked.values()
            if asked.request.key == out.key
        )
        if session.number in self.detached_sessions:
            self.oracle.record_undelivered(request.statement.request_id)
            return
        self.oracle.answered(
            self.now_ms, session, request.statement.request_id, out.outcome
        )
        sessions.record_outcome(session, request, out.outcome)

    def is_busy(self, session: sessions.Session) -> bool:
        """Return whether a session waits for an answer."""
        return any(other is session for other in self.pending.values())

    def end_session(self, proxy: str, session: sessions.Session) -> None:
        """End a session, also inside a transaction."""
        transaction = session.transaction
        key = sessions.fail_transaction(session)
        if transaction is not None:
            writes = self.oracle.uncommitted_writes.pop(transaction.key, [])
            self.oracle.denied.update(writes)
        if key:
            self.post(proxy, messages.Withdraw(key))
        self.sessions.remove((proxy, session))

    def detach_session(self, proxy: str, session: sessions.Session) -> None:
        """End the stream that the requests of a session arrived on.

        The owner rolls back the transaction in any state, also if its first
        statement is still queued; answers are not delivered.
        """
        self.note(f'{proxy} loses the stream of session {session.number}')
        self.detached_sessions.add(session.number)
        in_flight = [
            asked.request
            for asked in self.oracle.asked.values()
            if self.pending.get((proxy, asked.request.key)) is session
        ]
        transaction = session.transaction
        if transaction is not None:
            self.oracle.record_detached(transaction.key, in_flight)
            self.post(proxy, messages.Withdraw(transaction.key))
        self.sessions.remove((proxy, session))

    # ---- the end ----

    def end_faults(self) -> None:
        """End all faults."""
        self.cut_pairs.clear()
        self.without_store.clear()
        for member in self.members.values():
            member.not_receiving_until_ms = 0
            member.failing_until_ms = 0
            member.is_down = False
            member.listed = True
        for wire in list(self.wires.values()):
            if wire.silent:
                wire.silent = False
                self.reset(wire)
        for member in self.members.values():
            if member.role is Role.PRIMARY:
                self.replicate(member)

    def finish(self) -> None:
        """End all faults, let all requests end and check the final log."""
        self.end_faults()
        for proxy in PROXIES:
            self.send_list(proxy)
        # Orders may be three seconds late, and a promotion attempt waits for
        # as long.
        self.run(10_000)
        primaries = [
            m for m in self.members.values() if m.role is Role.PRIMARY
        ]
        if not primaries:
            raise fake_group.Violation('no primary')
        self.oracle.finish(max(primaries, key=lambda m: m.term))
