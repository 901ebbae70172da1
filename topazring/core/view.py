"""An owner's view of a database group."""

import collections
import dataclasses

from topazring.core import log_positions
from topazring.core import messages

__all__ = [
    'GroupView',
    'UpstreamView',
    'add_sample',
    'make_view',
    'majority',
    'apply_status',
    'staleness_position',
]

MAX_SAMPLES = 512


@dataclasses.dataclass(slots=True)
class UpstreamView:
    """Last status received from an upstream."""

    name: str
    accepted_term: int = 0
    leads: bool = False
    place: log_positions.LogPosition = log_positions.ORIGIN
    seen_ms: int | None = None
    primary_silent_ms: int = 0
    # When it changed to its term, if it was seen under an earlier one.
    term_since_ms: int | None = None
    # Moving average of the time this replica takes to reach a position.
    lag_ms: float = 0.0
    # The sample whose arrival at this replica is being measured.
    lag_sample: log_positions.Sample | None = None


@dataclasses.dataclass(slots=True)
class GroupView:
    """State of the group as seen by one owner; it may be stale."""

    upstreams: dict[str, UpstreamView]
    term: int = 0
    primary: str = ''
    committed: log_positions.LogPosition = log_positions.ORIGIN
    samples: collections.deque[log_positions.Sample] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    # When the term or the primary last changed. Initially, when the first
    # status was received.
    changed_ms: int | None = None


def make_view(names: list[str]) -> GroupView:
    """Return the initial view of a group."""
    return GroupView({name: UpstreamView(name) for name in names})


def majority(view: GroupView) -> int:
    """Return how many upstreams make a majority of the group."""
    return log_positions.majority_of(len(view.upstreams))


def apply_status(
    view: GroupView, now_ms: int, status: messages.Status
) -> bool:
    """Apply a status; return whether the term or the primary changed."""
    seen = view.upstreams.get(status.upstream)
    if seen is None or status.accepted_term < seen.accepted_term:
        return False
    if seen.seen_ms is not None and status.accepted_term > seen.accepted_term:
        seen.term_since_ms = now_ms
    seen.accepted_term = status.accepted_term
    seen.leads = status.leads
    seen.place = status.place
    seen.seen_ms = now_ms
    seen.primary_silent_ms = _silence_of_term(seen, now_ms, status)
    _measure_lag(seen, now_ms)
    changed = False
    if view.changed_ms is None:
        view.changed_ms = now_ms
    if status.accepted_term > view.term:
        view.term = status.accepted_term
        view.primary = ''
        view.changed_ms = now_ms
        changed = True
    leads_now = status.leads and status.accepted_term == view.term
    if leads_now and view.primary != status.upstream:
        view.primary = status.upstream
        view.changed_ms = now_ms
        changed = True
    return changed


def _silence_of_term(
    seen: UpstreamView, now_ms: int, status: messages.Status
) -> int:
    """Return the time without contact to the primary of the replica's term.

    The replica reports the time without contact to any primary. Without this
    limit, a primary promoted after a second without one would be suspected
    at once.
    """
    if seen.term_since_ms is None:
        return status.primary_silent_ms
    return min(status.primary_silent_ms, now_ms - seen.term_since_ms)


def _measure_lag(seen: UpstreamView, now_ms: int) -> None:
    if seen.lag_sample is None or seen.place < seen.lag_sample.place:
        return
    measured = now_ms - seen.lag_sample.sent_ms
    seen.lag_ms += (measured - seen.lag_ms) * 0.3
    seen.lag_sample = None


def add_sample(view: GroupView, sample: log_positions.Sample) -> None:
    """Add a sample whose term a majority confirmed after it was sent.

    Samples can be confirmed out of order; one older than the last confirmed
    sample adds no information and is dropped.
    """
    if view.samples and sample.sent_ms <= view.samples[-1].sent_ms:
        return
    view.samples.append(sample)
    for seen in view.upstreams.values():
        if seen.lag_sample is None and seen.name != view.primary:
            seen.lag_sample = sample


def staleness_position(
    view: GroupView, now_ms: int, max_staleness_ms: int
) -> log_positions.LogPosition | None:
    """Return the position that a replica needs for this staleness bound.

    None means that no sample is recent enough. The staleness of every replica
    is then unknown and must not be taken for zero.
    """
    oldest_ms = now_ms - max_staleness_ms
    found = None
    for sample in reversed(view.samples):
        if sample.sent_ms < oldest_ms:
            break
        found = sample.place
    return found
