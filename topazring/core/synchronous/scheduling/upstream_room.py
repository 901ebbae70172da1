"""Share the slots of an upstream among the owners of its group.

An upstream runs `slots` statements at a time and queues the others in order
of arrival. What waits there can be neither reordered nor refused, so the
owners together send hardly more than the slots run, and the rest waits at
the owners, ordered by priority.

Each owner derives its part from the number of owners and its rank among
them. No messages are exchanged. Two owners with different lists of proxies
may exceed the room for a moment, which costs waiting time only.
"""

import math

from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = [
    'MAX_IN_TRANSIT_SHARE',
    'note_owners',
    'part_of',
    'part_of_room',
    'room_of',
]

# Statements on their way while all slots are busy, in proportion to the
# slots. A reply and the next statement take 1 to 3 ms, the confirmation of a
# write some 3 ms more, and a statement 7 to 35 ms.
MAX_IN_TRANSIT_SHARE = 0.4
# With more owners for each slot, parts of at least one statement would exceed
# the room by far, and the limits have to adapt to what is measured.
MAX_OWNERS_PER_SLOT = 2


def note_owners(
    state: states.GroupState, message: messages.InstancesSeen
) -> list[messages.LogDecision]:
    """Record how many proxies own the group, and the rank of this one."""
    before = (state.owner_count, state.owner_rank)
    state.owner_count, state.owner_rank = message.count, message.rank
    parts = {
        upstream.name: f'{part_of(state, upstream)} of {upstream.slots}'
        for upstream in state.upstreams.values()
        if upstream.slots
    }
    if before == (message.count, message.rank) or not parts:
        return []
    inputs = {'owners': message.count, 'rank': message.rank, 'parts': parts}
    return [messages.LogDecision('part of the room', inputs=inputs)]


def room_of(slots: int) -> int:
    """Return how many statements keep all slots of an upstream busy.

    >>> room_of(2), room_of(3), room_of(5)
    (3, 5, 7)
    """
    return slots + math.ceil(slots * MAX_IN_TRANSIT_SHARE)


def part_of(state: states.GroupState, upstream: states.Upstream) -> int | None:
    """Return how many statements may run at once; None if unlimited here."""
    if not upstream.slots or state.owner_rank is None:
        return None
    if state.owner_count > MAX_OWNERS_PER_SLOT * upstream.slots:
        return None
    return part_of_room(
        room_of(upstream.slots), state.owner_count, state.owner_rank
    )


def part_of_room(room: int, owners: int, rank: int) -> int:
    """Return an owner's part of the room; each owner has at least one.

    >>> [part_of_room(7, 3, rank) for rank in range(3)]
    [3, 2, 2]
    >>> sum(part_of_room(7, 8, rank) for rank in range(8))
    8
    """
    even, rest = divmod(room, max(1, owners))
    return max(1, even + (rank < rest))
