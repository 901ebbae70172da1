"""Type what a key-value service answers, whichever service it is."""

import dataclasses
import typing

from topazring.core import revisions

__all__ = [
    'Changes',
    'Conflict',
    'Found',
    'HistoryCompacted',
    'Leased',
    'Missing',
    'Store',
    'Unavailable',
    'Value',
    'Written',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """Hold a value and the tag that a swap has to name."""

    value: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """Report that there is no such value or lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """Report that a write took effect."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Report that another write came first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that the service did not answer; a write may have happened."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """Report that the changes asked for are not kept any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Hold what changed after `since`, up to `upto`."""

    since: int
    upto: int
    changes: list[revisions.Change]
    # The answer was cut; what follows `upto` is to be asked for at once.
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Leased:
    """Hold a lease: what is written under it goes when it ends."""

    lease: int
    ttl_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Name a value to be written if it is still at `revision`; 0: absent."""

    key: str
    value: str
    revision: int
    lease: int = 0


class Store(typing.Protocol):
    """Say what a key-value service with leases and watches can do."""

    async def get(self, key: str) -> Found | Missing | Unavailable:
        """Return a value."""

    async def put_all(
        self, values: tuple[Value, ...]
    ) -> Written | Conflict | Missing | Unavailable:
        """Write all values or none; Missing: the lease has ended."""

    async def read_all(self, prefix: str) -> Changes | Unavailable:
        """Return all values under a prefix and the revision to go on from."""

    async def changes(
        self, prefix: str, since: int, wait_ms: int
    ) -> Changes | HistoryCompacted | Unavailable:
        """Return what changed under a prefix, waiting for the first."""

    async def lease(self, ttl_ms: int) -> Leased | Unavailable:
        """Begin a lease."""

    async def renew_lease(self, lease: int) -> Leased | Missing | Unavailable:
        """Renew a lease."""

    async def end(self, lease: int) -> bool:
        """End a lease with all that is written under it."""

    def close(self) -> None:
        """Close the connections."""
