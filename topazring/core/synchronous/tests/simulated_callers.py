"""Simulate callers: their operations, pauses and retries."""

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
# One-way delay within a data centre; REMOTE_DELAY_MS applies between them.
LOCAL_DELAY_MS = 0.5
# Answers within this time count as immediate: two hops between data centres,
# and some processing time in a busy process.
IMMEDIATE_MS = 60
# Minimum delay before a caller retries, whatever retry delay it was given.
MIN_BACKOFF_MS = 30


@dataclasses.dataclass(frozen=True)
class OperationKind:
    """Describe one kind of operation."""

    policy: messages.Policy
    per_s: float
    work_ms: float
    writes: float = 0.0
    transactions: float = 0.0
    # A caller gives up an operation after this time or number of attempts.
    patience_ms: int = 1500
    tries: int = 3


@dataclasses.dataclass
class Tally:
    """Count the outcomes of the operations of one kind."""

    begun: int = 0
    done: int = 0
    # Done within the latency goal of the kind.
    in_goal: int = 0
    refused_immediately: int = 0
    failed_after_waiting: int = 0
    # Operations by how they ended: after the latency goal, or given up by
    # their callers after an immediate refusal or a failure that took longer.
    late: int = 0
    ended_refused: int = 0
    ended_failed: int = 0
    # How the operations ended, by organisation and one of `begun`, `in_goal`,
    # `late`, `refused` and `failed`.
    ends: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    # How long the operations of each organisation took.
    by_organisation: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )


