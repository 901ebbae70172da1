"""Confirm log positions by rounds: a majority holds them under one term.

A round requests the status of every replica. One round serves all requests
that wait when it begins, so the cost grows with time and not with the number
of requests. The primary counts as one member, by the reply that reported the
position: a promotion needs a majority to accept a higher term, so if the
primary answered under `term` and enough replicas are still at `term`
afterwards, no promotion was complete when it answered.
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

# Limit of the rounds in flight to one replica. More of them shorten the wait
# for the next round at high lag, fewer let one round serve more requests.
MAX_ROUNDS_IN_FLIGHT = 4
STATUS_WAIT_MS = 1000
# A status request is abandoned when it is overdue by this much.
STATUS_GRACE_MS = 1000


@dataclasses.dataclass(slots=True)
class Waiter:
    """Request or sample to confirm: a majority holds `place`, or its term.

    `first_round` is the first round that began after the position was
    reported: earlier rounds say nothing about the time since.
    """

    key: int
    place: log_positions.LogPosition
    sent_ms: int
    first_round: int
    needs_position: bool = True
    holders: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Rounds:
    """Waiting requests, and status requests in flight."""

    term: int = 0
    next_round: int = 1
    waiters: dict[int, Waiter] = dataclasses.field(default_factory=dict)
    # For each replica, the unanswered rounds and when they were sent.
    in_flight: dict[str, dict[int, int]] = dataclasses.field(
        default_factory=dict
    )


def add_waiter(
    rounds: Rounds,
    key: int,
    log_position: log_positions.LogPosition,
    sent_ms: int,
    needs_position: bool = True,
) -> None:
    """Add a waiter; only rounds that begin from now on can confirm it."""
    rounds.waiters[key] = Waiter(
        key, log_position, sent_ms, rounds.next_round, needs_position
    )


def remove_waiter(rounds: Rounds, key: int) -> Waiter | None:
    """Remove and return a waiter."""
    return rounds.waiters.pop(key, None)


def remove_all_waiters(rounds: Rounds) -> list[Waiter]:
    """Remove and return all waiters, at the end of their term."""
    waiters = list(rounds.waiters.values())
    rounds.waiters.clear()
    rounds.in_flight.clear()
    return waiters


def forget_requests(rounds: Rounds, upstream: str) -> None:
    """Forget the requests sent on a control connection that was lost."""
    rounds.in_flight.pop(upstream, None)


def start_round(
    rounds: Rounds, now_ms: int, replicas: list[str]
) -> list[messages.RequestStatus]:
    """Start a round with the replicas below the limit that can confirm.

    A replica is left out if no waiter needs it or if MAX_ROUNDS_IN_FLIGHT
    requests to it are unanswered.
    """
    if not rounds.waiters:
        return []
    round_id = rounds.next_round
    requests = []
    for name in replicas:
        waiting = _waiting_for(rounds, now_ms, name)
        if not waiting:
            continue
        needed = [w.place for w in waiting if w.needs_position]
        log_position = max(needed, default=log_positions.ORIGIN)
        rounds.in_flight.setdefault(name, {})[round_id] = now_ms
        requests.append(
            messages.RequestStatus(
                name, round_id, rounds.term, log_position, STATUS_WAIT_MS
            )
        )
    if requests:
        rounds.next_round += 1
    return requests


def _waiting_for(rounds: Rounds, now_ms: int, name: str) -> list[Waiter]:
    """Return the waiters that a new request to this replica would serve."""
    in_flight = rounds.in_flight.get(name, {})
    expired_ms = now_ms - STATUS_WAIT_MS - STATUS_GRACE_MS
    for round_id in [
        r for r, at_ms in in_flight.items() if at_ms < expired_ms
    ]:
        del in_flight[round_id]
    if len(in_flight) >= MAX_ROUNDS_IN_FLIGHT:
        return []
    newest = max(in_flight, default=0)
    return [
        waiter
        for waiter in rounds.waiters.values()
        if name not in waiter.holders and waiter.first_round > newest
    ]


def note_status(
    rounds: Rounds, round_id: int, status: messages.Status, majority: int
) -> list[Waiter]:
    """Record a round's reply; remove and return the waiters it confirms.

    A status counts only while the upstream is at the round's own term. To
    confirm a position, the upstream's *last entry* has to be of that term
    too: an upstream that accepted the term may still have a longer tail of
    an older one, which says nothing about the entries of this term.
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
    rounds: Rounds,
    status: messages.Status,
    log_position: log_positions.LogPosition,
) -> bool:
    return (
        status.place.log_term == rounds.term and status.place >= log_position
    )
