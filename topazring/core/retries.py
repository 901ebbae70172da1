"""Limit retries to a share of the recent successes."""

import dataclasses

__all__ = ['Budget', 'earn', 'spend']

# At full load retries add no more than a tenth to the load of the upstreams.
BALANCE_PER_SUCCESS = 0.1
INITIAL_BALANCE = 10.0
MAX_BALANCE = 100.0


@dataclasses.dataclass(slots=True)
class Budget:
    """Number of retries that may still be made.

    Without a limit, retries sustain an overload: each failure adds load,
    which causes more failures. Earning a fixed share per success bounds the
    added load; the initial balance lets a database with little traffic retry
    at all.
    """

    balance: float = INITIAL_BALANCE


def earn(budget: Budget) -> None:
    """Credit the budget for a success."""
    budget.balance = min(MAX_BALANCE, budget.balance + BALANCE_PER_SUCCESS)


def spend(budget: Budget) -> bool:
    """Take one retry from the budget; return False if it is exhausted."""
    if budget.balance < 1.0:
        return False
    budget.balance -= 1.0
    return True
