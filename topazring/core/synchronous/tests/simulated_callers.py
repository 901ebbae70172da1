"""Say what the callers of a crowd do: operations, pauses, tries."""

import collections
import dataclasses

from topazring.core import outcomes
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import messages
from topazring.core.synchronous import request_queues
from topazring.core.synchronous import sessions
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import simulated_upstreams

Verb = statements.Verb

CENTRES = ('a', 'b', 'c')
# One way to an owner or an upstream, within and between data centres.
LOCAL_DELAY_MS = 0.5
# Two hops between data centres and a little of a busy process.
IMMEDIATE_MS = 60
# Callers wait a little before they try again, whatever they are told.
MIN_BACKOFF_MS = 30


@dataclasses.dataclass(frozen=True)
class OperationKind:
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
class Tally:
    """Count what became of the operations of one kind."""

    begun: int = 0
    done: int = 0
    # Of them within the latency goal of their kind.
    in_goal: int = 0
    refused_at_once: int = 0
    waited_in_vain: int = 0


class Operation:
    """Hold one caller's operation: a statement, or a transaction."""

    def __init__(self, crowd, kind: OperationKind):
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
        taken = sessions.handle_statement(
            self.session,
            int(crowd.now_ms),
            key,
            statement,
            self.kind.policy,
        )
        if isinstance(taken, sessions.LocalAnswer):
            self._go_on()
            return
        self._run(taken, forwarding.Plan())

    def _run(self, request: messages.Request, plan: forwarding.Plan) -> None:
        crowd = self.crowd
        place = self.owner
        if not request.continues_transaction:
            loads = crowd.loads[self.entry]
            place = forwarding.next_owner(
                plan,
                crowd.owned,
                '',
                self.centre,
                lambda name: loads[name].expected_ahead(crowd.now_ms),
                request.key,
            )
            if place is None:
                self._answered(request, forwarding.final_outcome(plan))
                return
            plan.tried.append(place)
            self.owner = place
        load = crowd.loads[self.entry][place]
        load.in_flight += 1
        near = crowd.centre_of[place] == self.centre
        hop_ms = (
            LOCAL_DELAY_MS if near else simulated_upstreams.REMOTE_DELAY_MS
        )
        crowd.at(hop_ms, self._submit, place, request, plan, load, hop_ms)

    def _submit(self, place, request, plan, load, hop_ms) -> None:
        crowd = self.crowd

        def take(outcome: outcomes.Outcome) -> None:
            told = request_queues.count(crowd.states[place])
            crowd.at(hop_ms, self._told, request, plan, load, told, outcome)

        crowd.waits[(place, request.key)] = take
        crowd.post(place, messages.Submit(request))

    def _told(self, request, plan, load, told, outcome) -> None:
        load.in_flight -= 1
        load.waiting = told
        load.reported_ms = int(self.crowd.now_ms)
        plan.last = outcome
        if forwarding.is_final(request, outcome):
            self._answered(request, outcome)
        else:
            self._run(request, plan)

    def _answered(self, request, outcome: outcomes.Outcome) -> None:
        sessions.record_outcome(self.session, request, outcome)
        tally = self.crowd.tallies[self.kind.policy.database]
        if not isinstance(outcome, outcomes.Done):
            waited_ms = self.crowd.now_ms - request.arrived_ms
            if waited_ms < IMMEDIATE_MS:
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
        pause_ms = max(MIN_BACKOFF_MS, refusal.retry_after_ms)
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
