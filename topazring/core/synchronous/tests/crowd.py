"""Play a crowd of callers before several owners of one group, in memory.

Upstreams have few slots and a bounded queue, replicas apply late, operations
are single statements or transactions whose callers pause between statements.
Entries choose an owner as the product does and tell it how long a request has.
Time is simulated and everything drawn comes from one seed, so a run is the
same again.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from topazring.core import outcomes
from topazring.core import places
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import group
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous import sessions
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import fake_group
from topazring.core.synchronous import waiting

Code = statements.Code
Role = statements.Role
Verb = statements.Verb

TICK_MS = 20
# One way to an owner or an upstream, within and between data centres.
NEAR_MS = 0.5
FAR_MS = 1.4
CONNECT_MS = 12.0
# A replica's receipt comes back within a few ms.
CONFIRM_MS = 3.0
# Callers wait a little before they try again, whatever they are told.
LEAST_BACKOFF_MS = 30
# Two hops between data centres and a little of a busy process.
AT_ONCE_MS = 60
CENTRES = ('a', 'b', 'c')


@dataclasses.dataclass(frozen=True)
class Kind:
    """Describe one kind of operation."""

    policy: messages.Policy
    per_s: float
    work_ms: float
    writes: float = 0.0
    transactions: float = 0.0
    # A caller gives an operation up after that, and after so many tries.
    patience_ms: int = 1500
    tries: int = 3


@dataclasses.dataclass
class Upstream:
    """Hold one upstream: its slots, its queue and its log."""

    name: str
    role: Role
    data_centre: str
    slots: int
    queue: int
    lag_ms: float = 150.0
    position: int = 5
    in_work: int = 0
    line: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )

    def place(self) -> places.Place:
        """Return the place of the last applied entry."""
        return places.Place(1, self.position)


@dataclasses.dataclass
class Tally:
    """Count what became of the operations of one kind."""

    begun: int = 0
    done: int = 0
    # Of them within the latency goal of their kind.
    in_goal: int = 0
    refused_at_once: int = 0
    waited_in_vain: int = 0


class Crowd:
    """Hold owners, upstreams, callers, and what is under way."""

    def __init__(
        self,
        seed: int,
        kinds: tuple[Kind, ...],
        owners: int = 8,
        share: int = 3,
        slots: int = 3,
        queue: int = 24,
        pause_ms: float = 40.0,
        entries: int = 60,
    ):
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.pause_ms = pause_ms
        self.rate = 1.0
        self.now_ms = 10_000.0
        self.heap: list = []
        self.order = itertools.count()
        self.keys = itertools.count(1)
        self.upstreams = {
            f'u{n}': Upstream(
                f'u{n}',
                Role.PRIMARY if n == 1 else Role.REPLICA,
                CENTRES[n - 1],
                slots,
                queue,
            )
            for n in (1, 2, 3)
        }
        names = [f'o{n}' for n in range(owners)]
        self.owned = ownership.Ownership(
            tuple(
                ownership.Proxy(name, CENTRES[n % 3])
                for n, name in enumerate(names)
            )
        )
        self.wires: dict[tuple[str, int], fake_group.Wire] = {}
        self.centre_of = {o.name: o.data_centre for o in self.owned.owners}
        self.waits: dict[tuple[str, int], object] = {}
        self.tallies = {kind.policy.database: Tally() for kind in kinds}
        # What each entry knows of each owner.
        self.loads = [
            {name: forwarding.Load() for name in names} for _ in range(entries)
        ]
        self.states = {}
        for name in names:
            self._add_owner(name, share)
        for kind in kinds:
            self.at(self.rng.random() * 20, self._come, kind)

    def _add_owner(self, name: str, share: int) -> None:
        state = states.make_group('s', self.centre_of[name], states.Limits())
        state.connection_share = share
        state.began_ms = 0
        self.states[name] = state
        self.post(name, messages.UpstreamsSeen(self._listed()))
        self.at(TICK_MS * self.rng.random(), self._tick, name)

    def _listed(self) -> tuple[messages.Listed, ...]:
        return tuple(
            messages.Listed(u.name, u.name, u.data_centre, u.role, 1)
            for u in self.upstreams.values()
        )

    # ---- time ----

    def at(self, delay_ms: float, call, *args) -> None:
        """Have something happen later."""
        entry = (self.now_ms + delay_ms, next(self.order), call, args)
        heapq.heappush(self.heap, entry)

    def run(self, for_ms: float) -> None:
        """Let time pass."""
        until_ms = self.now_ms + for_ms
        while self.heap[0][0] <= until_ms:
            self.now_ms, _, call, args = heapq.heappop(self.heap)
            call(*args)
        self.now_ms = until_ms

    def forget(self) -> None:
        """Count anew from now on."""
        for name in self.tallies:
            self.tallies[name] = Tally()

    def replicas(self) -> list[Upstream]:
        """Return all upstreams but the primary."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.role is Role.REPLICA
        ]

    # ---- owners ----

    def post(self, owner: str, message: object) -> None:
        """Give an owner's core a message and do what it says."""
        for out in group.step(self.states[owner], int(self.now_ms), message):
            self._perform(owner, out)

    def _tick(self, owner: str) -> None:
        self.post(owner, messages.Tick())
        self.at(TICK_MS, self._tick, owner)

    def _perform(self, owner: str, out: object) -> None:
        match out:
            case messages.Open():
                self.at(CONNECT_MS, self._dial, owner, out)
            case messages.Send():
                wire = self.wires.get((owner, out.connection))
                self.at(FAR_MS, self._arrive, wire, out.commands)
            case messages.Close():
                wire = self.wires.pop((owner, out.connection), None)
                if wire is not None:
                    wire.silent = True
            case messages.Answer():
                self.waits.pop((owner, out.key))(out.outcome)

    def _dial(self, owner: str, out: messages.Open) -> None:
        if out.connection not in self.states[owner].connections:
            return
        wire = fake_group.Wire(owner, out.connection, out.upstream)
        self.wires[(owner, out.connection)] = wire
        place = self.upstreams[out.upstream].place()
        self.post(owner, messages.Opened(out.connection, place))

    # ---- upstreams ----

    def _arrive(self, wire, commands: tuple) -> None:
        if wire is None or wire.silent:
            return
        wire.replies = []
        wire.inbox.extend(commands)
        self._next(wire)

    def _next(self, wire: fake_group.Wire) -> None:
        """Run a connection's next command, or send the replies back."""
        if wire.silent:
            return
        if not wire.inbox:
            replied = messages.Replied(wire.number, tuple(wire.replies))
            self.at(FAR_MS, self._replied, wire, replied)
            return
        command = wire.inbox.popleft()
        upstream = self.upstreams[wire.upstream]
        takes = isinstance(command, statements.Run | statements.Commit)
        if not takes:
            wire.replies.append(self._quick(wire, upstream, command))
            self._next(wire)
            return
        refusal = self._refuses(wire, upstream, command)
        if refusal is not None:
            wire.replies.append(self._refuse(wire, upstream, refusal))
            self._next(wire)
            return
        upstream.line.append((wire, command))
        self._work(upstream)

    def _replied(self, wire, replied: messages.Replied) -> None:
        if not wire.silent:
            self.post(wire.proxy, replied)

    def _ok(self, wire, upstream, **more) -> statements.Reply:
        return statements.Reply(
            signature='signed',
            state=fake_group.wire_state(wire),
            place=upstream.place(),
            **more,
        )

    def _refuse(self, wire, upstream, code: Code) -> statements.Reply:
        if wire.read_only is not None:
            wire.failed = True
        return statements.Reply(
            code=code,
            state=fake_group.wire_state(wire),
            place=upstream.place(),
        )

    def _quick(self, wire, upstream, command) -> statements.Reply:
        match command:
            case statements.Begin():
                if command.after and upstream.place() < command.after:
                    return self._refuse(wire, upstream, Code.LAGGING)
                leads = upstream.role is Role.PRIMARY
                if not command.read_only and not leads:
                    return self._refuse(wire, upstream, Code.READ_ONLY)
                wire.read_only = command.read_only
            case statements.Rollback():
                fake_group.roll_back(wire)
            case statements.Status():
                report = statements.StatusReport(
                    upstream.role, 1, upstream.place(), 0, 0, 0, 0
                )
                return self._ok(wire, upstream, report=report)
        return self._ok(wire, upstream)

    def _refuses(self, wire, upstream, command) -> Code | None:
        after = getattr(command, 'after', None)
        if after is not None and upstream.place() < after:
            return Code.LAGGING
        if len(upstream.line) >= upstream.queue:
            return Code.BUSY
        return None

    def _work(self, upstream: Upstream) -> None:
        while upstream.in_work < upstream.slots and upstream.line:
            wire, command = upstream.line.popleft()
            if wire.silent:
                continue
            upstream.in_work += 1
            takes_ms = self._takes_ms(command)
            self.at(takes_ms, self._finish, upstream, wire, command)

    def _takes_ms(self, command) -> float:
        if isinstance(command, statements.Commit):
            return 3.0
        mean_ms = float(command.text.split()[1])
        return mean_ms * self.rng.lognormvariate(-0.2, 0.6)

    def _finish(self, upstream, wire, command) -> None:
        upstream.in_work -= 1
        self._work(upstream)
        if wire.silent:
            return
        writes = isinstance(command, statements.Run) and (
            command.text.startswith('w')
        )
        commits = isinstance(command, statements.Commit)
        if commits or writes and wire.read_only is None:
            committed = bool(wire.writes) or writes
            fake_group.roll_back(wire)
            if committed:
                self._append(upstream)
                self.at(CONFIRM_MS, self._confirm, upstream, wire)
                return
        elif writes:
            wire.writes.append(command.request_id)
        self._confirm(upstream, wire)

    def _confirm(self, upstream, wire) -> None:
        if wire.silent:
            return
        wire.replies.append(self._ok(wire, upstream))
        self._next(wire)

    def _append(self, upstream: Upstream) -> None:
        upstream.position += 1
        for other in self.upstreams.values():
            if other is not upstream:
                self.at(other.lag_ms, self._apply, other, upstream.position)

    def _apply(self, replica: Upstream, position: int) -> None:
        replica.position = max(replica.position, position)

    # ---- callers ----

    def _come(self, kind: Kind) -> None:
        """Begin an operation, and say when the next one comes."""
        per_ms = kind.per_s * self.rate / 1000
        self.at(self.rng.expovariate(per_ms), self._come, kind)
        self.tallies[kind.policy.database].begun += 1
        Operation(self, kind).start()


