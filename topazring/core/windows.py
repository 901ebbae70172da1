"""Limit an entry's requests in flight to one owner, fairly by organisation.

An owner reads the requests of an entry in the order of arrival. When one
organisation sends faster than the owner reads, the requests of others wait
behind thousands and time out, and the owner appears unresponsive: the entry
then sends all its requests in flight to the next owner as well. Therefore no
more requests are sent than the owner can handle at a time, and the rest is
refused at once.
"""

import collections
import dataclasses

__all__ = ['Window', 'has_capacity', 'acquire', 'release']

# Weight of the newest answer in the moving average of answer times.
ANSWER_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class Window:
    """Requests in flight to one owner, by organisation."""

    limit: int
    in_flight: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    total: int = 0
    # Moving average of the time until an answer, refusals included.
    mean_answer_ms: float = 0.0


def has_capacity(window: Window, organisation: str) -> bool:
    """Return whether a request may be sent.

    A full window still admits organisations below an equal share, and one
    request of each organisation.
    """
    if window.total < window.limit:
        return True
    own = window.in_flight.get(organisation, 0)
    sharing = len(window.in_flight) + (own == 0)
    return own < max(1, window.limit // sharing)


def acquire(window: Window, organisation: str) -> None:
    """Count a request as in flight."""
    window.in_flight[organisation] += 1
    window.total += 1


def release(window: Window, organisation: str, took_ms: int) -> None:
    """Remove a request that was answered or lost after `took_ms`."""
    window.total -= 1
    window.in_flight[organisation] -= 1
    if not window.in_flight[organisation]:
        del window.in_flight[organisation]
    window.mean_answer_ms += (took_ms - window.mean_answer_ms) * ANSWER_WEIGHT
