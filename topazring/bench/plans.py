"""Define fleet plans, including the sizes of the two users of the brief."""

import dataclasses

__all__ = ['PROFILES', 'Plan', 'ballinure', 'dizon']


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Define the size and the settings of a fleet."""

    data_centres: tuple[str, ...] = ('cork', 'galway')
    proxies: int = 3
    databases: tuple[str, ...] = ('calc1',)
    organisations: tuple[str, ...] = ('ballinure', 'dizon')
    upstreams_per_database: int = 3
    slots: int = 3
    connections: int = 25
    connect_delay_ms: int = 10
    statement_ms: float = 1.0
    lag_ms: float = 5.0
    list_lag_ms: int = 1000
    drain_ms: int = 10_000
    # Name of a baseline of topazring.bench.baselines that the proxies run;
    # empty for the unmodified proxy.
    baseline: str = ''
    # Whether connections from proxies to upstreams and to the platform, and
    # those between upstreams, pass through fault-injecting links.
    faults: bool = False


def ballinure(**changes) -> Plan:
    """Return a plan with Ballinure's sizes from the brief."""
    plan = Plan(
        data_centres=('cork', 'galway', 'sligo'),
        proxies=7,
        databases=('calc1', 'calc2', 'calc3'),
        slots=3,
        connections=25,
        connect_delay_ms=10,
    )
    return dataclasses.replace(plan, **changes)


def dizon(**changes) -> Plan:
    """Return a plan with Dizon's sizes from the brief."""
    plan = Plan(
        data_centres=('quiapo', 'cubao', 'makati', 'pasig'),
        proxies=8,
        databases=('league1', 'league2', 'league3'),
        slots=2,
        connections=30,
        connect_delay_ms=30,
    )
    return dataclasses.replace(plan, **changes)


PROFILES = {
    'saves': {'repeatable': False},
    'retried': {'repeatable': True},
    'browse': {'max_staleness_ms': 2000},
    'strict': {'max_staleness_ms': 0},
    'impatient': {
        'write_deadline_ms': 1000,
        'read_deadline_ms': 500,
        'max_staleness_ms': 1000,
    },
}
