"""Limit the operations of an organisation over all proxies.

Each organisation has a few keepers, which follow from the list of proxies by
rendezvous hashing. Each keeper holds an equal share of the quota. The first of
them, the limiter, uses the shares of all others that it is in contact with,
and grants permits from token buckets. A keeper that has lost contact uses its
own share, so each side of a partition has the shares of its own keepers. What
a keeper grants before its first contact comes out of the overrun that
operators accept, and so does the initial content of a bucket: a restart brings
no new burst. A part of the overrun enlarges the buckets, so that operations of
a small organisation that happen to come together are not refused.

Two token buckets together allow what the quota allows in any window, at once
or evenly: the burst and then the rate, or all of a window's operations spread
over it. Each permit is taken from both, and either may grant it, so the last
permit of a window bounds all of them by the bucket that granted it.

The limiter uses a keeper's share for a fixed time after it sent a query that
the keeper answered. The keeper uses it again when that time has passed since
it last answered, or once the limiter releases it: as it shuts down, or when
the organisation has been idle for a while.

Tokens move with the shares, so all buckets together never hold more than the
quota's burst. A keeper answers a query with the tokens of its bucket, which
is empty then. A limiter that releases shares divides its tokens. When a share
returns without a message, its bucket starts empty at that time: the limiter
may have granted its tokens. A bucket is filled only for the time in which its
keeper has used the share.
"""

import collections.abc
import dataclasses
import math

from topazring.core import hashing
from topazring.core import organisations

__all__ = [
    'ASK_ANOTHER_MS',
    'CONTACT_MS',
    'Counter',
    'MAX_KEEPERS',
    'NEVER_MS',
    'Overrun',
    'collect_share',
    'grant',
    'held_share',
    'keepers_of',
    'receive_share',
    'surrender_share',
    'take_tokens',
]

NEVER_MS = -(10**9)
# How long a limiter may use a keeper's share after a query that it answered. A
# shorter time would lower the rate whenever a process is paused.
CONTACT_MS = 600
# Shares of the accepted overrun that the keeper of each rank may grant at once
# before its first contact, and again per window.
RESERVE_SHARES = (0.05, 0.05, 0.09, 0.055, 0.035, 0.025)
MAX_KEEPERS = len(RESERVE_SHARES)
# Shares of the accepted overrun: what the bucket of the burst holds beyond it,
# what the other one holds and gets in a window, and what the buckets of all
# keepers together start with.
BURST_SHARE = 0.18
STEADY_SHARE = 0.05
STEADY_RATE_SHARE = 0.13
INITIAL_SHARE = 0.3
# A proxy that starts sees the others within this time.
ALONE_AFTER_MS = 3000
# Retry delay where no permit becomes due, as the quota is zero.
NO_PERMIT_RETRY_MS = 1000
# In place of a retry delay.
ASK_ANOTHER_MS = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Overrun:
    """Hold by how much operators accept that a quota is exceeded."""

    window_ms: int = 5000
    # Share of the operations that the quota allows in a window.
    share: float = 0.1
    operations: float = 20.0


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
    # The rate and the burst, or a window's operations spread over it.
    burst: Bucket | None = None
    # The share for which that bucket was last filled, and tokens of other
    # keepers that are not in it yet.
    share: float = 0.0
    received_tokens: float = 0.0
    steady: Bucket | None = None
    # What it grants before its first contact.
    reserve: Bucket | None = None
    # As the limiter: when it sent the last query that each keeper answered.
    contact_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    # As another keeper: when it last answered the limiter.
    answered_ms: int = NEVER_MS
    # Whether the limiter has given its share back.
    is_released: bool = False
    used_ms: int = NEVER_MS


def keepers_of(
    organisation: str, proxies: collections.abc.Iterable[str]
) -> tuple[str, ...]:
    """Return the proxies that may grant permits, the limiter first."""
    return hashing.first_by_score(organisation, proxies, MAX_KEEPERS)


def held_share(
    counter: Counter,
    now_ms: int,
    name: str,
    keepers: collections.abc.Sequence[str],
) -> float | None:
    """Return which share of the quota a proxy may grant, None if not a keeper.

    It is 0 before the first contact, and while the limiter uses the share.
    """
    if name not in keepers:
        return None
    if len(keepers) == 1:
        is_settled = now_ms - counter.created_ms >= ALONE_AFTER_MS
        return float(is_settled)
    own = 1 / len(keepers)
    if name != keepers[0]:
        if counter.is_released:
            return own
        if counter.answered_ms == NEVER_MS:
            return 0.0
        return own if now_ms - counter.answered_ms >= CONTACT_MS else 0.0
    others = keepers[1:]
    if not any(other in counter.contact_ms for other in others):
        return 0.0
    reached = sum(
        now_ms - counter.contact_ms.get(other, NEVER_MS) < CONTACT_MS
        for other in others
    )
    return (1 + reached) * own


def grant(
    counter: Counter,
    now_ms: int,
    quota: organisations.Quota,
    overrun: Overrun,
    share: float,
    rank: int,
    wanted: int = 1,
) -> tuple[int, int]:
    """Take permits for up to `wanted` operations from the keeper of a rank.

    Return how many were granted, and if none was, after how many ms one is
    due; `ASK_ANOTHER_MS` if another keeper may have permits.
    """
    counter.used_ms = now_ms
    if quota.rate_per_s <= 0 and quota.burst <= 0:
        return 0, NO_PERMIT_RETRY_MS
    buckets = _fill_buckets(counter, now_ms, quota, overrun, share, rank)
    granting = [(b, rate) for b, rate in buckets if b.grants_from_ms <= now_ms]
    granted = min(wanted, max(0, *(int(b.tokens) for b, _ in granting)))
    for bucket, _ in buckets:
        bucket.tokens -= granted
    if granted:
        return granted, 0
    if not _is_whole(share):
        return 0, ASK_ANOTHER_MS
    return 0, min(_wait_ms(bucket, rate) for bucket, rate in granting)


