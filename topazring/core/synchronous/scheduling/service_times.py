"""Measure how long the requests of each database keep an upstream busy.

A request of one database may take several times as long as one of another,
and a transaction consists of several statements. Counting requests alone
would underestimate the queue behind long ones.
"""

import dataclasses

__all__ = [
    'ServiceTimes',
    'by_database',
    'expected_ms',
    'mean_ms',
    'record',
    'record_start',
]

# With this weight an estimate follows a change within about ten requests.
WEIGHT = 0.1
# Statements of a transaction, before one of its database has been seen.
TYPICAL_STATEMENTS = 4.0
TYPICAL_SERVICE_MS = 15.0


@dataclasses.dataclass(slots=True)
class _Database:
    """Hold the estimates for the requests of one database."""

    statement_ms: float
    # Discounted number of transactions, and the time that they took.
    transactions: float = 0.0
    transactions_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class ServiceTimes:
    """Hold the estimates for all databases of a group."""

    databases: dict[str, _Database] = dataclasses.field(default_factory=dict)
    # Average over the requests that were started.
    mean_ms: float = TYPICAL_SERVICE_MS


def record(
    times: ServiceTimes, database: str, took_ms: float, in_transaction: bool
) -> None:
    """Record the service time of one statement."""
    known = times.databases.get(database)
    if known is None:
        known = times.databases[database] = _Database(took_ms)
    if in_transaction:
        known.transactions_ms += took_ms
    else:
        known.statement_ms += (took_ms - known.statement_ms) * WEIGHT


def record_start(
    times: ServiceTimes, database: str, is_transaction: bool
) -> None:
    """Record that a request was started."""
    expected = expected_ms(times, database, is_transaction)
    times.mean_ms += (expected - times.mean_ms) * WEIGHT
    known = times.databases.get(database)
    if known is not None and is_transaction:
        known.transactions = known.transactions * (1 - WEIGHT) + 1
        known.transactions_ms *= 1 - WEIGHT


def expected_ms(
    times: ServiceTimes, database: str, is_transaction: bool
) -> float:
    """Return the expected total service time of a request."""
    known = times.databases.get(database)
    if known is None:
        statement_ms = TYPICAL_SERVICE_MS
    else:
        statement_ms = known.statement_ms
    if not is_transaction:
        return statement_ms
    if known is None or known.transactions < 1 / (2 * WEIGHT):
        return statement_ms * TYPICAL_STATEMENTS
    return max(statement_ms, known.transactions_ms / known.transactions)


def mean_ms(times: ServiceTimes) -> float:
    """Return the average service time of the requests that were started."""
    return max(1.0, times.mean_ms)


def by_database(times: ServiceTimes) -> dict[str, float]:
    """Return the service time of a statement of each database."""
    return {
        name: round(known.statement_ms, 1)
        for name, known in sorted(times.databases.items())
    }
