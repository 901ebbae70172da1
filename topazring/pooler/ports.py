"""Say what an adapter provides: codecs, orders, and typed records.

The pooler knows sessions, groups and records; what they look like on a wire
is the adapter's matter.
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
    """Begin a session on a database."""

    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class Quit:
    """End the session."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Report input that is no message; `fatal` leaves no way to go on."""

    reason: outcomes.Reason
    detail: str
    fatal: bool = False


CallerItem = StartSession | Quit | Fault | statements.Statement


class CallerReader(typing.Protocol):
    """Split what one caller sends into messages, whatever the pieces."""

    def feed(self, data: bytes) -> list[CallerItem]:
        """Return the messages that are complete now."""


class CallerCodec(typing.Protocol):
    """Speak with callers."""

    def reader(self, message_bytes: int) -> CallerReader:
        """Return a reader; longer messages are faults."""

    def greeting(self) -> bytes:
        """Return the answer to a session's start."""

    def refusal(self, outcome: outcomes.Outcome) -> bytes:
        """Return the answer to a session that is refused."""

    def answer(
        self, outcome: outcomes.Outcome, state: statements.SessionState
    ) -> bytes:
        """Return the answer to a statement and the session's state."""


class ReplyReader(typing.Protocol):
    """Split what an upstream sends into replies."""

    def feed(self, data: bytes) -> list[statements.Reply]:
        """Return complete replies; ValueError if it is no reply."""


class UpstreamCodec(typing.Protocol):
    """Speak with upstreams."""

    def hello(self, service: str, upstream: str) -> bytes:
        """Return what opens a connection; one reply follows."""

    def encode(self, commands: tuple[statements.Command, ...]) -> bytes:
        """Return commands as they go out; one reply a command follows."""

    def reader(self) -> ReplyReader:
        """Return a reader of one connection's replies."""


class Orders(typing.Protocol):
    """Give the platform orders that need the duty."""

    async def promote(
        self, service: str, upstream: str, holder: str, token: int
    ) -> messages.OrderResult:
        """Have an upstream promoted."""

    def close(self) -> None:
        """Close the connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """Hold all that an adapter provides."""

    callers: CallerCodec
    upstreams: UpstreamCodec
    store: key_value.Store
    orders: Orders
    # Decodes one of the platform's own entries: key, value, revision.
    decode: typing.Callable[[str, str, int], listing.Record | None]
    # Where the balancer asks whether to send callers here.
    ready_path: str
