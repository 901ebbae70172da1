"""Types of what a soak observes at callers, upstreams and the platform.

Times are milliseconds of one monotonic clock: all observations are made in
the process that runs the soak.
"""

import enum

import msgspec

from topazring.core.synchronous import messages
from topazring.core.synchronous import statements

__all__ = ['Answer', 'Ask', 'Entry', 'Kind', 'Observation']

Verb = statements.Verb
Freshness = messages.Freshness


class Kind(enum.StrEnum):
    """What an answer guarantees about its request."""

    DONE = 'done'
    # The request had no effect.
    NOT_RUN = 'not run'
    # The request may or may not have taken effect.
    UNKNOWN = 'unknown'
    # The statement was invalid, or the database does not exist.
    REJECTED = 'rejected'


class Answer(msgspec.Struct, frozen=True):
    """Hold the final answer to a request."""

    kind: Kind
    signature: str = ''
    rows: tuple[str, ...] = ()
    # The error code and text, unless the request succeeded.
    detail: str = ''


class Ask(msgspec.Struct, frozen=True):
    """Hold a statement of a caller.

    An execution of a prepared shape has the access of the shape as its verb.
    """

    request_id: str
    verb: Verb
    item: str = ''
    data: str = ''
    # The prepared shape that is executed; empty for other statements.
    shape: str = ''


class Entry(msgspec.Struct, eq=False):
    """Hold one log entry of a commit.

    Entries are compared by identity: logs that share an entry hold the same
    object.
    """

    term: int
    position: int
    request_id: str
    # Item and data of each write.
    writes: tuple[tuple[str, str], ...] = ()


class Observation(msgspec.Struct, frozen=True):
    """Base class: something observed at a point in time."""

    at_ms: float


class Asked(Observation):
    """A caller sends a statement."""

    ask: Ask
    session: str
    instance: str
    freshness: Freshness = Freshness.PRIMARY
    max_staleness_ms: int = 0
    # The name of the caller's transaction; empty outside a transaction.
    transaction: str = ''
    values: tuple[tuple[str, str], ...] = ()
    # The statement as it is sent.
    text: str = ''


class Received(Observation):
    """An upstream has received a line."""

    request_id: str
    # How it differs from what its caller asked for.
    faults: tuple[str, ...] = ()


class Ran(Observation):
    """An upstream has run a statement."""

    upstream: str
    ask: Ask
    signature: str
    rows: tuple[str, ...]
    # The upstream's log, and how many of its entries it has applied.
    log: list[Entry]
    applied: int
    inside: bool = False
    values: tuple[tuple[str, str], ...] = ()


class Committed(Observation):
    """A primary has appended a commit to its log."""

    upstream: str
    entry: Entry


class Answered(Observation):
    """A caller has received a final answer."""

    request_id: str
    answer: Answer


class Cut(Observation):
    """A connection has ended before the answer to a request."""

    request_id: str


class Unasked(Observation):
    """A caller has received a line while it had no request pending."""

    session: str
    instance: str
    text: str


class Ordered(Observation):
    """An upstream has been ordered to become primary."""

    upstream: str
    holder: str
    token: int


class Led(Observation):
    """An upstream becomes primary with the log that it has received."""

    upstream: str
    term: int
    log: list[Entry]


class Leaves(Observation):
    """The platform's service has recorded that an upstream drains."""

    upstream: str


class InForce(Observation):
    """The platform's service has accepted a configuration."""

    version: int


class Probed(Observation):
    """An instance has accepted or refused a session on a version's database.

    Each version of the configuration has a database of its own.
    """

    asked_ms: float
    instance: str
    version: int
    taken: bool


class Started(Observation):
    """The process of an instance starts."""

    instance: str


class Exited(Observation):
    """The process of an instance has exited."""

    instance: str
    code: int


class Disturbed(Observation):
    """A disturbance lasts from now to `to_ms`."""

    to_ms: float
    # The name of an instance or upstream, or `service` for the platform's
    # service.
    where: str
    # Whether this is announced work: a stop within its grace period, a
    # reload, a release or a configuration change.
    planned: bool = False


class Finished(Observation):
    """The soak has ended; `log` is the log of the last primary."""

    log: list[Entry]
    # Whether a write succeeded after all disturbances had ended.
    serves: bool = True