class Operation:
    """Hold one caller's operation: a statement, or a transaction."""

    def __init__(
        self, simulation, kind: OperationKind, tally: Tally | None = None
    ):
        self.simulation = simulation
        self.kind = kind
        # Counted here instead of with the other operations of the kind.
        self.own_tally = tally
        # How long the caller rests before each statement of a transaction but
        # the first; None if it pauses as others do.
        self.rest_ms: float | None = None
        self.began_ms = simulation.now_ms
        self.entry = simulation.rng.randrange(len(simulation.loads))
        self.centre = CENTRES[self.entry % len(CENTRES)]
        self.organisation = simulation.draw_organisation()
        self.session = self._new_session()
        self.owner = ''
        # Total time that the caller paused between statements.
        self.paused_ms = 0.0
        rng = simulation.rng
        self.tries_left = kind.tries
        single = Verb.WRITE if rng.random() < kind.writes else Verb.READ
        if rng.random() < kind.transactions:
            body = [
                Verb.WRITE if rng.random() < kind.writes else Verb.READ
                for _ in range(rng.randint(1, 6))
            ]
            self.body = [Verb.BEGIN, *body, Verb.COMMIT]
        else:
            self.body = [single]
        self.remaining: collections.deque[Verb] = collections.deque()
        self._tally().ends[(self.organisation, 'begun')] += 1

    def _tally(self) -> Tally:
        """Return the tally of its kind, or its own."""
        if self.own_tally is not None:
            return self.own_tally
        return self.simulation.tallies[self.kind.policy.database]

    def set_organisation(self, name: str) -> None:
        """Change the organisation before the operation starts."""
        self._tally().ends[(self.organisation, 'begun')] -= 1
        self._tally().ends[(name, 'begun')] += 1
        self.organisation = name
        self.session = self._new_session()

    def _new_session(self) -> sessions.Session:
        return sessions.Session(
            0, self.kind.policy.database, self.organisation
        )

    def start(self) -> None:
        """Start an attempt with the first statement of the operation."""
        self.tries_left -= 1
        self.remaining = collections.deque(self.body)
        self._send_next()

    def _send_next(self) -> None:
        simulation = self.simulation
        verb = self.remaining.popleft()
        text = f'{verb} {self.kind.work_ms}'
        key = next(simulation.keys)
        read_only = verb is Verb.BEGIN and self.kind.writes == 0
        statement = statements.Statement(
            f'r{key}', verb, text, read_only=read_only
        )
        result = sessions.handle_statement(
            self.session,
            int(simulation.now_ms),
            key,
            statement,
            self.kind.policy,
        )
        if isinstance(result, sessions.LocalAnswer):
            self._continue()
            return
        self._forward(result, forwarding.Plan())

    def _forward(
        self, request: messages.Request, plan: forwarding.Plan
    ) -> None:
        simulation = self.simulation
        owner = self.owner
        if not request.continues_transaction:
            loads = simulation.loads[self.entry]
            owner = forwarding.next_owner(
                plan,
                simulation.owned,
                '',
                self.centre,
                lambda name: loads[name].expected_ahead(simulation.now_ms),
                request.key,
                request.organisation,
            )
            if owner is None:
                self._complete(request, forwarding.final_outcome(plan))
                return
            plan.tried.append(owner)
            self.owner = owner
        load = simulation.loads[self.entry][owner]
        load.in_flight += 1
        is_local = simulation.centre_of[owner] == self.centre
        hop_ms = (
            LOCAL_DELAY_MS if is_local else simulated_upstreams.REMOTE_DELAY_MS
        )
        simulation.at(hop_ms, self._submit, owner, request, plan, load, hop_ms)

    def _submit(self, owner, request, plan, load, hop_ms) -> None:
        simulation = self.simulation

        def deliver(outcome: outcomes.Outcome) -> None:
            queue_length = request_queues.count(simulation.states[owner])
            simulation.at(
                hop_ms,
                self._handle_answer,
                request,
                plan,
                load,
                queue_length,
                outcome,
            )

        simulation.pending_answers[(owner, request.key)] = deliver
        simulation.post(owner, messages.Submit(request))

    def _handle_answer(
        self, request, plan, load, queue_length, outcome
    ) -> None:
        load.in_flight -= 1
        load.waiting = queue_length
        load.reported_ms = int(self.simulation.now_ms)
        plan.last = outcome
        if forwarding.is_final(request, outcome):
            self._complete(request, outcome)
        else:
            self._forward(request, plan)

    def _complete(self, request, outcome: outcomes.Outcome) -> None:
        sessions.record_outcome(self.session, request, outcome)
        tally = self._tally()
        if not isinstance(outcome, outcomes.Done):
            waited_ms = self.simulation.now_ms - request.arrived_ms
            is_immediate = waited_ms < IMMEDIATE_MS
            if is_immediate:
                tally.refused_immediately += 1
            else:
                tally.failed_after_waiting += 1
            not_run = isinstance(outcome, outcomes.NotRun)
            if not_run and self._retry(outcome):
                return
            if is_immediate:
                tally.ended_refused += 1
            else:
                tally.ended_failed += 1
            end = 'refused' if is_immediate else 'failed'
            tally.ends[(self.organisation, end)] += 1
            return
        self._continue()

    def _retry(self, refusal: outcomes.NotRun) -> bool:
        """Retry the whole operation after the given delay, if time is left.

        Return whether it is retried.
        """
        left_ms = self.kind.patience_ms - (
            self.simulation.now_ms - self.began_ms
        )
        pause_ms = max(MIN_BACKOFF_MS, refusal.retry_after_ms)
        if not self.tries_left or pause_ms >= left_ms:
            return False
        self.session = self._new_session()
        self.simulation.at(pause_ms, self.start)
        return True

    def _continue(self) -> None:
        simulation = self.simulation
        if self.remaining:
            pause_ms = simulation.rng.expovariate(1 / simulation.pause_ms)
            if self.rest_ms is not None and not self._is_first():
                pause_ms = self.rest_ms
            self.paused_ms += pause_ms
            simulation.at(pause_ms, self._send_next)
            return
        tally = self._tally()
        tally.by_organisation[self.organisation].append(
            simulation.now_ms - self.began_ms - self.paused_ms
        )
        took_ms = simulation.now_ms - self.began_ms - self.paused_ms
        if took_ms <= self.kind.patience_ms:
            tally.done += 1
        else:
            tally.ended_failed += 1
        if self.kind.policy.latency_goal_ms < took_ms <= self.kind.patience_ms:
            tally.late += 1
        if took_ms <= self.kind.policy.latency_goal_ms:
            tally.in_goal += 1
        is_late = took_ms > self.kind.policy.latency_goal_ms
        end = 'late' if is_late else 'in_goal'
        tally.ends[(self.organisation, end)] += 1

    def _is_first(self) -> bool:
        """Return whether no statement of a transaction has been sent."""
        return len(self.remaining) == len(self.body) - 1
