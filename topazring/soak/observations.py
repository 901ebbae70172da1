"""Describe what callers, upstreams and orders show of a soak.

Times are milliseconds of one steady clock: everything that is looked at
passes through the process that runs the soak.
"""

import enum

import msgspec

from topazring.core.synchronous import messages
from topazring.core.synchronous import statements

__all__ = ['Answer', 'Ask', 'Entry', 'Kind', 'Observation']

Verb = statements.Verb
Freshness = messages.Freshness


class Kind(enum.StrEnum):
    """Name what an answer promises."""

    DONE = 'done'
    # Nothing of the attempt is kept.
    NOT_RUN = 'not run'
    # Nothing is promised.
    UNKNOWN = 'unknown'
    # The statement itself was wrong, or there is no such database.
    REJECTED = 'rejected'


class Answer(msgspec.Struct, frozen=True):
    """Hold one final answer."""

    kind: Kind
    signature: str = ''
    rows: tuple[str, ...] = ()
    # The code and text of an answer without success.
    detail: str = ''


class Ask(msgspec.Struct, frozen=True):
    """Hold a statement as its caller sends it."""

    request_id: str
    verb: Verb
    item: str = ''
    data: str = ''


class Entry(msgspec.Struct, eq=False):
    """Hold one commit in logs; logs that share it hold this very object."""

    term: int
    position: int
    request_id: str
    # Item and data of each write.
    writes: tuple[tuple[str, str], ...] = ()


class Observation(msgspec.Struct, frozen=True):
    """Report something that was seen at a moment."""

    at_ms: float


class Asked(Observation):
    """Report that a caller sends a statement."""

    ask: Ask
    session: str
    instance: str
    freshness: Freshness = Freshness.PRIMARY
    max_staleness_ms: int = 0
    # Names the caller's transaction, empty outside one.
    transaction: str = ''
    values: tuple[tuple[str, str], ...] = ()


class Ran(Observation):
    """Report that an upstream ran a statement."""

    upstream: str
    ask: Ask
    signature: str
    rows: tuple[str, ...]
    # What the upstream has applied of its log, and that log.
    log: list[Entry]
    applied: int
    inside: bool = False
    values: tuple[tuple[str, str], ...] = ()


class Committed(Observation):
    """Report that a primary added a commit to its log."""

    upstream: str
    entry: Entry


class Answered(Observation):
    """Report a final answer as its caller got it."""

    request_id: str
    answer: Answer


class Cut(Observation):
    """Report that a connection ended without an answer."""

    request_id: str


class Unasked(Observation):
    """Report that a caller was told something while it had asked nothing."""

    session: str
    instance: str
    text: str


class Ordered(Observation):
    """Report an order to promote."""

    upstream: str
    holder: str
    token: int


class Led(Observation):
    """Report that an upstream begins to lead with what it has received."""

    upstream: str
    term: int
    log: list[Entry]


class Leaves(Observation):
    """Report that the platform's service accepted that an upstream drains."""

    upstream: str


class InForce(Observation):
    """Report that the platform's service accepted a configuration."""

    version: int


class Probed(Observation):
    """Report whether an instance takes a session on a version's database."""

    asked_ms: float
    instance: str
    version: int
    taken: bool


class Started(Observation):
    """Report that an instance's process starts."""

    instance: str


class Exited(Observation):
    """Report that an instance's process has ended."""

    instance: str
    code: int


class Disturbed(Observation):
    """Report trouble from now to some time."""

    to_ms: float
    # An instance, `service` for the platform's service, or an upstream.
    where: str
    # Announced work: a stop in grace, a reload, a release, a configuration.
    planned: bool = False


class Finished(Observation):
    """Report the log that leads in the end."""

    log: list[Entry]
    # Whether a write succeeded once all trouble was over.
    serves: bool = True
