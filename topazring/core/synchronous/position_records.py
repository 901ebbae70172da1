"""Say what is known of places in a group's log."""

import dataclasses

from topazring.core import log_positions

__all__ = ['Confirmation', 'PrimaryStart']


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryStart:
    """Bind a primary to a place: all that it began with is at or before it."""

    upstream: str = ''
    place: log_positions.LogPosition = log_positions.ORIGIN


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Hold what a primary's answer to a write says."""

    upstream: str
    # When the write was sent to it.
    sent_ms: int
    # When its answer came.
    confirmed_ms: int
    # Where its log was known to stand then.
    place_before: log_positions.LogPosition
    # Where it stood with the write; None if that was not told.
    place: log_positions.LogPosition | None
