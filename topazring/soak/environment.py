"""Say what a soak needs of the world that it runs in."""

import dataclasses
import time
import typing

from topazring.core.synchronous import messages
from topazring.soak import checks
from topazring.soak import observations

__all__ = ['Database', 'SessionEnded', 'Environment', 'now_ms']


def now_ms() -> float:
    """Return the steady clock."""
    return time.monotonic() * 1000


class SessionEnded(ConnectionError):
    """Say that a session ended, or did not start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Database:
    """Hold a name that callers use, and what its reads have to see."""

    name: str
    freshness: messages.Freshness
    max_staleness_ms: int = 0


class Environment(typing.Protocol):
    """Own the processes, upstreams, service and links of a soak.

    An instance has a `name`, a `process`, and `restart`, which starts it
    unless it runs. A session has `say`, which returns an answer or raises
    Ended, `unasked`, which holds what it was told meanwhile, and `close`.
    """

    oracle: checks.Oracle
    instances: list
    # What takes new callers now.
    rotation: list
    databases: list[Database]
    # How long a process may take to stop.
    grace_s: float

    async def start(self) -> None:
        """Start everything."""

    async def close(self) -> None:
        """End everything that was started, and nothing else."""

    async def connect(self, instance, database: str):
        """Return a session; raise Ended if it is refused."""

    async def configure(self) -> None:
        """Have the operator write the next version."""

    def rewrite_settings(self, instance) -> None:
        """Write an instance's settings anew."""

    async def disturb(
        self, part: str, how: str, choice: float, for_ms: int, gap_ms: int
    ) -> None:
        """Trouble upstreams, the service or a link, until that is over."""

    def final_log(self) -> list[observations.Entry]:
        """Return the log that leads."""
