"""Describe what callers, upstreams and orders show of a soak.

Times are milliseconds of one steady clock: everything that is looked at
passes through the process that runs the soak.
"""

import dataclasses
import enum

from topazring.core.synchronous import messages
from topazring.core.synchronous import statements

__all__ = [
    'Answer',
    'Answered',
    'Ask',
    'Asked',
    'Committed',
    'Cut',
    'Disturbed',
    'Entry',
    'Exited',
    'Finished',
    'InForce',
    'Kind',
    'Led',
    'Leaves',
    'Ordered',
    'Probed',
    'Ran',
    'Started',
    'Unasked',
]

Verb = statements.Verb


class Kind(enum.StrEnum):
    """Name what an answer promises."""

    DONE = 'done'
    # Nothing of the attempt is kept.
    NOT_RUN = 'not run'
    # Nothing is promised.
    UNKNOWN = 'unknown'
    # The statement itself was wrong, or there is no such database.
    REJECTED = 'rejected'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Hold one final answer."""

    kind: Kind
    signature: str = ''
    rows: tuple[str, ...] = ()
    # The code and text of an answer without success.
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Hold a statement as its caller sends it."""

    request_id: str
    verb: Verb
    item: str = ''
    data: str = ''


@dataclasses.dataclass(eq=False, slots=True)
class Entry:
    """Hold one commit in logs; logs that share it hold this very object."""

    term: int
    position: int
    request_id: str
    # Item and data of each write.
    writes: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """Report that a caller sends a statement."""

    at_ms: float
    ask: Ask
    session: str
    instance: str
    freshness: messages.Freshness = messages.Freshness.PRIMARY
    max_staleness_ms: int = 0
    # Names the caller's transaction, empty outside one.
    transaction: str = ''
    values: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """Report that an upstream ran a statement."""

    at_ms: float
    upstream: str
    ask: Ask
    signature: str
    rows: tuple[str, ...]
    # What the upstream has applied of its log, and that log.
    log: list[Entry]
    applied: int
    inside: bool = False
    values: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Report that a primary added a commit to its log."""

    at_ms: float
    upstream: str
    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Report a final answer as its caller got it."""

    at_ms: float
    request_id: str
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Report that a connection ended without an answer."""

    at_ms: float
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unasked:
    """Report that a caller was told something while it had asked nothing."""

    at_ms: float
    session: str
    instance: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ordered:
    """Report an order to promote."""

    at_ms: float
    upstream: str
    holder: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Led:
    """Report that an upstream begins to lead with what it has received."""

    at_ms: float
    upstream: str
    term: int
    log: list[Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class Leaves:
    """Report that the platform's service accepted that an upstream drains."""

    at_ms: float
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Report that the platform's service accepted a configuration."""

    at_ms: float
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Probed:
    """Report whether an instance takes a session on a version's database."""

    asked_ms: float
    at_ms: float
    instance: str
    version: int
    taken: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Report that an instance's process starts."""

    at_ms: float
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Exited:
    """Report that an instance's process has ended."""

    at_ms: float
    instance: str
    code: int


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbed:
    """Report trouble, from when to when."""

    from_ms: float
    to_ms: float
    # An instance, `service` for the platform's service, or an upstream.
    where: str
    # Announced work: a stop in grace, a reload, a release, a configuration.
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Report the log that leads in the end."""

    at_ms: float
    log: list[Entry]
    # Whether a write succeeded once all trouble was over.
    serves: bool = True
