"""Hold the state that one proxy keeps for one group of upstreams."""

import collections
import dataclasses
import enum

from topazring.core import admission
from topazring.core import log_positions
from topazring.core import organisations
from topazring.core import outcomes
from topazring.core import retries
from topazring.core.synchronous import departed_members as departed
from topazring.core.synchronous import messages
from topazring.core.synchronous import position_records
from topazring.core.synchronous.scheduling import customer_turns
from topazring.core.synchronous.scheduling import demand as demands
from topazring.core.synchronous.scheduling import return_schedule
from topazring.core.synchronous.scheduling import service_counts as counts
from topazring.core.synchronous.scheduling import service_times
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
    'idle_connections_of',
    'is_awaited_for_fencing',
    'is_closed_by_operator',
    'is_closed_to_work',
    'is_recently_lagging',
    'make_group',
    'other_members',
    'upstream_of',
]


# Earlier than any timestamp the process can produce.
NEVER_MS = -(10**9)
# Typical service time; a statement takes some 10 to 20 ms.
TYPICAL_SERVICE_MS = 15.0
# Effectively unlimited: connection shares are far smaller.
MAX_CONCURRENCY = 1000.0
# Most samples that wait for a leadership proof: leadership stays unproven for
# up to 300 ms, with a leadership check every 50 ms.
MAX_PENDING_SAMPLES = 16
MAX_POSITION_HISTORY = 120


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Hold the limits that operators set for this process."""

    # Most requests that may wait in one queue of a group. Beyond it the
    # request with the latest deadline in the longest queue of an organisation
    # is refused, which need not be the new one.
    queue: int = 400
    # How long a leaving upstream still receives new work.
    drain_ms: int = 7000
    # Whether the platform refuses an order with a lower token than one that it
    # has seen.
    checks_tokens: bool = False
    # How long after it was given up an order may still be carried out.
    late_order_ms: int = 15_000


class Phase(enum.StrEnum):
    """Name the phase of a connection."""

    OPENING = 'opening'
    IDLE = 'idle'
    BUSY = 'busy'


class Purpose(enum.StrEnum):
    """Name the purpose of the commands in flight on a connection."""

    NONE = 'none'
    # The BEGIN of a transaction; the first statement is sent once it
    # succeeds.
    BEGIN_TRANSACTION = 'beginning'
    # What the session of a statement needs; the statement is sent once all of
    # it has succeeded.
    SESSION_SETUP = 'setting up'
    STATEMENT = 'statement'
    # BEGIN and ROLLBACK only: shows whether the upstream leads, and its log
    # position.
    LEADERSHIP_CHECK = 'guard'
    # Asks the upstream for its role and term.
    STATUS_QUERY = 'look'
    # ROLLBACK of a transaction that its session abandoned.
    ABORT = 'undoing'
    # A step of a promotion.
    CONTROL = 'control'


@dataclasses.dataclass(slots=True)
class Connection:
    """Hold one connection to an upstream and its state on that upstream."""

    number: int
    upstream: str
    # The only organisation whose requests it runs.
    organisation: str = organisations.ANONYMOUS
    # When the process of the upstream had started, by the list at the dial.
    born_ms: int = 0
    phase: Phase = Phase.OPENING
    purpose: Purpose = Purpose.NONE
    commands: tuple[statements.Command, ...] = ()
    # When the dial or the commands in flight were sent.
    sent_ms: int = 0
    dialled_ms: int = 0
    opened_ms: int = 0
    # Since when the process of the upstream has surely run, at the latest.
    running_since_ms: int = 0
    idle_since_ms: int = 0
    # When it last ran a request.
    served_ms: int = 0
    work: int = 0
    # When a queued request checked it out; None while it is free.
    checked_out_ms: int | None = None
    # Whether the statement in flight writes.
    is_writing: bool = False
    # Last known log position of the upstream when the commands were sent.
    place_before: log_positions.LogPosition = log_positions.ORIGIN
    transaction: int = 0
    # What the upstream has acknowledged; None for a value that a refused
    # command may or may not have changed.
    values: dict[str, str | None] = dataclasses.field(default_factory=dict)
    prepared: set[str] = dataclasses.field(default_factory=set)
    # How many shapes the upstream may hold, also under names that are not
    # known to be prepared, and their size.
    prepared_count: int = 0
    prepared_bytes: int = 0
    # How often the set-up of the present statement was refused.
    refused_setups: int = 0
    # Sent once the commands in flight have succeeded.
    following: tuple[statements.Command, ...] = ()


@dataclasses.dataclass(slots=True)
class Upstream:
    """Hold what this proxy has recorded about one upstream."""

    name: str
    address: str
    data_centre: str
    listed_role: statements.Role
    listed_revision: int
    # When its process started.
    born_ms: int = 0
    # Statements that it runs at a time; 0 if it does not say.
    slots: int = 0
    # New work is refused from this time on; None unless it is leaving.
    closed_to_work_ms: int | None = None
    leaving: bool = False
    # When it was first listed as leaving.
    leaving_since_ms: int | None = None
    # Last reported log position, and when it was reported.
    place: log_positions.LogPosition = log_positions.ORIGIN
    place_ms: int = 0
    # It last reported that its log had not reached this position, and when.
    missing_place: log_positions.LogPosition = log_positions.ORIGIN
    lagging_ms: int = NEVER_MS
    # How long after that it is sent no reads that need this position.
    lagging_pause_ms: int = 0
    # When it last refused a command because it does not lead.
    refuted_ms: int | None = None
    # The term under which it reports to lead; 0 if it does not lead or the
    # term is unknown.
    lead_term: int = 0
    # Send times of the latest queries, by the kind of answer they got: BEGIN
    # accepted, BEGIN refused, reported as a replica of a term no newer than
    # the primary's, reported as a replica of the term that the primary has
    # written in, write confirmed by a replica (as the primary).
    begin_accepted_sent_ms: int = NEVER_MS
    begin_refused_sent_ms: int = NEVER_MS
    witness_sent_ms: int = NEVER_MS
    same_term_sent_ms: int = NEVER_MS
    confirmed_sent_ms: int = NEVER_MS
    # When it was first listed here. A new member counts as established only
    # once leadership has been proved without it after that: the proxy that
    # runs a promotion may not have had it on its list.
    first_listed_ms: int = 0
    is_established: bool = False
    # A different instance was listed under this name before.
    is_recreated: bool = False
    # When it last answered a resume during an attempt; a pause that was sent
    # before may have ended.
    resume_answered_ms: int = NEVER_MS
    # When it was last sent a leadership check, and a query for its term.
    asked_ms: int = NEVER_MS
    witness_asked_ms: int = NEVER_MS
    # When the list last named it as the primary; NEVER_MS once refuted.
    claimed_ms: int = NEVER_MS
    # Whether its claim to lead waits for its term, and when the term was last
    # queried for this.
    has_pending_claim: bool = False
    claim_checked_ms: int = NEVER_MS
    # Whether it was replaced but has not been sent a demotion for it, and when
    # a demotion was last sent.
    needs_demotion: bool = False
    demotion_sent_ms: int = NEVER_MS
    last_received_ms: int = 0
    # When a replica last confirmed one of its writes.
    confirmed_ms: int = 0
    # Lower bound on the end of its log, from the latest answered query.
    log_end: log_positions.LogPosition = log_positions.ORIGIN
    log_end_sent_ms: int = NEVER_MS
    # Since when the process that answered it had run at the latest.
    log_end_running_since_ms: int = 0
    # From its last status reply: the term it is paused for (0 if it is not
    # paused) and its newest term, and when that query was sent; then when the
    # latest was sent.
    held_term: int = 0
    reported_term: int = 0
    answered_status_sent_ms: int = NEVER_MS
    status_asked_ms: int = NEVER_MS
    # When the lease holder was last asked and reported that the primary was
    # being handed over to it.
    named_successor_ms: int = NEVER_MS
    # The first dial, command or refusal since it last replied.
    unresponsive_since_ms: int | None = None
    # Dials refused or unanswered since its last reply.
    failed_dials: int = 0
    dial_after_ms: int = 0
    is_unreachable: bool = False
    # It refused the last dial because it had too many connections.
    is_full: bool = False
    busy_until_ms: int = 0
    # Measured service time of a statement, and when it was last updated.
    service_ms: float = TYPICAL_SERVICE_MS
    service_updated_ms: int = 0
    # How long a queued request holds a connection to it; for a transaction
    # this includes the time between its statements.
    hold_ms: float = TYPICAL_SERVICE_MS
    # Time spent on opening connections since the last request was started, and
    # its average for each request.
    opening_ms: int = 0
    opening_per_request_ms: float = 0.0
    # Service time of a statement that does not queue in the upstream, and
    # how many connections may be busy at a time.
    unqueued_service_ms: float = TYPICAL_SERVICE_MS
    concurrency_limit: float = MAX_CONCURRENCY


@dataclasses.dataclass(slots=True)
class Work:
    """Hold one request in progress."""

    request: messages.Request
    deadline_ms: int
    # Connections that run it now; two while a read is hedged.
    running: set[int] = dataclasses.field(default_factory=set)
    is_queued: bool = False
    # When it was first sent; None while it has only been queued.
    first_sent_ms: int | None = None
    not_before_ms: int = 0
    # Upstreams that could not serve it; they are retried once no other is
    # left.
    passed_over: set[str] = dataclasses.field(default_factory=set)
    primary_only: bool = False
    hedges: int = 0
    # Its remaining events are logged, because something unusual happened to
    # it or it was sampled.
    is_traced: bool = False
    # The answer that waits for a proof of leadership of its upstream, and the
    # time for which leadership must be proved.
    unproven_answer: outcomes.Done | None = None
    proof_needed_ms: int = NEVER_MS
    # The confirmation of a write whose answer waits until it is durable.
    confirmation: position_records.Confirmation | None = None
    last_reason: outcomes.Reason = outcomes.Reason.NO_PRIMARY

    @property
    def is_moved_to_primary(self) -> bool:
        """Return whether a replica read was moved to the primary."""
        return self.primary_only and not self.request.needs_primary


@dataclasses.dataclass(slots=True)
class Transaction:
    """Hold the connection and the limits of an open transaction."""

    connection: int
    read_only: bool
    # It is rolled back once its caller leaves it idle for longer.
    idle_limit_ms: int
    # The time for which leadership must be proved before one of its reads is
    # answered; None if a log position bounds the age of its data.
    proof_needed_ms: int | None = None
    wrote: bool = False
    # The same while its organisation holds more than its share of connections
    # and others wait.
    contended_limit_ms: int = 10_000


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """Hold what the store records of the members of a group.

    A member is a name and the start time of its process.
    """

    # The members that the record names; None without a valid record.
    stored: frozenset[tuple[str, int]] | None = None
    # The members that this lease holder last had written.
    ordered: frozenset[tuple[str, int]] | None = None
    # Recorded members that have not been listed here.
    unlisted: departed.DepartedMembers = dataclasses.field(
        default_factory=departed.DepartedMembers
    )


@dataclasses.dataclass(slots=True)
class GroupState:
    """Hold the state of one group in one proxy."""

    service: str
    data_centre: str
    limits: Limits
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    connections: dict[int, Connection] = dataclasses.field(
        default_factory=dict
    )
    # The same connections by upstream. Most decisions need those of a single
    # upstream; filtering all connections took an eighth of the processor
    # time of a busy group.
    connections_by_upstream: dict[str, dict[int, Connection]] = (
        dataclasses.field(default_factory=dict)
    )
    next_connection: int = 1
    # When a connection was last opened.
    opened_ms: int = NEVER_MS
    began_ms: int | None = None
    # When this state was created.
    created_ms: int = 0
    # When the group was first listed; 0 until then.
    listed_ms: int = 0
    # Whether requests name an organisation, so that a connection has to be
    # opened for each.
    serves_organisations: bool = False
    # Most connections that this proxy may hold to one upstream.
    connection_share: int = 2
    # The limit while connections of an earlier share may still be open there.
    starting_share: int = 1
    # A larger share that will apply soon (0 if none), and when it was set.
    larger_share: int = 0
    larger_share_ms: int = 0
    work: dict[int, Work] = dataclasses.field(default_factory=dict)
    # Queues by priority: requests that need the primary, and the others.
    primary_queues: dict[int, admission.FairQueue] = dataclasses.field(
        default_factory=dict
    )
    any_queues: dict[int, admission.FairQueue] = dataclasses.field(
        default_factory=dict
    )
    # Measured service times by database, and the turns of the customers.
    service_by_database: service_times.ServiceTimes = dataclasses.field(
        default_factory=service_times.ServiceTimes
    )
    turns: customer_turns.Turns = dataclasses.field(
        default_factory=customer_turns.Turns
    )
    demand: demands.Demand = dataclasses.field(default_factory=demands.Demand)
    returns: return_schedule.ReturnSchedule = dataclasses.field(
        default_factory=return_schedule.ReturnSchedule
    )
    # Requests started since the last one that was past its goal.
    starts_since_late: int = 0
    # When refusals were last logged.
    refusals_reported_ms: int = NEVER_MS
    # Whether requests for the primary last gave way to others, and none of
    # the others has been started since.
    has_yielded: bool = False
    # When a waiting request was last started.
    ordered_ms: int = 0
    transactions: dict[int, Transaction] = dataclasses.field(
        default_factory=dict
    )
    # The slot time that each organisation took recently, and up to when it
    # has been discounted.
    organisation_work: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    # Those held back since this was last logged, and when that was.
    above_share: set[str] = dataclasses.field(default_factory=set)
    shares_reported_ms: int = NEVER_MS
    # The assumed primary; empty while unknown.
    primary: str = ''
    # When it was first assumed to lead.
    primary_since_ms: int = NEVER_MS
    # When the lease holder last found the primary saturated while no replica
    # could help, and when it decided to replace it for this, until when it may
    # begin, and the next time at which it may decide so.
    saturated_alone_ms: int = NEVER_MS
    relief_decided_ms: int = NEVER_MS
    relief_until_ms: int = NEVER_MS
    next_relief_ms: int = NEVER_MS
    relief_interval_ms: int = 0
    # The chosen successor of the last primary is no longer listed.
    successor_gone: bool = False
    # It was seen to lead, or listed as the primary.
    successor_led: bool = False
    # The newest term known to have ended, because a successor was chosen, and
    # when this was recorded.
    ended_term: int = 0
    term_ended_ms: int = NEVER_MS
    # The last assumed primary.
    last_primary: str = ''
    last_primary_born_ms: int = 0
    # The newest term seen on any connection.
    term: int = 0
    primary_lost_ms: int | None = None
    # The primary that this proxy shares a partition with while it is isolated;
    # empty if it is not isolated.
    isolated_with: str = ''
    isolated_since_ms: int = 0
    # How long a group is typically without a primary: the detection time
    # plus the duration of the promotion.
    typical_outage_ms: float = 1000.0
    # Lower bound on the log position of all acknowledged writes. An upstream
    # whose log ends before it must not be promoted.
    acknowledged: log_positions.LogPosition = log_positions.ORIGIN
    # Upper bound on the log positions of the writes that this proxy has
    # acknowledged since it was created.
    acknowledged_until: log_positions.LogPosition = log_positions.ORIGIN
    # Until when this proxy is surely listed in the store.
    registered_until_ms: int = NEVER_MS
    # When it was listed after it may not have been.
    registered_ms: int = NEVER_MS
    # Writes of terms before this one are not acknowledged, and since when.
    fence_term: int = 0
    fenced_ms: int = NEVER_MS
    # When another proxy last asked what this one has acknowledged.
    acknowledgements_asked_ms: int = NEVER_MS
    # Whether the lease holder has reported that no promotion was under way
    # after this process started.
    is_fence_checked: bool = False
    # When it was last asked because a request waited, and when ahead of need.
    fence_queried_ms: int = NEVER_MS
    fence_queried_ahead_ms: int = NEVER_MS
    # When the lease holder was last asked and reported that no promotion was
    # under way, and the newest term that it had seen.
    no_promotion_ms: int = NEVER_MS
    no_promotion_term: int = 0
    # When, and for which term, the other proxies were last queried for what
    # they acknowledged.
    acknowledgements_queried_ms: int = NEVER_MS
    acknowledgements_queried_term: int = 0
    # Departed members that may be the only ones to hold some writes.
    departed_members: departed.DepartedMembers = dataclasses.field(
        default_factory=departed.DepartedMembers
    )
    # Whether this proxy is the first of the group's owners.
    is_first_owner: bool = False
    # How many proxies own the group (0 while unknown), and the index of this
    # one among them; None if it is not an owner.
    owner_count: int = 0
    owner_rank: int | None = None
    member_record: MemberRecord = dataclasses.field(
        default_factory=MemberRecord
    )
    # The last upstream whose leadership was proved, and when that was first
    # the case.
    proven_primary: str = ''
    proven_ms: int = 0
    # The newest term that it was proved to lead.
    proven_term: int = 0
    # The initial log position of the last primary for which it is known.
    primary_start: position_records.PrimaryStart = (
        position_records.PrimaryStart()
    )
    # Log position samples, oldest first.
    samples: collections.deque[log_positions.Sample] = dataclasses.field(
        default_factory=collections.deque
    )
    # Log position samples of a longer time at longer intervals. They are kept
    # after a pause of this process.
    position_history: collections.deque[log_positions.Sample] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(
                maxlen=MAX_POSITION_HISTORY
            )
        )
    )
    # Keys of requests whose answers wait for a leadership proof or for
    # replication.
    awaiting_proof: set[int] = dataclasses.field(default_factory=set)
    # Whether the present period without a leadership proof has been logged.
    is_unproven_logged: bool = False
    # When a confirmed write was last given up because no established member
    # could prove leadership.
    unproven_write_ms: int = NEVER_MS
    # Positions reported by the primary that become samples once leadership
    # is proved for their time; oldest first.
    pending_samples: collections.deque[log_positions.Sample] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(
                maxlen=MAX_PENDING_SAMPLES
            )
        )
    )
    # The latest time for which a leadership proof is needed, and the earliest
    # one that is still unproven; None if there is none.
    newest_needed_ms: int = NEVER_MS
    oldest_unproven_ms: int | None = None
    budget: retries.Budget = dataclasses.field(default_factory=retries.Budget)
    # When this process last resumed after a pause.
    resumed_ms: int = 0
    # The last tick; 0 before the first one.
    last_tick_ms: int = 0
    # When the state of the queue was last logged.
    queue_reported_ms: int = NEVER_MS
    leadership_checked_ms: int = 0
    replicas_checked_ms: int = 0
    holds_promotion_lease: bool = False
    token: int = 0
    # First token of the block that came with the lease, and when it came.
    granted_token: int = 0
    lease_gained_ms: int = NEVER_MS
    # Orders of earlier lease holders may still take effect: until the platform
    # has accepted a higher token, and those accepted before have had effect
    # or, where it checks none, until they would change nothing.
    needs_fencing: bool = False
    # The platform has accepted a higher token since.
    is_fence_accepted: bool = False
    fence_token: int = 0
    # When the latest fencing order was sent, and the latest order of any kind
    # that the platform accepted from this proxy.
    fence_sent_ms: int = NEVER_MS
    order_accepted_sent_ms: int = NEVER_MS
    # Orders that may still be carried out, by upstream; those that the store
    # has a record of; and until when orders may be carried out that nobody
    # has a record of.
    outstanding_orders: dict = dataclasses.field(default_factory=dict)
    recorded_orders: frozenset[str] = frozenset()
    unknown_orders_until_ms: int = NEVER_MS
    # Until when members may obey a resume, by name and connection; those that
    # the store has a record of, and those that it is to have; and when that
    # was last requested.
    outstanding_resumes: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )
    recorded_resumes: frozenset[str] = frozenset()
    wanted_resumes: frozenset[str] = frozenset()
    resumes_record_sent_ms: int = NEVER_MS
    # When it was last asked whether the promotion lease is surely held, and
    # when the last confirmation was asked for.
    verification_sent_ms: int = NEVER_MS
    lease_verified_ms: int = NEVER_MS
    # Orders that this proxy sent, oldest first.
    sent_orders: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    promotion: object | None = None
    next_promotion_ms: int = 0
    # When it was last checked whether the replicas still receive the log.
    replication_checked_ms: int = -10_000
    # Replicas paused by a promotion; resumed once the group has a primary.
    paused: set[str] = dataclasses.field(default_factory=set)
    # Replicas that are to be queried for whether they are paused, and since
    # when.
    may_be_paused: dict[str, int] = dataclasses.field(default_factory=dict)
    # When the latest pause was sent.
    pause_sent_ms: int = NEVER_MS
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # When the message that is being handled arrived, and what was answered
    # in the last seconds; for operators.
    stepped_ms: int = 0
    service_counts: counts.ServiceCounts = dataclasses.field(
        default_factory=counts.ServiceCounts
    )
    # By upstream, until when an operator has closed it to new work.
    closed_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def make_group(service: str, data_centre: str, limits: Limits) -> GroupState:
    """Return the initial state of a group."""
    return GroupState(service, data_centre, limits)


def connections_to(state: GroupState, upstream: str) -> list[Connection]:
    """Return all connections to an upstream, in any phase."""
    return list(state.connections_by_upstream.get(upstream, {}).values())


def upstream_of(state: GroupState, connection: Connection) -> Upstream | None:
    """Return the member that a connection leads to, unless it has ended.

    One that was recreated under its name has another log and no pause.
    """
    upstream = state.upstreams.get(connection.upstream)
    if upstream is None or upstream.born_ms != connection.born_ms:
        return None
    return upstream


def idle_connections(state: GroupState, upstream: str) -> list[Connection]:
    """Return the connections to an upstream that can take a request."""
    return [
        connection
        for connection in connections_to(state, upstream)
        if connection.phase is Phase.IDLE and not connection.transaction
    ]


def idle_connections_of(
    state: GroupState, upstream: str, organisation: str
) -> list[Connection]:
    """Return the idle connections that serve an organisation."""
    return [
        connection
        for connection in idle_connections(state, upstream)
        if connection.organisation == organisation
    ]


def other_members(state: GroupState) -> list[Upstream]:
    """Return all members except the assumed primary."""
    return [
        upstream
        for upstream in state.upstreams.values()
        if upstream.name != state.primary
    ]


def is_closed_to_work(upstream: Upstream, now_ms: int) -> bool:
    """Return whether a leaving upstream no longer receives new work."""
    closes_ms = upstream.closed_to_work_ms
    return closes_ms is not None and now_ms >= closes_ms


def is_closed_by_operator(
    state: GroupState, now_ms: int, upstream: str
) -> bool:
    """Return whether an operator has taken an upstream out for a while.

    That has no effect on the primary: nobody else can serve its requests.
    """
    if upstream == state.primary:
        return False
    return now_ms < state.closed_until_ms.get(upstream, now_ms)


def is_awaited_for_fencing(state: GroupState, upstream: str) -> bool:
    """Return whether earlier orders wait for an upstream to be fenced off.

    That needs its word that it leads, also once it is closed to work: it is
    replaced only after that.
    """
    is_primary = upstream == state.primary
    return is_primary and state.holds_promotion_lease and state.needs_fencing


def is_recently_lagging(upstream: Upstream, now_ms: int) -> bool:
    """Return whether a replica that lacked a position is still avoided."""
    return now_ms - upstream.lagging_ms < upstream.lagging_pause_ms
