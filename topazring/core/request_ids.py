"""Make and judge the ids that callers give to writes.

An id starts with its time, so that an owner can tell an id whose record is
still kept from one that is too old to be judged. Without that, a write
repeated after its record has gone would run a second time.
"""

import re

__all__ = ['is_too_old', 'is_well_formed', 'make_request_id']

_FORM = re.compile(r'([0-9a-f]{11,12})-([0-9a-zA-Z]{8,40})')
# Clocks of callers may run ahead of ours by that much.
MAX_CLOCK_LEAD_MS = 60_000


def make_request_id(now_ms: int, random_text: str) -> str:
    """Return an id for a new write.

    >>> make_request_id(1_700_000_000_000, '0123456789abcdef')
    '18bcfe56800-0123456789abcdef'
    """
    return f'{now_ms:x}-{random_text}'


def is_well_formed(request_id: str) -> bool:
    """Say whether the id has the form that callers are told to use."""
    return _FORM.fullmatch(request_id) is not None


def is_too_old(request_id: str, now_ms: int, kept_ms: int) -> bool:
    """Say whether the id's record may be gone, or its time is not yet."""
    made_ms = int(request_id.split('-')[0], 16)
    return made_ms < now_ms - kept_ms or made_ms > now_ms + MAX_CLOCK_LEAD_MS
