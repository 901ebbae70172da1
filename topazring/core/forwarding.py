"""Decide at the entry which owner gets a request, and how to retry it."""

import dataclasses

from topazring.core import messages
from topazring.core import outcomes
from topazring.core import requests

__all__ = [
    'Finish',
    'Pause',
    'Plan',
    'Send',
    'make_plan',
    'next_step',
    'record_result',
]

Kind = requests.Kind
Reason = outcomes.Reason

PAUSE_MS = 50
# Time reserved for the hop back to the caller.
RETURN_MARGIN_MS = 20
# Reasons that concern the owner and not the request.
OWNER_UNAVAILABLE = frozenset(
    {Reason.NO_PRIMARY, Reason.DRAINING, Reason.NO_CONFIGURATION}
)
IN_TRANSACTION = frozenset({Kind.EXECUTE, Kind.COMMIT, Kind.ROLLBACK})


@dataclasses.dataclass(slots=True)
class Plan:
    """State of a request at the entry."""

    kind: Kind
    repeatable: bool
    deadline_ms: int
    # The only owner that holds the connection of the transaction, if any.
    bound_to: str = ''
    tried: list[str] = dataclasses.field(default_factory=list)
    is_resolving: bool = False
    maybe_ran: bool = False
    last: outcomes.Outcome | None = None
    final: outcomes.Outcome | None = None
    reason: Reason = Reason.NO_OWNER


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an owner, as a settle request if in doubt."""

    owner: str
    settle: bool
    left_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Wait before trying all owners again."""

    ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Send the caller the final answer."""

    outcome: outcomes.Outcome


def make_plan(
    kind: Kind,
    repeatable: bool,
    deadline_ms: int,
    bound_to: str = '',
    repeat: bool = False,
) -> Plan:
    """Return the plan of a new request.

    An earlier copy of a `repeat` may have run, and so may that of a commit
    whose transaction is no longer open here.
    """
    plan = Plan(kind, repeatable, deadline_ms, bound_to)
    plan.is_resolving = kind is Kind.COMMIT and not bound_to
    plan.maybe_ran = repeat or plan.is_resolving
    return plan


def next_step(
    plan: Plan, now_ms: int, owners: tuple[str, ...]
) -> Send | Pause | Finish:
    """Return what to do next, given the live owners in preference order."""
    if plan.final is not None:
        return Finish(plan.final)
    left_ms = plan.deadline_ms - now_ms
    if left_ms <= RETURN_MARGIN_MS:
        return Finish(_give_up(plan, Reason.DEADLINE))
    if plan.bound_to and not plan.is_resolving:
        return Send(plan.bound_to, False, left_ms - RETURN_MARGIN_MS)
    for owner in owners:
        if owner not in plan.tried:
            return Send(owner, plan.is_resolving, left_ms - RETURN_MARGIN_MS)
    if plan.maybe_ran and owners:
        # It is in doubt: keep asking the live owners until it is resolved.
        plan.tried.clear()
        return Pause(min(PAUSE_MS, left_ms))
    return Finish(_give_up(plan, plan.reason))


def _give_up(plan: Plan, reason: Reason) -> outcomes.Outcome:
    if plan.maybe_ran:
        return outcomes.Unknown(Reason.OWNER_LOST)
    if plan.last is not None:
        return plan.last
    return outcomes.NotRun(reason, 200)


def record_result(
    plan: Plan, owner: str, result: outcomes.Outcome | messages.ConnectionLost
) -> None:
    """Record an owner's answer, or the loss of its connection."""
    plan.tried.append(owner)
    if isinstance(result, messages.ConnectionLost):
        _record_lost(plan, result)
        return
    is_bound = plan.kind in IN_TRANSACTION and not plan.is_resolving
    match result:
        case outcomes.NotRun(reason=reason) if reason in OWNER_UNAVAILABLE:
            if not is_bound:
                plan.last = result
                plan.reason = reason
                return
        case outcomes.Unknown(reason=reason) if reason in OWNER_UNAVAILABLE:
            # Another owner may still reach the primary and resolve it.
            _record_lost(plan, messages.ConnectionLost(reason, True))
            return
        case outcomes.NotRun(reason=reason) if plan.maybe_ran:
            if not plan.is_resolving and reason is not Reason.CANCELLED:
                # This copy did not run, but an earlier one may have.
                result = outcomes.Unknown(reason)
    plan.final = result


def _record_lost(plan: Plan, lost: messages.ConnectionLost) -> None:
    plan.reason = lost.reason
    if plan.kind in (Kind.EXECUTE, Kind.ROLLBACK):
        # The owner closes a transaction's connection when the link to the
        # entry closes, and the upstream rolls the transaction back.
        plan.final = outcomes.NotRun(Reason.TRANSACTION_LOST, 50)
        return
    if not lost.sent:
        if plan.kind is Kind.COMMIT and not plan.is_resolving:
            plan.final = outcomes.NotRun(Reason.TRANSACTION_LOST, 50)
        return
    if plan.kind is Kind.BEGIN:
        return
    plan.maybe_ran = True
    can_resend = plan.repeatable and plan.kind is Kind.WRITE
    if plan.kind in requests.RECORDED_KINDS and not can_resend:
        plan.is_resolving = True
