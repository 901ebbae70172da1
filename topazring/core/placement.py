"""Maintain the owners of all databases incrementally.

Computing the owners of 3,200 databases over 2,000 proxies takes seconds.
Therefore the best few candidates of each database are cached: a proxy that
joins is scored once per database, and one that leaves is removed where it is
listed.
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

# Candidates cached per database, and the number below which all are scored
# again. Among so many candidates two data centres are missing only if the
# fleet has hardly any proxy outside one.
MAX_CANDIDATES = 16
MIN_CANDIDATES = 8


@dataclasses.dataclass(slots=True)
class Placement:
    """All candidates, and the best ones of each database looked up."""

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
    """Add a database, or move it to another region."""
    if placement.databases.get(name) != region:
        placement.databases[name] = region
        placement.best.pop(name, None)
        placement.owners.pop(name, None)


def drop_database(placement: Placement, name: str) -> None:
    """Remove a database."""
    placement.databases.pop(name, None)
    placement.best.pop(name, None)
    placement.owners.pop(name, None)


def set_candidates(
    placement: Placement,
    candidates: collections.abc.Iterable[hashing.Candidate],
) -> set[str]:
    """Replace the candidates; return the databases whose owners changed."""
    current = {candidate.name: candidate for candidate in candidates}
    removed = [
        previous
        for name, previous in placement.candidates.items()
        if current.get(name) != previous
    ]
    added = [
        candidate
        for name, candidate in current.items()
        if placement.candidates.get(name) != candidate
    ]
    touched: set[str] = set()
    for candidate in removed:
        touched |= _remove(placement, candidate)
    for candidate in added:
        touched |= _add(placement, candidate)
    return {name for name in touched if _update_owners(placement, name)}


def owners_of(placement: Placement, name: str) -> tuple[str, ...]:
    """Return the owners of a database, in preference order."""
    owners = placement.owners.get(name)
    if owners is None:
        _update_owners(placement, name)
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
    is_new_region = candidate.region not in placement.regions
    region = placement.regions.setdefault(candidate.region, {})
    region[candidate.name] = candidate
    touched = set()
    for name, best in list(placement.best.items()):
        database_region = placement.databases[name]
        if database_region == candidate.region and is_new_region:
            # Proxies of other regions served it while its own had none.
            del placement.best[name]
            touched.add(name)
        elif _is_eligible(placement, database_region, candidate):
            bisect.insort(
                best, (-hashing.score(name, candidate.name), candidate.name)
            )
            del best[MAX_CANDIDATES:]
            touched.add(name)
    return touched


def _is_eligible(
    placement: Placement, database_region: str, candidate: hashing.Candidate
) -> bool:
    return (
        candidate.region == database_region
        or database_region not in placement.regions
    )


def _pool(placement: Placement, region: str) -> dict[str, hashing.Candidate]:
    return placement.regions.get(region) or placement.candidates


def _update_owners(placement: Placement, name: str) -> bool:
    """Recompute the owners from the best; return whether they changed."""
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
