"""Confirm places by rounds in which a majority holds them under one term.

A round asks every replica for its status. One round serves all requests
that wait when it begins, so the cost grows with time and not with requests.
The primary counts once, for the reply that named the place: a promotion
needs a majority to accept a higher term, so if the primary answered under
`term` and enough replicas still hold to `term` afterwards, no promotion was
complete when it answered.
"""

import dataclasses

from topazring.core import log_positions
from topazring.core import messages

__all__ = [
    'Rounds',
    'Waiter',
    'add_waiter',
    'start_round',
    'forget_requests',
    'note_status',
    'remove_all_waiters',
    'remove_waiter',
]

# Rounds in flight to one replica. More shorten the wait for the next round
# at long lags, fewer let one round serve more requests.
MAX_ROUNDS_IN_FLIGHT = 4
ASK_WAIT_MS = 1000
# An ask that outlives its own wait by this much is given up.
ASK_GRACE_MS = 1000


@dataclasses.dataclass(slots=True)
class Waiter:
    """Wait until a majority holds `place`, or only the term of it.

    `first_round` is the first round that began after the place was seen: an
    earlier one says nothing about the time since.
    """

    key: int
    place: log_positions.LogPosition
    sent_ms: int
    first_round: int
    needs_position: bool = True
    holders: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Rounds:
    """Hold the waiters and the asks that are under way."""

    term: int = 0
    next_round: int = 1
    waiters: dict[int, Waiter] = dataclasses.field(default_factory=dict)
    # For each replica, the rounds asked and not yet answered, with the time.
    in_flight: dict[str, dict[int, int]] = dataclasses.field(
        default_factory=dict
    )


def add_waiter(
    rounds: Rounds,
    key: int,
    place: log_positions.LogPosition,
    sent_ms: int,
    needs_place: bool = True,
) -> None:
    """Add a waiter, to be confirmed by rounds that begin from now on."""
    rounds.waiters[key] = Waiter(
        key, place, sent_ms, rounds.next_round, needs_place
    )


def remove_waiter(rounds: Rounds, key: int) -> Waiter | None:
    """Remove and return a waiter."""
    return rounds.waiters.pop(key, None)


def remove_all_waiters(rounds: Rounds) -> list[Waiter]:
    """Remove and return all waiters: their term is over."""
    waiters = list(rounds.waiters.values())
    rounds.waiters.clear()
    rounds.in_flight.clear()
    return waiters


def forget_requests(rounds: Rounds, upstream: str) -> None:
    """Forget what was asked on a control connection that was lost."""
    rounds.in_flight.pop(upstream, None)


def start_round(
    rounds: Rounds, now_ms: int, replicas: list[str]
) -> list[messages.RequestStatus]:
    """Begin a round with each replica that has room and news to confirm."""
    if not rounds.waiters:
        return []
    round_id = rounds.next_round
    asks = []
    for name in replicas:
        waiting = _waiting_for(rounds, now_ms, name)
        if not waiting:
            continue
        needed = [w.place for w in waiting if w.needs_position]
        place = max(needed, default=log_positions.ORIGIN)
        rounds.in_flight.setdefault(name, {})[round_id] = now_ms
        asks.append(
            messages.RequestStatus(
                name, round_id, rounds.term, place, ASK_WAIT_MS
            )
        )
    if asks:
        rounds.next_round += 1
    return asks


def _waiting_for(rounds: Rounds, now_ms: int, name: str) -> list[Waiter]:
    """Return the waiters that a new ask to this replica would serve."""
    asked = rounds.in_flight.get(name, {})
    expired_ms = now_ms - ASK_WAIT_MS - ASK_GRACE_MS
    for round_id in [r for r, at_ms in asked.items() if at_ms < expired_ms]:
        del asked[round_id]
    if len(asked) >= MAX_ROUNDS_IN_FLIGHT:
        return []
    newest = max(asked, default=0)
    return [
        waiter
        for waiter in rounds.waiters.values()
        if name not in waiter.holders and waiter.first_round > newest
    ]


def note_status(
    rounds: Rounds, round_id: int, status: messages.Status, majority: int
) -> list[Waiter]:
    """Take in a round's reply; remove and return the waiters it confirms.

    A status counts only while the upstream holds to the round's own term.
    For a place the *last entry* has to be of that term too: an upstream that
    accepted the term may still hold a longer tail of an older one, which
    says nothing about the entries of this term.
    """
    rounds.in_flight.get(status.upstream, {}).pop(round_id, None)
    if status.accepted_term != rounds.term or status.leads:
        return []
    confirmed = []
    for waiter in rounds.waiters.values():
        if waiter.first_round > round_id:
            continue
        if waiter.needs_position and not _holds(rounds, status, waiter.place):
            continue
        waiter.holders.add(status.upstream)
        if len(waiter.holders) + 1 >= majority:
            confirmed.append(waiter)
    for waiter in confirmed:
        del rounds.waiters[waiter.key]
    return confirmed


def _holds(
    rounds: Rounds, status: messages.Status, place: log_positions.LogPosition
) -> bool:
    return status.place.log_term == rounds.term and status.place >= place
