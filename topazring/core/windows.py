"""Limit what an entry has under way at one owner, fairly by organisation.

An owner reads what entries send it in the order of arrival. When it reads
slower than one organisation's flood arrives, an ordinary organisation's
request waits behind thousands, ends at its deadline, and the owner looks
silent: then all that it has is asked for once more at the next owner. So no
more is sent than it can have in hand, and the rest is refused at once.
"""

import collections
import dataclasses

__all__ = ['Window', 'has_capacity', 'acquire', 'release']

# The weight of the newest answer in how long answers take.
ANSWER_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class Window:
    """Hold what is under way, by organisation."""

    limit: int
    in_flight: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    total: int = 0
    # How long answers take, refusals too.
    mean_answer_ms: float = 0.0


def has_capacity(window: Window, organisation: str) -> bool:
    """Say whether a request may go.

    A full window still admits what is below an equal share, and one of each
    organisation.
    """
    if window.total < window.limit:
        return True
    own = window.in_flight.get(organisation, 0)
    sharing = len(window.in_flight) + (own == 0)
    return own < max(1, window.limit // sharing)


def acquire(window: Window, organisation: str) -> None:
    """Count a request that is sent."""
    window.in_flight[organisation] += 1
    window.total += 1


def release(window: Window, organisation: str, took_ms: int) -> None:
    """Count a request that was answered or lost after this time."""
    window.total -= 1
    window.in_flight[organisation] -= 1
    if not window.in_flight[organisation]:
        del window.in_flight[organisation]
    window.mean_answer_ms += (took_ms - window.mean_answer_ms) * ANSWER_WEIGHT
