"""Type the messages that enter and leave a group's core."""

import collections.abc
import dataclasses
import enum

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import statements

__all__ = [
    'Shutdown',
    'Answer',
    'Close',
    'Closed',
    'LogDecision',
    'PromotionLeaseSeen',
    'Freshness',
    'InstancesSeen',
    'UpstreamListRead',
    'ListedUpstream',
    'Open',
    'Opened',
    'OrderPromotion',
    'OrderResult',
    'PromotionOrdered',
    'Policy',
    'ReadUpstreamList',
    'Replied',
    'Request',
    'Send',
    'Submit',
    'Tick',
    'UpstreamsSeen',
    'Withdraw',
    'YieldPromotionLease',
]


class Freshness(enum.StrEnum):
    """Name what a read has to see."""

    # All that was acknowledged before it.
    PRIMARY = 'primary'
    # All that was acknowledged a stated time before it.
    BOUNDED = 'bounded'
    # As BOUNDED, and all that its own session wrote.
    SESSION = 'session'


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """State what one database's traffic accepts; operators set it."""

    database: str
    service: str
    freshness: Freshness
    max_staleness_ms: int = 0
    timeout_ms: int = 1000
    latency_goal_ms: int = 250
    # 0 is served first.
    priority: int = 1
    version: int = 0
    # An open transaction may be ended that waits longer for its caller.
    transaction_idle_ms: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Hold one statement that needs an upstream.

    `transaction` is 0 for a single statement. `begins` marks the first
    statement of a transaction: the upstream is chosen by it.
    """

    key: int
    statement: statements.Statement
    policy: Policy
    writes: bool
    arrived_ms: int
    transaction: int = 0
    begins: bool = False
    read_only: bool = False
    # The session's own last commit.
    session_place: log_positions.LogPosition = log_positions.ORIGIN
    values: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    # The shape that an EXECUTE needs prepared, under its shared name.
    prepared: statements.Prepare | None = None

    @property
    def continues_transaction(self) -> bool:
        """Say whether an upstream has its transaction open already."""
        return self.transaction != 0 and not self.begins

    @property
    def needs_primary(self) -> bool:
        """Say whether only the primary can serve it."""
        if self.writes:
            return True
        if self.begins and not self.read_only:
            return True
        return self.policy.freshness is Freshness.PRIMARY


@dataclasses.dataclass(frozen=True, slots=True)
class ListedUpstream:
    """Hold one upstream as the platform lists it."""

    name: str
    address: str
    data_centre: str
    role: statements.Role
    # Orders two claims to be the primary that name no term.
    revision: int
    leaving: bool = False
    # At most so long ago it reported that it leaves.
    leaving_for_ms: int = 0
    # When its process began. One that begins again under its name is another:
    # it holds nothing.
    born_ms: int = 0


# ---- into the core --------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Take in a request; exactly one Answer follows."""

    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Report that a transaction's session is gone, or gave it up."""

    transaction: int


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """Report a connection that is ready for its first command."""

    connection: int
    place: log_positions.LogPosition | None


@dataclasses.dataclass(frozen=True, slots=True)
class Replied:
    """Report the replies to all commands of one Send, in order."""

    connection: int
    replies: tuple[statements.Reply, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Report a connection's end; `code` says why it was never ready.

    `replies` came before the end.
    """

    connection: int
    reason: outcomes.Reason
    code: statements.Code | None = None
    replies: tuple[statements.Reply, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsSeen:
    """Report the whole list of the group's upstreams."""

    upstreams: tuple[ListedUpstream, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesSeen:
    """Report how many owners share the upstreams' connections.

    `rank` is this proxy's place among them, from 0; None if it is no owner.
    """

    count: int
    max_connections: int
    rank: int | None = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionLeaseSeen:
    """Report whether this proxy is the one that may promote.

    `token` is the lowest of the tokens that are its alone to use.
    """

    holds: bool
    token: int = 0


class OrderResult(enum.StrEnum):
    """Say what the platform answered to an order."""

    ACCEPTED = 'accepted'
    # A higher token was seen, or the upstream is not running.
    REFUSED = 'refused'
    # No answer: it may still be carried out, seconds later.
    UNANSWERED = 'unanswered'


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamListRead:
    """Report that the list was read anew, and its news were told before."""

    token: int
    # False if neither the platform's service nor a peer answered.
    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionOrdered:
    """Report what became of an order to promote."""

    upstream: str
    token: int
    result: OrderResult


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass; `paused_ms` is how long this process stood still."""

    paused_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """Answer all that is in hand and close every connection."""


# ---- out of the core ------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """Open a connection to an upstream that has to be the one named."""

    connection: int
    upstream: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send commands in one piece; Replied or Closed follows."""

    connection: int
    commands: tuple[statements.Command, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Close a connection; nothing more is heard of it."""

    connection: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Give the session the one final answer to a request."""

    key: int
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class OrderPromotion:
    """Have the platform promote an upstream."""

    upstream: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadUpstreamList:
    """Read anew which upstreams are listed; `ListRead` follows the news."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class YieldPromotionLease:
    """Let another proxy have the duty: this one cannot reach the group."""

    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision:
    """Tell the log what was decided, on what grounds.

    `inputs` are plain values: names, places, ages in milliseconds. They
    never hold a caller's data.
    """

    what: str
    request_id: str = ''
    inputs: collections.abc.Mapping[str, object] = dataclasses.field(
        default_factory=dict
    )
