"""Weigh how many owners should share the slots of a primary.

Both replicas lag, so the primary serves alone. In the second half of a trial
an owner may be killed; entries try another one as soon as its link ends.
Run as a module, it prints one line for each number of owners.
"""

import sys

from topazring.core import outcomes
from topazring.core.synchronous import connections
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import load_simulation
from topazring.core.synchronous.tests import simulated_callers

TRADE = messages.Policy(
    'trade', 's', messages.Freshness.PRIMARY, 0, 3000, 255, 1
)
PROFILE = messages.Policy(
    'profile', 's', messages.Freshness.SESSION, 1500, 1000, 400, 2
)
MATCH = messages.Policy(
    'match', 's', messages.Freshness.SESSION, 2500, 4000, 600, 2
)
RANKING = messages.Policy(
    'ranking', 's', messages.Freshness.BOUNDED, 1500, 10_000, 1200, 3
)
# By slots: the connections that an upstream accepts and its queue.
UPSTREAMS = {2: (94, 24), 3: (48, 24), 5: (61, 40)}
MEAN_WORK_MS = 21.0


def kinds(per_s: float) -> tuple[simulated_callers.OperationKind, ...]:
    """Return a mix with a mean of some 21 ms of work an operation."""
    return (
        simulated_callers.OperationKind(
            TRADE, 0.25 * per_s, 8, writes=0.4, transactions=0.2
        ),
        simulated_callers.OperationKind(PROFILE, 0.35 * per_s, 12, writes=0.1),
        simulated_callers.OperationKind(
            MATCH, 0.25 * per_s, 15, writes=0.1, transactions=0.1
        ),
        simulated_callers.OperationKind(
            RANKING, 0.15 * per_s, 40, patience_ms=5000
        ),
    )


class OwnerLossSimulation(load_simulation.LoadSimulation):
    """A load simulation in which an owner can be killed."""

    def __init__(self, *args, **kwargs):
        self.lost: set[str] = set()
        super().__init__(*args, **kwargs)

    def kill(self, owner: str) -> None:
        """End an owner: entries avoid it, what it holds is answered."""
        self.lost.add(owner)
        for loads in self.loads:
            loads[owner] = _Unreachable()
        for wire in self.wires.values():
            if wire.proxy == owner:
                wire.silent = True
        pending = [key for key in self.pending_answers if key[0] == owner]
        for key in pending:
            self.pending_answers.pop(key)(
                outcomes.Unknown(outcomes.Reason.OWNER_LOST)
            )

    def post(self, owner: str, message: object) -> None:
        """Pass a message to an owner unless it is lost."""
        if owner not in self.lost:
            super().post(owner, message)
        elif isinstance(message, messages.Submit):
            refusal = outcomes.NotRun(outcomes.Reason.NO_OWNER, 0)
            key = (owner, message.request.key)
            self.pending_answers.pop(key)(refusal)


class _Unreachable(forwarding.Load):
    def expected_ahead(self, now_ms: int) -> None:
        """Return that the owner cannot be used."""


def trial(
    slots: int,
    owners: int,
    load: float,
    seed: int,
    kills: bool = False,
    organisations: int = 0,
) -> OwnerLossSimulation:
    """Simulate 8 s of a load, in multiples of what the slots can run."""
    most, queue = UPSTREAMS[slots]
    simulation = OwnerLossSimulation(
        seed,
        kinds(load * slots * 1000 / MEAN_WORK_MS),
        owners=owners,
        share=connections.share_of(most, owners, owners - 1),
        slots=slots,
        queue=queue,
        organisations={
            f'org{n}': 1 / (n + 1) ** 0.8 for n in range(organisations)
        },
    )
    simulation.run(2000)
    simulation.reset_tallies()
    for replica in simulation.replicas():
        replica.lag_ms = 10_000
    for upstream in simulation.upstreams.values():
        upstream.arrived = 0
        upstream.refused.clear()
    simulation.run(4000)
    if kills:
        simulation.kill('o0')
    simulation.run(4000)
    return simulation


def describe(finished: list[OwnerLossSimulation]) -> str:
    """Return the results of trials with several seeds in one line."""
    tallies = [t for each in finished for t in each.tallies.values()]
    trades = [each.tallies['trade'] for each in finished]
    primaries = [each.upstreams['u1'] for each in finished]
    begun = sum(t.begun for t in tallies)
    arrived = sum(p.arrived for p in primaries)
    busy = sum(p.refused[statements.Code.BUSY] for p in primaries)
    in_goal = [
        sum(t.in_goal for t in each.tallies.values())
        / sum(t.begun for t in each.tallies.values())
        for each in finished
    ]
    return (
        f'goal {sum(t.in_goal for t in tallies) / begun:.3f}'
        f' ({" ".join(f"{each:.3f}" for each in in_goal)})'
        f' done {sum(t.done for t in tallies) / begun:.3f}'
        f' trade {_share(trades, "in_goal"):.3f}'
        f' late-failed {_share(tallies, "failed_after_waiting"):.3f}'
        f' refused {_share(tallies, "refused_immediately"):.3f}'
        f' busy {busy / max(1, arrived):.3f}'
    )


def _share(tallies: list[simulated_callers.Tally], field: str) -> float:
    begun = sum(tally.begun for tally in tallies)
    return sum(getattr(tally, field) for tally in tallies) / begun


if __name__ == '__main__':
    load, kills = float(sys.argv[1]), 'kill' in sys.argv
    organisations = 80 if 'organisations' in sys.argv else 0
    for slots in (5, 3, 2):
        for owners in (1, 2, 3, 5, 8):
            found = [
                trial(slots, owners, load, seed, kills, organisations)
                for seed in (1, 2, 3)
            ]
            line = f'slots {slots} load {load} owners {owners}'
            print(line, *sys.argv[2:], describe(found), flush=True)
