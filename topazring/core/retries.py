"""Limit retries to a share of what recently succeeded."""

import dataclasses

__all__ = ['Budget', 'earn', 'spend']

# At full load retries add no more than a tenth to what upstreams carry.
SHARE = 0.1
INITIAL_BALANCE = 10.0
MOST = 100.0


@dataclasses.dataclass(slots=True)
class Budget:
    """Hold how many retries may still be made.

    Without a limit the retries of an overload are themselves the overload:
    each failure adds work, which adds failures. The share keeps that sum
    finite; the reserve lets a quiet database retry at all.
    """

    balance: float = INITIAL_BALANCE


def earn(budget: Budget) -> None:
    """Add a success's share."""
    budget.balance = min(MOST, budget.balance + SHARE)


def spend(budget: Budget) -> bool:
    """Take one retry out of the budget; False when it is used up."""
    if budget.balance < 1.0:
        return False
    budget.balance -= 1.0
    return True
