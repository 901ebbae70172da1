"""Limit what an entry has under way at one owner, fairly by organisation.

An owner reads what entries send it in the order of arrival. When it reads
slower than one organisation's flood arrives, an ordinary organisation's
request waits behind thousands, ends at its deadline, and the owner looks
silent: then all that it has is asked for once more at the next owner. So no
more is sent than it can have in hand, and the rest is refused at once.
"""

import collections
import dataclasses

__all__ = ['Window', 'admits', 'enter', 'leave']

# The weight of the newest answer in how long answers take.
ANSWER_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class Window:
    """Hold what is under way, by organisation."""

    limit: int
    under_way: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    total: int = 0
    # How long answers take, refusals too.
    answer_ms: float = 0.0


def admits(window: Window, organisation: str) -> bool:
    """Say whether a request may go.

    A full window still admits what is below an equal share, and one of each
    organisation.
    """
    if window.total < window.limit:
        return True
    own = window.under_way.get(organisation, 0)
    sharing = len(window.under_way) + (own == 0)
    return own < max(1, window.limit // sharing)


def enter(window: Window, organisation: str) -> None:
    """Count a request that is sent."""
    window.under_way[organisation] += 1
    window.total += 1


def leave(window: Window, organisation: str, took_ms: int) -> None:
    """Count a request that was answered or lost after this time."""
    window.total -= 1
    window.under_way[organisation] -= 1
    if not window.under_way[organisation]:
        del window.under_way[organisation]
    window.answer_ms += (took_ms - window.answer_ms) * ANSWER_WEIGHT
