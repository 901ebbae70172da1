"""Measure the service time of accepted requests, by priority."""

import dataclasses

__all__ = ['Demand', 'add', 'by_priority', 'preceding']

# Older demand counts half as much. Requests wait up to about a second, and a
# shorter time would follow single transactions.
HALF_LIFE_MS = 1000
# Integral of the discount over the past.
WINDOW_MS = HALF_LIFE_MS / 0.693


@dataclasses.dataclass(slots=True)
class Demand:
    """Hold the discounted service time of recent requests."""

    accepted_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    updated_ms: int = 0


def _discount(demand: Demand, now_ms: int) -> None:
    if now_ms <= demand.updated_ms:
        return
    factor = 0.5 ** ((now_ms - demand.updated_ms) / HALF_LIFE_MS)
    demand.updated_ms = now_ms
    for priority in demand.accepted_ms:
        demand.accepted_ms[priority] *= factor


def add(demand: Demand, now_ms: int, priority: int, service_ms: float) -> None:
    """Record an accepted request."""
    _discount(demand, now_ms)
    before_ms = demand.accepted_ms.get(priority, 0.0)
    demand.accepted_ms[priority] = before_ms + service_ms


def preceding(demand: Demand, now_ms: int, priority: int) -> float:
    """Return the slots that accepted requests of higher priorities use."""
    _discount(demand, now_ms)
    return (
        sum(
            accepted_ms
            for other, accepted_ms in demand.accepted_ms.items()
            if other < priority
        )
        / WINDOW_MS
    )


def by_priority(demand: Demand, now_ms: int) -> dict[int, float]:
    """Return the slots that accepted requests use, by priority."""
    _discount(demand, now_ms)
    return {
        priority: round(accepted_ms / WINDOW_MS, 2)
        for priority, accepted_ms in sorted(demand.accepted_ms.items())
    }
