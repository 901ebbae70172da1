"""Choose the owners of a database by rendezvous hashing."""

import collections.abc
import dataclasses
import hashlib
import math

__all__ = [
    'Candidate',
    'choose_owners',
    'first_by_score',
    'score',
    'weighted_score',
]

SCORE_BITS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Proxy that can own databases."""

    name: str
    region: str
    data_centre: str
    # Its part of all databases, in relation to the other candidates.
    weight: float = 1.0


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


def weighted_score(
    database: str, name: str, weight: float
) -> tuple[float, int]:
    """Return the score of a proxy that owns in proportion to its weight.

    A larger weight only raises a proxy's own scores, so a change of weight
    moves databases from or to this proxy, and never between two others.
    Proxies of equal weight have the order of `score`.
    Schindelhauer and Schomaker, "Weighted Distributed Hash Tables" (2005).

    >>> weighted_score('d', 'a', 2.0) > weighted_score('d', 'a', 1.0)
    True
    """
    unweighted = score(database, name)
    uniform = (unweighted + 0.5) / 2**SCORE_BITS
    return math.log(uniform) / weight, unweighted


def choose_owners(
    database: str,
    region: str,
    candidates: collections.abc.Iterable[Candidate],
    count: int,
) -> tuple[str, ...]:
    """Return the owners in preference order, spread over data centres.

    Proxies of the database's own region are preferred. A data centre is used
    again only after every other one with remaining proxies is used as often.
    Within this limit a proxy is chosen in proportion to its weight. The owners
    for a smaller count are the first of those for a larger one.
    """
    all_candidates = list(candidates)
    local = [c for c in all_candidates if c.region == region]
    pool = local or all_candidates
    if len({candidate.weight for candidate in pool}) > 1:
        pool.sort(
            key=lambda c: weighted_score(database, c.name, c.weight),
            reverse=True,
        )
    else:
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
