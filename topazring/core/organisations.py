"""Identify organisations by their API keys and hold their quotas.

A key is a secret. Only its hash is kept, compared and passed on.
"""

import collections.abc
import dataclasses
import hashlib

__all__ = [
    'ANONYMOUS',
    'Organisations',
    'Quota',
    'hash_key',
    'make_organisations',
]

# The name of no organisation, for databases that need no key.
ANONYMOUS = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Hold how many operations an organisation may run over all proxies."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Organisations:
    """Hold the configured organisations."""

    # The name of the organisation that holds a key, by the hash of the key.
    names: collections.abc.Mapping[str, str]
    # Organisations without a quota are not limited.
    quotas: collections.abc.Mapping[str, Quota]


def hash_key(key: str) -> str:
    """Return the hash under which a key is configured and compared."""
    return hashlib.sha256(key.encode(errors='surrogateescape')).hexdigest()


def make_organisations(
    key_hashes: collections.abc.Mapping[str, collections.abc.Iterable[str]],
    quotas: collections.abc.Mapping[str, Quota],
) -> Organisations:
    """Return organisations by the hashes of their keys.

    Raises ValueError if two organisations hold the same key.
    """
    names: dict[str, str] = {}
    for organisation, hashes in key_hashes.items():
        for key_hash in hashes:
            if names.setdefault(key_hash, organisation) != organisation:
                raise ValueError('two organisations hold the same key')
    return Organisations(names, quotas)
