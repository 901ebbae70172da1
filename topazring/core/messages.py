"""Type the messages that enter and leave an owner's core."""

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
    """Report what an upstream says of itself."""

    upstream: str
    accepted_term: int
    leads: bool
    place: log_positions.LogPosition
    # How long ago this replica last heard from its primary; 0 on a primary.
    primary_silent_ms: int = 0


# ---- into the core -------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Take in a request."""

    request: requests.Request


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Report that the caller's session ended and its transaction with it."""

    transaction: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """Report an execution with the place the upstream had after it."""

    rows: list[list[typing.Any]]
    place: log_positions.LogPosition
    accepted_term: int
    repeated: bool = False
    cancelled: bool = False
    leads: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that the upstream certainly did not run the statement."""

    reason: outcomes.Reason
    status: Status | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SqlFailed:
    """Report that the statement is at fault and left nothing behind."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """Report a connection lost or silent; `sent` leaves the fate open."""

    reason: outcomes.Reason
    sent: bool


Result = Ran | Refused | SqlFailed | ConnectionLost


@dataclasses.dataclass(frozen=True, slots=True)
class Executed:
    """Report the one result of an Execute."""

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
    """Report a new control connection: what was asked before it is lost."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFailed:
    """Report what a probe met: `refused`, `silent` or `silent_new`.

    `silent` is silence on a connection that worked; `silent_new` on one
    opened for the probe.
    """

    upstream: str
    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSuspicion:
    """Report what another owner thinks of the primary of a term."""

    owner: str
    term: int
    suspects: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersChanged:
    """Report the live owners of the database in preference order."""

    owners: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantsReceived:
    """Report the terms that are this owner's alone to use."""

    terms: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsLeaving:
    """Name the upstreams that the platform lists as leaving."""

    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Abandon:
    """Answer all that is in hand: this owner task ends."""


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
    """Let time pass; `paused_ms` is how late the timer woke."""

    paused_ms: int = 0


# ---- out of the core -----------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Have an upstream run a request; exactly one Executed follows."""

    key: int
    attempt: int
    upstream: str
    term: int
    kind: requests.Kind
    request: requests.Request
    at_replica: bool = False
    # A replica runs the read once it has reached this place.
    wait_position: log_positions.LogPosition = log_positions.ORIGIN
    wait_ms: int = 0
    timeout_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Give the caller the one final answer."""

    key: int
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStatus:
    """Ask for a status as soon as it answers the round.

    That is when `place` is held under `term`, when a higher term was
    accepted, or when `wait_ms` is over.
    """

    upstream: str
    round_id: int
    term: int
    place: log_positions.LogPosition
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Have an upstream accept a term and refuse lower ones."""

    upstream: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lead:
    """Have an upstream that accepted the term lead it."""

    upstream: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendSuspicion:
    """Tell the other owners what this one thinks of the primary."""

    term: int
    suspects: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestGrants:
    """Ask for terms above the highest that was seen."""

    above_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPrimary:
    """Ask for the platform's record to be brought up to date."""

    term: int
    primary: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseTransaction:
    """Give up a transaction's connection without reusing it."""

    transaction: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordDecision:
    """Tell the operators what was decided and on what grounds."""

    what: str
    why: str
