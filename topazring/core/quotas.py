"""Limit the operations of an organisation over all proxies.

For each organisation one proxy, its limiter, grants permits from token
buckets; a second one, its standby, takes over half of the rate if the two lose
contact. Both are the first of its keepers, which follow from the list of
proxies by rendezvous hashing. Neither can tell whether the other one has ended
or is partitioned from it, so neither uses more than its half until they are in
contact again. What keepers grant without contact comes out of the overrun that
operators accept, and so does the initial content of a bucket: a restart brings
no new burst. A part of the overrun enlarges the buckets, so that operations of
a small organisation that happen to come together are not refused.

Two token buckets together allow what the quota allows in any window, at once
or evenly: the burst and then the rate, or all of a window's operations spread
over it. Each permit is taken from both, and either may grant it, so the last
permit of a window bounds all of them by the bucket that granted it.

The limiter uses the full rate for a fixed time after it sent a query that the
standby answered. The standby starts to use its half when that time has passed
since it last answered. A limiter that shuts down releases its right, and the
standby uses the full rate until the limiter's next process asks it.
"""

import collections.abc
import dataclasses
import enum
import math

from topazring.core import hashing
from topazring.core import organisations

__all__ = [
    'Authority',
    'CONTACT_MS',
    'Counter',
    'Overrun',
    'authority',
    'grant',
    'keepers_of',
]

NEVER_MS = -(10**9)
# How long a limiter may use the full rate after a query that its standby
# answered. A shorter time would halve the rate whenever a process is paused.
CONTACT_MS = 600
# Shares of the accepted overrun that the keeper of each rank may grant at once
# without contact, and again per window. A side of a partition that reaches
# neither limiter nor standby asks the first of the others that it reaches.
RESERVE_SHARES = (0.05, 0.05, 0.09, 0.055, 0.035, 0.025)
MAX_KEEPERS = len(RESERVE_SHARES)
# Shares of the accepted overrun: what the bucket of the burst holds beyond it,
# what the other one holds and gets in a window, and what both start with.
BURST_SHARE = 0.18
STEADY_SHARE = 0.05
STEADY_RATE_SHARE = 0.13
INITIAL_SHARE = 0.1
# A proxy that starts sees the others within this time.
ALONE_AFTER_MS = 3000
# Retry delay where no permit becomes due, as the quota is zero.
NO_PERMIT_RETRY_MS = 1000
# Longest retry delay of a keeper that may soon be in contact again.
CONTACT_RETRY_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Overrun:
    """Hold by how much operators accept that a quota is exceeded."""

    window_ms: int = 5000
    # Share of the operations that the quota allows in a window.
    share: float = 0.1
    operations: float = 20.0


class Authority(enum.StrEnum):
    """Name how much of a quota a proxy may grant."""

    FULL = 'full'
    HALF = 'half'
    OVERRUN = 'overrun'
    NONE = 'none'


@dataclasses.dataclass(slots=True)
class Bucket:
    """Hold the tokens of a token bucket."""

    tokens: float
    updated_ms: int
    # Until then it only counts what others grant.
    grants_from_ms: int = NEVER_MS


@dataclasses.dataclass(slots=True)
class Counter:
    """Hold what a proxy has granted to one organisation."""

    created_ms: int
    # The burst and then the rate, or a window's operations spread over it.
    burst: Bucket | None = None
    steady: Bucket | None = None
    # What it grants without contact.
    reserve: Bucket | None = None
    # As the limiter: when it sent the last query that the standby answered.
    contact_ms: int = NEVER_MS
    # As the standby: when it last answered the limiter.
    answered_ms: int = NEVER_MS
    # Whether the limiter has ended for good what it may grant.
    is_released: bool = False
    used_ms: int = NEVER_MS


def keepers_of(
    organisation: str, proxies: collections.abc.Iterable[str]
) -> tuple[str, ...]:
    """Return the proxies that may grant permits, the limiter first."""
    return hashing.first_by_score(organisation, proxies, MAX_KEEPERS)


