"""Let customers take turns by the service time that they use.

Turns by count would give a customer with long requests more room than one
with short requests. Here each request starts, in virtual time, when the one
before it of the same customer ends, and the earliest start goes first. A
customer that was idle starts at the present virtual time, so it cannot save
up turns. See start-time fair queueing (Goyal, Vin and Cheng, 1996); deficit
round robin (Shreedhar and Varghese, 1995) gives the same shares, but needs
the queues themselves to keep the deficits.
"""

import collections.abc
import dataclasses

__all__ = ['Turns', 'note_started', 'start_tags']

# Customers without waiting or recent requests are forgotten beyond this.
MAX_CUSTOMERS = 256


@dataclasses.dataclass(slots=True)
class Turns:
    """Hold the virtual time, and until when each customer was served."""

    virtual_ms: float = 0.0
    finished_ms: dict[str, float] = dataclasses.field(default_factory=dict)


def start_tags(
    turns: Turns, customer: str, service_ms: collections.abc.Iterable[float]
) -> list[float]:
    """Return the virtual start times of a customer's next requests."""
    tags = []
    start_ms = _next_start_ms(turns, customer)
    for each_ms in service_ms:
        tags.append(start_ms)
        start_ms += each_ms
    return tags


def note_started(turns: Turns, customer: str, service_ms: float) -> None:
    """Record that the next request of a customer was started."""
    start_ms = _next_start_ms(turns, customer)
    turns.virtual_ms = max(turns.virtual_ms, start_ms)
    turns.finished_ms[customer] = start_ms + service_ms
    if len(turns.finished_ms) > MAX_CUSTOMERS:
        turns.finished_ms = {
            name: finished_ms
            for name, finished_ms in turns.finished_ms.items()
            if finished_ms > turns.virtual_ms
        }


def _next_start_ms(turns: Turns, customer: str) -> float:
    return max(turns.virtual_ms, turns.finished_ms.get(customer, 0.0))
