"""Messages that enter and leave the core of an owner."""

import dataclasses
import typing

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core import requests

__all__ = [
    'Abandon',
    'Answer',
    'RequestStatus',
    'CloseTransaction',
    'Executed',
    'Execute',
    'RecordDecision',
    'Fence',
    'FenceReply',
    'GrantsReceived',
    'Lead',
    'LeadReply',
    'ConnectionLost',
    'RequestGrants',
    'OwnersChanged',
    'PeerSuspicion',
    'RecordPrimary',
    'LinkOpened',
    'ProbeFailed',
    'Ran',
    'Refused',
    'Status',
    'StatusReceived',
    'Submit',
    'SqlFailed',
    'SendSuspicion',
    'Tick',
    'UpstreamsLeaving',
    'Withdraw',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status that an upstream reports of itself."""

    upstream: str
    accepted_term: int
    leads: bool
    place: log_positions.LogPosition
    # Time since this replica last received from its primary; 0 on a primary.
    primary_silent_ms: int = 0


# ---- into the core -------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Submit a request."""

    request: requests.Request


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Report that a session ended, and with it its transaction."""

    transaction: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """Report an execution and the upstream's log position after it."""

    rows: list[list[typing.Any]]
    place: log_positions.LogPosition
    accepted_term: int
    repeated: bool = False
    cancelled: bool = False
    leads: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that the upstream did not run the statement."""

    reason: outcomes.Reason
    status: Status | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SqlFailed:
    """Report that the statement is invalid and had no effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """Report a lost or silent connection; if `sent`, it may have run."""

    reason: outcomes.Reason
    sent: bool


Result = Ran | Refused | SqlFailed | ConnectionLost


@dataclasses.dataclass(frozen=True, slots=True)
class Executed:
    """Report the only result of an Execute."""

    key: int
    attempt: int
    upstream: str
    result: Result


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReceived:
    """Report a status; `round_id` is 0 outside a confirmation round."""

    status: Status
    round_id: int = 0
    sent_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened:
    """Report a new control connection; earlier requests on it are lost."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFailed:
    """Report how a probe failed: `refused`, `silent` or `silent_new`.

    `silent` is a timeout on a connection that worked before, `silent_new`
    one on a connection opened for the probe.
    """

    upstream: str
    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSuspicion:
    """Report whether another owner suspects the primary of a term."""

    owner: str
    term: int
    suspects: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersChanged:
    """Report the live owners of the database in preference order."""

    owners: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantsReceived:
    """Report the terms that are granted to this owner only."""

    terms: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsLeaving:
    """Report the upstreams that the platform lists as leaving."""

    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Abandon:
    """Answer all pending requests because this owner task ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class FenceReply:
    """Report whether an upstream accepted the term."""

    term: int
    accepted: bool
    status: Status


@dataclasses.dataclass(frozen=True, slots=True)
class LeadReply:
    """Report whether an upstream leads the term."""

    term: int
    accepted: bool
    status: Status


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Report the passage of time; `paused_ms` is how late the timer fired."""

    paused_ms: int = 0


# ---- out of the core -----------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Run a request at an upstream; exactly one Executed follows."""

    key: int
    attempt: int
    upstream: str
    term: int
    kind: requests.Kind
    request: requests.Request
    at_replica: bool = False
    # A replica runs the read once it has reached this log position.
    wait_position: log_positions.LogPosition = log_positions.ORIGIN
    wait_ms: int = 0
    timeout_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Send the caller the only, final answer."""

    key: int
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStatus:
    """Request a status, to be sent as soon as it is conclusive.

    That is when the upstream holds `place` under `term`, when it accepted a
    higher term, or when `wait_ms` has passed.
    """

    upstream: str
    round_id: int
    term: int
    place: log_positions.LogPosition
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Make an upstream accept a term and refuse lower ones."""

    upstream: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lead:
    """Make an upstream that accepted the term its primary."""

    upstream: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendSuspicion:
    """Send the other owners whether this one suspects the primary."""

    term: int
    suspects: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestGrants:
    """Request grants of terms above the highest one seen."""

    above_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPrimary:
    """Update the platform's record of the primary."""

    term: int
    primary: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseTransaction:
    """Close a transaction's connection instead of reusing it."""

    transaction: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordDecision:
    """Record a decision and its reason for the operators."""

    what: str
    why: str
