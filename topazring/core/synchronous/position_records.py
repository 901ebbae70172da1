"""Hold log positions recorded for a group."""

import dataclasses

from topazring.core import log_positions

__all__ = ['Confirmation', 'PrimaryStart']


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryStart:
    """Hold an upper bound on the log that a primary started with.

    All entries that it started with are at or before `place`.
    """

    upstream: str = ''
    place: log_positions.LogPosition = log_positions.ORIGIN


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Hold the confirmation of a write by a primary."""

    upstream: str
    # When the write was sent to it.
    sent_ms: int
    # When its answer was received.
    confirmed_ms: int
    # The last known log position of the primary when the write was sent.
    place_before: log_positions.LogPosition
    # Its log position with the write; None if it was not reported.
    place: log_positions.LogPosition | None
