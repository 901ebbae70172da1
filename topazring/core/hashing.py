"""Choose the owners of a database by rendezvous hashing."""

import collections.abc
import dataclasses
import hashlib
import heapq
import math
import typing

__all__ = [
    'Candidate',
    'choose_owners',
    'choose_spread',
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
    return _weigh(unweighted, weight), unweighted


def _weigh(unweighted: int, weight: float) -> float:
    return math.log((unweighted + 0.5) / 2**SCORE_BITS) / weight


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
    return choose_spread(database, local or all_candidates, count)


class Weighted(typing.Protocol):
    """What of a candidate the choice depends on."""

    name: str
    data_centre: str
    weight: float


def choose_spread(
    database: str,
    candidates: collections.abc.Iterable[Weighted],
    count: int,
) -> tuple[str, ...]:
    """Return the owners among candidates of one region."""
    by_centre = _best_by_data_centre(database, candidates, count)
    chosen: list[_Ranked] = []
    for place in range(count):
        best = [each[place] for each in by_centre if place < len(each)]
        chosen += sorted(best, reverse=True)
    return tuple(name for _, _, name in chosen[:count])


# Weighted score, score and name.
_Ranked = tuple[float, int, str]


def _best_by_data_centre(
    database: str, pool: collections.abc.Iterable[Weighted], count: int
) -> list[list[_Ranked]]:
    """Return the best proxies of each data centre, the best one first."""
    scored: dict[tuple[str, float], list[tuple[int, str]]] = {}
    for each in pool:
        by_class = scored.setdefault((each.data_centre, each.weight), [])
        by_class.append((score(database, each.name), each.name))
    # Proxies of equal weight have the order of their scores, so logarithms
    # are needed only for the best ones of each weight.
    is_weighted = len({weight for _, weight in scored}) > 1
    ranked: dict[str, list[_Ranked]] = {}
    for (centre, weight), names in scored.items():
        for unweighted, name in heapq.nlargest(count, names):
            weighted = _weigh(unweighted, weight) if is_weighted else 0.0
            by_centre = ranked.setdefault(centre, [])
            by_centre.append((weighted, unweighted, name))
    return [sorted(each, reverse=True)[:count] for each in ranked.values()]


def first_by_score(
    subject: str, names: collections.abc.Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the first names in a subject's order, regardless of input order.

    >>> first_by_score('s', ['b', 'a'], 1) == first_by_score('s', 'ab', 1)
    True
    """
    order = sorted(names, key=lambda name: score(subject, name))
    return tuple(order[:count])
