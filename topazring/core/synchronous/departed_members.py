"""Reckon with what upstreams held that are listed no more.

A replica that left, or whose entry lapsed, may be the only one that confirmed
the last writes before its end. One notices by an acknowledged write that is
gone after the next promotion. All that it confirmed stood in the primary's
log when it was seen to be gone, so a place that the primary reports after
that bounds what it may have held: whoever is promoted has to hold that
place. Until the primary has reported one, nobody can be chosen safely.

Waiting has an end. What nobody that may come back can tell is lost in any
case, and a group without a primary serves no write.
"""

import dataclasses

from topazring.core import log_positions

__all__ = ['DepartedMember', 'DepartedMembers']

# One of whom nothing is known is waited for so long. Its entry lapses after
# three heartbeats and is missed for two seconds more, so most that crashed are
# back by then; one that is gone for good must not be waited for. With 10 s a
# group that lost its primary and a replica for good took no writes for 15 s.
UNBOUNDED_WAIT_MS = 3000
# A bound holds for longer: it stops nobody who has received it, and the
# longest time for which a replica receives nothing is a third of this.
BOUND_LIFETIME_MS = 20_000
# Stands for all that departed before this process began.
BEFORE_START = '(before)'


@dataclasses.dataclass(slots=True)
class DepartedMember:
    """Hold when an upstream was seen to be gone, and what it had at most."""

    name: str
    departed_ms: int
    # It had said so before, or another bears its name now; such a one does
    # not come back.
    left: bool = False
    # None until it is known.
    bound: log_positions.LogPosition | None = None


@dataclasses.dataclass(slots=True)
class DepartedMembers:
    """Hold the upstreams of a group that are listed no more."""

    # By name and birth: one that begins again under its name is another.
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
        """Take in that an upstream is listed no more.

        `paused_at` is where its log ended if it was paused until now.
        """
        departure = DepartedMember(name, now_ms, left, paused_at)
        self.known[(name, born_ms)] = departure

    def record_first_place(
        self, now_ms: int, place: log_positions.LogPosition
    ) -> None:
        """Take in the first place that a primary reports to this process.

        Whoever departed before it began may have confirmed all up to there.
        That ends like other departures: what hangs unconfirmed at a primary
        counts in it too, and would keep every replica from following.
        """
        self.known[(BEFORE_START, 0)] = DepartedMember(
            BEFORE_START, now_ms, bound=place
        )

    def remove(self, name: str, born_ms: int = 0) -> None:
        """Take in that an upstream is back: it can be asked again."""
        self.known.pop((name, born_ms), None)

    def record_leader(self, name: str) -> None:
        """Take in that an upstream leads: whoever bore its name is no matter.

        It began with all that was acknowledged, and it can be asked.
        """
        for key in [key for key in self.known if key[0] == name]:
            del self.known[key]

    def has_departed(self, name: str) -> bool:
        """Say whether one of that name was listed before."""
        return any(departure.name == name for departure in self.known.values())

    def record_primary_place(
        self, sent_ms: int, place: log_positions.LogPosition
    ) -> None:
        """Take in where the primary's log stood after a time of sending."""
        for departure in self.known.values():
            if departure.bound is None and departure.departed_ms <= sent_ms:
                departure.bound = place

    def may_exceed(
        self,
        now_ms: int,
        place: log_positions.LogPosition,
        primaries: frozenset[str],
    ) -> list[str]:
        """Return whom to wait for: their logs may go beyond a place.

        `primaries` are the last ones. Their own logs do not count: what one
        holds was confirmed by others, or is not acknowledged. But it alone
        can still say what one that left had, unless it left too.
        """
        ended = any(
            departure.left
            for departure in self.known.values()
            if departure.name in primaries
        )
        return [
            departure.name
            for departure in self.known.values()
            if departure.name not in primaries
            and now_ms - departure.departed_ms < _kept_ms(departure)
            and not (ended and departure.left)
            and (departure.bound is None or departure.bound > place)
        ]


def _kept_ms(departure: DepartedMember) -> int:
    """Return for how long a departure counts."""
    if departure.bound is None or departure.name == BEFORE_START:
        return UNBOUNDED_WAIT_MS
    return BOUND_LIFETIME_MS
