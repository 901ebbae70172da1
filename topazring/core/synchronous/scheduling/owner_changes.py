"""Keep the previous owners of a group until the new ones can serve.

A proxy that becomes an owner while it runs opens its connections only after a
while (see `connections.update_share`). If weights or the number of owners
change, most owners can change at the same time. So for each new owner that
cannot serve yet, one of the replaced owners remains. All of them share the
connections that an upstream accepts.

Each proxy decides this by itself from the order of the lists that it has
seen. Differing views cost a hop or some connections, as with differing lists.
"""

import collections.abc
import dataclasses

from topazring.core.synchronous import connections
from topazring.core.synchronous import ownership

__all__ = ['OwnerChanges', 'is_due', 'update']

# Lists of two proxies differ by up to three seconds, and a new owner opens
# its connections once its share has been available for long enough.
HANDOVER_MS = connections.GROW_AFTER_MS + 3000

# By name.
Proxies = collections.abc.Mapping[str, ownership.Proxy]


@dataclasses.dataclass(slots=True)
class OwnerChanges:
    """Hold the owners of one group in force, and since when they are."""

    # In order of preference.
    since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    # Owners that remain until others can serve.
    remaining: frozenset[str] = frozenset()
    # Until when they remain.
    until_ms: int = 0
    # All proxies of the last list, which all groups share.
    listed: Proxies = dataclasses.field(default_factory=dict)


def update(
    changes: OwnerChanges,
    now_ms: int,
    chosen: ownership.Ownership,
    proxies: Proxies,
) -> ownership.Ownership:
    """Return the owners in force after a change of the list."""
    since_ms = {
        owner.name: _began_ms(changes, now_ms, owner.name)
        for owner in chosen.owners
    }
    new = [name for name in since_ms if not _serves(since_ms[name], now_ms)]
    replaced = [
        name
        for name, began_ms in changes.since_ms.items()
        if name not in since_ms
        and name in proxies
        and _serves(began_ms, now_ms)
    ]
    remaining = replaced[: len(new)]
    in_force = [*since_ms, *remaining]
    if in_force != list(changes.since_ms):
        # Shares depend on the number and order of owners, and a share that
        # changes has to be available for the whole time again.
        since_ms |= dict.fromkeys(new, now_ms)
    since_ms |= {name: changes.since_ms[name] for name in remaining}
    changes.since_ms = since_ms
    changes.remaining = frozenset(remaining)
    changes.until_ms = HANDOVER_MS + max(
        (since_ms[name] for name in new), default=now_ms
    )
    changes.listed = proxies
    return ownership.Ownership(tuple(proxies[name] for name in in_force))


def is_due(changes: OwnerChanges, now_ms: int) -> bool:
    """Return whether remaining owners are no longer needed."""
    return bool(changes.remaining) and now_ms >= changes.until_ms


def _began_ms(changes: OwnerChanges, now_ms: int, name: str) -> int:
    """Return since when a chosen proxy is an owner.

    A process that has just been listed opens its connections at once. The
    same is assumed of all in the first list.
    """
    began_ms = changes.since_ms.get(name)
    if began_ms is not None:
        return began_ms
    if name in changes.listed:
        return now_ms
    return now_ms - HANDOVER_MS


def _serves(began_ms: int, now_ms: int) -> bool:
    return now_ms - began_ms >= HANDOVER_MS
