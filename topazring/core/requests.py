"""Requests that callers send to an owner."""

import dataclasses
import enum
import typing

from topazring.core import log_positions

__all__ = ['Kind', 'Profile', 'Request', 'Statement', 'RECORDED_KINDS']


class Kind(enum.StrEnum):
    """Kind of a request."""

    READ = 'read'
    WRITE = 'write'
    SETTLE = 'settle'
    BEGIN = 'begin'
    EXECUTE = 'execute'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


# Kinds that write a request record, so that their outcome can be determined
# after the answer was lost.
RECORDED_KINDS = frozenset({Kind.WRITE, Kind.COMMIT, Kind.SETTLE})


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """Staleness, deadlines and retries that a class of traffic accepts."""

    name: str
    max_staleness_ms: int = 0
    repeatable: bool = False
    read_deadline_ms: int = 2000
    write_deadline_ms: int = 8000
    transaction_deadline_ms: int = 30000
    replica_wait_ms: int = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """SQL text and its parameters."""

    sql: str
    parameters: list[typing.Any] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Request as an owner receives it.

    `key` is a number that the owner assigns; `request_id` is assigned by the
    caller and is the same on every copy of a write.
    """

    key: int
    kind: Kind
    organisation: str
    profile: Profile
    deadline_ms: int
    statements: tuple[Statement, ...] = ()
    request_id: str = ''
    token_place: log_positions.LogPosition = log_positions.ORIGIN
    transaction: int = 0
    # An earlier copy with the same id may have run.
    repeat: bool = False
