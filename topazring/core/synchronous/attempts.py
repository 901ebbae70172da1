"""Hold an attempt to replace a primary, and choose the new primary.

The choice depends on the log positions that members report once they are
paused, on the position known to be acknowledged, and on which upstreams
could not be queried.
"""

import dataclasses

from topazring.core import log_positions
from topazring.core.synchronous import acknowledgement_fence
from topazring.core.synchronous import failure_detection
from topazring.core.synchronous import freshness
from topazring.core.synchronous import member_record
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import outstanding_resumes
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'Attempt',
    'awaits_acknowledgements',
    'awaits_leader',
    'choose_primary',
    'exempt_primary',
    'forget_member',
    'forget_report',
    'forget_reports',
    'has_fresh_list',
    'has_fresh_report',
    'has_receiving_replica',
    'is_blocked',
    'is_demotion_due',
    'may_lose_pause',
    'members_to_query',
    'paused_log_end',
    'position_to_verify',
    'raise_term',
    'record_report',
    'required_members',
]

# A replica that restarts loses its pause and confirms writes again. Its report
# is therefore valid only this long, and it is queried again while the reports
# of other members are outstanding.
REPORT_MAX_AGE_MS = 100
# A new replica's report counts towards an acknowledgement once the replica has
# been listed for 300 ms, and a member that is queried after that is not
# paused. A list that is at most this old when the order is sent therefore
# includes the replica. Reading the list takes at most a third of this time.
LIST_MAX_AGE_MS = 200
# Entries that a primary held this long before its last reply are assumed to be
# acknowledged, because replicas receive them within milliseconds.
ASSUME_ACKNOWLEDGED_MS = 1000
# Querying all proxies takes a millisecond of processor time each.
ACKNOWLEDGEMENTS_TIMEOUT_MS = 3000
# Time to query the members again after that.
CONCLUSION_MS = 300
# How long the chosen upstream is searched for once the term has begun that its
# order begins. After that another one may lead it.
LEADER_SEARCH_MS = 200


@dataclasses.dataclass(slots=True)
class Attempt:
    """State of one attempt to replace a primary."""

    old_primary: str
    why: str
    began_ms: int
    # Higher than every term seen; upstreams refuse a pause otherwise.
    term: int
    token: int
    # The planned successor of a leaving primary; all other replicas are
    # paused. Empty if the primary is lost.
    successor: str = ''
    # The platform refuses orders of a replaced holder, or it was verified that
    # this proxy still holds the lease.
    is_lease_shown: bool = False
    # The old primary works. It is demoted only once all replicas are paused,
    # and until then the attempt may end without effect.
    is_optional: bool = False
    is_demotion_sent: bool = False
    # Time since which the leaving primary is being demoted because a member
    # that may confirm its writes does not reply.
    demoting_since_ms: int | None = None
    # The old primary responds, but gets no writes confirmed or has been
    # replaced.
    unconfirmed: bool = False
    # Only send status queries, without pausing any member, to find out
    # whether another upstream could be promoted.
    is_query_only: bool = False
    reports: dict[str, statements.StatusReport] = dataclasses.field(
        default_factory=dict
    )
    asked_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    reported_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    # When the condition that caused the attempt started.
    since_ms: int = 0
    # Term for which the other owners of the group were fenced.
    fenced_term: int = 0
    # Members that report leading an older term; they are demoted first.
    stale_primaries: set[str] = dataclasses.field(default_factory=set)
    # Members whose first reply to a pause has been logged.
    logged_paused: set[str] = dataclasses.field(default_factory=set)
    is_reading_list: bool = False
    # When the list of upstreams was last read during this attempt.
    list_read_ms: int | None = None
    # When the other proxies were queried for what they acknowledged, and what
    # they have reported.
    acknowledgements_queried_ms: int | None = None
    acknowledgements: messages.AcknowledgementsReported | None = None
    acknowledgements_ms: int = 0
    chosen: str = ''
    # Where the chosen upstream's log ended when it was chosen.
    chosen_position: log_positions.LogPosition = log_positions.ORIGIN
    ordered_ms: int = 0
    # Lower bound on the term that the order begins. `term` may exceed it once
    # members report that term.
    ordered_term: int = 0
    # The successor or chosen upstream is no longer listed, or was recreated.
    successor_gone: bool = False
    # An order was sent and has not been answered yet.
    is_order_pending: bool = False
    # An order of it was withheld.
    is_withheld: bool = False
    # The chosen upstream may receive more before it leads.
    is_choice_receiving: bool = False
    # It was logged that an order for another upstream is outstanding.
    is_wait_logged: bool = False
    accepted: bool = False
    # When a member first reported the term that the accepted order begins.
    term_begun_ms: int | None = None


