"""Define the environment that a soak runs in."""

import dataclasses
import time
import typing

from topazring.core.synchronous import messages
from topazring.soak import checks
from topazring.soak import observations

__all__ = ['Database', 'SessionEnded', 'Environment', 'now_ms']


def now_ms() -> float:
    """Return the monotonic clock, in milliseconds."""
    return time.monotonic() * 1000


class SessionEnded(ConnectionError):
    """Raised when a session has ended or could not be opened."""


@dataclasses.dataclass(frozen=True, slots=True)
class Database:
    """Hold a database name and the freshness that its reads require."""

    name: str
    freshness: messages.Freshness
    max_staleness_ms: int = 0


class Environment(typing.Protocol):
    """Own the processes, upstreams, platform service and links of a soak.

    An instance has a `name`, a `process`, and `restart`, which starts it
    unless it runs. A session has `execute`, which takes a request id and a
    text and returns an answer or raises SessionEnded, `unasked`, which holds
    the lines received while no request was pending, and `close`.
    """

    oracle: checks.Oracle
    instances: list
    # The instances that the load balancer sends new callers to.
    rotation: list
    databases: list[Database]
    # The time that a process has to stop after SIGTERM.
    grace_s: float

    async def start(self) -> None:
        """Start everything."""

    async def close(self) -> None:
        """Stop everything that `start` started, and nothing else."""

    async def connect(self, instance, database: str):
        """Open and return a session; raise SessionEnded if it is refused."""

    async def configure(self) -> None:
        """Write the next version of the configuration, as an operator does."""

    def rewrite_settings(self, instance) -> None:
        """Rewrite the settings file of an instance."""

    async def disturb(
        self, part: str, how: str, choice: float, for_ms: int, gap_ms: int
    ) -> None:
        """Inject a fault into upstreams, service or a link; await its end."""

    def final_log(self) -> list[observations.Entry]:
        """Return the log of the current primary."""
