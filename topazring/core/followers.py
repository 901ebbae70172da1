"""Choose the proxies that follow the platform's service for the others.

If every proxy watched the service, it would send each change to every proxy,
and every proxy would read all values again after a compaction: at 2,000
proxies thousands of calls for one change. Therefore a few proxies of each
data centre follow the service, and the others receive changes from one of
them. The followers need no agreement: they are the first of the listed
proxies in rendezvous order. Differing lists cost additional calls but lose no
change, because a proxy reports itself whether it follows, and a proxy that
finds no follower asks the service.
"""

import collections.abc
import dataclasses

from topazring.core import hashing

__all__ = [
    'FollowerBackoff',
    'choose_follower',
    'followers_of',
    'uses_followers',
    'record_failure',
]

# Two, so that one remains if one is lost; more only cost calls.
FOLLOWERS = 2
# With a single non-follower, a data centre would save one watch at the price
# of an additional hop for each change.
MIN_NON_FOLLOWERS = 2
# How long a follower that did not answer, or does not follow, is avoided. A
# paused proxy resumes within seconds, and each attempt at a dead one delays
# the receipt of changes.
AVOID_MS = 3000


@dataclasses.dataclass(slots=True)
class FollowerBackoff:
    """Followers that a proxy avoids, and until when."""

    avoid_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def uses_followers(names: collections.abc.Collection[str]) -> bool:
    """Return whether a data centre has enough proxies to use followers."""
    return len(names) >= FOLLOWERS + MIN_NON_FOLLOWERS


def followers_of(
    names: collections.abc.Collection[str],
) -> tuple[str, ...]:
    """Return the proxies of a data centre that follow the service.

    >>> followers_of([f'p{number}' for number in range(3)])
    ('p0', 'p1', 'p2')
    >>> len(followers_of([f'p{number}' for number in range(40)]))
    2
    """
    if not uses_followers(names):
        return tuple(sorted(names))
    return hashing.first_by_score('followers', names, FOLLOWERS)


def choose_follower(
    backoff: FollowerBackoff,
    now_ms: int,
    name: str,
    names: collections.abc.Collection[str],
) -> str:
    """Return the follower to receive changes from; empty for the service.

    `names` are the proxies of its data centre, including itself. Each proxy
    has its own order of the followers, which balances their load.
    """
    followers = followers_of(names)
    if name in followers:
        return ''
    for follower in hashing.first_by_score(name, followers, FOLLOWERS):
        if now_ms >= backoff.avoid_until_ms.get(follower, 0):
            return follower
    return ''


def record_failure(
    backoff: FollowerBackoff, now_ms: int, follower: str
) -> None:
    """Avoid a follower for a while after a failure."""
    backoff.avoid_until_ms[follower] = now_ms + AVOID_MS