def exempt_primary(state: states.GroupState) -> str:
    """Return the primary whose own log need not be known, if there is one.

    It is the primary of the newest term: it confirmed no writes of others, so
    its own entries are held by another member or not acknowledged. An upstream
    that only the list names, after another has proved to lead, may be one that
    was replaced and confirms the writes of its successor. If a successor led
    and is gone, its writes are not in the log of the one before. If it was
    only ordered, the one before is a candidate as soon as it has reported.
    """
    attempt = state.promotion
    has_reported = (
        attempt is not None and state.last_primary in attempt.reports
    )
    if state.successor_gone and (state.successor_led or has_reported):
        return ''
    if _is_deposed_by_another(state):
        return ''
    if state.proven_primary in ('', state.last_primary):
        return state.last_primary
    return ''


def _is_deposed_by_another(state: states.GroupState) -> bool:
    """Return whether the last primary does not lead, and not by our demotion.

    Another proxy may have demoted it for a successor that was not seen here,
    also during the attempt while an earlier order may still be carried out.
    What a later instance of its name answers says nothing of it.
    """
    last = state.upstreams.get(state.last_primary)
    if last is None or last.refuted_ms is None:
        return False
    if failure_detection.is_recreated(state, last.name):
        return False
    attempt = state.promotion
    is_own = (
        attempt is not None
        and not state.needs_fencing
        and attempt.old_primary == last.name
        and last.refuted_ms >= attempt.began_ms
    )
    return not is_own


def required_members(state: states.GroupState, attempt: Attempt) -> list[str]:
    """Return the members that must report before a new primary is chosen.

    Once it is chosen, these are the other members, which stay paused until it
    leads. A leaving primary that was demoted itself reports what its successor
    has to hold, so only these two are needed then.
    """
    if attempt.demoting_since_ms is not None and not attempt.chosen:
        names = (attempt.old_primary, attempt.successor)
        return [name for name in names if name in state.upstreams]
    return [
        name
        for name in state.upstreams
        if (name != _exempt_old_primary(state, attempt) or attempt.unconfirmed)
        and name != attempt.chosen
    ]


def _exempt_old_primary(state: states.GroupState, attempt: Attempt) -> str:
    """Return the primary to replace if its log need not be known."""
    exempt = exempt_primary(state)
    return exempt if exempt == attempt.old_primary else ''


def is_demotion_due(
    state: states.GroupState, now_ms: int, attempt: Attempt
) -> bool:
    """Return whether a working primary may be demoted: all others wait."""
    return all(
        has_fresh_report(attempt, now_ms, name)
        for name in required_members(state, attempt)
        if name != attempt.old_primary
    )


def members_to_query(state: states.GroupState, attempt: Attempt) -> list[str]:
    """Return the members to query.

    These are the required members and a lost primary that was recreated: it
    is a replica like any other and may be chosen, but its report is not
    awaited because its start may take seconds.
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
    """Record a member's status report."""
    attempt.reports[name] = report
    attempt.reported_ms[name] = now_ms
    if name != attempt.successor:
        # It is queried again as soon as this report has expired.
        attempt.asked_ms.pop(name, None)


def forget_report(attempt: Attempt, name: str) -> None:
    """Discard the report of a member, so that it is queried again."""
    attempt.reported_ms.pop(name, None)
    attempt.asked_ms.pop(name, None)