def authority(
    counter: Counter, now_ms: int, rank: int | None, keepers: int
) -> Authority:
    """Return how much of the quota the keeper of a rank may grant."""
    if rank is None:
        return Authority.NONE
    if keepers == 1:
        is_settled = now_ms - counter.created_ms >= ALONE_AFTER_MS
        return Authority.FULL if is_settled else Authority.OVERRUN
    if rank > 1:
        return Authority.OVERRUN
    if rank == 1 and counter.is_released:
        return Authority.FULL
    heard_ms = counter.contact_ms if rank == 0 else counter.answered_ms
    if heard_ms == NEVER_MS:
        return Authority.OVERRUN
    if now_ms - heard_ms >= CONTACT_MS:
        return Authority.HALF
    return Authority.FULL if rank == 0 else Authority.OVERRUN


def grant(
    counter: Counter,
    now_ms: int,
    quota: organisations.Quota,
    overrun: Overrun,
    held: Authority,
    rank: int | None,
    wanted: int = 1,
) -> tuple[int, int]:
    """Take permits for up to `wanted` operations from the keeper of a rank.

    Return how many were granted, and if none was, after how many ms one is
    due.
    """
    counter.used_ms = now_ms
    if held is Authority.NONE or rank is None:
        return 0, CONTACT_RETRY_MS
    if quota.rate_per_s <= 0 and quota.burst <= 0:
        return 0, NO_PERMIT_RETRY_MS
    buckets = _fill_buckets(counter, now_ms, quota, overrun, held, rank)
    granting = [(b, rate) for b, rate in buckets if b.grants_from_ms <= now_ms]
    granted = min(wanted, max(0, *(int(b.tokens) for b, _ in granting)))
    for bucket, _ in buckets:
        bucket.tokens -= granted
    if granted:
        return granted, 0
    wait_ms = min(_wait_ms(bucket, rate) for bucket, rate in granting)
    if held is not Authority.FULL:
        wait_ms = min(wait_ms, CONTACT_RETRY_MS)
    return 0, wait_ms


def _fill_buckets(
    counter: Counter,
    now_ms: int,
    quota: organisations.Quota,
    overrun: Overrun,
    held: Authority,
    rank: int,
) -> list[tuple[Bucket, float]]:
    """Return the buckets in use, with their rates per second."""
    window_s = overrun.window_ms / 1000
    in_window = quota.rate_per_s * window_s + quota.burst
    accepted = in_window * overrun.share + overrun.operations
    if held is not Authority.FULL:
        # It does not count what other keepers grant meanwhile.
        counter.steady = None
    if held is Authority.OVERRUN:
        part = accepted * RESERVE_SHARES[rank]
        counter.reserve = counter.reserve or Bucket(part, now_ms)
        _fill(counter.reserve, now_ms, part / window_s, part)
        return [(counter.reserve, part / window_s)]
    initial = accepted * INITIAL_SHARE
    counter.burst = counter.burst or Bucket(initial, now_ms)
    burst_size = quota.burst + accepted * BURST_SHARE
    if held is Authority.HALF:
        rate_per_s = quota.rate_per_s / 2
        _fill(counter.burst, now_ms, rate_per_s, burst_size / 2)
        return [(counter.burst, rate_per_s)]
    if counter.steady is None:
        # Earlier bursts, of this keeper or another one, are not counted in it.
        first_ms = now_ms + overrun.window_ms
        counter.steady = Bucket(0.0, now_ms, grants_from_ms=first_ms)
    steady_per_s = (in_window + accepted * STEADY_RATE_SHARE) / window_s
    _fill(counter.burst, now_ms, quota.rate_per_s, burst_size)
    _fill(counter.steady, now_ms, steady_per_s, accepted * STEADY_SHARE)
    return [(counter.burst, quota.rate_per_s), (counter.steady, steady_per_s)]


def _fill(bucket: Bucket, now_ms: int, rate_per_s: float, size: float) -> None:
    # A bucket that holds less than one token would never grant a permit.
    size = max(1.0, size) if rate_per_s > 0 else size
    passed_ms = max(0, now_ms - bucket.updated_ms)
    bucket.tokens = min(size, bucket.tokens + rate_per_s * passed_ms / 1000)
    bucket.updated_ms = now_ms


def _wait_ms(bucket: Bucket, rate_per_s: float) -> int:
    """Return after how many ms a bucket grants a permit."""
    if rate_per_s <= 0:
        return NO_PERMIT_RETRY_MS
    return math.ceil((1.0 - bucket.tokens) * 1000 / rate_per_s)
