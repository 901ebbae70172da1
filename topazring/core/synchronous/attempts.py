"""Hold an attempt to replace a primary, and choose who follows.

Who is chosen depends on what the members report once they are paused, on
what is known to be acknowledged, and on who could not be asked.
"""

import dataclasses

from topazring.core import log_positions
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import freshness
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'Attempt',
    'members_to_query',
    'choose_primary',
    'forget_member',
    'forget_reports',
    'has_fresh_list',
    'is_blocked',
    'has_fresh_report',
    'required_members',
    'paused_log_end',
    'has_receiving_replica',
    'record_report',
]

# A replica that restarts is paused no more, and confirms again. So what it
# reported counts for this long; it is asked again while others are awaited.
REPORT_MAX_AGE_MS = 100
# A new replica's word counts for an acknowledgement once it has been listed
# for 300 ms, and a member that is asked after that is not paused. So a list
# that is no older when the order goes out names it; reading it takes a third
# of that at most.
LIST_MAX_AGE_MS = 200
# What a primary held so long before it was last heard counts as
# acknowledged: replicas receive within milliseconds.
ASSUME_ACKNOWLEDGED_MS = 1000


@dataclasses.dataclass(slots=True)
class Attempt:
    """Hold one attempt to replace a primary."""

    old_primary: str
    why: str
    began_ms: int
    # Above every term that was seen: upstreams refuse a pause otherwise.
    term: int
    token: int
    # The successor of a primary that leaves; the others are paused.
    successor: str = ''
    # Since when the leaving primary is told to stop leading, for the answer
    # of a member that may confirm its writes cannot be had.
    demoting_since_ms: int | None = None
    unconfirmed: bool = False
    # Only look, pause nobody: is there anyone who may follow?
    is_query_only: bool = False
    reports: dict[str, statements.StatusReport] = dataclasses.field(
        default_factory=dict
    )
    asked_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    reported_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    # When what calls for it began.
    since_ms: int = 0
    # Members that lead an older term in their own eyes; demoted first.
    stale_primaries: set[str] = dataclasses.field(default_factory=set)
    # Members whose first answer to a pause was logged.
    logged_paused: set[str] = dataclasses.field(default_factory=set)
    # The list of upstreams is being read anew; when it last was.
    is_reading_list: bool = False
    list_read_ms: int | None = None
    chosen: str = ''
    # What the chosen one had received when it was chosen.
    chosen_position: log_positions.LogPosition = log_positions.ORIGIN
    ordered_ms: int = 0
    # Who was to follow is listed no more, or began again as another.
    successor_gone: bool = False
    # An order is under way; its answer is still to come.
    is_order_pending: bool = False
    accepted: bool = False


def required_members(state: states.GroupState, attempt: Attempt) -> list[str]:
    """Return those whose answer is needed before anyone is chosen.

    Once one is chosen they are the others, who stay paused until it leads.
    A leaving primary that was demoted says itself what its heir has to hold.
    """
    if attempt.demoting_since_ms is not None and not attempt.chosen:
        both = (attempt.old_primary, attempt.successor)
        return [name for name in both if name in state.upstreams]
    return [
        name
        for name in state.upstreams
        if (name != attempt.old_primary or attempt.unconfirmed)
        and name != attempt.chosen
    ]


def members_to_query(state: states.GroupState, attempt: Attempt) -> list[str]:
    """Return those to be asked: the members, and who may be chosen as well.

    A lost primary that began again is a replica like any other. It is not
    waited for: its start may take seconds.
    """
    names = required_members(state, attempt)
    if attempt.old_primary not in names and failure_detection.is_recreated(
        state, attempt.old_primary
    ):
        names.append(attempt.old_primary)
    return names


def record_report(
    attempt: Attempt,
    now_ms: int,
    name: str,
    report: statements.StatusReport,
) -> None:
    """Take in what a member says of itself."""
    attempt.reports[name] = report
    attempt.reported_ms[name] = now_ms
    if name != attempt.successor:
        # Asked again as soon as this is not fresh any more.
        attempt.asked_ms.pop(name, None)


def forget_member(attempt: Attempt, name: str) -> None:
    """Forget what a member said that is listed no more, or is another now."""
    attempt.reports.pop(name, None)
    attempt.reported_ms.pop(name, None)
    attempt.asked_ms.pop(name, None)
    attempt.stale_primaries.discard(name)
    if name in (attempt.successor, attempt.chosen):
        attempt.successor_gone = True


def forget_reports(attempt: Attempt) -> None:
    """Ask everyone anew."""
    attempt.reports.clear()
    attempt.reported_ms.clear()
    attempt.asked_ms.clear()


def has_fresh_report(attempt: Attempt, now_ms: int, name: str) -> bool:
    """Say whether a member's report still counts."""
    reported_ms = attempt.reported_ms.get(name)
    return (
        reported_ms is not None and now_ms - reported_ms <= REPORT_MAX_AGE_MS
    )


def paused_log_end(
    attempt: Attempt, now_ms: int, name: str
) -> log_positions.LogPosition | None:
    """Return where the log of a member ends that is paused, None if unknown.

    The heir goes on receiving, and a look pauses nobody.
    """
    if attempt.is_query_only or name == attempt.successor:
        return None
    if not has_fresh_report(attempt, now_ms, name):
        return None
    return attempt.reports[name].received


