"""Describe statements, what is sent to upstreams, and their replies."""

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
    """Name what a caller's statement does."""

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
        """Say whether no transaction is open after it."""
        return self in (Verb.COMMIT, Verb.ROLLBACK)


class Access(enum.StrEnum):
    """Say whether a prepared statement reads or writes."""

    READ = 'read'
    WRITE = 'write'


class Role(enum.StrEnum):
    """Name the part an upstream plays in its group."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class SessionState(enum.StrEnum):
    """Name where a session stands between two statements."""

    IDLE = 'idle'
    IN_TRANSACTION = 'in_transaction'
    # The transaction failed; all that is left is to end it.
    FAILED = 'failed'


class Code(enum.StrEnum):
    """Name what an upstream answers instead of a result."""

    # Not run: the queue was full, or a slot could not be had.
    BUSY = 'busy'
    # Not run: its log lacks the place that was asked for.
    LAGGING = 'lagging'
    # Not run: it does not lead.
    READ_ONLY = 'read_only'
    # Not run: it is another upstream than the one expected.
    WRONG_UPSTREAM = 'wrong_upstream'
    # Not run: all of its connections are taken.
    CONNECTION_LIMIT = 'connection_limit'
    # Not run: no prepared statement of that name.
    NO_STATEMENT = 'no_statement'
    # It ran and failed.
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    # Anything else; nothing is known of what happened.
    OTHER = 'other'


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Hold one statement of a caller.

    `text` goes to the upstream as it came; the other fields are what the
    verb says of it. `arguments` is what follows a prepared name.
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
    """Begin a transaction; one that only reads may name a place."""

    read_only: bool = False
    after: log_positions.LogPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """Undo the transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Commit the caller's transaction under the caller's id."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run a caller's statement, at or past a place if one is named."""

    request_id: str
    text: str
    after: log_positions.LogPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Run what was prepared under a name, with the caller's arguments."""

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
    """Prepare a shape under a name."""

    name: str
    access: Access
    shape: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Clear the connection's values and prepared names."""


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Ask what the upstream knows of itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Have a replica receive nothing more; `term` is above the newest."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Have a paused replica receive again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demote:
    """Make a primary of a lower term a replica."""

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
    """Hold the whole answer to one command."""

    rows: tuple[str, ...] = ()
    # What the upstream signed its success with; None on an error.
    signature: str | None = None
    code: Code | None = None
    detail: str = ''
    state: SessionState = SessionState.IDLE
    # Where the upstream's log stood, if it said so.
    place: log_positions.LogPosition | None = None
    report: 'StatusReport | None' = None


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport:
    """Hold what an upstream says of itself."""

    role: Role
    term: int
    received: log_positions.LogPosition
    held_term: int
    lag_ms: int
    busy: int
    connections: int
