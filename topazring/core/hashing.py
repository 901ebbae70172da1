"""Choose the owners of a database by rendezvous hashing."""

import collections.abc
import dataclasses
import hashlib

__all__ = ['Candidate', 'choose_owners', 'first_by_score', 'score']


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Proxy that can own databases."""

    name: str
    region: str
    data_centre: str


def score(database: str, name: str) -> int:
    """Return the weight of a proxy for a database; the highest wins.

    Every proxy computes the same weights, so the owners follow from the list
    of members without any communication. When a proxy leaves, only its own
    databases move.
    Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous"
    (1996).
    """
    text = f'{database}\0{name}'.encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def choose_owners(
    database: str,
    region: str,
    candidates: collections.abc.Iterable[Candidate],
    count: int,
) -> tuple[str, ...]:
    """Return the owners in preference order, spread over data centres.

    Proxies of the database's own region are preferred. A data centre is used
    again only after every other one with remaining proxies is used as often.
    """
    all_candidates = list(candidates)
    local = [c for c in all_candidates if c.region == region]
    pool = local or all_candidates
    pool.sort(key=lambda c: score(database, c.name), reverse=True)
    chosen: list[Candidate] = []
    while pool and len(chosen) < count:
        remaining: list[Candidate] = []
        centres: set[str] = set()
        for candidate in pool:
            if candidate.data_centre in centres:
                remaining.append(candidate)
            elif len(chosen) < count:
                chosen.append(candidate)
                centres.add(candidate.data_centre)
        pool = remaining
    return tuple(candidate.name for candidate in chosen)


def first_by_score(
    subject: str, names: collections.abc.Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the first names in a subject's order, regardless of input order.

    >>> first_by_score('s', ['b', 'a'], 1) == first_by_score('s', 'ab', 1)
    True
    """
    order = sorted(names, key=lambda name: score(subject, name))
    return tuple(order[:count])