def surrender_share(
    counter: Counter,
    now_ms: int,
    quota: organisations.Quota,
    overrun: Overrun,
    share: float,
) -> float:
    """Let the limiter use a keeper's share; return the tokens that it gets.

    `share` is the part of the quota that the keeper has used until now, 0 if
    the limiter has used it already.
    """
    tokens = take_tokens(counter, now_ms, quota, overrun, share, 1.0)
    if counter.burst is not None:
        # The limiter uses the share until then, unless it asks again.
        counter.burst = Bucket(0.0, now_ms + CONTACT_MS)
    counter.answered_ms = now_ms
    counter.is_released = False
    return tokens


def receive_share(counter: Counter, now_ms: int, tokens: float) -> None:
    """Use a keeper's share that the limiter releases, with some tokens."""
    if counter.burst is not None:
        counter.burst.updated_ms = min(counter.burst.updated_ms, now_ms)
    counter.answered_ms = now_ms
    counter.is_released = True
    _add_tokens(counter, tokens)


def collect_share(
    counter: Counter,
    now_ms: int,
    quota: organisations.Quota,
    overrun: Overrun,
    share: float,
    keeper: str,
    sent_ms: int,
    tokens: float,
) -> None:
    """Use the share of a keeper that has answered a query, and its tokens.

    `share` is the part of the quota that the limiter has used until now: it
    may have been without contact, and more tokens than belong to that part
    are other keepers'.
    """
    if share and counter.burst is not None:
        _fill_burst(counter, now_ms, quota, overrun, share)
    _add_tokens(counter, tokens)
    counter.contact_ms[keeper] = sent_ms


def _add_tokens(counter: Counter, tokens: float) -> None:
    counter.received_tokens += max(0.0, tokens)


def take_tokens(
    counter: Counter,
    now_ms: int,
    quota: organisations.Quota,
    overrun: Overrun,
    share: float,
    part: float,
) -> float:
    """Take a part of the tokens of a bucket for another keeper."""
    is_empty = counter.burst is None and not counter.received_tokens
    if share and not is_empty:
        _fill_burst(counter, now_ms, quota, overrun, share)
    if counter.burst is None:
        return 0.0
    tokens = max(0.0, counter.burst.tokens) * part
    counter.burst.tokens -= tokens
    return tokens


def _is_whole(share: float) -> bool:
    return share > 1 - 1e-6


def _fill_buckets(
    counter: Counter,
    now_ms: int,
    quota: organisations.Quota,
    overrun: Overrun,
    share: float,
    rank: int,
) -> list[tuple[Bucket, float]]:
    """Return the buckets in use, with their rates per second."""
    window_s = overrun.window_ms / 1000
    in_window = quota.rate_per_s * window_s + quota.burst
    accepted = _accepted_overrun(quota, overrun)
    if not _is_whole(share):
        # It does not count what other keepers grant meanwhile.
        counter.steady = None
    if not share:
        part = accepted * RESERVE_SHARES[rank]
        counter.reserve = counter.reserve or Bucket(part, now_ms)
        _fill(counter.reserve, now_ms, part / window_s, part)
        return [(counter.reserve, part / window_s)]
    _fill_burst(counter, now_ms, quota, overrun, share)
    rate_per_s = quota.rate_per_s * share
    if not _is_whole(share):
        return [(counter.burst, rate_per_s)]
    if counter.steady is None:
        # Earlier bursts, of this keeper or another one, are not counted in it.
        first_ms = now_ms + overrun.window_ms
        counter.steady = Bucket(0.0, now_ms, grants_from_ms=first_ms)
    steady_per_s = (in_window + accepted * STEADY_RATE_SHARE) / window_s
    _fill(counter.steady, now_ms, steady_per_s, accepted * STEADY_SHARE)
    return [(counter.burst, rate_per_s), (counter.steady, steady_per_s)]


def _accepted_overrun(quota: organisations.Quota, overrun: Overrun) -> float:
    window_s = overrun.window_ms / 1000
    in_window = quota.rate_per_s * window_s + quota.burst
    return in_window * overrun.share + overrun.operations


def _fill_burst(
    counter: Counter,
    now_ms: int,
    quota: organisations.Quota,
    overrun: Overrun,
    share: float,
) -> None:
    """Fill the bucket of the burst for the time since it was last filled.

    If the share has changed since, the smaller one counts for all that time.
    """
    accepted = _accepted_overrun(quota, overrun)
    if counter.burst is None:
        initial = accepted * INITIAL_SHARE / MAX_KEEPERS
        counter.burst = Bucket(initial, now_ms)
    counter.burst.tokens += counter.received_tokens
    counter.received_tokens = 0.0
    size = (quota.burst + accepted * BURST_SHARE) * share
    rate_per_s = quota.rate_per_s * min(share, counter.share or share)
    _fill(counter.burst, now_ms, rate_per_s, size)
    counter.share = share


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
