"""Combine the platform's lagging list of proxies with local observations."""

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

# How long a failed peer is skipped before it is tried again.
FAILURE_BACKOFF_MS = 1500
# Departed incarnations remembered, so that a stale list cannot bring them
# back. The list lags by seconds; this many departures take far longer.
MAX_DEPARTED = 4096
WATCHERS_PER_REGION = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One process of a proxy."""

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
    """Members of the fleet, as far as this proxy can determine."""

    listed: dict[str, Member] = dataclasses.field(default_factory=dict)
    departed: dict[str, None] = dataclasses.field(default_factory=dict)
    failed_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def apply_list(
    members: Members, listed: collections.abc.Iterable[Member]
) -> None:
    """Apply the platform's list, without incarnations that have departed."""
    current = {}
    for member in listed:
        if member.incarnation not in members.departed:
            current[member.name] = member
    for name, member in members.listed.items():
        after = current.get(name)
        replaced = after is not None and (
            after.incarnation != member.incarnation
        )
        if replaced:
            _mark_departed(members, member.incarnation)
    members.listed = current


def record_departure(members: Members, name: str, incarnation: str) -> bool:
    """Record that a peer leaves; return whether that is new."""
    if incarnation in members.departed:
        return False
    _mark_departed(members, incarnation)
    member = members.listed.get(name)
    if member is not None and member.incarnation == incarnation:
        del members.listed[name]
    return True


def _mark_departed(members: Members, incarnation: str) -> None:
    members.departed[incarnation] = None
    while len(members.departed) > MAX_DEPARTED:
        del members.departed[next(iter(members.departed))]


def record_failure(members: Members, name: str, now_ms: int) -> None:
    """Record that a peer was unreachable or timed out."""
    members.failed_ms[name] = now_ms


def record_answer(members: Members, name: str) -> None:
    """Record that a peer answered."""
    members.failed_ms.pop(name, None)


def is_reachable(members: Members, name: str, now_ms: int) -> bool:
    """Return whether a peer should be tried."""
    failed_ms = members.failed_ms.get(name)
    return failed_ms is None or now_ms - failed_ms > FAILURE_BACKOFF_MS


def candidates_of(members: Members) -> list[hashing.Candidate]:
    """Return the proxies that can own databases, according to the list.

    Proxies that are unreachable from here are included: all proxies have to
    compute nearly the same owners, or each would hold its own connections.
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
    return hashing.first_by_score('watchers', names, WATCHERS_PER_REGION)
