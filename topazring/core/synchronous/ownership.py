"""Choose which proxies hold connections to a group's upstreams.

An upstream takes a few dozen connections from all proxies together. Few
proxies can each hold some; many cannot each hold one. One would notice by
proxies that serve nobody, however idle the upstreams are. So where there are
too many of them some are owners, and the others send them their requests.

Nobody agrees on owners: each proxy works them out from the list of those
that live. Two views cost some connections more, never a promise.
"""

import collections.abc
import dataclasses

from topazring.core import hashing

__all__ = ['Ownership', 'Proxy', 'select_owners']

# Connections that an owner needs to one upstream, with one in reserve for a
# fleet that lost its power: an open transaction holds one while its caller
# pauses, and about four are open at an owner at a time.
OWNER_CONNECTIONS = 4
# More owners than these only spread an upstream's load over lines that know
# nothing of each other: each keeps one statement at work at least, and what
# the slots do not take stands in the upstream's queue, where the urgent does
# not go first. Of a played crowd before one upstream of two slots 65% were in
# time at 23 owners and 75% at 8, of the saves 59% and 84%.
MAX_OWNERS = 8
# Up to so many proxies each is one: a step more for most requests costs more
# than shared lines bring, and a data centre may be lost with its owners.
ALL_OWNERS_LIMIT = 12
# Where each proxy can hold one, each is an owner as long as what is left
# lets half of a fleet come back while the connections of before linger.
RESERVE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Proxy:
    """Name a live proxy and where it is."""

    name: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Hold the owners of one group, in preference order."""

    owners: tuple[Proxy, ...]

    def rank_of(self, name: str) -> int | None:
        """Return an owner's place among the owners, None for others."""
        for rank, owner in enumerate(self.owners):
            if owner.name == name:
                return rank
        return None


def select_owners(
    service: str,
    proxies: collections.abc.Collection[Proxy],
    max_connections: int,
) -> Ownership:
    """Return who owns a group, given the proxies that live.

    >>> few = [Proxy(f'p{n}', 'abc'[n % 3]) for n in range(9)]
    >>> len(settle('s', few, 16).owners)
    9
    >>> many = [Proxy(f'p{n}', 'abc'[n % 3]) for n in range(74)]
    >>> len(settle('s', many, 23).owners)
    5
    >>> len(settle('s', many, 94).owners)
    8
    """
    count = len(proxies)
    reserve = max_connections - count
    if count > ALL_OWNERS_LIMIT or reserve < count * RESERVE_SHARE:
        few = max_connections // OWNER_CONNECTIONS
        count = max(1, min(few, MAX_OWNERS))
    by_name = {proxy.name: proxy for proxy in proxies}
    candidates = [
        hashing.Candidate(proxy.name, '', proxy.data_centre)
        for proxy in proxies
    ]
    chosen = hashing.choose_owners(service, '', candidates, count)
    return Ownership(tuple(by_name[name] for name in chosen))