def forget_member(attempt: Attempt, name: str) -> None:
    """Discard the reports of a member that was removed or recreated."""
    attempt.reports.pop(name, None)
    forget_report(attempt, name)
    attempt.stale_primaries.discard(name)
    if name in (attempt.successor, attempt.chosen):
        attempt.successor_gone = True


def forget_reports(attempt: Attempt) -> None:
    """Discard all reports, so that all members are queried again."""
    attempt.reports.clear()
    attempt.reported_ms.clear()
    attempt.asked_ms.clear()


def raise_term(state: states.GroupState, attempt: Attempt) -> None:
    """Raise an attempt's term above one that a member has seen.

    The members are not paused for it, and the other proxies are not fenced
    for it, so what either reported for the lower term is discarded.
    """
    attempt.term = state.term + 1
    forget_reports(attempt)
    attempt.acknowledgements = None


def awaits_leader(attempt: Attempt, now_ms: int, term: int) -> bool:
    """Return whether the chosen upstream probably leads a term that began.

    It is searched for, which takes a few ms if it can be reached. Pausing a
    member for a later term, which nobody was ordered for, would only be undone
    by a resume.
    """
    if not attempt.accepted or term < attempt.ordered_term:
        return False
    if attempt.term_begun_ms is None:
        attempt.term_begun_ms = now_ms
    return now_ms - attempt.term_begun_ms < LEADER_SEARCH_MS


def has_fresh_report(attempt: Attempt, now_ms: int, name: str) -> bool:
    """Return whether a member's report is recent enough to count."""
    reported_ms = attempt.reported_ms.get(name)
    return (
        reported_ms is not None and now_ms - reported_ms <= REPORT_MAX_AGE_MS
    )


def paused_log_end(
    state: states.GroupState, attempt: Attempt, now_ms: int, name: str
) -> log_positions.LogPosition | None:
    """Return where a paused member's log ends.

    Return None if that is unknown: the successor keeps receiving, a query-only
    attempt pauses no members, and an earlier order may have made it lead.
    """
    if attempt.is_query_only or name == attempt.successor:
        return None
    if state.needs_fencing:
        return None
    if not has_fresh_report(attempt, now_ms, name):
        return None
    return attempt.reports[name].received


def has_fresh_list(attempt: Attempt, now_ms: int) -> bool:
    """Return whether all members that may confirm a write are known.

    That is so if the list of upstreams was read recently enough.
    """
    read_ms = attempt.list_read_ms
    return read_ms is not None and now_ms - read_ms <= LIST_MAX_AGE_MS


def has_receiving_replica(
    state: states.GroupState, now_ms: int, attempt: Attempt
) -> bool:
    """Return whether a replica holds what the primary held shortly before.

    If so, writes are being confirmed and only replies are missing: a reply
    was lost, or replicas apply late what they receive immediately.
    """
    earlier = freshness.position_at(
        state, now_ms - failure_detection.REPLICATION_STALLED_MS
    )
    if earlier is None:
        return False
    return any(
        report.received >= earlier
        for name, report in attempt.reports.items()
        if name != attempt.old_primary
    )


def is_blocked(
    state: states.GroupState, now_ms: int, attempt: Attempt
) -> bool:
    """Return whether only silent or departed members block the hand-over."""
    if not has_fresh_report(attempt, now_ms, attempt.successor):
        return False
    position = attempt.reports[attempt.successor].received
    reporting, silent = _split_by_report(state, now_ms, attempt)
    is_doubtful = may_lose_pause(state, now_ms, attempt, attempt.successor)
    is_complete = _is_complete(state, attempt, position)
    if not silent and is_complete and not is_doubtful:
        return False
    return all(
        position >= attempt.reports[name].received for name in reporting
    )


def _split_by_report(
    state: states.GroupState, now_ms: int, attempt: Attempt
) -> tuple[list[str], list[str]]:
    """Return the required members with and without a fresh report."""
    required = required_members(state, attempt)
    reporting = [
        name for name in required if has_fresh_report(attempt, now_ms, name)
    ]
    return reporting, [name for name in required if name not in reporting]


