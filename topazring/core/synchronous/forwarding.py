"""Choose the owner that serves a request, and the next one if it cannot.

A request is sent to the owner that is expected to serve it soonest, which may
be this proxy. Each answer of an owner reports how many requests wait there.
Owners in the own data centre are preferred, because traffic between data
centres costs money, but only up to a limit: otherwise the single owner of a
data centre would carry all its load while other owners are idle. A proxy that
receives a forwarded request never forwards it again, so a request makes one
hop at a time and cannot loop.

A request that may have run is not tried again: the outcome of a write that
was sent on a link that ended is unknown. A transaction stays with the proxy
at which it began, and is rolled back there when the link ends.
"""

import collections.abc
import dataclasses

from topazring.core import hashing
from topazring.core import organisations
from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous import statements

__all__ = [
    'LinkLost',
    'Load',
    'Plan',
    'THIS_PROXY',
    'final_outcome',
    'is_final',
    'lost_link_outcome',
    'next_owner',
    'no_owner_outcome',
    'unconfigured_outcome',
    'unreturned_outcome',
    'unsent_outcome',
]

Reason = outcomes.Reason

# Denotes this proxy in place of an owner's name.
THIS_PROXY = ''
# Owners tried for one request, including this proxy. Each hop takes some
# milliseconds of the caller's deadline.
MAX_ATTEMPTS = 4
# Refusals after which another owner may still be able to serve the request.
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
# Costs of a hop within a data centre and to another one, as a number of
# waiting requests: a statement takes 10 to 20 ms on one of some ten
# connections, a hop takes half a millisecond, and three more between data
# centres.
HOP_COST = 1.0
REMOTE_HOP_COST = 3.0
# Cost of an owner that is unlikely to have a connection for the organisation:
# the new connection occupies a slot about as long as a statement, and more
# than a hop to another data centre costs.
DIAL_COST = 8.0
# Half-life of the queue length that an owner reported.
LOAD_HALF_LIFE_MS = 300
# Retry delay for callers if no owner could be reached.
NO_OWNER_RETRY_MS = 200
# Retry delay for a service without configuration: a newly added service is
# configured here within a second.
UNCONFIGURED_RETRY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """Report that a link ended, or could not be opened, before the answer."""

    sent: bool


@dataclasses.dataclass(slots=True)
class Plan:
    """Hold the owners tried for a request and the last refusal."""

    tried: list[str] = dataclasses.field(default_factory=list)
    last: outcomes.Outcome | None = None


@dataclasses.dataclass(slots=True)
class Load:
    """Hold the last known load of an owner for one service."""

    # Requests of this proxy that the owner has not answered yet.
    in_flight: int = 0
    # Requests that waited at the owner when it last reported.
    waiting: int = 0
    reported_ms: int = 0

    def expected_ahead(self, now_ms: int) -> float:
        """Return the expected number of requests ahead of a new one."""
        age_ms = now_ms - self.reported_ms
        return self.in_flight + self.waiting * 0.5 ** (
            age_ms / LOAD_HALF_LIFE_MS
        )


LoadEstimate = collections.abc.Callable[[str], float | None]


def next_owner(
    plan: Plan,
    owned: ownership.Ownership,
    name: str,
    data_centre: str,
    weigh: LoadEstimate,
    turn: int,
    organisation: str = organisations.ANONYMOUS,
) -> str | None:
    """Return the owner to try next, None if none is left.

    `weigh` returns the number of requests ahead at an owner, or None if the
    owner is unreachable. `turn` spreads requests over owners of equal cost.
    The requests of an organisation prefer one owner, so that its connections
    are used again.
    """
    if len(plan.tried) >= MAX_ATTEMPTS:
        return None
    preferred = _preferred_owner(owned, organisation)
    costs: dict[str, float] = {}
    for owner in owned.owners:
        candidate = THIS_PROXY if owner.name == name else owner.name
        ahead = weigh(candidate)
        if candidate in plan.tried or ahead is None:
            continue
        if candidate != THIS_PROXY:
            is_local = owner.data_centre == data_centre
            ahead += HOP_COST if is_local else REMOTE_HOP_COST
        if preferred not in (None, owner):
            ahead += DIAL_COST
        costs[candidate] = ahead
    if not costs:
        return None
    lowest_cost = min(costs.values())
    cheapest = [
        candidate for candidate, cost in costs.items() if cost == lowest_cost
    ]
    return cheapest[turn % len(cheapest)]


def _preferred_owner(
    owned: ownership.Ownership, organisation: str
) -> ownership.Proxy | None:
    """Return the owner that should keep connections for an organisation.

    It is the same for all data centres: with one in each, the connections of
    an owner would have to serve three times as many organisations.
    """
    if organisation == organisations.ANONYMOUS:
        return None
    return max(
        owned.owners,
        key=lambda owner: hashing.score(organisation, owner.name),
        default=None,
    )


def is_final(request: messages.Request, outcome: outcomes.Outcome) -> bool:
    """Return whether an owner's answer is final, so no other is tried."""
    if request.continues_transaction or not isinstance(
        outcome, outcomes.NotRun
    ):
        return True
    return outcome.reason not in FORWARDABLE_REASONS


def lost_link_outcome(
    request: messages.Request, lost: LinkLost
) -> outcomes.Outcome | None:
    """Return the outcome after a lost link, None to try another owner."""
    is_commit = request.statement.verb is statements.Verb.COMMIT
    if request.continues_transaction:
        if is_commit and lost.sent:
            return outcomes.Unknown(Reason.OWNER_LOST)
        return outcomes.NotRun(Reason.TRANSACTION_LOST, 0)
    if lost.sent and request.writes and not request.transaction:
        return outcomes.Unknown(Reason.OWNER_LOST)
    # A read has no lasting effect, and a transaction is rolled back when its
    # link ends.
    return None


def unsent_outcome() -> outcomes.Rejected:
    """Return the refusal of a request that is too long for a link."""
    detail = 'the request is too long to be forwarded'
    return outcomes.Rejected(Reason.TOO_LARGE, detail)


def unreturned_outcome(
    request: messages.Request,
) -> outcomes.Rejected | outcomes.Unknown:
    """Return the outcome of a request whose answer is too long for a link.

    A transaction whose statement has it is rolled back.
    """
    if request.statement.verb.ends_transaction or (
        request.writes and not request.transaction
    ):
        return outcomes.Unknown(Reason.TOO_LARGE)
    return outcomes.Rejected(Reason.TOO_LARGE, 'the answer is too long')


def unconfigured_outcome() -> outcomes.NotRun:
    """Return the refusal for a service without configuration."""
    return outcomes.NotRun(Reason.NO_CONFIGURATION, UNCONFIGURED_RETRY_MS)


def no_owner_outcome() -> outcomes.NotRun:
    """Return the refusal of a proxy that cannot serve a group."""
    return outcomes.NotRun(Reason.NO_OWNER, NO_OWNER_RETRY_MS)


def final_outcome(plan: Plan) -> outcomes.Outcome:
    """Return the answer once no owner is left to try."""
    if plan.last is not None:
        return plan.last
    return no_owner_outcome()
