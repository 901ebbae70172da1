"""Put proxies' cores before a group of upstreams and let things go wrong.

Time is simulated: events lie in a heap. Links delay, connections go silent,
upstreams go dark or deaf, orders arrive late, holders of the duty change and
overlap. The oracle watches what upstreams run and what callers get.
"""

import collections
import itertools
import random

from topazring.core import outcomes
from topazring.core.synchronous import group
from topazring.core.synchronous import messages
from topazring.core.synchronous import sessions
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
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
# All proxies see that the duty is free, and one gains it.
GAIN_MS = 150
# Reading the list anew, the longest answer included.
LIST_READ_MS = 10
POLICIES = (
    messages.Policy('exact', 's', messages.Freshness.PRIMARY, 0, 600),
    messages.Policy('bounded', 's', messages.Freshness.BOUNDED, 500, 900),
    messages.Policy('own', 's', messages.Freshness.SESSION, 800, 600),
)


class Simulation(upstream_side.UpstreamSide, simulated_time.SimulatedTime):
    """Hold proxies, upstreams, what is under way, and the oracle."""

    def __init__(self, seed: int, promote_ms: int = upstream_side.PROMOTE_MS):
        super().__init__(now_ms=1000)
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
        self.next_block = 0
        self.holder = ''
        self.wires: dict[tuple[str, int], fake_group.Wire] = {}
        self.waiting_acks: list = []
        self.cut_pairs: set[frozenset[str]] = set()
        self.states: dict[str, states.GroupState] = {}
        self.frozen_until_ms: dict[str, int] = {}
        # What came for a proxy that stands still.
        self.frozen_inboxes = {name: collections.deque() for name in PROXIES}
        self.sessions: list[tuple[str, sessions.Session]] = []
        self.pending: dict[tuple[str, int], sessions.Session] = {}
        # Sessions whose answers reach nobody any more.
        self.lost_entries: set[int] = set()
        self.signatures = itertools.count(1)
        # Numbers of upstreams that come later.
        self.newcomers = itertools.count(len(UPSTREAMS) + 1)
        # Until then members are replaced one after the other.
        self.replaced_until_ms = 0.0
        self.trace: list[str] = []
        for proxy in PROXIES:
            self.states[proxy] = states.make_group('s', 'dc', states.Limits())
            self.post(proxy, messages.InstancesSeen(2, 8))
            self.tell_list(proxy)
            self.at(TICK_MS, self.tick, proxy, self.now_ms)
        self.give_duty('p1')

    def note(self, text: str) -> None:
        """Keep a line for whoever reads a failure."""
        self.trace.append(f'{self.now_ms:.0f} {text}')

    # ---- proxies ----

    def is_frozen(self, proxy: str) -> bool:
        """Say whether a proxy stands still."""
        return self.now_ms < self.frozen_until_ms.get(proxy, 0)

    def post(self, proxy: str, message: object) -> None:
        """Give a proxy's core a message, now or when it goes on."""
        held = self.frozen_inboxes[proxy]
        if held or self.is_frozen(proxy):
            held.append(message)
            if len(held) == 1:
                self.thaw(proxy)
            return
        self.deliver(proxy, message)

    def thaw(self, proxy: str) -> None:
        """Deliver what came while a proxy stood still, in order."""
        if self.is_frozen(proxy):
            delay_ms = self.frozen_until_ms[proxy] - self.now_ms
            self.at(delay_ms, self.thaw, proxy)
            return
        while self.frozen_inboxes[proxy]:
            self.deliver(proxy, self.frozen_inboxes[proxy].popleft())

    def deliver(self, proxy: str, message: object) -> None:
        """Give a proxy's core a message and do what it says."""
        outs = group.step(self.states[proxy], int(self.now_ms), message)
        broken = invariants.broken(self.states[proxy])
        if broken:
            raise fake_group.Violation(f'{proxy} after {message}: {broken}')
        for out in outs:
            self.perform(proxy, out)

    def tick(self, proxy: str, before_ms: float) -> None:
        """Tick a core, late after it stood still."""
        if self.is_frozen(proxy):
            delay_ms = self.frozen_until_ms[proxy] - self.now_ms
            self.at(delay_ms, self.tick, proxy, before_ms)
            return
        paused_ms = int(self.now_ms - before_ms - TICK_MS)
        self.post(proxy, messages.Tick(max(0, paused_ms)))
        if paused_ms >= group.LEASE_RECHECK_PAUSE_MS:
            self.at(30, self.confirm_duty, proxy)
        self.at(TICK_MS, self.tick, proxy, self.now_ms)

    def perform(self, proxy: str, out: object) -> None:
        """Do what a core said."""
        match out:
            case messages.Open():
                self.at(self.delay(), self.dial, proxy, out)
            case messages.Send():
                wire = self.wires.get((proxy, out.connection))
                if wire is not None and not wire.silent:
                    self.at(self.delay(), self.arrive, wire, out.commands)
            case messages.Close():
                self.at(self.delay(), self.hang_up, proxy, out.connection)
            case messages.Answer():
                self.take_answer(proxy, out)
            case messages.OrderPromotion():
                self.order_promotion(proxy, out)
            case messages.ReadUpstreamList():
                self.at(self.delay(), self.read_list, proxy, out)
            case messages.YieldPromotionLease():
                self.at(GAIN_MS, self.gain_duty_after, proxy)
            case messages.LogDecision():
                self.note(f'{proxy} {out.what} {dict(out.inputs)}')

    def read_list(self, proxy: str, out: messages.ReadUpstreamList) -> None:
        """Tell a proxy what is listed now; the answer takes its time."""
        self.at(self.delay(), self.tell_list, proxy, self.listed())
        self.at(
            LIST_READ_MS,
            self.post,
            proxy,
            messages.UpstreamListRead(out.token),
        )

    def delay(self) -> float:
        """Return how long a message takes."""
        return self.rng.choice((0.5, 1, 1, 2, 9))

    def give_duty(self, proxy: str) -> None:
        """Let a proxy gain the duty; the others may not know it yet."""
        self.next_block += 1000
        self.holder = proxy
        self.post(proxy, messages.PromotionLeaseSeen(True, self.next_block))

    def gain_duty_after(self, before: str) -> None:
        """Let another proxy gain the duty that one gave up."""
        if self.holder == before:
            (other,) = [name for name in PROXIES if name != before]
            self.give_duty(other)

    def confirm_duty(self, proxy: str) -> None:
        """Tell a proxy that asked whether it still holds the duty."""
        if proxy == self.holder:
            self.post(
                proxy, messages.PromotionLeaseSeen(True, self.next_block)
            )

    def tell_list(
        self,
        proxy: str,
        listed: tuple[messages.ListedUpstream, ...] | None = None,
    ) -> None:
        """Tell a proxy what the platform lists, now or when it was read."""
        listed = self.listed() if listed is None else listed
        self.post(proxy, messages.UpstreamsSeen(listed))

    def listed(self) -> tuple[messages.ListedUpstream, ...]:
        """Return what the platform lists."""
        return tuple(
            messages.ListedUpstream(
                member.name,
                member.name,
                'dc' if member.name == 'u2' else 'other',
                member.role,
                member.revision,
                member.leaving,
                born_ms=member.born_ms,
            )
            for member in self.members.values()
            if member.listed
        )

    # ---- connections ----

    def reachable(self, proxy: str, upstream: str) -> bool:
        """Say whether new connections get through."""
        member = self.members.get(upstream)
        if member is None or member.dark:
            return False
        return frozenset((proxy, upstream)) not in self.cut_pairs

    def dial(self, proxy: str, out: messages.Open) -> None:
        """Answer a new connection."""
        if out.connection not in self.states[proxy].connections:
            return
        if out.upstream not in self.members:
            # Nobody listens there any more.
            closed = messages.Closed(
                out.connection, outcomes.Reason.CONNECTION_LOST
            )
            self.at(self.delay(), self.post, proxy, closed)
            return
        if not self.reachable(proxy, out.upstream):
            return
        held = [w for w in self.wires.values() if w.upstream == out.upstream]
        if len(held) >= fake_group.MAX_CONNECTIONS:
            closed = messages.Closed(
                out.connection,
                outcomes.Reason.CONNECTION_LIMIT,
                Code.CONNECTION_LIMIT,
            )
            self.at(self.delay(), self.post, proxy, closed)
            return
        wire = fake_group.Wire(proxy, out.connection, out.upstream)
        self.wires[(proxy, out.connection)] = wire
        place = self.members[out.upstream].place()
        opened = messages.Opened(out.connection, place)
        self.at(self.delay(), self.post, proxy, opened)

    def hang_up(self, proxy: str, number: int) -> None:
        """End a connection that its proxy closed; it rolls back."""
        self.wires.pop((proxy, number), None)

    def reset(self, wire: fake_group.Wire) -> None:
        """End a connection from the upstream's side."""
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
        """Take commands in at the upstream."""
        if (wire.proxy, wire.number) not in self.wires or wire.silent:
            return
        if not self.reachable(wire.proxy, wire.upstream):
            wire.silent = True
            return
        wire.replies = []
        wire.inbox.extend(commands)
        if not wire.busy:
            self.work(wire)

    def work(self, wire: fake_group.Wire) -> None:
        """Run a connection's next command."""
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
        """Send the replies to all that came in one piece."""
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
        """Begin a session at some proxy."""
        proxy = self.rng.choice(PROXIES)
        policy = self.rng.choice(POLICIES)
        session = sessions.Session(next(self.keys), policy.database)
        self.sessions.append((proxy, session))

    def say(
        self, proxy: str, session: sessions.Session, text: statements.Statement
    ) -> None:
        """Have a session's caller send a statement."""
        policy = next(p for p in POLICIES if p.database == session.database)
        before = session.transaction
        taken = sessions.handle_statement(
            session, int(self.now_ms), next(self.keys), text, policy
        )
        if isinstance(taken, sessions.LocalAnswer):
            self.local(proxy, before, taken)
            return
        self.pending[(proxy, taken.key)] = session
        self.oracle.submitted(self.now_ms, session, taken)
        self.post(proxy, messages.Submit(taken))

    def local(
        self,
        proxy: str,
        before: sessions.OpenTransaction | None,
        taken: sessions.LocalAnswer,
    ) -> None:
        """Note an answer that needed no upstream."""
        if before is None:
            return
        if isinstance(taken.outcome, outcomes.Done) and not taken.ends:
            return
        writes = self.oracle.open_writes.pop(before.key, [])
        self.oracle.denied.update(writes)
        if taken.ends:
            self.post(proxy, messages.Withdraw(taken.ends))

    def take_answer(self, proxy: str, out: messages.Answer) -> None:
        """Give a caller an answer."""
        session = self.pending.pop((proxy, out.key))
        request = next(
            asked.request
            for asked in self.oracle.asked.values()
            if asked.request.key == out.key
        )
        if session.number in self.lost_entries:
            self.oracle.dismissed(request.statement.request_id)
            return
        self.oracle.answered(
            self.now_ms, session, request.statement.request_id, out.outcome
        )
        sessions.record_outcome(session, request, out.outcome)

    def is_busy(self, session: sessions.Session) -> bool:
        """Say whether a session waits for an answer."""
        return any(other is session for other in self.pending.values())

    def leave(self, proxy: str, session: sessions.Session) -> None:
        """Have a caller leave in the middle of whatever it does."""
        transaction = session.transaction
        key = sessions.fail_transaction(session)
        if transaction is not None:
            writes = self.oracle.open_writes.pop(transaction.key, [])
            self.oracle.denied.update(writes)
        if key:
            self.post(proxy, messages.Withdraw(key))
        self.sessions.remove((proxy, session))

    def lose_entry(self, proxy: str, session: sessions.Session) -> None:
        """Have the stream end that a session's requests came in on.

        Its owner undoes the transaction whatever it is at, also one whose
        first statement still waits; answers go to nobody.
        """
        self.note(f'{proxy} loses the entry of session {session.number}')
        self.lost_entries.add(session.number)
        under_way = [
            asked.request
            for asked in self.oracle.asked.values()
            if self.pending.get((proxy, asked.request.key)) is session
        ]
        transaction = session.transaction
        if transaction is not None:
            self.oracle.entry_lost(transaction.key, under_way)
            self.post(proxy, messages.Withdraw(transaction.key))
        self.sessions.remove((proxy, session))

    # ---- the end ----

    def heal(self) -> None:
        """End every fault."""
        self.cut_pairs.clear()
        for member in self.members.values():
            member.deaf_until_ms = 0
            member.dark = False
            member.listed = True
        for wire in list(self.wires.values()):
            if wire.silent:
                wire.silent = False
                self.reset(wire)
        for member in self.members.values():
            if member.role is Role.PRIMARY:
                self.replicate(member)

    def finish(self) -> None:
        """Heal, let everything end, and check what is left."""
        self.heal()
        for proxy in PROXIES:
            self.tell_list(proxy)
        # Orders may be three seconds late, and an attempt waits as long.
        self.run(10_000)
        primaries = [
            m for m in self.members.values() if m.role is Role.PRIMARY
        ]
        if not primaries:
            raise fake_group.Violation('nobody leads')
        self.oracle.finish(max(primaries, key=lambda m: m.term))