def choose_primary(
    state: states.GroupState, now_ms: int, attempt: Attempt
) -> str:
    """Return the upstream that can be promoted without losing writes.

    Return an empty string if there is none.
    """
    reporting, silent = _split_by_report(state, now_ms, attempt)
    if not reporting or silent:
        return ''
    lost = _exempt_old_primary(state, attempt)
    if failure_detection.is_recreated(state, lost):
        if lost not in reporting and has_fresh_report(attempt, now_ms, lost):
            reporting.append(lost)
        lost = ''
    positions = {name: attempt.reports[name].received for name in reporting}
    if attempt.demoting_since_ms is not None:
        is_caught_up = positions.get(
            attempt.successor, log_positions.ORIGIN
        ) >= max(positions.values())
        return attempt.successor if is_caught_up else ''
    if attempt.successor:
        position = positions[attempt.successor]
        is_caught_up = position >= max(
            positions.values()
        ) and _holds_known_writes(state, position)
        is_complete = _is_complete(
            state, attempt, position
        ) and not may_lose_pause(state, now_ms, attempt, attempt.successor)
        return attempt.successor if is_caught_up and is_complete else ''
    others = {name: positions[name] for name in reporting if name != lost}
    highest = max(others.values(), default=log_positions.ORIGIN)
    if not others or not _holds_acknowledged(state, attempt, highest):
        # Its writes hang, so that its log holds all acknowledged ones.
        holds_all = attempt.unconfirmed and not state.successor_gone
        return attempt.old_primary if holds_all else ''
    eligible = [name for name in others if others[name] == highest]
    chosen = _prefer(state, now_ms, attempt, eligible)
    is_excluded = not may_lose_pause(state, now_ms, attempt, chosen) or (
        acknowledgement_fence.holds_reported(
            state, attempt.acknowledgements, highest
        )
    )
    return chosen if is_excluded else ''


def _prefer(
    state: states.GroupState,
    now_ms: int,
    attempt: Attempt,
    eligible: list[str],
) -> str:
    """Return which of the members with the longest log is to lead.

    One that may receive again at any time is chosen before others: nothing is
    lost by what it receives itself.
    """
    doubtful = outstanding_resumes.doubtful_members(state, now_ms)
    return min(
        eligible,
        key=lambda name: (
            not outstanding_orders.is_outstanding(state, now_ms, name),
            name not in doubtful,
            state.upstreams[name].leaving,
            name == attempt.old_primary,
            states.is_closed_by_operator(state, now_ms, name),
            name,
        ),
    )


def may_lose_pause(
    state: states.GroupState, now_ms: int, attempt: Attempt, chosen: str
) -> bool:
    """Return whether a late resume may have a member confirm writes.

    A primary that was demoted in the attempt gets none confirmed.
    """
    if attempt.unconfirmed and attempt.old_primary in attempt.reports:
        return False
    doubtful = outstanding_resumes.doubtful_members(state, now_ms)
    lost = _exempt_old_primary(state, attempt)
    return any(
        name in doubtful and name not in (chosen, lost)
        for name in required_members(state, attempt)
    )


def _holds_acknowledged(
    state: states.GroupState,
    attempt: Attempt,
    position: log_positions.LogPosition,
) -> bool:
    """Return whether a log surely holds all acknowledged writes.

    What the members show is an upper estimate: writes that were in a log for a
    while may hang and not be acknowledged. What all proxies report is exact.
    """
    if acknowledgement_fence.covers(state, attempt.acknowledgements, position):
        return True
    return (
        _is_complete(state, attempt, position)
        and position >= _min_position(state, attempt)
        and not _may_hold_exclusively(state, attempt, position)
    )


def _holds_known_writes(
    state: states.GroupState, position: log_positions.LogPosition
) -> bool:
    """Return whether a log reaches what a leaving primary is known to hold.

    Reaching the logs of the paused replicas is not enough until they have
    followed the leaving primary.
    """
    start = state.primary_start
    if start.upstream == state.primary and position < start.place:
        return False
    return position >= state.acknowledged


