"""Simulate owners that share the slots of a primary that serves alone."""

from topazring.core.synchronous import connections
from topazring.core.synchronous import messages
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
    """Record what runs and what waits at the primary."""

    def __init__(
        self,
        seed: int,
        per_s: float,
        owners: int = 8,
        slots: int = SLOTS,
        knows_slots: bool = True,
        max_connections: int = MAX_CONNECTIONS,
    ):
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

    def serve_alone(self, for_ms: float) -> None:
        """Have the replicas apply late for a while."""
        self.run(WARM_UP_MS)
        for replica in self.replicas():
            replica.lag_ms = LATE_MS
        # Reads that accept old data need the primary only after a while.
        self.run(WARM_UP_MS)
        self.reset_tallies()
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

    def _observe(self) -> None:
        primary = self.upstreams['u1']
        self.running_at_primary.append(primary.running)
        self.waiting_at_primary.append(len(primary.waiting))
        self.at(OBSERVE_MS, self._observe)
