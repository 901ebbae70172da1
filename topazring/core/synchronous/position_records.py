"""Hold log positions recorded for a group."""

import dataclasses

from topazring.core import places

__all__ = ['Confirmation', 'PrimaryStart']


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryStart:
    """Bound the log that a primary started with by a position.

    All entries that it started with are at or before `place`.
    """

    upstream: str = ''
    place: places.Place = places.ORIGIN


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Hold the confirmation of a write by a primary."""

    upstream: str
    # When the write was sent to it.
    sent_ms: int
    # When its answer was received.
    confirmed_ms: int
    # The last known log position of the primary when the write was sent.
    place_before: places.Place
    # Its log position with the write; None if it was not reported.
    place: places.Place | None
