"""Keep a stream of revisioned values that never goes back."""

import collections.abc
import dataclasses

__all__ = ['Change', 'Revisions', 'delta', 'merge']

# A delta is cut after so many bytes of values; the rest follows.
DELTA_BYTES = 48_000


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Hold a value as of a revision; None says that it was deleted."""

    key: str
    revision: int
    value: str | None


@dataclasses.dataclass(slots=True)
class Revisions:
    """Hold all changes up to `seen`, the last of each key."""

    seen: int = 0
    changes: dict[str, Change] = dataclasses.field(default_factory=dict)


def merge(
    revisions: Revisions,
    since: int,
    upto: int,
    changes: collections.abc.Iterable[Change],
) -> list[Change] | None:
    """Take in all that changed after `since` up to `upto`.

    Returns what is new, or None when something between `seen` and `since`
    is missing: taking it would hide the gap for good, as nobody would be
    asked for it again.
    """
    if since > revisions.seen:
        return None
    new = []
    for change in sorted(changes, key=lambda change: change.revision):
        known = revisions.changes.get(change.key)
        if known is not None and known.revision >= change.revision:
            continue
        revisions.changes[change.key] = change
        new.append(change)
    revisions.seen = max(revisions.seen, upto)
    return new


def delta(revisions: Revisions, since: int) -> tuple[int, list[Change]]:
    """Return what a peer at `since` lacks, and up to which revision."""
    later = [c for c in revisions.changes.values() if c.revision > since]
    later.sort(key=lambda change: change.revision)
    size = 0
    for count, change in enumerate(later, start=1):
        size += len(change.key) + len(change.value or '')
        if size > DELTA_BYTES and count < len(later):
            return change.revision, later[:count]
    return revisions.seen, later
