"""Define the messages that enter and leave the core of a group."""

import collections.abc
import dataclasses
import enum

from topazring.core import log_positions
from topazring.core import organisations
from topazring.core import outcomes
from topazring.core.synchronous import statements

__all__ = [
    'AcknowledgementsFenced',
    'AcknowledgementsReported',
    'CheckFence',
    'FenceAcknowledgements',
    'FenceChecked',
    'FenceOwners',
    'FenceReleased',
    'FenceUnfencedOwners',
    'HandOverReported',
    'QueryAcknowledgements',
    'QueryFence',
    'RecordMembers',
    'RecordResumes',
    'RegistrationSeen',
    'Shutdown',
    'Answer',
    'Close',
    'Closed',
    'LeaseVerified',
    'LogDecision',
    'MembersRecorded',
    'PromotionLeaseSeen',
    'Freshness',
    'InstancesSeen',
    'UpstreamListRead',
    'ListedUpstream',
    'Open',
    'Opened',
    'OrderPromotion',
    'OrderResult',
    'OrdersOutstanding',
    'PromotionOrdered',
    'Policy',
    'ReadUpstreamList',
    'Replied',
    'Request',
    'ResumesRecorded',
    'Send',
    'Submit',
    'Tick',
    'UpstreamsClosed',
    'UpstreamsSeen',
    'VerifyLease',
    'Withdraw',
    'YieldPromotionLease',
]


class Freshness(enum.StrEnum):
    """Name which writes a read has to see."""

    # All writes acknowledged before it.
    PRIMARY = 'primary'
    # All writes acknowledged more than a given time before it.
    BOUNDED = 'bounded'
    # As BOUNDED, and all writes of its own session.
    SESSION = 'session'


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Hold the traffic policy of one database, as set by operators."""

    database: str
    service: str
    freshness: Freshness
    max_staleness_ms: int = 0
    timeout_ms: int = 1000
    latency_goal_ms: int = 250
    # 0 is the highest priority.
    priority: int = 1
    version: int = 0
    # An open transaction that is idle for longer may be rolled back.
    transaction_idle_ms: int = 10_000
    # Whether callers need no key.
    anonymous: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Hold one statement that has to run on an upstream.

    `transaction` is 0 outside a transaction. `begins` marks the first
    statement of a transaction, which decides the upstream that runs it.
    """

    key: int
    statement: statements.Statement
    policy: Policy
    writes: bool
    arrived_ms: int
    transaction: int = 0
    begins: bool = False
    read_only: bool = False
    # Log position of the session's last commit.
    session_place: log_positions.LogPosition = log_positions.ORIGIN
    values: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    # The statement shape that an EXECUTE needs to be prepared, under its
    # shared name.
    prepared: statements.Prepare | None = None
    # The organisation in whose name upstreams run it.
    organisation: str = organisations.ANONYMOUS

    @property
    def continues_transaction(self) -> bool:
        """Return whether its transaction is already open on an upstream."""
        return self.transaction != 0 and not self.begins

    @property
    def needs_primary(self) -> bool:
        """Return whether only the primary can serve it."""
        if self.writes:
            return True
        if self.begins and not self.read_only:
            return True
        return self.policy.freshness is Freshness.PRIMARY


@dataclasses.dataclass(frozen=True, slots=True)
class ListedUpstream:
    """Hold one upstream as listed by the platform."""

    name: str
    address: str
    data_centre: str
    role: statements.Role
    # Orders two claims to be the primary when no term is known for them.
    revision: int
    leaving: bool = False
    # Upper bound on the time since it reported that it leaves.
    leaving_for_ms: int = 0
    # When its process started. A process recreated under the same name is a
    # different upstream: its log is empty.
    born_ms: int = 0
    # Statements that it runs at a time; 0 if it does not say.
    slots: int = 0


