"""Limit the operations of an organisation over all proxies.

For each organisation one proxy, its limiter, grants permits from a token
bucket; a second one, its standby, takes over half of the rate if the two lose
contact. Both follow from the list of proxies by rendezvous hashing. No proxy
can tell whether the other one has ended or is partitioned from it, so neither
uses more than its half until they are in contact again. What a proxy grants
without ever having been in contact comes out of the overrun that operators
accept, and so does the initial content of a bucket: a restart brings no new
burst. A part of the overrun enlarges the bucket, so that operations of a small
organisation that happen to come together are not refused.

The limiter uses the full rate for a fixed time after it sent a query that the
standby answered. The standby starts to use its half when that time has passed
since it last answered.
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
CONTACT_MS = 1000
# Proxies of an organisation that may grant permits: the limiter, the standby
# and two more, in case both are lost.
MAX_KEEPERS = 4
# Shares of the accepted overrun: what the bucket of the limiter holds beyond
# the burst, and what a limiter and a standby start with.
BUCKET_SHARE = 0.2
INITIAL_SHARE = 0.2
# What each keeper may grant at once without contact, and again per window.
RESERVE_SHARE = 0.05
# A proxy that starts sees the others within this time.
ALONE_AFTER_MS = 3000
# Retry delay where no permit becomes due, as the quota is zero.
NO_PERMIT_RETRY_MS = 1000


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


@dataclasses.dataclass(slots=True)
class Counter:
    """Hold what a proxy has granted to one organisation."""

    created_ms: int
    main: Bucket | None = None
    reserve: Bucket | None = None
    # As the limiter: when it sent the last query that the standby answered.
    contact_ms: int = NEVER_MS
    # As the standby: when it last answered the limiter.
    answered_ms: int = NEVER_MS
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
    wanted: int = 1,
) -> tuple[int, int]:
    """Take permits for up to `wanted` operations.

    Return how many were granted, and if none was, after how many ms one is
    due.
    """
    counter.used_ms = now_ms
    if held is Authority.NONE:
        return 0, NO_PERMIT_RETRY_MS
    accepted = _accepted_overrun(quota, overrun)
    if held is Authority.OVERRUN:
        part = accepted * RESERVE_SHARE
        if counter.reserve is None:
            counter.reserve = Bucket(part, now_ms)
        rate_per_s = part * 1000 / overrun.window_ms
        return _take(counter.reserve, now_ms, rate_per_s, part, wanted)
    if counter.main is None:
        counter.main = Bucket(accepted * INITIAL_SHARE, now_ms)
    scale = 1.0 if held is Authority.FULL else 0.5
    return _take(
        counter.main,
        now_ms,
        quota.rate_per_s * scale,
        (quota.burst + accepted * BUCKET_SHARE) * scale,
        wanted,
    )


def _accepted_overrun(quota: organisations.Quota, overrun: Overrun) -> float:
    in_window = quota.rate_per_s * overrun.window_ms / 1000 + quota.burst
    return in_window * overrun.share + overrun.operations


def _take(
    bucket: Bucket, now_ms: int, rate_per_s: float, limit: float, wanted: int
) -> tuple[int, int]:
    # A bucket that holds less than one token would never grant a permit.
    limit = max(1.0, limit) if rate_per_s > 0 else limit
    passed_ms = max(0, now_ms - bucket.updated_ms)
    bucket.tokens = min(limit, bucket.tokens + rate_per_s * passed_ms / 1000)
    bucket.updated_ms = now_ms
    granted = min(wanted, int(bucket.tokens))
    if granted:
        bucket.tokens -= granted
        return granted, 0
    if rate_per_s <= 0:
        return 0, NO_PERMIT_RETRY_MS
    missing = 1.0 - bucket.tokens
    return 0, math.ceil(missing * 1000 / rate_per_s)