def has_fresh_list(attempt: Attempt, now_ms: int) -> bool:
    """Say whether all are known who may vouch for an acknowledged write."""
    read_ms = attempt.list_read_ms
    return read_ms is not None and now_ms - read_ms <= LIST_MAX_AGE_MS


def has_receiving_replica(
    state: states.GroupState, now_ms: int, attempt: Attempt
) -> bool:
    """Say whether some replica has what the primary held a moment ago.

    Then writes are confirmed, and what hangs is the answer: one was lost, or
    the replicas only apply late what they receive at once.
    """
    before = freshness.position_at(
        state, now_ms - failure_detection.REPLICATION_STALLED_MS
    )
    if before is None:
        return False
    return any(
        report.received >= before
        for name, report in attempt.reports.items()
        if name != attempt.old_primary
    )


def is_blocked(
    state: states.GroupState, now_ms: int, attempt: Attempt
) -> bool:
    """Say whether only silent members keep the heir from being chosen."""
    if not has_fresh_report(attempt, now_ms, attempt.successor):
        return False
    heir = attempt.reports[attempt.successor].received
    answered, silent = _split(state, now_ms, attempt)
    if not silent:
        return False
    return all(heir >= attempt.reports[name].received for name in answered)


def _split(
    state: states.GroupState, now_ms: int, attempt: Attempt
) -> tuple[list[str], list[str]]:
    """Return the members whose reports count, and the others."""
    asked = required_members(state, attempt)
    answered = [
        name for name in asked if has_fresh_report(attempt, now_ms, name)
    ]
    return answered, [name for name in asked if name not in answered]


def choose_primary(
    state: states.GroupState, now_ms: int, attempt: Attempt
) -> str:
    """Return who may be promoted without losing anything, if anyone."""
    answered, silent = _split(state, now_ms, attempt)
    if not answered or silent:
        return ''
    lost = attempt.old_primary
    if failure_detection.is_recreated(state, lost):
        if lost not in answered and has_fresh_report(attempt, now_ms, lost):
            answered.append(lost)
        lost = ''
    held = {name: attempt.reports[name].received for name in answered}
    if attempt.demoting_since_ms is not None:
        enough = held.get(attempt.successor, log_positions.ORIGIN) >= max(
            held.values()
        )
        return attempt.successor if enough else ''
    if attempt.successor:
        place = held[attempt.successor]
        enough = place >= max(held.values()) and _may_lead_next(state, place)
        complete = _is_complete(state, now_ms, attempt, place)
        return attempt.successor if enough and complete else ''
    others = {name: held[name] for name in answered if name != lost}
    highest = max(others.values(), default=log_positions.ORIGIN)
    complete = _is_complete(state, now_ms, attempt, highest)
    enough = complete and highest >= _floor(state, attempt)
    if not others or not enough or _may_hold_alone(state, attempt, highest):
        return attempt.old_primary if attempt.unconfirmed else ''
    able = [name for name in others if others[name] == highest]
    staying = [n for n in able if not state.upstreams[n].leaving]
    return min(
        staying or able, key=lambda name: (name == attempt.old_primary, name)
    )


def _may_lead_next(
    state: states.GroupState, place: log_positions.LogPosition
) -> bool:
    """Say whether a log holds what a leaving primary is known to have.

    What the paused ones hold is not enough before they have followed it.
    """
    start = state.primary_start
    if start.upstream == state.primary and place < start.place:
        return False
    return place >= state.acknowledged


def _is_complete(
    state: states.GroupState,
    now_ms: int,
    attempt: Attempt,
    place: log_positions.LogPosition,
) -> bool:
    """Say whether no departed upstream can have confirmed more than that.

    The last primary's own log holds all that was acknowledged. So a log that
    reaches as far is complete, whoever departed.
    """
    primaries = frozenset(
        {attempt.old_primary, state.proven_primary, state.last_primary}
    )
    for name in primaries:
        report = attempt.reports.get(name)
        if report is None or failure_detection.is_recreated(state, name):
            continue
        if place >= report.received:
            return True
    return not state.departed_members.may_exceed(now_ms, place, primaries)


def _may_hold_alone(
    state: states.GroupState,
    attempt: Attempt,
    highest: log_positions.LogPosition,
) -> bool:
    """Say whether a demoted primary may hold alone what it began with.

    What it holds beyond the others was never confirmed to it, but before its
    lead it may have confirmed part of that to the primary before it. Whoever
    holds an entry of its term holds all that it began with.
    """
    report = attempt.reports.get(attempt.old_primary)
    if report is None or highest >= report.received:
        return False
    start = state.primary_start
    if start.upstream == attempt.old_primary and highest >= start.place:
        return False
    return highest.log_term < report.term


def _floor(
    state: states.GroupState, attempt: Attempt
) -> log_positions.LogPosition:
    """Return the place that whoever is promoted has to hold."""
    floor = state.acknowledged
    old = state.upstreams.get(attempt.old_primary)
    if attempt.unconfirmed or old is None:
        return floor
    settled_ms = old.last_received_ms - ASSUME_ACKNOWLEDGED_MS
    for sample in state.samples:
        if sample.sent_ms <= settled_ms:
            floor = max(floor, sample.place)
    return floor
