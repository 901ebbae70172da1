"""Choose which proxies hold connections to a group's upstreams.

An upstream accepts a few dozen connections from all proxies together. If
there are few proxies, each can hold some; if there are many, not even one
each. The symptom would be proxies that serve no requests although the
upstreams are idle. So if there are too many proxies, some of them are owners
and the others forward their requests to them.

There is no agreement protocol for owners: each proxy computes them from its
list of live proxies. Two differing views cost some additional connections,
but do not break any guarantee.
"""

import collections.abc
import dataclasses

from topazring.core import hashing

__all__ = ['Ownership', 'Proxy', 'select_owners']

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
# Up to this many proxies, each is an owner: an additional hop for most
# requests costs more than shared queues gain, and a data centre may be lost
# together with its owners.
ALL_OWNERS_LIMIT = 12
# Share of the fleet that must be able to reconnect while its previous
# connections linger. If each proxy can hold a connection, each is an owner as
# long as the remaining connections suffice for this share.
RESERVE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Proxy:
    """A live proxy and its data centre."""

    name: str
    data_centre: str


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


def select_owners(
    service: str,
    proxies: collections.abc.Collection[Proxy],
    max_connections: int,
) -> Ownership:
    """Return the owners of a group, given the live proxies.

    >>> few = [Proxy(f'p{n}', 'abc'[n % 3]) for n in range(9)]
    >>> len(select_owners('s', few, 16).owners)
    9
    >>> many = [Proxy(f'p{n}', 'abc'[n % 3]) for n in range(74)]
    >>> len(select_owners('s', many, 23).owners)
    5
    >>> len(select_owners('s', many, 94).owners)
    8
    """
    count = len(proxies)
    reserve = max_connections - count
    if count > ALL_OWNERS_LIMIT or reserve < count * RESERVE_SHARE:
        affordable = max_connections // OWNER_CONNECTIONS
        count = max(1, min(affordable, MAX_OWNERS))
    by_name = {proxy.name: proxy for proxy in proxies}
    candidates = [
        hashing.Candidate(proxy.name, '', proxy.data_centre)
        for proxy in proxies
    ]
    chosen = hashing.choose_owners(service, '', candidates, count)
    return Ownership(tuple(by_name[name] for name in chosen))
