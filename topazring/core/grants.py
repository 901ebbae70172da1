"""Hand out terms to owners ahead of need.

One record a database says who may use which term. A grant is for good, so
a promotion needs no call to the platform's service when it happens, and a
holder that was paused does no harm: its term is simply too low by then.
"""

import collections.abc
import dataclasses
import json

__all__ = ['GroupRecord', 'grant_terms', 'record_primary', 'parse', 'terms_of']

# Terms to an owner at a time: a second and third failure within one outage
# of the service still find a usable term.
TERMS_PER_OWNER = 4


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRecord:
    """Hold who leads a database group and who may use which term."""

    term: int = 0
    primary: str = ''
    grants: tuple[tuple[int, str], ...] = ()
    # Names the change, so that its author can tell it took effect when the
    # answer was lost.
    change_id: str = ''

    def dump(self) -> str:
        """Return the record as the platform's service keeps it."""
        return json.dumps(dataclasses.asdict(self))


def parse(text: str) -> GroupRecord:
    """Read a record."""
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
    """Grant an owner a block of terms, leaving gaps for the others.

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
    """Record a promotion; None if a later one is recorded already."""
    if record.term >= term:
        return None
    grants = tuple(grant for grant in record.grants if grant[0] > term)
    return GroupRecord(term, primary, grants, change_id)
