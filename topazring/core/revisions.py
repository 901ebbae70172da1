"""Replicate revisioned values without ever reverting to an older state.

The service numbers its changes. If it returns from an older copy, it begins a
new era and gives numbers out again. A revision therefore holds the era above
the number, so that revisions are ordered across eras.
"""

import collections.abc
import dataclasses

__all__ = [
    'Change',
    'Revisions',
    'delta',
    'era_of',
    'in_era',
    'merge',
    'missing_changes',
    'number_of',
    'record_compaction',
]

# Size of the values after which a delta is split; the rest is sent later.
DELTA_BYTES = 48_000
# Above this number the two oldest ranges are merged into one.
MAX_COMPACTED_RANGES = 8
# Bits of a revision that hold the service's number.
NUMBER_BITS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Value of a key at a revision; None if it was deleted."""

    key: str
    revision: int
    value: str | None


@dataclasses.dataclass(slots=True)
class Revisions:
    """The last change of each key, up to the revision `seen`."""

    seen: int = 0
    changes: dict[str, Change] = dataclasses.field(default_factory=dict)
    # Ranges of compacted history, after which all values were read at once.
    # Keys created and deleted within a range are unknown.
    compacted_ranges: list[tuple[int, int]] = dataclasses.field(
        default_factory=list
    )


def in_era(era: int, number: int) -> int:
    """Return the revision of a change that the service numbered in an era.

    >>> in_era(2, 30) > in_era(1, 33)
    True
    """
    return (era << NUMBER_BITS) | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the service's own number of a revision."""
    return revision & ((1 << NUMBER_BITS) - 1)


def merge(
    revisions: Revisions,
    since: int,
    upto: int,
    changes: collections.abc.Iterable[Change],
) -> list[Change] | None:
    """Apply all changes after `since` up to `upto`.

    Return the new changes, or None if the changes between `seen` and `since`
    are missing. Applying them would hide the missing ones permanently,
    because they would never be requested again.
    """
    if since > revisions.seen:
        return None
    new = []
    for change in sorted(changes, key=lambda change: change.revision):
        current = revisions.changes.get(change.key)
        if current is not None and current.revision >= change.revision:
            continue
        revisions.changes[change.key] = change
        new.append(change)
    revisions.seen = max(revisions.seen, upto)
    return new


def delta(revisions: Revisions, since: int) -> tuple[int, list[Change]]:
    """Return the changes after `since`, and up to which revision they go."""
    later = [c for c in revisions.changes.values() if c.revision > since]
    later.sort(key=lambda change: change.revision)
    size = 0
    for count, change in enumerate(later, start=1):
        size += len(change.key) + len(change.value or '')
        if size > DELTA_BYTES and count < len(later):
            return change.revision, later[:count]
    return revisions.seen, later


def record_compaction(
    revisions: Revisions, upto: int, present: collections.abc.Iterable[Change]
) -> list[Change]:
    """Record compacted history; return deletions of the keys not `present`.

    `present` holds all values, read at once at revision `upto`. Call this
    before merging them.
    """
    if upto > revisions.seen:
        revisions.compacted_ranges.append((revisions.seen, upto))
    if len(revisions.compacted_ranges) > MAX_COMPACTED_RANGES:
        first, second, *others = revisions.compacted_ranges
        revisions.compacted_ranges = [(first[0], second[1]), *others]
    present_keys = {change.key for change in present}
    return [
        Change(key, upto, None)
        for key, current in revisions.changes.items()
        if key not in present_keys and current.value is not None
    ]


def missing_changes(
    revisions: Revisions, since: int
) -> tuple[bool, list[Change]]:
    """Return what a peer at `since` lacks, and whether that is all values.

    A peer within a compacted range needs all values to compare with its own:
    it may have a key that was created and deleted within the range. A peer
    before or after the range needs only the changes, so that few proxies
    read all values again when the service compacts its history.

    >>> known = Revisions()
    >>> both = [Change('a', 1, 'x'), Change('b', 2, 'y')]
    >>> _ = merge(known, 0, 5, [*record_compaction(known, 5, both), *both])
    >>> deletions = record_compaction(known, 9, both[:1])
    >>> _ = merge(known, 0, 9, [*deletions, both[0]])
    >>> missing_changes(known, 5)
    (False, [Change(key='b', revision=9, value=None)])
    >>> missing_changes(known, 7)
    (True, [Change(key='a', revision=1, value='x')])
    """
    is_full = not since or any(
        start < since < end for start, end in revisions.compacted_ranges
    )
    if not is_full:
        changes = revisions.changes.values()
        return False, [c for c in changes if c.revision > since]
    live = [c for c in revisions.changes.values() if c.value is not None]
    return True, live
