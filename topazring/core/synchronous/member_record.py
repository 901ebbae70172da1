"""Keep a record of the members that may hold acknowledged writes.

A proxy that starts while no upstream leads, or whose primary is lost before it
has answered, knows of the listed members only. Another one may be the only one
that holds an acknowledged write, so the holder of the promotion lease keeps
the names of all that may hold one in the platform's store. A proxy that has
heard no primary promotes a member only once each recorded one is listed, or
other proxies prove that its log is not needed.

A departed member is recorded until the primary has reported a position that
its log surely does not exceed. The primary holds that position, and is itself
recorded.

If the store returns from an older copy, its record may name too few members.
It counts for nothing until the lease holder has written it again.
"""

from topazring.core.synchronous import departed_members
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = [
    'has_heard_no_primary',
    'has_seen_no_primary',
    'is_any_missing',
    'note_listed',
    'note_record',
    'record_members',
]


def note_record(
    state: states.GroupState, now_ms: int, message: messages.MembersRecorded
) -> list:
    """Process the record in the store."""
    known = state.member_record
    known.stored = message.members if message.is_current else None
    if message.is_own:
        return []
    if known.stored is None:
        # It was removed, overwritten or lost, and is written again.
        known.ordered = None
        return record_members(state)
    departed = state.departed_members.known.keys()
    missing = message.members - _listed(state) - departed
    unlisted = known.unlisted
    if not state.holds_promotion_lease:
        for key in unlisted.known.keys() - missing:
            del unlisted.known[key]
    for name, born_ms in missing - unlisted.known.keys():
        upstream = state.upstreams.get(name)
        is_recreated = upstream is not None and upstream.born_ms > born_ms
        unlisted.add(now_ms, name, born_ms=born_ms, ended=is_recreated)
    return record_members(state)


def note_listed(state: states.GroupState, name: str, born_ms: int) -> None:
    """Record that a member is listed, so earlier ones of its name ended."""
    unlisted = state.member_record.unlisted
    unlisted.remove(name, born_ms)
    for (other, other_born_ms), member in unlisted.known.items():
        if other == name and other_born_ms < born_ms:
            member.ended = True


def has_seen_no_primary(state: states.GroupState) -> bool:
    """Return whether only the record tells which members a group had."""
    return not state.last_primary and state.member_record.stored is not None


def has_heard_no_primary(state: states.GroupState) -> bool:
    """Return whether no primary has told this process its log position.

    An entry that says who leads tells nothing of what was acknowledged, nor
    of the members that departed before this process started.
    """
    return not state.proven_primary and not state.position_history


def is_any_missing(state: states.GroupState) -> bool:
    """Return whether a recorded member has not been listed here."""
    return bool(state.member_record.unlisted.known)


def record_members(state: states.GroupState) -> list:
    """Have the record written if its members have changed.

    The first record needs a proved primary: it holds all acknowledged writes,
    whichever members departed before this process started. The first owner
    also creates it: proxies serve before one of them holds the lease, and
    without a record nobody is promoted after all of them have ended.
    """
    known = state.member_record
    if not state.listed_ms or not _may_write(state):
        return []
    if known.stored is None and not state.position_history:
        return []
    members = _listed(state) | {
        key
        for departed in (state.departed_members, known.unlisted)
        for key, member in departed.known.items()
        if not member.is_held and key[0] != departed_members.BEFORE_START
    }
    before = known.stored if known.ordered is None else known.ordered
    if not members or members == before:
        return []
    known.ordered = members
    state.counters['members_recorded'] += 1
    return [messages.RecordMembers(members)]


def _may_write(state: states.GroupState) -> bool:
    if state.holds_promotion_lease:
        return True
    known = state.member_record
    is_absent = known.stored is None and known.ordered is None
    return is_absent and state.is_first_owner


def _listed(state: states.GroupState) -> frozenset[tuple[str, int]]:
    return frozenset(
        (upstream.name, upstream.born_ms)
        for upstream in state.upstreams.values()
    )
