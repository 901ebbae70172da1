"""Keep the owners of all databases up to date at small cost.

Working out 3,200 databases over 2,000 proxies anew takes seconds. So the
best few candidates of each database are kept: a proxy that joins is scored
once a database, and one that leaves is struck off where it stands.
"""

import bisect
import collections.abc
import dataclasses

from topazring.core import hashing

__all__ = [
    'Placement',
    'drop_database',
    'owners_of',
    'set_candidates',
    'set_database',
]

# Candidates kept a database, and how few may be left before all are scored
# again. Two data centres among so many fail to show up only if there are
# hardly two.
MAX_CANDIDATES = 16
MIN_CANDIDATES = 8


@dataclasses.dataclass(slots=True)
class Placement:
    """Hold the candidates and, for each database asked for, its best."""

    count: int
    candidates: dict[str, hashing.Candidate] = dataclasses.field(
        default_factory=dict
    )
    regions: dict[str, dict[str, hashing.Candidate]] = dataclasses.field(
        default_factory=dict
    )
    databases: dict[str, str] = dataclasses.field(default_factory=dict)
    # Ascending by the negated score, so that the best come first.
    best: dict[str, list[tuple[int, str]]] = dataclasses.field(
        default_factory=dict
    )
    owners: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )


def set_database(placement: Placement, name: str, region: str) -> None:
    """Take in a database, or that it moved to another region."""
    if placement.databases.get(name) != region:
        placement.databases[name] = region
        placement.best.pop(name, None)
        placement.owners.pop(name, None)


def drop_database(placement: Placement, name: str) -> None:
    """Forget a database."""
    placement.databases.pop(name, None)
    placement.best.pop(name, None)
    placement.owners.pop(name, None)


def set_candidates(
    placement: Placement,
    candidates: collections.abc.Iterable[hashing.Candidate],
) -> set[str]:
    """Take in who could own databases; return those that changed hands."""
    current = {candidate.name: candidate for candidate in candidates}
    gone = [
        known
        for name, known in placement.candidates.items()
        if current.get(name) != known
    ]
    come = [
        candidate
        for name, candidate in current.items()
        if placement.candidates.get(name) != candidate
    ]
    touched: set[str] = set()
    for candidate in gone:
        touched |= _remove(placement, candidate)
    for candidate in come:
        touched |= _add(placement, candidate)
    return {name for name in touched if _settle(placement, name)}


def owners_of(placement: Placement, name: str) -> tuple[str, ...]:
    """Return the owners of a database, in preference order."""
    owners = placement.owners.get(name)
    if owners is None:
        _settle(placement, name)
        owners = placement.owners.get(name, ())
    return owners


def _remove(placement: Placement, candidate: hashing.Candidate) -> set[str]:
    del placement.candidates[candidate.name]
    region = placement.regions[candidate.region]
    del region[candidate.name]
    if not region:
        del placement.regions[candidate.region]
    touched = set()
    for name, best in placement.best.items():
        entry = (-hashing.score(name, candidate.name), candidate.name)
        at = bisect.bisect_left(best, entry)
        if at < len(best) and best[at] == entry:
            del best[at]
            touched.add(name)
    return touched


def _add(placement: Placement, candidate: hashing.Candidate) -> set[str]:
    placement.candidates[candidate.name] = candidate
    first = candidate.region not in placement.regions
    region = placement.regions.setdefault(candidate.region, {})
    region[candidate.name] = candidate
    touched = set()
    for name, best in list(placement.best.items()):
        home = placement.databases[name]
        if home == candidate.region and first:
            # Others stood in while the region had nobody.
            del placement.best[name]
            touched.add(name)
        elif _is_eligible(placement, home, candidate):
            bisect.insort(
                best, (-hashing.score(name, candidate.name), candidate.name)
            )
            del best[MAX_CANDIDATES:]
            touched.add(name)
    return touched


def _is_eligible(
    placement: Placement, home: str, candidate: hashing.Candidate
) -> bool:
    return candidate.region == home or home not in placement.regions


def _pool(placement: Placement, region: str) -> dict[str, hashing.Candidate]:
    return placement.regions.get(region) or placement.candidates


def _settle(placement: Placement, name: str) -> bool:
    """Choose the owners from the best; say whether they changed."""
    region = placement.databases.get(name)
    if region is None:
        return False
    pool = _pool(placement, region)
    best = placement.best.get(name)
    if best is None or len(best) < min(MIN_CANDIDATES, len(pool)):
        scored = sorted((-hashing.score(name, other), other) for other in pool)
        best = placement.best[name] = scored[:MAX_CANDIDATES]
    centres = {pool[other].data_centre for _, other in best}
    chosen = best
    if len(centres) < placement.count:
        chosen = [(0, other) for other in pool]
    owners = hashing.choose_owners(
        name, region, [pool[other] for _, other in chosen], placement.count
    )
    changed = placement.owners.get(name) != owners
    placement.owners[name] = owners
    return changed
