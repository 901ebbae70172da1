"""Define the interfaces of an adapter: codecs, orders and typed records.

The pooler works on sessions, groups and records; the adapter defines their
wire formats.
"""

import dataclasses
import typing

from topazring.core import outcomes
from topazring.core.synchronous import listing
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring import key_value

__all__ = [
    'Adapter',
    'CallerCodec',
    'CallerItem',
    'CallerReader',
    'Fault',
    'Orders',
    'Quit',
    'ReplyReader',
    'StartSession',
    'UpstreamCodec',
]


@dataclasses.dataclass(frozen=True, slots=True)
class StartSession:
    """Start a session on a database with the caller's key."""

    database: str
    key: str = dataclasses.field(default='', repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Quit:
    """End the session."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Malformed input; after a `fatal` fault the input cannot be parsed on."""

    reason: outcomes.Reason
    detail: str
    fatal: bool = False


CallerItem = StartSession | Quit | Fault | statements.Statement


class CallerReader(typing.Protocol):
    """Split one caller's bytes into messages; chunks may end anywhere."""

    def feed(self, data: bytes) -> list[CallerItem]:
        """Return the messages that are complete now."""


class CallerCodec(typing.Protocol):
    """Encode and decode the callers' protocol."""

    def reader(self, message_bytes: int) -> CallerReader:
        """Return a reader; it reports longer messages as faults."""

    def greeting(self) -> bytes:
        """Return the answer to the start of a session."""

    def refusal(self, outcome: outcomes.Outcome) -> bytes:
        """Return the answer that refuses a session."""

    def answer(
        self, outcome: outcomes.Outcome, state: statements.SessionState
    ) -> bytes:
        """Return the answer to a statement, with the session's state."""


class ReplyReader(typing.Protocol):
    """Split one upstream's bytes into replies."""

    def feed(self, data: bytes) -> list[statements.Reply]:
        """Return complete replies; raise ValueError on malformed input."""

    def is_inside_reply(self) -> bool:
        """Return whether a part of the next reply has been fed."""


class UpstreamCodec(typing.Protocol):
    """Encode and decode the upstreams' protocol."""

    def hello(self, service: str, organisation: str, upstream: str) -> bytes:
        """Return the bytes that open a connection; one reply follows.

        Raises ValueError if a name cannot be sent as it is.
        """

    def encode(self, commands: tuple[statements.Command, ...]) -> bytes:
        """Return encoded commands; one reply for each follows.

        Raises ValueError if a command cannot be sent as it is.
        """

    def reader(self) -> ReplyReader:
        """Return a reader for the replies of one connection."""


class Orders(typing.Protocol):
    """Send the platform orders that require the promotion lease."""

    async def promote(
        self, service: str, upstream: str, holder: str, token: int
    ) -> messages.OrderResult:
        """Order the promotion of an upstream."""

    def close(self) -> None:
        """Close the connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """Everything that an adapter provides."""

    callers: CallerCodec
    upstreams: UpstreamCodec
    store: key_value.Store
    orders: Orders
    # Decodes one of the platform's own entries: key, value, revision.
    decode: typing.Callable[[str, str, int], listing.Record | None]
    # Returns the value of an entry without secrets: key, value.
    redact: typing.Callable[[str, str], str]
    # Path on which the load balancer probes whether to send callers here.
    ready_path: str
