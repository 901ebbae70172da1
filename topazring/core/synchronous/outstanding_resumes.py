"""Track the resumes that members may still obey.

A resume carries no term, so it also ends a later pause, whoever sent that. One
without an answer may be obeyed at any time until its member has ended, also
after another one was answered on another connection. Meanwhile a pause of that
member excludes nothing: it may confirm writes that the ordered upstream lacks.
So it is chosen itself, if its log allows that, or nobody is ordered before all
proxies have stopped acknowledging writes.

The members are recorded in the store before they are resumed, so the next
lease holder knows of them. While the store is away they stay paused. If writes
hang for that, one of them is promoted, which ends the pauses.
"""

from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = [
    'doubtful_members',
    'expire',
    'handle_recorded',
    'may_be_resumed',
    'note_answered',
    'note_earlier',
    'note_ended',
    'note_sent',
    'record',
]

# In place of the number of a connection.
_OF_EARLIER_HOLDER = 0
# The record is requested again after this long.
RECORD_RETRY_MS = 500


def note_sent(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> None:
    """Record that a resume is sent on a connection."""
    key = (connection.upstream, connection.number)
    state.outstanding_resumes[key] = now_ms + state.limits.late_order_ms


def note_answered(
    state: states.GroupState, connection: states.Connection
) -> None:
    """Record that the resume on a connection was obeyed."""
    key = (connection.upstream, connection.number)
    state.outstanding_resumes.pop(key, None)


def note_earlier(
    state: states.GroupState, now_ms: int, message: messages.PromotionLeaseSeen
) -> None:
    """Record the members that earlier lease holders may have resumed."""
    until_ms = now_ms + state.limits.late_order_ms
    for upstream in message.resumed:
        key = (upstream, _OF_EARLIER_HOLDER)
        state.outstanding_resumes[key] = until_ms
    state.recorded_resumes = message.resumed
    state.wanted_resumes = message.resumed


def note_ended(state: states.GroupState, upstream: str) -> None:
    """Record that a member has ended, and what it was sent with it."""
    for key in list(state.outstanding_resumes):
        if key[0] == upstream:
            del state.outstanding_resumes[key]


def doubtful_members(state: states.GroupState, now_ms: int) -> frozenset[str]:
    """Return the members whose pause a resume may end at any time."""
    return frozenset(
        upstream
        for (upstream, _), until_ms in state.outstanding_resumes.items()
        if now_ms < until_ms
    )


def may_be_resumed(state: states.GroupState) -> set[str]:
    """Return the paused members that the record names."""
    return state.paused & state.recorded_resumes


def record(state: states.GroupState, now_ms: int) -> list:
    """Record all paused members, if the record does not name them."""
    missing = state.paused - {state.primary} - state.recorded_resumes
    if not missing:
        return []
    if now_ms - state.resumes_record_sent_ms < RECORD_RETRY_MS:
        return []
    state.resumes_record_sent_ms = now_ms
    state.wanted_resumes = state.recorded_resumes | missing
    return [messages.RecordResumes(state.wanted_resumes)]


def handle_recorded(
    state: states.GroupState, message: messages.ResumesRecorded
) -> None:
    """Note which members may be resumed."""
    state.resumes_record_sent_ms = states.NEVER_MS
    state.recorded_resumes |= message.upstreams & state.wanted_resumes


def expire(state: states.GroupState, now_ms: int) -> list:
    """Drop the resumes that are over; report a change to the record."""
    if not state.holds_promotion_lease or state.promotion is not None:
        return []
    doubtful = doubtful_members(state, now_ms)
    for key, until_ms in list(state.outstanding_resumes.items()):
        if now_ms >= until_ms:
            del state.outstanding_resumes[key]
    left = state.wanted_resumes & (doubtful | state.paused)
    if left == state.wanted_resumes:
        return []
    state.wanted_resumes = left
    state.recorded_resumes &= left
    return [messages.RecordResumes(left)]
