"""Simulate a group whose primary serves alone while callers crowd it."""

import dataclasses

from topazring.core.synchronous import messages
from topazring.core.synchronous.tests import load_simulation
from topazring.core.synchronous.tests import simulated_callers

__all__ = ['Crowd', 'recipe_kinds', 'game_kinds', 'shares_of']

Freshness = messages.Freshness
Kind = simulated_callers.OperationKind

SLOTS = 5
UPSTREAM_QUEUE = 40
# Connections of each owner to an upstream, by the number of owners.
CONNECTION_SHARES = {1: 40, 3: 20, 8: 8}


class Crowd(load_simulation.LoadSimulation):
    """Hold a load simulation whose upstreams state their slots."""

    def __init__(
        self,
        seed: int,
        kinds: tuple[Kind, ...],
        owners: int = 8,
        is_shared_exactly: bool = False,
    ):
        # Whether the owners run as many statements as there are slots; each
        # adapts its own limit otherwise.
        self.is_shared_exactly = is_shared_exactly
        super().__init__(
            seed,
            kinds,
            owners=owners,
            share=CONNECTION_SHARES[owners],
            slots=SLOTS,
            queue=UPSTREAM_QUEUE,
        )

    def _listed(self) -> tuple[messages.ListedUpstream, ...]:
        return tuple(
            dataclasses.replace(listed, slots=SLOTS)
            for listed in super()._listed()
        )

    def post(self, owner: str, message: object) -> None:
        """Pass a message to an owner's core, with its share of the slots."""
        if self.is_shared_exactly:
            for upstream in self.states[owner].upstreams.values():
                upstream.concurrency_limit = SLOTS / len(self.states)
        super().post(owner, message)

    def serve_alone(self, for_ms: int) -> None:
        """Run a while with both replicas late; count only this time."""
        self.run(3000)
        for upstream in self.replicas():
            upstream.lag_ms = 10_000
        self.run(1000)
        self.reset_tallies()
        self.run(for_ms)


def recipe_kinds(per_s: float) -> tuple[Kind, ...]:
    """Return the mix of a customer without organisations."""
    return (
        Kind(
            _policy('submit', Freshness.PRIMARY, 0, 1000, 200, 1),
            0.15 * per_s,
            6.8,
            writes=0.35,
            transactions=0.25,
            patience_ms=1000,
        ),
        Kind(
            _policy('browse', Freshness.BOUNDED, 1500, 2000, 600, 2),
            0.15 * per_s,
            34,
            transactions=0.1,
            patience_ms=4000,
        ),
        Kind(
            _policy('review', Freshness.SESSION, 2500, 1000, 400, 2),
            0.7 * per_s,
            20,
            writes=0.12,
            transactions=0.12,
            patience_ms=1000,
        ),
    )


def game_kinds(per_s: float) -> tuple[Kind, ...]:
    """Return the mix of a customer with three priorities."""
    return (
        Kind(
            _policy('trade', Freshness.PRIMARY, 0, 1000, 255, 0),
            0.13 * per_s,
            8,
            writes=0.35,
            transactions=0.25,
            patience_ms=3000,
        ),
        Kind(
            _policy('ranking', Freshness.BOUNDED, 1500, 2000, 1205, 2),
            0.24 * per_s,
            40,
            transactions=0.1,
            patience_ms=10_000,
        ),
        Kind(
            _policy('harvest', Freshness.SESSION, 2500, 1000, 505, 1),
            0.63 * per_s,
            24,
            writes=0.12,
            transactions=0.12,
            patience_ms=3000,
        ),
    )


def _policy(database: str, freshness: Freshness, *limits) -> messages.Policy:
    return messages.Policy(database, 's', freshness, *limits)


def shares_of(simulation: Crowd) -> dict[str, tuple[float, ...]]:
    """Return in goal, late, refused and failed of each kind, in percent."""
    shares = {}
    for name, tally in simulation.tallies.items():
        counts = (
            tally.in_goal,
            tally.late,
            tally.ended_refused,
            tally.ended_failed,
        )
        shares[name] = tuple(
            round(100 * count / max(1, tally.begun), 1) for count in counts
        )
    return shares