# ---- into the core --------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Submit a request; exactly one Answer follows."""

    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Report that the session of a transaction ended or abandoned it."""

    transaction: int


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """Report that a connection is ready for its first command."""

    connection: int
    place: log_positions.LogPosition | None


@dataclasses.dataclass(frozen=True, slots=True)
class Replied:
    """Report the replies to all commands of one Send, in order."""

    connection: int
    replies: tuple[statements.Reply, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Report that a connection ended.

    `code` is the refusal if it was never ready. `replies` were received
    before the end.
    """

    connection: int
    reason: outcomes.Reason
    code: statements.Code | None = None
    replies: tuple[statements.Reply, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsSeen:
    """Report the complete list of the upstreams of the group."""

    upstreams: tuple[ListedUpstream, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsClosed:
    """Report the upstreams that operators have closed, until when each."""

    until_ms: collections.abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesSeen:
    """Report how many owners share the connections to the upstreams.

    `rank` is the index of this proxy among them, from 0; None if it is not
    an owner.
    """

    count: int
    max_connections: int
    rank: int | None = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionLeaseSeen:
    """Report whether this proxy holds the promotion lease.

    `token` is the lowest of the tokens that are reserved for it. Orders of
    earlier holders for the upstreams in `ordered` may still take effect, or
    for any if `is_any_ordered`. Members in `resumed` may still obey a resume
    of one.
    """

    holds: bool
    token: int = 0
    ordered: frozenset[str] = frozenset()
    is_any_ordered: bool = False
    resumed: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseVerified:
    """Report whether nobody else can hold the lease for a second from now."""

    holds: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ResumesRecorded:
    """Report that the store names these members, which may be resumed."""

    upstreams: frozenset[str]


class OrderResult(enum.StrEnum):
    """Name the answer of the platform to a promotion order."""

    ACCEPTED = 'accepted'
    # The platform has seen a higher token, or the upstream is not running.
    REFUSED = 'refused'
    # No answer: the order may still be carried out seconds later.
    UNANSWERED = 'unanswered'
    # It was not sent: the store did not record it, or the lease was in doubt.
    WITHHELD = 'withheld'


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamListRead:
    """Report that the list was read again and its changes were posted."""

    token: int
    # False if neither the service of the platform nor a peer answered.
    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionOrdered:
    """Report the result of an order to promote an upstream."""

    upstream: str
    token: int
    result: OrderResult


@dataclasses.dataclass(frozen=True, slots=True)
class RegistrationSeen:
    """Report until when this proxy is surely listed in the store."""

    valid_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class MembersRecorded:
    """Report which members the record in the store names.

    Each is a name and the start time of its process. None if there is no
    valid record.
    """

    members: frozenset[tuple[str, int]] | None
    # This process wrote it, or has replaced it since.
    is_own: bool = False
    # It was written since the store last returned from an older copy. Others
    # may have been replaced by one that the store has lost.
    is_current: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgementsReported:
    """Report what all other proxies have acknowledged.

    Each of them has stopped acknowledging writes of terms before the queried
    one. `position` is the highest that any of them has acknowledged since
    `covered_since_ms`; what a proxy acknowledged that ended before is unknown.
    Everything acknowledged until `complete_until_ms` is at or before the
    queried position; None if nobody can tell.
    """

    token: int
    # False if a listed proxy, or the store with the list, did not answer.
    complete: bool
    position: log_positions.LogPosition = log_positions.ORIGIN
    covered_since_ms: int = 0
    complete_until_ms: int | None = None
    # The term of the query.
    term: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FenceAcknowledgements:
    """Stop acknowledging writes of terms before one, for another proxy.

    `position` is the end of the log that may be promoted.
    `AcknowledgementsFenced` with the same key follows.
    """

    key: int
    term: int
    position: log_positions.LogPosition


@dataclasses.dataclass(frozen=True, slots=True)
class CheckFence:
    """Ask the lease holder whether acknowledgements must stay fenced.

    `FenceChecked` with the same key follows.
    """

    key: int


@dataclasses.dataclass(frozen=True, slots=True)
class FenceReleased:
    """Report that no promotion requires a fence any more.

    The lease holder was asked at `asked_ms`. Writes of terms before `term`
    stay fenced: a promotion that has ended began it.
    """

    asked_ms: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverReported:
    """Report that only a hand-over to this member is under way.

    The lease holder was asked at `asked_ms`, and had seen no term newer than
    `term`.
    """

    asked_ms: int
    successor: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Report a timer tick.

    `paused_ms` is how long this process was paused before it.
    """

    paused_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """Answer all requests in progress and close every connection."""


# ---- out of the core ------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """Open a connection and check that it reaches the named upstream."""

    connection: int
    upstream: str
    address: str
    # The organisation that the connection serves for its whole life.
    organisation: str = organisations.ANONYMOUS


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send commands as one batch; Replied or Closed follows."""

    connection: int
    commands: tuple[statements.Command, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Close a connection; no further message about it follows."""

    connection: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Return the single final answer to a request to its session."""

    key: int
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class OrderPromotion:
    """Order the platform to promote an upstream."""

    upstream: str
    token: int
    # Why it is sent, for the log.
    why: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersOutstanding:
    """Record in the store which upstreams may still be promoted by orders."""

    upstreams: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordResumes:
    """Record in the store which members may still obey a resume.

    `ResumesRecorded` with the same members follows once it has.
    """

    upstreams: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class VerifyLease:
    """Verify that nobody else holds the lease; `LeaseVerified` follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadUpstreamList:
    """Read the list of upstreams again.

    Changes are posted first, then `UpstreamListRead`.
    """

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueryAcknowledgements:
    """Fence all other proxies and query what they have acknowledged.

    `AcknowledgementsReported` with the same token follows.
    """

    token: int
    term: int
    # The end of the log that may be promoted.
    position: log_positions.LogPosition


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgementsFenced:
    """Report the highest position that this proxy has acknowledged.

    It covers everything since the group was created here. All that any proxy
    had acknowledged `complete_ms_ago` is at or before the queried position;
    None if this proxy cannot tell.
    """

    key: int
    position: log_positions.LogPosition
    created_ms_ago: int
    complete_ms_ago: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FenceOwners:
    """Fence the other owners of the group; nobody waits for their answers.

    They are to stop acknowledging writes of terms before `term`.
    """

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class FenceUnfencedOwners:
    """Fence the other owners if `FenceOwners` could not.

    An order is about to be sent, so the term will soon begin.
    """

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueryFence:
    """Query the lease holder for a fence.

    `FenceReleased` or `HandOverReported` may follow.
    """

    # Whether a write or a read waits for the answer.
    is_urgent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FenceChecked:
    """Report whether acknowledgements must stay fenced.

    `term` is the newest one that the lease holder has seen. `successor` names
    the member that a leaving primary is handed over to, if that is the only
    promotion under way.
    """

    key: int
    is_needed: bool
    term: int
    successor: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RecordMembers:
    """Write the record of the members to the store.

    Each is a name and the start time of its process.
    """

    members: frozenset[tuple[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class YieldPromotionLease:
    """Yield the promotion lease, because the group is unreachable."""

    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision and its inputs.

    `inputs` are plain values: names, log positions, ages in milliseconds.
    They never contain data of callers.
    """

    what: str
    request_id: str = ''
    inputs: collections.abc.Mapping[str, object] = dataclasses.field(
        default_factory=dict
    )
