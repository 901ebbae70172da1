"""Describe the work that callers ask an owner to do."""

import dataclasses
import enum
import typing

from topazring.core import log_positions

__all__ = ['Kind', 'Profile', 'Request', 'Statement', 'RECORDED_KINDS']


class Kind(enum.StrEnum):
    """Name what a request asks for."""

    READ = 'read'
    WRITE = 'write'
    SETTLE = 'settle'
    BEGIN = 'begin'
    EXECUTE = 'execute'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


# The kinds that leave a request record behind, so that their fate can be
# found out after a loss.
RECORDED_KINDS = frozenset({Kind.WRITE, Kind.COMMIT, Kind.SETTLE})


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """State what a class of traffic accepts."""

    name: str
    max_staleness_ms: int = 0
    repeatable: bool = False
    read_deadline_ms: int = 2000
    write_deadline_ms: int = 8000
    transaction_deadline_ms: int = 30000
    replica_wait_ms: int = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Hold one SQL text and its parameters."""

    sql: str
    parameters: list[typing.Any] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Hold one request as an owner sees it.

    `key` is the owner's own number for it; `request_id` is the caller's and
    is the same on every copy of a write.
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
    # An earlier copy under the same id may have run.
    repeat: bool = False
