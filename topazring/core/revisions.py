"""Keep a stream of revisioned values that never goes back."""

import collections.abc
import dataclasses

__all__ = [
    'Change',
    'Revisions',
    'delta',
    'missing_changes',
    'merge',
    'record_compaction',
]

# A delta is cut after so many bytes of values; the rest follows.
DELTA_BYTES = 48_000
# Of more gaps than these the oldest two are taken for one.
MAX_COMPACTED_RANGES = 8


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
    # From and up to which revision everything was read at once: of a key that
    # came and ended in between nothing is known.
    compacted_ranges: list[tuple[int, int]] = dataclasses.field(
        default_factory=list
    )


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


def record_compaction(
    revisions: Revisions, upto: int, present: collections.abc.Iterable[Change]
) -> list[Change]:
    """Return the ends of keys that are missing where all was read at once.

    To be called before what was read is merged.
    """
    if upto > revisions.seen:
        revisions.compacted_ranges.append((revisions.seen, upto))
    if len(revisions.compacted_ranges) > MAX_COMPACTED_RANGES:
        first, second, *others = revisions.compacted_ranges
        revisions.compacted_ranges = [(first[0], second[1]), *others]
    there = {change.key for change in present}
    return [
        Change(key, upto, None)
        for key, known in revisions.changes.items()
        if key not in there and known.value is not None
    ]


def missing_changes(
    revisions: Revisions, since: int
) -> tuple[bool, list[Change]]:
    """Return what someone lacks at `since`, and whether that is everything.

    Everything has to be compared by someone who stands in a gap: it may know
    a key that came after the gap's beginning and ended before its end. One
    that stands before or behind it needs only what changed, so that history
    which the service forgets is read anew by few and told as usual.

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
    everything = not since or any(
        first < since < upto for first, upto in revisions.compacted_ranges
    )
    if not everything:
        changes = revisions.changes.values()
        return False, [c for c in changes if c.revision > since]
    live = [c for c in revisions.changes.values() if c.value is not None]
    return True, live
