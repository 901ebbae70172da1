"""Track upstreams that are no longer listed and what their logs may hold.

A replica that left, or whose entry expired, may be the only one that confirmed
the last writes. If this is ignored, an acknowledged write is lost in the next
promotion. Everything that it confirmed was in the log of the primary when its
departure was noticed, so a log position that the primary reports after that is
an upper bound on the log of the departed member: an upstream may only be
promoted if its log reaches this bound. Until the primary has reported such a
position, no candidate is safe.

A departure does not expire. A member behind a partition is not listed either,
and it confirms writes for as long as the partition lasts.
"""

import dataclasses

from topazring.core import log_positions

__all__ = ['DepartedMember', 'DepartedMembers']

# Represents all members that departed before this process started.
BEFORE_START = '(before)'


@dataclasses.dataclass(slots=True)
class DepartedMember:
    """Hold when an upstream departed and a bound on its log."""

    name: str
    departed_ms: int
    # It announced that it leaves, or another instance has its name now; it
    # does not return.
    left: bool = False
    # Upper bound on its log position; None until it is known.
    bound: log_positions.LogPosition | None = None


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
    ) -> None:
        """Record that an upstream is no longer listed.

        `paused_at` is the end of its log if it was paused until now.
        """
        member = DepartedMember(name, now_ms, left, paused_at)
        self.known[(name, born_ms)] = member

    def record_first_place(
        self, now_ms: int, place: log_positions.LogPosition
    ) -> None:
        """Record the first log position that a primary reports.

        Members that departed before this process started may have confirmed
        everything up to it.
        """
        self.known[(BEFORE_START, 0)] = DepartedMember(
            BEFORE_START, now_ms, bound=place
        )

    def remove(self, name: str, born_ms: int = 0) -> None:
        """Remove an upstream that is listed again: it can be queried."""
        self.known.pop((name, born_ms), None)

    def record_leader(self, name: str) -> None:
        """Remove all records under the name of an upstream that leads.

        It started with all acknowledged writes, and it can be queried.
        """
        for key in [key for key in self.known if key[0] == name]:
            del self.known[key]

    def has_departed(self, name: str) -> bool:
        """Return whether a member of this name was listed before."""
        return any(member.name == name for member in self.known.values())

    def may_return(self) -> bool:
        """Return whether a member may be alive although it is not listed.

        It may have confirmed a write that another member lacks, or lead.
        """
        return any(
            not member.left and member.name != BEFORE_START
            for member in self.known.values()
        )

    def record_primary_place(
        self, sent_ms: int, place: log_positions.LogPosition
    ) -> None:
        """Set bounds from a position that the primary was queried for."""
        for member in self.known.values():
            if member.bound is None and member.departed_ms <= sent_ms:
                member.bound = place

    def forget_reached(self, place: log_positions.LogPosition) -> None:
        """Remove members that left for good and whose bound is reached.

        `place` is a position that every candidate is required to hold.
        """
        for key, member in list(self.known.items()):
            is_reached = member.bound is not None and member.bound <= place
            if member.left and is_reached:
                del self.known[key]

    def may_exceed(
        self, place: log_positions.LogPosition, primary: str
    ) -> list[str]:
        """Return the members whose logs may extend beyond a position.

        `primary` is the one of the newest term. Its own log does not count:
        its entries were confirmed by others or are not acknowledged. But only
        a primary can still report what a member that left had, unless the
        primary left too.
        """
        has_primary_left = any(
            member.left
            for member in self.known.values()
            if member.name == primary
        )
        return [
            member.name
            for member in self.known.values()
            if member.name != primary
            and not (has_primary_left and member.left)
            and (member.bound is None or member.bound > place)
        ]

    def describe(self, now_ms: int) -> list[dict[str, object]]:
        """Return the departed members and their bounds, for the log."""
        return [
            {
                'upstream': member.name,
                'departed_ms_ago': now_ms - member.departed_ms,
                'left': member.left,
                'bound': '' if member.bound is None else str(member.bound),
            }
            for member in self.known.values()
        ]
