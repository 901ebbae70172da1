"""Create and check the ids that callers give to writes.

An id starts with its creation time, so that an owner can distinguish an id
whose request record is still stored from one whose record may have expired.
Otherwise a write repeated after its record expired would run a second time.
"""

import re

__all__ = ['is_too_old', 'is_well_formed', 'make_request_id']

_FORM = re.compile(r'([0-9a-f]{11,12})-([0-9a-zA-Z]{8,40})')
# The clocks of callers may be ahead of ours by this much.
MAX_CLOCK_LEAD_MS = 60_000


def make_request_id(now_ms: int, random_text: str) -> str:
    """Return an id for a new write.

    >>> make_request_id(1_700_000_000_000, '0123456789abcdef')
    '18bcfe56800-0123456789abcdef'
    """
    return f'{now_ms:x}-{random_text}'


def is_well_formed(request_id: str) -> bool:
    """Return whether the id has the documented form."""
    return _FORM.fullmatch(request_id) is not None


def is_too_old(request_id: str, now_ms: int, retention_ms: int) -> bool:
    """Return whether the id's record may be gone or its time is ahead."""
    created_ms = int(request_id.split('-')[0], 16)
    return (
        created_ms < now_ms - retention_ms
        or created_ms > now_ms + MAX_CLOCK_LEAD_MS
    )
