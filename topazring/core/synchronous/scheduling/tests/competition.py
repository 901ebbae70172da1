"""Play organisations that compete for the upstreams of one group."""

import dataclasses

from topazring.core.synchronous import messages
from topazring.core.synchronous.tests import load_simulation
from topazring.core.synchronous.tests import simulated_callers

__all__ = ['Play', 'Served', 'play']

TRADE = messages.Policy(
    'trade', 's', messages.Freshness.PRIMARY, 0, 1000, 255, 0
)
RANKING = messages.Policy(
    'ranking', 's', messages.Freshness.BOUNDED, 1500, 2000, 1205, 2
)
RECORDS = messages.Policy(
    'records', 's', messages.Freshness.SESSION, 2500, 1000, 505, 1
)
HOT = 'o0'
WARM_UP_MS = 3000
HOT_MS = 3000
AFTER_MS = 3000
# Then nothing new is asked until all that was is answered.
END_MS = 5000


@dataclasses.dataclass(frozen=True)
class Play:
    """Describe one play; rates are in operations a second."""

    seed: int
    per_s: float = 160.0
    organisations: int = 80
    owners: int = 8
    share: int = 7
    # What the hot organisation sends, in parts of its usual.
    hot_factor: float = 1.0
    replicas_lag_ms: float = 150.0
    # Callers that rest in transactions, whose they are, and how long.
    resting: int = 0
    resting_organisation: str = ''
    rest_ms: float = 3000.0
    anonymous: bool = False


@dataclasses.dataclass(frozen=True)
class Served:
    """Hold how some of the operations were served."""

    begun: int
    in_goal: float
    late: float
    refused: float
    failed: float
    p99_ms: float


def kinds(per_s: float) -> tuple[simulated_callers.OperationKind, ...]:
    """Return a customer's mix of operations at a total rate."""
    return (
        simulated_callers.OperationKind(
            TRADE, 0.13 * per_s, 8, writes=0.35, transactions=0.25
        ),
        simulated_callers.OperationKind(
            RANKING, 0.24 * per_s, 40, transactions=0.1, patience_ms=5000
        ),
        simulated_callers.OperationKind(
            RECORDS, 0.63 * per_s, 24, writes=0.12, transactions=0.12
        ),
    )


def play(what: Play) -> load_simulation.LoadSimulation:
    """Play a calm start, a hot organisation, and what follows."""
    shares = {f'o{n}': 1 / (n + 1) ** 0.8 for n in range(what.organisations)}
    simulation = load_simulation.LoadSimulation(
        what.seed,
        kinds(what.per_s),
        owners=what.owners,
        share=what.share,
        slots=5,
        queue=40,
        organisations={} if what.anonymous else shares,
    )
    simulation.run(WARM_UP_MS)
    simulation.reset_tallies()
    simulation.dials_before = dials(simulation)
    for upstream in simulation.replicas():
        upstream.lag_ms = what.replicas_lag_ms
    if what.hot_factor != 1:
        simulation.make_hot(HOT, what.hot_factor)
    simulation.resting_tally = simulation.rest_in_transactions(
        kinds(what.per_s)[0],
        what.resting,
        what.rest_ms,
        what.resting_organisation,
    )
    simulation.run(HOT_MS)
    if what.hot_factor != 1:
        simulation.make_hot(HOT, 1 / what.hot_factor)
    simulation.run(AFTER_MS)
    simulation.rate = 1e-6
    simulation.run(END_MS)
    return simulation


def dials(simulation: load_simulation.LoadSimulation) -> int:
    """Return how many connections were opened on demand."""
    return counter(simulation, 'dial_on_demand')


def counter(simulation: load_simulation.LoadSimulation, name: str) -> int:
    """Return the sum of a counter over all owners."""
    return sum(s.counters[name] for s in simulation.states.values())


def dials_per_operation(simulation: load_simulation.LoadSimulation) -> float:
    """Return how many connections an operation opened after the start."""
    begun = sum(tally.begun for tally in simulation.tallies.values())
    return (dials(simulation) - simulation.dials_before) / max(1, begun)


def served(
    simulation: load_simulation.LoadSimulation, hot: bool | None = None
) -> Served:
    """Return how the hot organisation, the others (False) or all fared."""
    tallies = simulation.tallies.values()
    ends = {}
    for end in ('begun', 'in_goal', 'late', 'refused', 'failed'):
        ends[end] = sum(
            count
            for tally in tallies
            for (name, kind), count in tally.ends.items()
            if kind == end and hot in (None, name == HOT)
        )
    taken = sorted(
        took_ms
        for tally in tallies
        for name, all_ms in tally.by_organisation.items()
        if hot in (None, name == HOT)
        for took_ms in all_ms
    )
    begun = ends.pop('begun')
    p99_ms = taken[len(taken) * 99 // 100] if taken else 0.0
    ended = max(1, sum(ends.values()))
    parts = {end: count / ended for end, count in ends.items()}
    return Served(begun, p99_ms=p99_ms, **parts)
