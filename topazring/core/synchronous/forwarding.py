"""Decide which proxy serves a request, and what after it could not.

A request is tried at the owner that is expected to serve it soonest, this
proxy itself among them. Each answer of an owner tells how many requests wait
there. The own data centre is preferred, as bytes between data centres cost
money, but not at any price: the one owner of a data centre would carry all of
it while others are idle. A proxy
that was asked never asks another, so a request makes one hop at a time and
never goes in circles.

What may have run is not tried again: a write that was sent on a link that
ended has an open fate. A transaction stays with the proxy that began it; it
is undone there when the link ends.
"""

import collections.abc
import dataclasses

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous import statements

__all__ = [
    'THIS_PROXY',
    'Load',
    'LinkLost',
    'Plan',
    'final_outcome',
    'is_final',
    'lost_link_outcome',
    'next_owner',
    'unconfigured_outcome',
]

Reason = outcomes.Reason

# Stands for this proxy.
THIS_PROXY = ''
# Places tried for one request, this proxy included: each hop takes some
# milliseconds of a caller's time.
MAX_ATTEMPTS = 4
# These say that the place could not serve it, another may.
FORWARDABLE_REASONS = frozenset(
    {
        Reason.CONNECTION_LIMIT,
        Reason.DRAINING,
        Reason.GROUP_RESTARTED,
        Reason.NO_CONFIGURATION,
        Reason.NO_OWNER,
        Reason.NO_PRIMARY,
        Reason.UNPROVEN,
    }
)
# Waiting requests that a hop weighs as much as, and one to another data
# centre: a statement takes 10 to 20 ms on one of some ten connections, the
# hop half a millisecond and three more between data centres.
HOP_COST = 1.0
REMOTE_HOP_COST = 3.0
# What an owner told of its line counts half after so long.
LOAD_HALF_LIFE_MS = 300
# When to come back if nobody could be reached.
NO_OWNER_RETRY_MS = 200
# A service that has just been added is known here within a second.
UNCONFIGURED_RETRY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """Report that a link ended, or never began, before the answer."""

    sent: bool


@dataclasses.dataclass(slots=True)
class Plan:
    """Hold where a request was tried."""

    tried: list[str] = dataclasses.field(default_factory=list)
    last: outcomes.Outcome | None = None


@dataclasses.dataclass(slots=True)
class Load:
    """Hold how busy an owner is with one service, as far as is known."""

    # Requests of ours that it has not answered.
    in_flight: int = 0
    # Requests that waited there when it last told.
    waiting: int = 0
    reported_ms: int = 0

    def expected_ahead(self, now_ms: int) -> float:
        """Return how many requests are ahead of a new one."""
        age_ms = now_ms - self.reported_ms
        return self.in_flight + self.waiting * 0.5 ** (
            age_ms / LOAD_HALF_LIFE_MS
        )


Weigh = collections.abc.Callable[[str], float | None]


def next_owner(
    plan: Plan,
    owned: ownership.Ownership,
    name: str,
    data_centre: str,
    weigh: Weigh,
    turn: int,
) -> str | None:
    """Return where to try next, None if nowhere is left.

    `weigh` returns how many requests are ahead at a place, None for one that
    cannot be reached. `turn` spreads requests over equals.
    """
    if len(plan.tried) >= MAX_ATTEMPTS:
        return None
    costs: dict[str, float] = {}
    for owner in owned.owners:
        place = THIS_PROXY if owner.name == name else owner.name
        ahead = weigh(place)
        if place in plan.tried or ahead is None:
            continue
        if place != THIS_PROXY:
            near = owner.data_centre == data_centre
            ahead += HOP_COST if near else REMOTE_HOP_COST
        costs[place] = ahead
    if not costs:
        return None
    least = min(costs.values())
    equals = [place for place, cost in costs.items() if cost == least]
    return equals[turn % len(equals)]


def is_final(request: messages.Request, outcome: outcomes.Outcome) -> bool:
    """Say whether a place's answer is the request's, wherever else it went."""
    if request.continues_transaction or not isinstance(
        outcome, outcomes.NotRun
    ):
        return True
    return outcome.reason not in FORWARDABLE_REASONS


def lost_link_outcome(
    request: messages.Request, lost: LinkLost
) -> outcomes.Outcome | None:
    """Return the answer if a link that ended decides it."""
    commits = request.statement.verb is statements.Verb.COMMIT
    if request.continues_transaction:
        if commits and lost.sent:
            return outcomes.Unknown(Reason.OWNER_LOST)
        return outcomes.NotRun(Reason.TRANSACTION_LOST, 0)
    if lost.sent and request.writes and not request.transaction:
        return outcomes.Unknown(Reason.OWNER_LOST)
    # A read keeps nothing, and a transaction is undone with its link.
    return None


def unconfigured_outcome() -> outcomes.NotRun:
    """Return the refusal where no configuration names the service."""
    return outcomes.NotRun(Reason.NO_CONFIGURATION, UNCONFIGURED_RETRY_MS)


def final_outcome(plan: Plan) -> outcomes.Outcome:
    """Return the answer once nowhere is left to try."""
    if plan.last is not None:
        return plan.last
    return outcomes.NotRun(Reason.NO_OWNER, NO_OWNER_RETRY_MS)
