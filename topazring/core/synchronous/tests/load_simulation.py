"""Simulate the load of many callers on several owners of one group.

The simulation runs in memory. Upstreams have few slots and a bounded queue,
replicas apply with a lag, and operations are single statements or
transactions whose callers pause between statements. Entries choose an owner
with the production code and pass on how much time a request has left. Time is
simulated and all random values come from one seed, so runs are reproducible.
"""

import itertools
import random

from topazring.core.synchronous import forwarding
from topazring.core.synchronous import group
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import fake_group
from topazring.core.synchronous.tests import simulated_callers
from topazring.core.synchronous.tests import simulated_time
from topazring.core.synchronous.tests import simulated_upstreams

Role = statements.Role

TICK_MS = 20
CONNECT_MS = 12.0


class LoadSimulation(
    simulated_upstreams.UpstreamSimulation, simulated_time.SimulatedTime
):
    """Hold the owners, upstreams and callers, and all pending events."""

    def __init__(
        self,
        seed: int,
        kinds: tuple[simulated_callers.OperationKind, ...],
        owners: int = 8,
        share: int = 3,
        slots: int = 3,
        queue: int = 24,
        pause_ms: float = 40.0,
        entries: int = 60,
        organisations: dict[str, float] | None = None,
        knows_slots: bool = False,
    ):
        super().__init__(now_ms=10_000.0)
        self.rng = random.Random(seed)
        self.pause_ms = pause_ms
        # Whether the listing names the slots of the upstreams.
        self.knows_slots = knows_slots
        # The share of each organisation in all operations.
        self.organisations = organisations or {}
        self.rate = 1.0
        self.keys = itertools.count(1)
        self.upstreams = {
            f'u{n}': simulated_upstreams.Upstream(
                f'u{n}',
                Role.PRIMARY if n == 1 else Role.REPLICA,
                simulated_callers.CENTRES[n - 1],
                slots,
                queue,
            )
            for n in (1, 2, 3)
        }
        names = [f'o{n}' for n in range(owners)]
        self.owned = ownership.Ownership(
            tuple(
                ownership.Proxy(name, simulated_callers.CENTRES[n % 3])
                for n, name in enumerate(names)
            )
        )
        self.wires: dict[tuple[str, int], fake_group.Wire] = {}
        self.centre_of = {o.name: o.data_centre for o in self.owned.owners}
        self.pending_answers: dict[tuple[str, int], object] = {}
        self.tallies = {
            kind.policy.database: simulated_callers.Tally() for kind in kinds
        }
        # For each entry, the last known load of each owner.
        self.loads = [
            {name: forwarding.Load() for name in names} for _ in range(entries)
        ]
        self.states = {}
        for rank, name in enumerate(names):
            self._add_owner(name, share, rank)
        for kind in kinds:
            self.at(self.rng.random() * 20, self._start_operation, kind)

    def _add_owner(self, name: str, share: int, rank: int) -> None:
        state = states.make_group('s', self.centre_of[name], states.Limits())
        state.connection_share = share
        state.began_ms = 0
        state.owner_count = len(self.owned.owners)
        state.owner_rank = rank
        self.states[name] = state
        self.post(name, messages.UpstreamsSeen(self._listed()))
        self.at(TICK_MS * self.rng.random(), self._tick, name)

    def _listed(self) -> tuple[messages.ListedUpstream, ...]:
        return tuple(
            messages.ListedUpstream(
                u.name,
                u.name,
                u.data_centre,
                u.role,
                1,
                slots=u.slots if self.knows_slots else 0,
            )
            for u in self.upstreams.values()
        )

    def draw_organisation(self) -> str:
        """Return the organisation of a new operation."""
        if not self.organisations:
            return ''
        (name,) = self.rng.choices(
            list(self.organisations), list(self.organisations.values())
        )
        return name

    def reset_tallies(self) -> None:
        """Reset all tallies."""
        for name in self.tallies:
            self.tallies[name] = simulated_callers.Tally()

    def make_hot(self, organisation: str, factor: float) -> None:
        """Multiply what one organisation sends; the others send as before."""
        before = sum(self.organisations.values())
        self.organisations[organisation] *= factor
        self.rate *= sum(self.organisations.values()) / before

    def rest_in_transactions(
        self,
        kind: simulated_callers.OperationKind,
        count: int,
        rest_ms: float,
        organisation: str = '',
    ) -> simulated_callers.Tally:
        """Start transactions whose callers rest; return their own tally.

        They are not among the other operations of the kind. Without an
        organisation each caller draws one.
        """
        resting = simulated_callers.OperationKind(
            kind.policy, 0.0, kind.work_ms, kind.writes, 1.0
        )
        tally = simulated_callers.Tally()
        for _ in range(count):
            operation = simulated_callers.Operation(self, resting, tally)
            if organisation:
                operation.set_organisation(organisation)
            operation.rest_ms = rest_ms
            self.at(self.rng.random() * 200, operation.start)
        return tally

    def replicas(self) -> list[simulated_upstreams.Upstream]:
        """Return all upstreams but the primary."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.role is Role.REPLICA
        ]

    # ---- owners ----

    def post(self, owner: str, message: object) -> None:
        """Pass a message to an owner's core and perform its actions."""
        for out in group.step(self.states[owner], int(self.now_ms), message):
            self._perform(owner, out)

    def _tick(self, owner: str) -> None:
        self.post(owner, messages.Tick())
        self.at(TICK_MS, self._tick, owner)

    def _perform(self, owner: str, out: object) -> None:
        match out:
            case messages.Open() if self.organisations:
                self.at(
                    simulated_upstreams.REMOTE_DELAY_MS,
                    self._queue_dial,
                    owner,
                    out,
                )
            case messages.Open():
                self.at(CONNECT_MS, self._dial, owner, out)
            case messages.Send():
                wire = self.wires.get((owner, out.connection))
                self.at(
                    simulated_upstreams.REMOTE_DELAY_MS,
                    self._arrive,
                    wire,
                    out.commands,
                )
            case messages.Close():
                wire = self.wires.pop((owner, out.connection), None)
                if wire is not None:
                    wire.silent = True
            case messages.Answer():
                self.pending_answers.pop((owner, out.key))(out.outcome)

    def _queue_dial(self, owner: str, out: messages.Open) -> None:
        """Have a dial wait for a slot, which it takes for a while."""
        upstream = self.upstreams[out.upstream]
        wire = fake_group.Wire(owner, out.connection, out.upstream)
        upstream.waiting.append((wire, out))
        self._start_queued(upstream)

    def _duration_ms(self, command) -> float:
        if isinstance(command, messages.Open):
            return CONNECT_MS
        return super()._duration_ms(command)

    def _finish(self, upstream, wire, command) -> None:
        if isinstance(command, messages.Open):
            upstream.running -= 1
            self._start_queued(upstream)
            self._dial(wire.proxy, command)
            return
        super()._finish(upstream, wire, command)

    def _dial(self, owner: str, out: messages.Open) -> None:
        if out.connection not in self.states[owner].connections:
            return
        wire = fake_group.Wire(
            owner, out.connection, out.upstream, out.organisation
        )
        self.wires[(owner, out.connection)] = wire
        position = self.upstreams[out.upstream].log_position()
        self.post(owner, messages.Opened(out.connection, position))

    # ---- callers ----

    def _start_operation(self, kind: simulated_callers.OperationKind) -> None:
        """Start an operation and schedule the next one of its kind."""
        per_ms = kind.per_s * self.rate / 1000
        self.at(self.rng.expovariate(per_ms), self._start_operation, kind)
        self.tallies[kind.policy.database].begun += 1
        simulated_callers.Operation(self, kind).start()
