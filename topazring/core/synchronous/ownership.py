"""Choose which proxies hold connections to a group's upstreams.

An upstream accepts a few dozen connections from all proxies together. If
there are few proxies, each can hold some; if there are many, not even one
each. The symptom would be proxies that serve no requests although the
upstreams are idle. So if there are too many proxies, some of them are owners
and the others forward their requests to them.

There is no agreement protocol for owners: each proxy computes them from its
list of live proxies. Two differing views cost some additional connections,
but do not break any guarantee.

Larger proxies own more groups. More owners than an upstream has slots would
only move requests from the owners' queues, which are ordered by priority, to
the upstream's queue, which is not.
"""

import collections.abc
import dataclasses
import math

from topazring.core import hashing
from topazring.core.synchronous import messages

__all__ = [
    'MAX_WEIGHT',
    'MIN_WEIGHT',
    'Ownership',
    'Proxy',
    'bounded_weight',
    'select_owners',
    'slots_of',
    'weight_of',
]

# Connections that an owner needs to one upstream, including one in reserve for
# when the whole fleet returns from a power loss. An open transaction holds a
# connection while its caller pauses, and an owner has about four open
# transactions at a time.
OWNER_CONNECTIONS = 4
# More owners only spread an upstream's load over independent queues. Each of
# them keeps at least one statement running, and statements beyond the
# upstream's slots wait in the upstream's own queue, which ignores priorities.
# In a load simulation with one upstream of two slots, 65% of the requests were
# in time with 23 owners and 75% with 8; of the saves 59% and 84%.
MAX_OWNERS = 8
# A partition often separates a third of the proxies from the others. With five
# owners, one group in eight has none on that side, and with three one in four,
# so fewer slots do not lower the number.
MIN_OWNERS = 5
# Up to this many proxies, each is an owner: an additional hop for most
# requests costs more than shared queues gain, and a data centre may be lost
# together with its owners.
ALL_OWNERS_LIMIT = 12
# Share of the fleet that must be able to reconnect while its previous
# connections linger. If each proxy can hold a connection, each is an owner as
# long as the remaining connections suffice for this share.
RESERVE_SHARE = 0.5
# What a proxy of weight 1 has. Only the ratios matter: a core that is busy
# with small requests fills a link of about this size.
CORES = 1.0
LINK_MBPS = 25.0
MEMORY_MB = 128.0
# A small proxy still owns some groups, and the loss of a large one may not
# take a large part of all groups with it.
MIN_WEIGHT = 0.25
MAX_WEIGHT = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Proxy:
    """A live proxy and its data centre."""

    name: str
    data_centre: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """The owners of one group, in order of preference."""

    owners: tuple[Proxy, ...]

    def rank_of(self, name: str) -> int | None:
        """Return an owner's rank, or None if the proxy is not an owner."""
        for rank, owner in enumerate(self.owners):
            if owner.name == name:
                return rank
        return None


def bounded_weight(weight: float) -> float:
    """Return a weight within the bounds.

    >>> bounded_weight(0.01), bounded_weight(1.0), bounded_weight(64)
    (0.25, 1.0, 2.0)
    """
    return min(max(weight, MIN_WEIGHT), MAX_WEIGHT)


def weight_of(
    cores: float | None, link_mbps: float | None, memory_mb: float | None
) -> float:
    """Return the weight of a proxy; what is unknown does not limit it.

    It is a power of two, so that machines of about the same size are equal
    and a small change of a machine moves no group.

    >>> weight_of(None, None, None), weight_of(1.1, 1000.0, 300)
    (1.0, 1.0)
    >>> weight_of(2.15, 100.0, 300), weight_of(0.36, 5.0, 300)
    (2.0, 0.25)
    """
    limits = [
        available / needed
        for available, needed in (
            (cores, CORES),
            (link_mbps, LINK_MBPS),
            (memory_mb, MEMORY_MB),
        )
        if available
    ]
    if not limits:
        return 1.0
    return bounded_weight(2.0 ** round(math.log2(min(limits))))


def slots_of(
    upstreams: collections.abc.Iterable[messages.ListedUpstream],
) -> int:
    """Return the slots of the smallest upstream, 0 if any is unknown."""
    return min((upstream.slots for upstream in upstreams), default=0)


def select_owners(
    service: str,
    proxies: collections.abc.Collection[Proxy],
    max_connections: int,
    slots: int = 0,
) -> Ownership:
    """Return the owners of a group, given the live proxies.

    `slots` is the number of statements that an upstream runs at a time, 0 if
    that is unknown.

    >>> few = [Proxy(f'p{n}', 'abc'[n % 3]) for n in range(9)]
    >>> len(select_owners('s', few, 16).owners)
    9
    >>> many = [Proxy(f'p{n}', 'abc'[n % 3]) for n in range(74)]
    >>> len(select_owners('s', many, 23).owners)
    5
    >>> len(select_owners('s', many, 94).owners)
    8
    >>> [len(select_owners('s', many, 94, n).owners) for n in (0, 3, 5, 9)]
    [8, 8, 5, 8]
    """
    count = len(proxies)
    reserve = max_connections - count
    if count > ALL_OWNERS_LIMIT or reserve < count * RESERVE_SHARE:
        affordable = max_connections // OWNER_CONNECTIONS
        count = max(1, min(affordable, MAX_OWNERS))
        if slots >= MIN_OWNERS:
            count = min(count, slots)
    by_name = {proxy.name: proxy for proxy in proxies}
    chosen = hashing.choose_spread(service, proxies, count)
    return Ownership(tuple(by_name[name] for name in chosen))
