"""Define statements, the commands sent to upstreams and their replies."""

import dataclasses
import enum

from topazring.core import log_positions

__all__ = [
    'Access',
    'Begin',
    'Code',
    'Command',
    'Commit',
    'Demote',
    'Execute',
    'Pause',
    'Prepare',
    'Reply',
    'Reset',
    'Resume',
    'Role',
    'Rollback',
    'Run',
    'SessionState',
    'SetValue',
    'Statement',
    'Status',
    'StatusReport',
    'Verb',
]


class Verb(enum.StrEnum):
    """Name the kind of a statement."""

    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    DEALLOCATE = 'deallocate'

    @property
    def ends_transaction(self) -> bool:
        """Return whether it ends the open transaction."""
        return self in (Verb.COMMIT, Verb.ROLLBACK)


class Access(enum.StrEnum):
    """Name whether a prepared statement reads or writes."""

    READ = 'read'
    WRITE = 'write'


class Role(enum.StrEnum):
    """Name the role of an upstream in its group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class SessionState(enum.StrEnum):
    """Name the transaction state of a session between two statements."""

    IDLE = 'idle'
    IN_TRANSACTION = 'in_transaction'
    # The transaction failed and can only be ended.
    FAILED = 'failed'


class Code(enum.StrEnum):
    """Name the error codes of an upstream."""

    # Not run: the queue was full or no slot was free.
    BUSY = 'busy'
    # Not run: its log has not reached the requested position.
    LAGGING = 'lagging'
    # Not run: it does not lead.
    READ_ONLY = 'read_only'
    # Not run: it is not the expected upstream.
    WRONG_UPSTREAM = 'wrong_upstream'
    # Not run: all of its connections are in use.
    CONNECTION_LIMIT = 'connection_limit'
    # Not run: no statement is prepared under that name.
    NO_STATEMENT = 'no_statement'
    # It ran and failed.
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    # Any other error; whether it ran is unknown.
    OTHER = 'other'


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Hold one statement of a caller.

    `text` is sent to the upstream unchanged; the other fields are parsed
    from it according to the verb. `arguments` follow the name of a prepared
    statement.
    """

    request_id: str
    verb: Verb
    text: str
    name: str = ''
    value: str = ''
    arguments: str = ''
    access: Access = Access.READ
    read_only: bool = False


# ---- to upstreams ---------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Begin a transaction.

    A read-only one may require the log position `after`.
    """

    read_only: bool = False
    after: log_positions.LogPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Roll back the transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Commit the transaction under the request id of the caller."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run a statement, at or past the log position `after` if given."""

    request_id: str
    text: str
    after: log_positions.LogPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Execute a prepared statement with the arguments of the caller."""

    request_id: str
    name: str
    arguments: str
    after: log_positions.LogPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue:
    """Set a session value."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a statement shape under a name."""

    name: str
    access: Access
    shape: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Clear the session values and prepared names of the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Query the status of the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Stop a replica from receiving; `term` is above the newest one."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Let a paused replica receive again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demote:
    """Demote a primary of a lower term to a replica."""

    term: int


Command = (
    Begin
    | Rollback
    | Commit
    | Run
    | Execute
    | SetValue
    | Prepare
    | Reset
    | Status
    | Pause
    | Resume
    | Demote
)


# ---- from upstreams -------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Hold the complete reply to one command."""

    rows: tuple[str, ...] = ()
    # Signature of the upstream on a success; None on an error.
    signature: str | None = None
    code: Code | None = None
    detail: str = ''
    state: SessionState = SessionState.IDLE
    # Log position of the upstream, if reported.
    place: log_positions.LogPosition | None = None
    report: 'StatusReport | None' = None


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport:
    """Hold the status reported by an upstream."""

    role: Role
    term: int
    received: log_positions.LogPosition
    held_term: int
    lag_ms: int
    busy: int
    connections: int
