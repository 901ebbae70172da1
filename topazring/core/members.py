"""Join the platform's lagging list with what this proxy saw itself."""

import collections.abc
import dataclasses

from topazring.core import hashing

__all__ = [
    'Member',
    'Members',
    'candidates_of',
    'is_reachable',
    'record_answer',
    'record_failure',
    'record_departure',
    'apply_list',
    'watchers_of',
]

# A peer that failed is passed over for that long, then tried again.
FAILURE_BACKOFF_MS = 1500
# Incarnations that left are remembered, so that a stale list cannot bring
# them back. The list lags by seconds; this is far more.
LEFT_KEPT = 4096
WATCHERS_A_REGION = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Describe one proxy's process."""

    name: str
    incarnation: str
    host: str
    region: str
    data_centre: str
    hop_port: int
    gossip_port: int
    operator_port: int
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class Members:
    """Hold who is there, as far as this proxy can tell."""

    listed: dict[str, Member] = dataclasses.field(default_factory=dict)
    left: dict[str, None] = dataclasses.field(default_factory=dict)
    failed_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def apply_list(
    members: Members, listed: collections.abc.Iterable[Member]
) -> None:
    """Take in the platform's list; whom peers saw leave stays gone."""
    current = {}
    for member in listed:
        if member.incarnation not in members.left:
            current[member.name] = member
    for name, member in members.listed.items():
        after = current.get(name)
        replaced = after is not None and (
            after.incarnation != member.incarnation
        )
        if replaced:
            _mark_left(members, member.incarnation)
    members.listed = current


def record_departure(members: Members, name: str, incarnation: str) -> bool:
    """Take a peer's word that it leaves; say whether it is news."""
    if incarnation in members.left:
        return False
    _mark_left(members, incarnation)
    member = members.listed.get(name)
    if member is not None and member.incarnation == incarnation:
        del members.listed[name]
    return True


def _mark_left(members: Members, incarnation: str) -> None:
    members.left[incarnation] = None
    while len(members.left) > LEFT_KEPT:
        del members.left[next(iter(members.left))]


def record_failure(members: Members, name: str, now_ms: int) -> None:
    """Note that a peer could not be reached or went silent."""
    members.failed_ms[name] = now_ms


def record_answer(members: Members, name: str) -> None:
    """Note that a peer answered."""
    members.failed_ms.pop(name, None)


def is_reachable(members: Members, name: str, now_ms: int) -> bool:
    """Say whether a peer is worth trying."""
    failed_ms = members.failed_ms.get(name)
    return failed_ms is None or now_ms - failed_ms > FAILURE_BACKOFF_MS


def candidates_of(members: Members) -> list[hashing.Candidate]:
    """Return who could own databases, by the list alone.

    What this proxy cannot reach stays in: everyone has to come to much the
    same owners, or each would hold connections of its own.
    """
    return [
        hashing.Candidate(m.name, m.region, m.data_centre)
        for m in members.listed.values()
        if not m.leaving
    ]


def watchers_of(members: Members, region: str) -> tuple[str, ...]:
    """Return the few proxies of a region that watch the service."""
    names = [
        m.name
        for m in members.listed.values()
        if m.region == region and not m.leaving
    ]
    return hashing.first_by_score('watchers', names, WATCHERS_A_REGION)
