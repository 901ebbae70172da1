"""Track upstreams that are no longer listed and what their logs may hold.

A replica that left, or whose entry expired, may be the only one that confirmed
the last writes. If this is ignored, an acknowledged write is lost in the next
promotion. An upstream may only be promoted if its log reaches an upper bound
on the log of each departed member. Until such a bound is known, no candidate
is safe.

A member that has ended confirms nothing more. Everything that it confirmed was
in the log of the primary when its departure was noticed, so a log position
that the primary reports after that is a bound.

A member that is merely not listed may be alive behind a partition. It confirms
writes for as long as the partition lasts, so a departure never expires, and
proxies that cannot read the list acknowledge writes on its word. Only once no
proxy can have a list that names it, a position of the primary is a bound.
A planned hand-over demotes its primary rather than wait for that.
"""

import dataclasses

from topazring.core import log_positions

__all__ = ['DepartedMember', 'DepartedMembers']

# Represents all members that departed before this process started.
BEFORE_START = '(before)'
# For how long after a departure a proxy may acknowledge writes on a list that
# names the member: the lifetime of a proxy's registration, and twice the grace
# period of an entry.
OLD_LIST_MS = 35_000


@dataclasses.dataclass(slots=True)
class DepartedMember:
    """Hold when an upstream departed and a bound on its log."""

    name: str
    departed_ms: int
    # It announced that it leaves.
    left: bool = False
    # It was paused when it departed, and no promotion has ended that pause
    # since; a hand-over may rely on it.
    was_paused: bool = False
    # Its process has ended: it drained for as long as it had to, or another
    # instance has its name now.
    ended: bool = False
    # Position that the primary reported after the departure, or where its own
    # log ended while it was paused; None until it is known.
    bound: log_positions.LogPosition | None = None
    # Position that the primary reported once no proxy had an older list.
    late_bound: log_positions.LogPosition | None = None
    # The primary reported a position that its log surely does not exceed.
    is_held: bool = False

    @property
    def upper_bound(self) -> log_positions.LogPosition | None:
        """Return a position that its log surely does not exceed, if any."""
        return self.bound if self.ended else self.late_bound

    @property
    def may_live(self) -> bool:
        """Return whether it may be alive."""
        has_left = self.left and self.late_bound is not None
        return not self.ended and not has_left


@dataclasses.dataclass(slots=True)
class DepartedMembers:
    """Hold the upstreams of a group that are no longer listed."""

    # By name and start time: an instance recreated under the same name is a
    # different member.
    known: dict[tuple[str, int], DepartedMember] = dataclasses.field(
        default_factory=dict
    )

    def add(
        self,
        now_ms: int,
        name: str,
        left: bool = False,
        paused_at: log_positions.LogPosition | None = None,
        born_ms: int = 0,
        ended: bool = False,
    ) -> None:
        """Record that an upstream is no longer listed.

        `paused_at` is the end of its log if it was paused until now.
        """
        was_paused = paused_at is not None
        member = DepartedMember(
            name, now_ms, left, was_paused, ended, paused_at
        )
        self.known[(name, born_ms)] = member

    def record_first_place(
        self, now_ms: int, place: log_positions.LogPosition
    ) -> None:
        """Record the first log position that a primary reports.

        Members that departed before this process started may have confirmed
        everything up to it.
        """
        self.known[(BEFORE_START, 0)] = DepartedMember(
            BEFORE_START, now_ms, ended=True, bound=place
        )

    def remove(self, name: str, born_ms: int = 0) -> None:
        """Remove an upstream that is listed again: it can be queried."""
        self.known.pop((name, born_ms), None)

    def note_later_instance(
        self, now_ms: int, name: str, born_ms: int
    ) -> None:
        """Record that the members of a name that started earlier have ended.

        They confirmed writes until then, so an earlier bound is too low.
        """
        for (other, other_born_ms), member in self.known.items():
            is_earlier = other == name and other_born_ms < born_ms
            if is_earlier and not member.ended:
                member.ended = True
                member.departed_ms = now_ms
                member.bound = None

    def record_leader(self, name: str) -> None:
        """Remove all records under the name of an upstream that leads.

        It started with all acknowledged writes, and it can be queried.
        """
        for key in [key for key in self.known if key[0] == name]:
            del self.known[key]
        self.forget_pauses()

    def forget_pauses(self) -> None:
        """Forget where paused members' logs ended: they receive again.

        A promotion ends all pauses, and another lease holder may have.
        """
        for member in self.known.values():
            if member.was_paused:
                member.was_paused = False
                member.bound = None

    def has_departed(self, name: str) -> bool:
        """Return whether a member of this name was listed before."""
        return any(member.name == name for member in self.known.values())

    def count_living(self) -> int:
        """Return how many members may be alive although they are not listed.

        Each may have confirmed a write that another member lacks, or lead.
        """
        return sum(member.may_live for member in self.known.values())

    def may_return(self) -> bool:
        """Return whether a member may be alive although it is not listed."""
        return self.count_living() > 0

    def record_primary_place(
        self, sent_ms: int, place: log_positions.LogPosition
    ) -> None:
        """Set bounds from a position that the primary was queried for."""
        for member in self.known.values():
            if member.bound is None and member.departed_ms <= sent_ms:
                member.bound = place
            is_late = sent_ms - member.departed_ms >= OLD_LIST_MS
            if member.late_bound is None and is_late:
                member.late_bound = place
            if is_late or member.ended and member.departed_ms <= sent_ms:
                member.is_held = True

    def forget_reached(
        self, place: log_positions.LogPosition, is_list_current: bool
    ) -> None:
        """Remove members whose logs surely do not exceed a position.

        `place` is a position that every candidate is required to hold. One
        that may be alive may lead, unless the list would name it then.
        """
        for key, member in list(self.known.items()):
            bound = member.upper_bound
            if member.may_live and not is_list_current:
                continue
            if bound is not None and bound <= place:
                del self.known[key]

    def may_exceed(
        self,
        place: log_positions.LogPosition,
        primary: str,
        is_hand_over: bool = False,
    ) -> list[str]:
        """Return the members whose logs may extend beyond a position.

        `primary` is the one of the newest term. Its own log does not count:
        its entries were confirmed by others or are not acknowledged.
        """
        found = []
        for member in self.known.values():
            bound = member.upper_bound
            if is_hand_over and member.was_paused:
                bound = member.bound
            is_reached = bound is not None and bound <= place
            if member.name != primary and not is_reached:
                found.append(member.name)
        return found

    def describe(self, now_ms: int) -> list[dict[str, object]]:
        """Return the departed members and their bounds, for the log."""
        return [
            {
                'upstream': member.name,
                'departed_ms_ago': now_ms - member.departed_ms,
                'left': member.left,
                'ended': member.ended,
                'bound': '' if member.bound is None else str(member.bound),
            }
            for member in self.known.values()
        ]
