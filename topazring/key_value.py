"""Define the interface and the results of a key-value service.

Revisions never decrease: see `topazring.core.revisions` for a service that
returns from an older copy.
"""

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
    """Hold a value and the revision to name in a compare-and-swap."""

    value: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """Report that the value or lease does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """Report that a write took effect."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Report that the value has changed since the expected revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that the service did not answer; a write may have run."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """Report that the requested changes are not in the service's history.

    They have been compacted away, or were lost in a return from a copy.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Hold the changes after revision `since`, up to `upto` inclusive."""

    since: int
    upto: int
    changes: list[revisions.Change]
    # The result was truncated: request the changes after `upto` immediately.
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Leased:
    """Hold a lease; values written under it are deleted when it ends."""

    lease: int
    ttl_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Describe a write that requires the key to be at `revision`.

    Revision 0 requires the key to be absent.
    """

    key: str
    value: str
    revision: int
    lease: int = 0


class Store(typing.Protocol):
    """Define the methods of a key-value store with leases and watches."""

    # Newest era that an answer has named. A new era begins when the store
    # returns from an older copy.
    era: int
    # Answers that could not be read; each counts as no answer.
    bad_answers: int

    async def get(self, key: str) -> Found | Missing | Unavailable:
        """Return the value of a key."""

    async def put_all(
        self, values: tuple[Value, ...]
    ) -> Written | Conflict | Missing | Unavailable:
        """Write all values or none; return Missing if the lease has ended."""

    async def read_all(self, prefix: str) -> Changes | Unavailable:
        """Return all values under a prefix and the revision to watch from."""

    async def changes(
        self, prefix: str, since: int, wait_ms: int
    ) -> Changes | HistoryCompacted | Unavailable:
        """Return the changes under a prefix, waiting for the first one."""

    async def lease(self, ttl_ms: int) -> Leased | Unavailable:
        """Create a lease."""

    async def renew_lease(self, lease: int) -> Leased | Missing | Unavailable:
        """Renew a lease."""

    async def end(self, lease: int) -> bool:
        """End a lease and delete the values written under it."""

    def close(self) -> None:
        """Close the connections."""