class Operation:
    """Hold one caller's operation: a statement, or a transaction."""

    def __init__(self, crowd: Crowd, kind: Kind):
        self.crowd = crowd
        self.kind = kind
        self.began_ms = crowd.now_ms
        self.entry = crowd.rng.randrange(len(crowd.loads))
        self.centre = CENTRES[self.entry % len(CENTRES)]
        self.session = sessions.Session(0, kind.policy.database)
        self.owner = ''
        # Time that the caller itself took.
        self.paused_ms = 0.0
        rng = crowd.rng
        self.tries_left = kind.tries
        one = Verb.WRITE if rng.random() < kind.writes else Verb.READ
        if rng.random() < kind.transactions:
            body = [
                Verb.WRITE if rng.random() < kind.writes else Verb.READ
                for _ in range(rng.randint(1, 6))
            ]
            self.body = [Verb.BEGIN, *body, Verb.COMMIT]
        else:
            self.body = [one]
        self.todo: collections.deque[Verb] = collections.deque()

    def start(self) -> None:
        """Say the first statement, of the first try or of another."""
        self.tries_left -= 1
        self.todo = collections.deque(self.body)
        self._say()

    def _say(self) -> None:
        crowd = self.crowd
        verb = self.todo.popleft()
        text = f'{verb} {self.kind.work_ms}'
        key = next(crowd.keys)
        read_only = verb is Verb.BEGIN and self.kind.writes == 0
        statement = statements.Statement(
            f'r{key}', verb, text, read_only=read_only
        )
        taken = sessions.take(
            self.session,
            int(crowd.now_ms),
            key,
            statement,
            self.kind.policy,
        )
        if isinstance(taken, sessions.Local):
            self._go_on()
            return
        self._run(taken, forwarding.Plan())

    def _run(self, request: messages.Request, plan: forwarding.Plan) -> None:
        crowd = self.crowd
        place = self.owner
        if not request.goes_on:
            loads = crowd.loads[self.entry]
            place = forwarding.next_place(
                plan,
                crowd.owned,
                '',
                self.centre,
                lambda name: loads[name].expected(crowd.now_ms),
                request.key,
            )
            if place is None:
                self._answered(request, forwarding.give_up(plan))
                return
            plan.tried.append(place)
            self.owner = place
        load = crowd.loads[self.entry][place]
        load.under_way += 1
        near = crowd.centre_of[place] == self.centre
        hop_ms = NEAR_MS if near else FAR_MS
        crowd.at(hop_ms, self._submit, place, request, plan, load, hop_ms)

    def _submit(self, place, request, plan, load, hop_ms) -> None:
        crowd = self.crowd

        def take(outcome: outcomes.Outcome) -> None:
            told = waiting.count(crowd.states[place])
            crowd.at(hop_ms, self._told, request, plan, load, told, outcome)

        crowd.waits[(place, request.key)] = take
        crowd.post(place, messages.Submit(request))

    def _told(self, request, plan, load, told, outcome) -> None:
        load.under_way -= 1
        load.waiting = told
        load.told_ms = int(self.crowd.now_ms)
        plan.last = outcome
        if forwarding.is_final(request, outcome):
            self._answered(request, outcome)
        else:
            self._run(request, plan)

    def _answered(self, request, outcome: outcomes.Outcome) -> None:
        sessions.finish(self.session, request, outcome)
        tally = self.crowd.tallies[self.kind.policy.database]
        if not isinstance(outcome, outcomes.Done):
            waited_ms = self.crowd.now_ms - request.arrived_ms
            if waited_ms < AT_ONCE_MS:
                tally.refused_at_once += 1
            else:
                tally.waited_in_vain += 1
            if isinstance(outcome, outcomes.NotRun):
                self._come_back(outcome)
            return
        self._go_on()

    def _come_back(self, refusal: outcomes.NotRun) -> None:
        """Try again, in full, once that is worth it."""
        left_ms = self.kind.patience_ms - (self.crowd.now_ms - self.began_ms)
        pause_ms = max(LEAST_BACKOFF_MS, refusal.retry_after_ms)
        if not self.tries_left or pause_ms >= left_ms:
            return
        self.session = sessions.Session(0, self.kind.policy.database)
        self.crowd.at(pause_ms, self.start)

    def _go_on(self) -> None:
        crowd = self.crowd
        if self.todo:
            pause_ms = crowd.rng.expovariate(1 / crowd.pause_ms)
            self.paused_ms += pause_ms
            crowd.at(pause_ms, self._say)
            return
        tally = crowd.tallies[self.kind.policy.database]
        took_ms = crowd.now_ms - self.began_ms - self.paused_ms
        if took_ms <= self.kind.patience_ms:
            tally.done += 1
        if took_ms <= self.kind.policy.latency_goal_ms:
            tally.in_goal += 1
