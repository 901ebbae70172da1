"""Bound the age of what a read sees, without comparing clocks.

A sample is the place at which the primary's log stood in the answer to a
guard, bound to our time of sending. All that was acknowledged before that
time is at or before the place, once it is proved that nobody else led then:
a replaced primary that is cut off goes on answering guards. A replica that
holds the place of a sample taken at most the allowed staleness before a read
arrived is fresh enough for it.
"""

import bisect
import operator

from topazring.core import log_positions
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states

__all__ = [
    'add_sample',
    'discard_samples',
    'newest_sample_ms',
    'position_at',
    'required_place',
]

# Beyond the longest staleness in use a sample is worth nothing, except the
# newest of those, which nothing younger replaces.
SAMPLE_RETENTION_MS = 10_000
# Samples closer together than this add nothing to the choice of a place.
SAMPLE_SPACING_MS = 50

_sent_ms = operator.attrgetter('sent_ms')


def add_sample(state: states.GroupState, sample: log_positions.Sample) -> None:
    """Take in a sample; one with a place behind a known one is dropped.

    Answers come on several connections and can overtake each other.
    """
    state.departed_members.record_primary_place(sample.sent_ms, sample.place)
    samples = state.samples
    if samples and sample.place < samples[-1].place:
        return
    if samples and sample.sent_ms - samples[-1].sent_ms < SAMPLE_SPACING_MS:
        return
    samples.append(sample)
    while samples[0].sent_ms < sample.sent_ms - SAMPLE_RETENTION_MS:
        samples.popleft()


def newest_sample_ms(state: states.GroupState) -> int | None:
    """Return when the newest sample was sent."""
    return state.samples[-1].sent_ms if state.samples else None


def position_at(
    state: states.GroupState, at_ms: int
) -> log_positions.LogPosition | None:
    """Return where the present primary's log stood at a time.

    An earlier primary's log may have had a tail that was cut back.
    """
    for sample in reversed(state.samples):
        if sample.sent_ms < state.proven_ms:
            return None
        if sample.sent_ms <= at_ms:
            return sample.place
    return None


def discard_samples(state: states.GroupState) -> None:
    """Trust no age: this process stood still, or its group began anew."""
    state.samples.clear()
    state.pending_samples.clear()


def required_place(
    state: states.GroupState, request: messages.Request
) -> log_positions.LogPosition | None:
    """Return the place that a replica has to hold, None if none will do.

    The oldest sample that is young enough asks least of the replica.
    """
    policy = request.policy
    if policy.freshness is messages.Freshness.PRIMARY:
        return None
    oldest_ms = request.arrived_ms - policy.max_staleness_ms
    # Ten seconds of writes leave two hundred samples.
    first = bisect.bisect_left(state.samples, oldest_ms, key=_sent_ms)
    if first == len(state.samples):
        return None
    sample = state.samples[first]
    if policy.freshness is messages.Freshness.SESSION:
        return max(sample.place, request.session_place)
    return sample.place
