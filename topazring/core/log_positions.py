"""Name places in a replicated log."""

import dataclasses

__all__ = ['ORIGIN', 'LogPosition', 'Sample', 'majority_of']


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class LogPosition:
    """Locate an entry by the term that wrote it, then by its position.

    The term comes first: the tail of a replaced primary can be longer than
    its successor's log and is behind it all the same.

    >>> LogPosition(2, 5) > LogPosition(1, 900)
    True
    """

    log_term: int
    position: int

    def __str__(self) -> str:
        """Return the place as people write it."""
        return f'{self.log_term}.{self.position}'


ORIGIN = LogPosition(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Bind a place to a time.

    All that was acknowledged before `sent_ms` is at or before `place`.
    """

    sent_ms: int
    place: LogPosition


def majority_of(count: int) -> int:
    """Return how many of `count` members make a majority.

    >>> majority_of(3)
    2
    """
    return count // 2 + 1
