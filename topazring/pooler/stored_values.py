"""Decode values of the store, to which other programs write too."""

import collections.abc
import typing

from topazring.plumbing import events
from topazring.plumbing import supervision

__all__ = ['BAD_ENTRY', 'decode', 'report_bad_entry']

# Counts values that could not be read.
BAD_ENTRY = 'bad_entry'

MAX_DETAIL_CHARS = 200

Value = typing.TypeVar('Value')


def decode(
    log: events.EventLog,
    key: str,
    text: str,
    decoder: collections.abc.Callable[[str], Value],
) -> Value | None:
    """Return the decoded value of a key, None if it is unreadable."""
    try:
        return decoder(text)
    except Exception as error:
        report_bad_entry(log, key, error)
        return None


def report_bad_entry(log: events.EventLog, key: str, error: Exception) -> None:
    """Count a value that cannot be used, and log why."""
    log.count(BAD_ENTRY)
    inputs = {
        'key': key,
        **supervision.describe(error),
        'detail': str(error)[:MAX_DETAIL_CHARS],
    }
    log.emit('directory', 'bad entry', inputs=inputs)