def _is_complete(
    state: states.GroupState,
    attempt: Attempt,
    position: log_positions.LogPosition,
) -> bool:
    """Return whether no departed member can have confirmed a later position.

    The log of the newest term's primary holds all acknowledged writes, so a
    log that reaches its end is complete, whichever members departed. If no
    primary was heard, all recorded members have to be asked, and if none was
    seen, all proxies too.
    """
    primary = exempt_primary(state)
    report = attempt.reports.get(primary)
    is_same = not failure_detection.is_recreated(state, primary)
    if report is not None and is_same and _led_newest_term(state):
        if position >= report.received:
            return True
    is_hand_over = bool(attempt.successor)
    reported = attempt.acknowledgements
    if state.departed_members.may_exceed(position, primary, is_hand_over):
        return acknowledgement_fence.covers(state, reported, position)
    if not member_record.has_heard_no_primary(state):
        return True
    if member_record.is_any_missing(state):
        return acknowledgement_fence.covers(state, reported, position)
    if member_record.has_seen_no_primary(state):
        return acknowledgement_fence.holds_reported(state, reported, position)
    return True


def _led_newest_term(state: states.GroupState) -> bool:
    """Return whether no term after that of the last primary has been seen.

    Another upstream may have led a newer term and ended.
    """
    return not state.proven_primary or state.proven_term >= state.term


def awaits_acknowledgements(attempt: Attempt, now_ms: int) -> bool:
    """Return whether other proxies may still report, or have just done so.

    The reports of the members have expired by then, and are requested again.
    """
    queried_ms = attempt.acknowledgements_queried_ms
    if queried_ms is None:
        return False
    if attempt.acknowledgements is None:
        return now_ms - queried_ms < ACKNOWLEDGEMENTS_TIMEOUT_MS
    return now_ms - attempt.acknowledgements_ms < CONCLUSION_MS


def position_to_verify(
    state: states.GroupState, now_ms: int, attempt: Attempt
) -> log_positions.LogPosition | None:
    """Return the longest log if what others may hold prevents its choice.

    A hand-over is not concerned: its primary reports what they may hold.
    """
    if attempt.chosen or attempt.successor:
        return None
    reporting, silent = _split_by_report(state, now_ms, attempt)
    if not reporting or silent:
        return None
    lost = _exempt_old_primary(state, attempt)
    longest = max(
        (attempt.reports[n].received for n in reporting if n != lost),
        default=log_positions.ORIGIN,
    )
    if not _holds_acknowledged(state, attempt, longest):
        return longest
    eligible = [
        name
        for name in reporting
        if name != lost and attempt.reports[name].received == longest
    ]
    if not eligible:
        return None
    chosen = _prefer(state, now_ms, attempt, eligible)
    is_excluded = not may_lose_pause(state, now_ms, attempt, chosen)
    return None if is_excluded else longest


def _may_hold_exclusively(
    state: states.GroupState,
    attempt: Attempt,
    highest: log_positions.LogPosition,
) -> bool:
    """Return whether only a demoted primary may hold its initial entries.

    Entries that it holds beyond the other members were never confirmed to
    it. But before its term it may have confirmed some of them to the
    previous primary. A member that holds an entry of the demoted primary's
    term holds everything that the term started with.
    """
    report = attempt.reports.get(attempt.old_primary)
    if report is None or highest >= report.received:
        return False
    start = state.primary_start
    if start.upstream == attempt.old_primary and highest >= start.place:
        return False
    return highest.log_term < report.term


def _min_position(
    state: states.GroupState, attempt: Attempt
) -> log_positions.LogPosition:
    """Return the log position that the new primary must at least hold."""
    minimum = state.acknowledged
    old_primary = state.upstreams.get(attempt.old_primary)
    if attempt.unconfirmed or old_primary is None:
        return minimum
    acknowledged_ms = old_primary.last_received_ms - ASSUME_ACKNOWLEDGED_MS
    for sample in state.samples:
        if sample.sent_ms <= acknowledged_ms:
            minimum = max(minimum, sample.place)
    return minimum
