"""Choose who follows the platform's service, and whom the others hear.

If each proxy watched the service for itself, each change would be answered
once a proxy and each forgotten history read once a proxy: at 2,000 proxies
thousands of calls for one change. So a few proxies of each data centre follow
it, and the others hear from one of those what changed. Nobody agrees on
followers: they are the first in rendezvous order of whoever is listed. Two
views cost some calls more, never a change: who is heard says itself whether
it follows, and who finds nobody to hear asks the service.
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

# One that is lost leaves another one; more only cost calls.
FOLLOWERS = 2
# A data centre with one proxy more would spare one watch, and pay for it
# with a step on the way of each change.
MIN_NON_FOLLOWERS = 2
# A follower that did not answer, or does not follow, is left alone for so
# long: a frozen proxy wakes within seconds, and each try of a dead one delays
# what may have changed meanwhile.
AVOID_MS = 3000


@dataclasses.dataclass(slots=True)
class FollowerBackoff:
    """Hold whom a proxy does not want to hear, and until when."""

    avoid_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def uses_followers(names: collections.abc.Collection[str]) -> bool:
    """Say whether some of a data centre's proxies hear others."""
    return len(names) >= FOLLOWERS + MIN_NON_FOLLOWERS


def followers_of(
    names: collections.abc.Collection[str],
) -> tuple[str, ...]:
    """Return who of a data centre's proxies follow the service.

    >>> followers_of([f'p{number}' for number in range(3)])
    ('p0', 'p1', 'p2')
    >>> len(followers_of([f'p{number}' for number in range(40)]))
    2
    """
    if not uses_followers(names):
        return tuple(sorted(names))
    return hashing.first_by_score('followers', names, FOLLOWERS)


def choose_follower(
    hearing: FollowerBackoff,
    now_ms: int,
    name: str,
    names: collections.abc.Collection[str],
) -> str:
    """Return which follower a proxy hears next; empty for the service.

    `names` are the proxies of its data centre, itself among them. Each has
    its own order of the followers, so that they share the hearers.
    """
    followers = followers_of(names)
    if name in followers:
        return ''
    for follower in hashing.first_by_score(name, followers, FOLLOWERS):
        if now_ms >= hearing.avoid_until_ms.get(follower, 0):
            return follower
    return ''


def record_failure(
    hearing: FollowerBackoff, now_ms: int, follower: str
) -> None:
    """Leave a follower alone for a while that could not be heard."""
    hearing.avoid_until_ms[follower] = now_ms + AVOID_MS
