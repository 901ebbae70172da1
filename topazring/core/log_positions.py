"""Positions in a replicated log."""

import dataclasses

__all__ = ['ORIGIN', 'LogPosition', 'Sample', 'majority_of']


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class LogPosition:
    """Position of a log entry, ordered by its term, then by its index.

    The term is compared first: the log of a replaced primary can be longer
    than its successor's and is behind it all the same.

    >>> LogPosition(2, 5) > LogPosition(1, 900)
    True
    """

    log_term: int
    position: int

    def __str__(self) -> str:
        """Return the position as `term.index`, for logs."""
        return f'{self.log_term}.{self.position}'


ORIGIN = LogPosition(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Log position of the primary at a point in time.

    All writes acknowledged before `sent_ms` are at or before `place`.
    """

    sent_ms: int
    place: LogPosition


def majority_of(count: int) -> int:
    """Return how many of `count` members make a majority.

    >>> majority_of(3)
    2
    """
    return count // 2 + 1
