"""Grant terms to owners in advance.

One record per database stores which owner may use which term. Grants do not
expire, so a promotion needs no call to the platform's service, and an owner
that was paused does no harm: its term is too low by then.
"""

import collections.abc
import dataclasses
import json

__all__ = ['GroupRecord', 'grant_terms', 'record_primary', 'parse', 'terms_of']

# Terms granted to an owner at a time, so that a second and third failure
# during one outage of the service still find a usable term.
TERMS_PER_OWNER = 4


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRecord:
    """Record of a group's primary and of the owners' granted terms."""

    term: int = 0
    primary: str = ''
    grants: tuple[tuple[int, str], ...] = ()
    # Identifies the last change, so that its author can detect whether it
    # took effect if the answer was lost.
    change_id: str = ''

    def dump(self) -> str:
        """Return the record as stored by the platform's service."""
        return json.dumps(dataclasses.asdict(self))


def parse(text: str) -> GroupRecord:
    """Parse a stored record."""
    raw = json.loads(text)
    grants = tuple((int(term), str(owner)) for term, owner in raw['grants'])
    return GroupRecord(raw['term'], raw['primary'], grants, raw['change_id'])


def terms_of(record: GroupRecord, owner: str) -> tuple[int, ...]:
    """Return the terms granted to an owner."""
    return tuple(term for term, holder in record.grants if holder == owner)


def grant_terms(
    record: GroupRecord,
    owner: str,
    above: int,
    owners: int,
    change_id: str,
) -> GroupRecord:
    """Grant an owner a block of terms, leaving terms free for other owners.

    >>> record = grant_terms(GroupRecord(), 'a', 0, 2, 'x')
    >>> terms_of(record, 'a')
    (1, 3, 5, 7)
    >>> terms_of(grant_terms(record, 'b', 0, 2, 'y'), 'b')
    (2, 6, 9, 11)
    """
    base = max(record.term, above)
    kept = tuple(grant for grant in record.grants if grant[0] > base)
    taken = {term for term, _ in kept}
    missing = TERMS_PER_OWNER - len(
        [1 for _, holder in kept if holder == owner]
    )
    granted = []
    for index, term in enumerate(_free_terms(base, taken)):
        if len(granted) >= missing:
            break
        if index % max(1, owners) == 0:
            granted.append((term, owner))
    grants = tuple(sorted((*kept, *granted)))
    return GroupRecord(record.term, record.primary, grants, change_id)


def _free_terms(base: int, taken: set[int]) -> collections.abc.Iterator[int]:
    term = base + 1
    while True:
        if term not in taken:
            yield term
        term += 1


def record_primary(
    record: GroupRecord, term: int, primary: str, change_id: str
) -> GroupRecord | None:
    """Record a promotion; return None if a later one is recorded already."""
    if record.term >= term:
        return None
    grants = tuple(grant for grant in record.grants if grant[0] > term)
    return GroupRecord(term, primary, grants, change_id)
