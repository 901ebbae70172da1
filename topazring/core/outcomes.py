"""Final outcomes of a request."""

import dataclasses
import enum
import typing

from topazring.core import log_positions

__all__ = [
    'Done',
    'NotRun',
    'Outcome',
    'REJECTION_REASONS',
    'Reason',
    'Rejected',
    'Unknown',
]


class Reason(enum.StrEnum):
    """Reason for which a request was refused, retried or left in doubt."""

    BACKLOG = 'backlog'
    CANCELLED = 'cancelled'
    CONFLICT = 'conflict'
    CONNECTION_LIMIT = 'connection_limit'
    CONNECTION_LOST = 'connection_lost'
    DATABASE_CLOSED = 'database_closed'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    GROUP_RESTARTED = 'group_restarted'
    NO_CONFIGURATION = 'no_configuration'
    NO_FRESH_REPLICA = 'no_fresh_replica'
    NO_OWNER = 'no_owner'
    NO_PRIMARY = 'no_primary'
    NOT_CONFIRMED = 'not_confirmed'
    OVERLOAD = 'overload'
    OWNER_LOST = 'owner_lost'
    REPLACED = 'replaced'
    REPLICA_BEHIND = 'replica_behind'
    REPLICAS_BEHIND = 'replicas_behind'
    QUOTA = 'quota'
    QUOTA_UNKNOWN = 'quota_unknown'
    RETRY_BUDGET = 'retry_budget'
    SILENT = 'silent'
    SLOTS_BUSY = 'slots_busy'
    TRANSACTION_LOST = 'transaction_lost'
    UNPROVEN = 'unproven'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_TIMEOUT = 'upstream_timeout'
    # Rejected input: the caller has to change the request first.
    BAD_FRAME = 'bad_frame'
    BAD_REQUEST_ID = 'bad_request_id'
    BAD_STATEMENT = 'bad_statement'
    BAD_TOKEN = 'bad_token'
    FORBIDDEN = 'forbidden'
    NO_STATEMENT = 'no_statement'
    NO_TRANSACTION = 'no_transaction'
    REQUEST_ID_TOO_OLD = 'request_id_too_old'
    TOO_LARGE = 'too_large'
    UNKNOWN_DATABASE = 'unknown_database'
    UNKNOWN_PROFILE = 'unknown_profile'


# Reasons that reject the request itself.
REJECTION_REASONS = frozenset(
    {
        Reason.BAD_FRAME,
        Reason.BAD_REQUEST_ID,
        Reason.BAD_STATEMENT,
        Reason.BAD_TOKEN,
        Reason.FORBIDDEN,
        Reason.NO_STATEMENT,
        Reason.NO_TRANSACTION,
        Reason.REQUEST_ID_TOO_OLD,
        Reason.TOO_LARGE,
        Reason.UNKNOWN_DATABASE,
        Reason.UNKNOWN_PROFILE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The request ran, and a majority holds what it read or wrote."""

    rows: list[list[typing.Any]]
    place: log_positions.LogPosition
    served_by: str = ''
    repeated: bool = False
    # The signature of the answer, for upstreams that sign their answers.
    signature: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will under its id."""

    reason: Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It could not be determined whether the request ran."""

    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The request is invalid; repeating it fails in the same way."""

    reason: Reason
    detail: str


Outcome = Done | NotRun | Unknown | Rejected
