"""Bound the staleness of reads without comparing clocks.

A sample is the log position that the primary reported in its reply to a
leadership check, together with the time at which this proxy sent the check.
All writes acknowledged before that time are at or before the position, once
it is proved that no other upstream led then; the proof is needed because a
replaced primary that is cut off still answers leadership checks. A replica
that has applied the position of a sample is fresh enough for a read if the
check was sent at most the allowed staleness before the read arrived.
"""

import bisect
import operator

from topazring.core import log_positions
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = [
    'add_sample',
    'complete_until_ms',
    'discard_samples',
    'newest_sample_ms',
    'position_at',
    'required_place',
]

# Samples older than the longest staleness in use are of no use, except the
# newest of them while there is no younger sample.
SAMPLE_RETENTION_MS = 10_000
# Samples closer together than this do not improve the choice of a position.
SAMPLE_SPACING_MS = 50
# Interval of the samples that are kept for longer.
HISTORY_SPACING_MS = 1000

_sent_ms = operator.attrgetter('sent_ms')


def add_sample(state: states.GroupState, sample: log_positions.Sample) -> None:
    """Add a sample unless its position is behind that of the newest one.

    Replies arrive on several connections and can overtake each other.
    """
    for departed in (state.departed_members, state.member_record.unlisted):
        departed.record_primary_place(sample.sent_ms, sample.place)
    _add_to_history(state, sample)
    samples = state.samples
    if samples and sample.place < samples[-1].place:
        return
    if samples and sample.sent_ms - samples[-1].sent_ms < SAMPLE_SPACING_MS:
        return
    samples.append(sample)
    while samples[0].sent_ms < sample.sent_ms - SAMPLE_RETENTION_MS:
        samples.popleft()


def _add_to_history(
    state: states.GroupState, sample: log_positions.Sample
) -> None:
    history = state.position_history
    if history:
        newest = history[-1]
        if sample.place < newest.place:
            return
        if sample.sent_ms - newest.sent_ms < HISTORY_SPACING_MS:
            return
    history.append(sample)


def complete_until_ms(
    state: states.GroupState, position: log_positions.LogPosition
) -> int | None:
    """Return a time before which all acknowledged writes are in a log.

    `position` is the end of the log. None if no such time is known.
    """
    known_ms = [
        sample.sent_ms
        for samples in (state.position_history, state.samples)
        for sample in samples
        if sample.place <= position
    ]
    return max(known_ms, default=None)


def newest_sample_ms(state: states.GroupState) -> int | None:
    """Return the time at which the newest sample's check was sent, if any."""
    return state.samples[-1].sent_ms if state.samples else None


def position_at(
    state: states.GroupState, at_ms: int
) -> log_positions.LogPosition | None:
    """Return a position that the current primary's log had by a given time.

    Samples from before its leadership was proved are ignored: an earlier
    primary's log may have had a tail that was truncated.
    """
    for sample in reversed(state.samples):
        if sample.sent_ms < state.proven_ms:
            return None
        if sample.sent_ms <= at_ms:
            return sample.place
    return None


def discard_samples(state: states.GroupState) -> None:
    """Discard all samples after a process pause or a group restart."""
    state.samples.clear()
    state.pending_samples.clear()


def required_place(
    state: states.GroupState, request: messages.Request
) -> log_positions.LogPosition | None:
    """Return the log position that a replica must have applied for a read.

    None means that only the primary may serve the read. Of the samples that
    are recent enough the oldest is used, as it requires least of the replica.
    """
    policy = request.policy
    if policy.freshness is messages.Freshness.PRIMARY:
        return None
    oldest_ms = request.arrived_ms - policy.max_staleness_ms
    # Binary search: ten seconds of writes leave two hundred samples.
    first = bisect.bisect_left(state.samples, oldest_ms, key=_sent_ms)
    if first == len(state.samples):
        return None
    sample = state.samples[first]
    if policy.freshness is messages.Freshness.SESSION:
        return max(sample.place, request.session_place)
    return sample.place
