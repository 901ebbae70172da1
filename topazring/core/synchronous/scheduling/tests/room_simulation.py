"""Simulate owners that share the slots of a primary that serves alone."""

import statistics

from topazring.core.synchronous import concurrency_limit
from topazring.core.synchronous import connections
from topazring.core.synchronous import messages
from topazring.core.synchronous import request_queues
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import load_simulation
from topazring.core.synchronous.tests import simulated_callers

SLOTS = 5
QUEUE = 40
MAX_CONNECTIONS = 61
LATE_MS = 100_000
WARM_UP_MS = 3000
OBSERVE_MS = 10

TRADE = messages.Policy(
    'trade', 's', messages.Freshness.PRIMARY, 0, 1000, 200, 1
)
RANKING = messages.Policy(
    'ranking', 's', messages.Freshness.BOUNDED, 1500, 2000, 600, 2
)
MARKET = messages.Policy(
    'market', 's', messages.Freshness.SESSION, 2500, 1000, 400, 2
)


def kinds(per_s: float) -> tuple[simulated_callers.OperationKind, ...]:
    """Return the mix of operations at a total rate."""
    return (
        simulated_callers.OperationKind(
            TRADE, 0.15 * per_s, 6.8, writes=0.35, transactions=0.25
        ),
        simulated_callers.OperationKind(RANKING, 0.15 * per_s, 34),
        simulated_callers.OperationKind(
            MARKET, 0.7 * per_s, 20, writes=0.12, transactions=0.12
        ),
    )


class RoomSimulation(load_simulation.LoadSimulation):
    """Record the estimated and the seen waits of admitted requests."""

    def __init__(
        self,
        seed: int,
        per_s: float,
        owners: int = 8,
        slots: int = SLOTS,
        knows_slots: bool = True,
        max_connections: int = MAX_CONNECTIONS,
    ):
        # By owner and key: the request, and when it was estimated to start.
        self.waiting: dict = {}
        # By database: pairs of an estimated and a seen wait.
        self.waits: dict[str, list[tuple[float, float]]] = {}
        # Statements that run and that wait at the primary, at intervals.
        self.running_at_primary: list[int] = []
        self.waiting_at_primary: list[int] = []
        super().__init__(
            seed,
            kinds(per_s),
            owners=owners,
            share=connections.share_of(max_connections, owners, owners - 1),
            slots=slots,
            queue=QUEUE,
            knows_slots=knows_slots,
        )
        # Service times are multiplied by this.
        self.slowness = 1.0

    def _duration_ms(self, command) -> float:
        return self.slowness * super()._duration_ms(command)

    def post(self, owner: str, message: object) -> None:
        """Pass a message on; compare the wait of a request as estimated."""
        state = self.states[owner]
        trial = None
        if isinstance(message, messages.Submit):
            request = message.request
            trial = states.Work(request, 0, primary_only=request.needs_primary)
            expected_ms = self._expected_wait_ms(state, trial)
        super().post(owner, message)
        if trial is None or trial.estimate is None:
            return
        work = state.work.get(request.key)
        if work is not None and work.is_queued:
            work.estimate = trial.estimate
            self.waiting[(owner, request.key)] = work, expected_ms

    def _expected_wait_ms(
        self, state: states.GroupState, work: states.Work
    ) -> float:
        """Return the expected wait; 0 for the first in the queue."""
        request = work.request
        if request.continues_transaction or state.primary != 'u1':
            return 0.0
        ahead = request_queues.count_ahead(state, True, request)
        if not request.needs_primary:
            ahead += request_queues.count_ahead(state, False, request)
        return concurrency_limit.expected_wait_ms(
            state, ahead, [state.upstreams['u1']], work, int(self.now_ms)
        )

    def _perform(self, owner: str, out: object) -> None:
        if isinstance(out, messages.Answer):
            waiting = self.waiting.pop((owner, out.key), None)
            if waiting is not None and waiting[0].first_sent_ms is not None:
                work, expected_ms = waiting
                request = work.request
                seen_ms = work.first_sent_ms - request.arrived_ms
                pairs = self.waits.setdefault(request.policy.database, [])
                pairs.append((expected_ms, seen_ms))
        super()._perform(owner, out)

    def serve_alone(self, for_ms: float) -> None:
        """Have the replicas apply late for a while."""
        self.run(WARM_UP_MS)
        for replica in self.replicas():
            replica.lag_ms = LATE_MS
        # Reads that accept old data need the primary only after a while.
        self.run(WARM_UP_MS)
        self.reset_tallies()
        self.waits.clear()
        self._observe()
        self.run(for_ms)

    def in_goal(self) -> float:
        """Return the share of operations that were done within their goal."""
        tallies = self.tallies.values()
        return sum(t.in_goal for t in tallies) / sum(t.begun for t in tallies)

    def refused_by_full_queue(self) -> int:
        """Return how many statements the upstreams refused as busy."""
        return sum(
            upstream.refused[statements.Code.BUSY]
            for upstream in self.upstreams.values()
        )

    def estimate_error(self, database: str) -> float:
        """Return the mean seen wait in proportion to the mean estimate."""
        pairs = self.waits[database]
        seen_ms = statistics.fmean(seen for _, seen in pairs)
        return seen_ms / statistics.fmean(expected for expected, _ in pairs)

    def _observe(self) -> None:
        primary = self.upstreams['u1']
        self.running_at_primary.append(primary.running)
        self.waiting_at_primary.append(len(primary.waiting))
        self.at(OBSERVE_MS, self._observe)
