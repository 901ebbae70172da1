"""Say what a soak needs of the world that it runs in."""

import asyncio
import dataclasses
import time
import typing

from topazring.core.synchronous import messages
from topazring.soak import checks
from topazring.soak import sightings

__all__ = [
    'Database',
    'Ended',
    'Instance',
    'Stage',
    'Talk',
    'Upstreams',
    'now_ms',
]


def now_ms() -> float:
    """Return the steady clock."""
    return time.monotonic() * 1000


class Ended(ConnectionError):
    """Say that a session ended, or did not start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Database:
    """Hold a name that callers use, and what its reads have to see."""

    name: str
    freshness: messages.Freshness
    max_staleness_ms: int = 0


class Talk(typing.Protocol):
    """Speak one session."""

    # What arrived while nothing was asked.
    unasked: list[str]

    async def say(self, ask: sightings.Ask) -> sightings.Answer:
        """Return the answer; raise Ended without one."""

    def close(self) -> None:
        """Leave."""


class Instance(typing.Protocol):
    """Own one process of the product."""

    name: str
    process: asyncio.subprocess.Process | None

    async def restart(self) -> None:
        """Start the process, unless it runs or is being started."""

    async def is_ready(self) -> bool:
        """Ask as the balancer does."""


class Upstreams(typing.Protocol):
    """Play a group of upstreams; each fault ends by itself."""

    async def release(self, choice: float, unlisted_ms: int) -> None:
        """Have a new replica start, be listed late, and an old one leave."""

    async def crash(self, name: str, for_ms: int, empty: bool) -> None:
        """End an upstream; it is back later, with its log or empty."""

    async def silence(self, name: str, for_ms: int) -> None:
        """Have an upstream say nothing to anybody."""

    async def isolate(self, for_ms: int) -> None:
        """Cut the primary off from all that are listed."""

    def deafen(self, names: list[str], for_ms: int) -> None:
        """Have replicas receive nothing for a while."""

    def choose(self, choice: float) -> str:
        """Return a member's name."""

    def primary_name(self) -> str:
        """Return who leads the newest term."""

    def listed_replicas(self) -> list[str]:
        """Return the replicas that the platform lists."""


class Stage(typing.Protocol):
    """Own the processes, upstreams, service and links of a soak."""

    oracle: checks.Oracle
    instances: list[Instance]
    upstreams: Upstreams
    databases: list[Database]
    # What takes new callers now.
    rotation: list[Instance]
    # How long a process may take to stop.
    grace_s: float

    async def start(self) -> None:
        """Start everything."""

    async def close(self) -> None:
        """End everything that was started, and nothing else."""

    async def connect(self, instance: Instance, database: str) -> Talk:
        """Start a session; raise Ended if it is refused."""

    async def configure(self) -> None:
        """Have the operator write the next version."""

    def rewrite_settings(self, instance: Instance) -> None:
        """Write an instance's settings anew."""

    def service(self, how: str, choice: float) -> None:
        """Have the platform's service be in trouble; `well` ends it."""

    def link(self, how: str, choice: float) -> str:
        """Put a link in trouble, and return its name."""

    def mend_link(self, name: str) -> None:
        """Have a link pass everything again."""

    def final_log(self) -> list[sightings.Entry]:
        """Return the log that leads."""
