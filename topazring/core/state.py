"""Hold all that an owner knows and does for one database."""

import collections
import dataclasses
import enum
import random

from topazring.core import admission
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import promotion
from topazring.core import requests
from topazring.core import retries
from topazring.core import rounds
from topazring.core import suspicion
from topazring.core import view as views

__all__ = [
    'Limits',
    'OwnerState',
    'Phase',
    'Transaction',
    'Work',
    'free_slots',
    'make_owner',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Hold what an owner may use of its upstreams, and its own timing."""

    slots: int = 3
    connections: int = 12
    queue: int = 400
    heartbeat_ms: int = 200
    request_record_ms: int = 600_000


class Phase(enum.StrEnum):
    """Name where a request stands."""

    QUEUED = 'queued'
    RUNNING = 'running'
    CONFIRMING = 'confirming'


@dataclasses.dataclass(slots=True)
class Work:
    """Hold one request on its way."""

    request: requests.Request
    arrived_ms: int
    phase: Phase = Phase.QUEUED
    attempt: int = 0
    upstream: str = ''
    term: int = 0
    sent_ms: int = 0
    at_replica: bool = False
    # The replica said that it is behind; the primary serves it now.
    primary_only: bool = False
    # Sent at least once without an answer: it may have run.
    maybe_ran: bool = False
    # The record at the primary is asked instead of running it again.
    is_resolving: bool = False
    # Why the last attempt ended, to be told if no other succeeds.
    last_reason: outcomes.Reason = outcomes.Reason.NO_PRIMARY
    result: messages.Ran | None = None


@dataclasses.dataclass(slots=True)
class Transaction:
    """Hold a transaction's connection and its limits."""

    upstream: str
    term: int
    deadline_ms: int
    organisation: str
    busy: bool = False


@dataclasses.dataclass(slots=True)
class OwnerState:
    """Hold one database's state at one owner."""

    name: str
    database: str
    limits: Limits
    view: views.GroupView
    rng: random.Random
    work: dict[int, Work] = dataclasses.field(default_factory=dict)
    # What only the primary can serve, and what a replica may.
    primary_queue: admission.FairQueue = dataclasses.field(
        default_factory=lambda: admission.FairQueue(limit=400)
    )
    replica_queue: admission.FairQueue = dataclasses.field(
        default_factory=lambda: admission.FairQueue(limit=400)
    )
    # Statements of open transactions and open fates: these go first, for
    # they hold what others wait for.
    urgent: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
    transactions: dict[int, Transaction] = dataclasses.field(
        default_factory=dict
    )
    round_state: rounds.Rounds = dataclasses.field(
        default_factory=rounds.Rounds
    )
    budget: retries.Budget = dataclasses.field(default_factory=retries.Budget)
    service_ms: float = 2.0
    # An upstream that said its slots are taken gets nothing until then.
    busy_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    evidence: suspicion.Evidence = dataclasses.field(
        default_factory=suspicion.Evidence
    )
    owners: tuple[str, ...] = ()
    peer_suspects: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    # The highest term that another owner told of, and since when.
    peer_term: int = 0
    peer_term_since_ms: int = 0
    suspicion_sent_ms: int = -10_000
    suspected_since_ms: int | None = None
    # Since when this owner, and perhaps no other, cannot reach the primary.
    unreachable_since_ms: int | None = None
    grants: set[int] = dataclasses.field(default_factory=set)
    used_terms: set[int] = dataclasses.field(default_factory=set)
    grants_requested_ms: int = -10_000
    attempt: promotion.Attempt | None = None
    retry_promotion_ms: int = 0
    status_requested_ms: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    leaving_upstreams: frozenset[str] = frozenset()
    handing_over_since_ms: int | None = None
    next_sample_key: int = -1
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def make_owner(
    name: str,
    database: str,
    upstreams: list[str],
    limits: Limits,
    rng: random.Random,
) -> OwnerState:
    """Return the state of an owner that has heard nothing yet."""
    state = OwnerState(name, database, limits, views.make_view(upstreams), rng)
    state.primary_queue.limit = limits.queue
    state.replica_queue.limit = limits.queue
    return state


def free_slots(state: OwnerState, now_ms: int) -> dict[str, int]:
    """Return how many statements each upstream may still be given."""
    free = {}
    for name in state.view.upstreams:
        if state.busy_until_ms.get(name, 0) > now_ms:
            free[name] = 0
            continue
        free[name] = state.limits.slots - state.in_flight.get(name, 0)
    return free
