"""State of an owner for one database."""

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
    """Limits on an owner's use of its upstreams, and its timing."""

    slots: int = 3
    connections: int = 12
    queue: int = 400
    heartbeat_ms: int = 200
    request_record_ms: int = 600_000


class Phase(enum.StrEnum):
    """Stage of a request at the owner."""

    QUEUED = 'queued'
    RUNNING = 'running'
    CONFIRMING = 'confirming'


@dataclasses.dataclass(slots=True)
class Work:
    """Request that the owner has not answered yet."""

    request: requests.Request
    arrived_ms: int
    phase: Phase = Phase.QUEUED
    attempt: int = 0
    upstream: str = ''
    term: int = 0
    sent_ms: int = 0
    at_replica: bool = False
    # A replica reported that it is behind; only the primary may serve it.
    primary_only: bool = False
    # Sent at least once without an answer, so that it may have run.
    maybe_ran: bool = False
    # The request record at the primary is read instead of running it again.
    is_resolving: bool = False
    # Why the last attempt failed; reported if no later one succeeds.
    last_reason: outcomes.Reason = outcomes.Reason.NO_PRIMARY
    result: messages.Ran | None = None


@dataclasses.dataclass(slots=True)
class Transaction:
    """Connection and deadline of an open transaction."""

    upstream: str
    term: int
    deadline_ms: int
    organisation: str
    busy: bool = False


@dataclasses.dataclass(slots=True)
class OwnerState:
    """State of one database at one owner."""

    name: str
    database: str
    limits: Limits
    view: views.GroupView
    rng: random.Random
    work: dict[int, Work] = dataclasses.field(default_factory=dict)
    # Requests that only the primary can serve, and those for replicas.
    primary_queue: admission.FairQueue = dataclasses.field(
        default_factory=lambda: admission.FairQueue(limit=400)
    )
    replica_queue: admission.FairQueue = dataclasses.field(
        default_factory=lambda: admission.FairQueue(limit=400)
    )
    # Statements of open transactions and requests in doubt. They are sent
    # first because they hold resources that others wait for.
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
    # Until when nothing is sent to an upstream that had no free slot.
    busy_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    evidence: suspicion.Evidence = dataclasses.field(
        default_factory=suspicion.Evidence
    )
    owners: tuple[str, ...] = ()
    peer_suspects: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    # The highest term that another owner reported, and since when.
    peer_term: int = 0
    peer_term_since_ms: int = 0
    suspicion_sent_ms: int = -10_000
    suspected_since_ms: int | None = None
    # Since when this owner, and possibly no other, cannot reach the primary.
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
    """Return the initial state of an owner."""
    state = OwnerState(name, database, limits, views.make_view(upstreams), rng)
    state.primary_queue.limit = limits.queue
    state.replica_queue.limit = limits.queue
    return state


def free_slots(state: OwnerState, now_ms: int) -> dict[str, int]:
    """Return how many more statements each upstream can run now."""
    free = {}
    for name in state.view.upstreams:
        if state.busy_until_ms.get(name, 0) > now_ms:
            free[name] = 0
            continue
        free[name] = state.limits.slots - state.in_flight.get(name, 0)
    return free
