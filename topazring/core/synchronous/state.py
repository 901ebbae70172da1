"""Hold all that a proxy knows and does for one group of upstreams."""

import collections
import dataclasses
import enum

from topazring.core import admission
from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core import retries
from topazring.core.synchronous import departed_members as departing
from topazring.core.synchronous import messages
from topazring.core.synchronous import position_records
from topazring.core.synchronous import statements

__all__ = [
    'Connection',
    'Purpose',
    'GroupState',
    'Limits',
    'NEVER_MS',
    'Phase',
    'TYPICAL_SERVICE_MS',
    'Transaction',
    'Upstream',
    'Work',
    'connections_to',
    'idle_connections',
    'is_closed_to_work',
    'is_recently_lagging',
    'make_group',
    'other_members',
]


# Before any time that a clock of ours shows.
NEVER_MS = -(10**9)
# A statement takes some 10 to 20 ms.
TYPICAL_SERVICE_MS = 15.0
# No bound yet on the connections at work; shares are far smaller.
MAX_CONCURRENCY = 1000.0
# Unproved places that are kept: a doubt lasts 300 ms, with a guard each 50.
MAX_PENDING_SAMPLES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Hold what operators bound for this process."""

    # Requests that may wait for one group; beyond it the last is refused.
    queue: int = 400
    # How long a leaving upstream may still be given work.
    drain_ms: int = 7000


class Phase(enum.StrEnum):
    """Name what a connection is doing."""

    OPENING = 'opening'
    IDLE = 'idle'
    BUSY = 'busy'


class Purpose(enum.StrEnum):
    """Name what the commands under way on a connection are for."""

    NONE = 'none'
    # The transaction's BEGIN; the statement follows once it succeeded.
    BEGIN_TRANSACTION = 'beginning'
    STATEMENT = 'statement'
    # BEGIN and ROLLBACK alone: does it lead, and where does its log stand?
    LEADERSHIP_CHECK = 'guard'
    # Its own word on its part and term.
    STATUS_QUERY = 'look'
    # The end of a transaction that its session gave up.
    ABORT = 'undoing'
    # A step of a promotion.
    CONTROL = 'control'


@dataclasses.dataclass(slots=True)
class Connection:
    """Hold one connection to an upstream and the state it has there."""

    number: int
    upstream: str
    phase: Phase = Phase.OPENING
    purpose: Purpose = Purpose.NONE
    commands: tuple[statements.Command, ...] = ()
    # When the dial or the commands under way went out.
    sent_ms: int = 0
    idle_since_ms: int = 0
    work: int = 0
    # When a request from the line took it; None while none has.
    checked_out_ms: int | None = None
    # The statement under way writes.
    is_writing: bool = False
    # Where the upstream's log was known to stand when they went out.
    place_before: log_positions.LogPosition = log_positions.ORIGIN
    transaction: int = 0
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Upstream:
    """Hold what is known of one upstream."""

    name: str
    address: str
    data_centre: str
    listed_role: statements.Role
    listed_revision: int
    # When its process began.
    born_ms: int = 0
    # No new work from then on; None while it stays.
    closed_to_work_ms: int | None = None
    leaving: bool = False
    # Where its log stood when it last said so.
    place: log_positions.LogPosition = log_positions.ORIGIN
    place_ms: int = 0
    # It said that it lacked this place, then.
    missing_place: log_positions.LogPosition = log_positions.ORIGIN
    lagging_ms: int = NEVER_MS
    # How long it is left alone then.
    lagging_pause_ms: int = 0
    # It refused as one that does not lead, then.
    refuted_ms: int | None = None
    # Under which term it says that it leads; 0 if it does not or that is
    # unknown.
    lead_term: int = 0
    # When the last question went out that it answered by taking a BEGIN, by
    # refusing one, as a replica of no newer term than the primary's, as a
    # primary whose write a replica had confirmed.
    begin_accepted_sent_ms: int = NEVER_MS
    begin_refused_sent_ms: int = NEVER_MS
    witness_sent_ms: int = NEVER_MS
    # As a replica of the very term that the primary has written in.
    same_term_sent_ms: int = NEVER_MS
    confirmed_sent_ms: int = NEVER_MS
    # When it was first listed here. It vouches for a lead only after that
    # was proved otherwise: whoever promotes may not have known it.
    first_listed_ms: int = 0
    is_established: bool = False
    # It had been listed under its name before, as another.
    is_recreated: bool = False
    # When it was last asked whether it leads, and for its term.
    asked_ms: int = NEVER_MS
    witness_asked_ms: int = NEVER_MS
    # When the list last named it as the primary; NEVER_MS once refuted.
    claimed_ms: int = NEVER_MS
    # Its claim to lead waits for its term; when it was last asked for it.
    has_pending_claim: bool = False
    claim_checked_ms: int = NEVER_MS
    # It was replaced and does not know; when it was last told.
    needs_demotion: bool = False
    demotion_sent_ms: int = NEVER_MS
    last_received_ms: int = 0
    # When it last had a write confirmed by a replica.
    confirmed_ms: int = 0
    # Where its log ends at least, by the newest question that it answered.
    log_end: log_positions.LogPosition = log_positions.ORIGIN
    log_end_sent_ms: int = NEVER_MS
    # Its last own word: for which term is it paused, 0 if it is not, and when
    # was it asked?
    held_term: int = 0
    answered_status_sent_ms: int = NEVER_MS
    status_asked_ms: int = NEVER_MS
    # The first dial, command or refusal since it was last heard.
    unresponsive_since_ms: int | None = None
    # Dials that were refused or went unanswered since it was last heard.
    failed_dials: int = 0
    dial_after_ms: int = 0
    is_unreachable: bool = False
    # It refused the last dial for it had too many connections.
    is_full: bool = False
    busy_until_ms: int = 0
    # How long a statement takes there, and when that was last seen.
    service_ms: float = TYPICAL_SERVICE_MS
    service_updated_ms: int = 0
    # How long a request from the line keeps a connection to it; a
    # transaction with all its pauses.
    hold_ms: float = TYPICAL_SERVICE_MS
    # How long a statement takes there when it need not queue, and how many
    # connections are to be at work at a time.
    unqueued_service_ms: float = TYPICAL_SERVICE_MS
    concurrency_limit: float = MAX_CONCURRENCY


@dataclasses.dataclass(slots=True)
class Work:
    """Hold one request on its way."""

    request: messages.Request
    deadline_ms: int
    # The connections that run it now; two while a read is hedged.
    running: set[int] = dataclasses.field(default_factory=set)
    is_queued: bool = False
    # The first time it went out; None while it only waited.
    first_sent_ms: int | None = None
    not_before_ms: int = 0
    # Upstreams that could not serve it; tried again when none is left.
    passed_over: set[str] = dataclasses.field(default_factory=set)
    primary_only: bool = False
    hedges: int = 0
    # Something about it was out of the ordinary: the log tells its rest too.
    is_traced: bool = False
    # The answer that waits for the proof that its upstream led.
    unproven_answer: outcomes.Done | None = None
    proof_needed_ms: int = NEVER_MS
    # The same of a write, which waits until it is sure to last.
    confirmation: position_records.Confirmation | None = None
    last_reason: outcomes.Reason = outcomes.Reason.NO_PRIMARY

    @property
    def is_moved_to_primary(self) -> bool:
        """Say whether it may be read anywhere, but nobody else would do."""
        return self.primary_only and not self.request.needs_primary


@dataclasses.dataclass(slots=True)
class Transaction:
    """Hold the connection of an open transaction."""

    connection: int
    read_only: bool
    # It is undone when its caller leaves it idle for longer.
    idle_limit_ms: int
    # The moment for which the lead has to be proved before a read of it is
    # answered; None if a place bounds its age.
    proof_needed_ms: int | None = None
    wrote: bool = False


@dataclasses.dataclass(slots=True)
class GroupState:
    """Hold one group's state in one proxy."""

    service: str
    data_centre: str
    limits: Limits
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    connections: dict[int, Connection] = dataclasses.field(
        default_factory=dict
    )
    # The same by upstream: each decision looks at those of one, and to pick
    # them out of all took an eighth of a busy group's processor time.
    connections_by_upstream: dict[str, dict[int, Connection]] = (
        dataclasses.field(default_factory=dict)
    )
    next_connection: int = 1
    began_ms: int | None = None
    # When the group was first listed; 0 before.
    listed_ms: int = 0
    # Connections this proxy may hold to one upstream.
    connection_share: int = 2
    # And how many of these while the connections of before may linger there.
    starting_share: int = 1
    # A larger share that may be used soon, and since when; 0 if none.
    larger_share: int = 0
    larger_share_ms: int = 0
    work: dict[int, Work] = dataclasses.field(default_factory=dict)
    # By priority: what only the primary can serve, and what any may.
    primary_queues: dict[int, admission.FairQueue] = dataclasses.field(
        default_factory=dict
    )
    any_queues: dict[int, admission.FairQueue] = dataclasses.field(
        default_factory=dict
    )
    transactions: dict[int, Transaction] = dataclasses.field(
        default_factory=dict
    )
    # Believed to lead; empty while unknown.
    primary: str = ''
    # Since when.
    primary_since_ms: int = NEVER_MS
    # Another was to follow the last primary, and is listed no more.
    successor_gone: bool = False
    # The newest term that is over, for a successor was named since.
    ended_term: int = 0
    # Since when that is known.
    term_ended_ms: int = NEVER_MS
    # The last that was believed to lead.
    last_primary: str = ''
    last_primary_born_ms: int = 0
    # The newest term seen on any connection.
    term: int = 0
    primary_lost_ms: int | None = None
    # The primary that this proxy is cut off with; empty if it is not.
    isolated_with: str = ''
    isolated_since_ms: int = 0
    # How long a group is usually without a primary: the time to notice, and
    # the promotion's own.
    typical_outage_ms: float = 1000.0
    # Acknowledged writes are known to reach this place at least; nobody
    # whose log ends before it may be promoted.
    acknowledged: log_positions.LogPosition = log_positions.ORIGIN
    # Upstreams that may hold what nobody else holds.
    departed_members: departing.DepartedMembers = dataclasses.field(
        default_factory=departing.DepartedMembers
    )
    # The last upstream that proved to lead, and when it first did.
    proven_primary: str = ''
    proven_ms: int = 0
    # What the last primary of which that is known began with.
    primary_start: position_records.PrimaryStart = (
        position_records.PrimaryStart()
    )
    # Oldest first.
    samples: collections.deque[log_positions.Sample] = dataclasses.field(
        default_factory=collections.deque
    )
    # Keys of the requests whose answers wait for a proof.
    awaiting_proof: set[int] = dataclasses.field(default_factory=set)
    # When a confirmed write was last given up, for nobody vouched for it.
    unproven_write_ms: int = NEVER_MS
    # Places that the primary reported and that are samples once its lead is
    # proved for their time; oldest first.
    pending_samples: collections.deque[log_positions.Sample] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(
                maxlen=MAX_PENDING_SAMPLES
            )
        )
    )
    # The newest moment for which the lead is to be proved, and the oldest
    # for which it is not; None if there is none.
    newest_needed_ms: int = NEVER_MS
    oldest_unproven_ms: int | None = None
    budget: retries.Budget = dataclasses.field(default_factory=retries.Budget)
    # When this process last went on after it stood still.
    resumed_ms: int = 0
    # The last tick; 0 before the first.
    last_tick_ms: int = 0
    # When it was last told how the line stands.
    queue_reported_ms: int = NEVER_MS
    leadership_checked_ms: int = 0
    replicas_checked_ms: int = 0
    holds_promotion_lease: bool = False
    token: int = 0
    # Orders of earlier holders may still arrive until a higher token is seen.
    needs_fencing: bool = False
    fence_token: int = 0
    promotion: object | None = None
    next_promotion_ms: int = 0
    # When it was last found out whether replicas receive.
    replication_checked_ms: int = -10_000
    # Resumed again once their group has a primary.
    paused: set[str] = dataclasses.field(default_factory=set)
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def make_group(service: str, data_centre: str, limits: Limits) -> GroupState:
    """Return the state of a group of which nothing is known yet."""
    return GroupState(service, data_centre, limits)


def connections_to(state: GroupState, upstream: str) -> list[Connection]:
    """Return the connections to an upstream, whatever they do."""
    return list(state.connections_by_upstream.get(upstream, {}).values())


def idle_connections(state: GroupState, upstream: str) -> list[Connection]:
    """Return the connections to an upstream that could take work."""
    return [
        connection
        for connection in connections_to(state, upstream)
        if connection.phase is Phase.IDLE and not connection.transaction
    ]


def other_members(state: GroupState) -> list[Upstream]:
    """Return all members but the one that is believed to lead."""
    return [
        upstream
        for upstream in state.upstreams.values()
        if upstream.name != state.primary
    ]


def is_closed_to_work(upstream: Upstream, now_ms: int) -> bool:
    """Say whether an upstream that leaves gets nothing new any more."""
    closes_ms = upstream.closed_to_work_ms
    return closes_ms is not None and now_ms >= closes_ms


def is_recently_lagging(upstream: Upstream, now_ms: int) -> bool:
    """Say whether a replica is left alone that lacked a place."""
    return now_ms - upstream.lagging_ms < upstream.lagging_pause_ms
