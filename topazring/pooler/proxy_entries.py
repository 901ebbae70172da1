"""Decode the entries under which proxies list themselves in the store."""

import dataclasses

import msgspec

from topazring.core.synchronous import listing as listings
from topazring.core.synchronous import ownership
from topazring.pooler import settings

__all__ = ['ProxyEntry', 'ProxyValue', 'decode']


class ProxyValue(msgspec.Struct):
    """Value under which a proxy lists itself in the store."""

    data_centre: str
    # Where other proxies ask it for changes; empty if they cannot.
    peer_address: str = ''
    # Where other proxies send it requests; empty if it accepts none.
    hop_address: str = ''
    # The process that wrote the entry; empty if an older build did.
    incarnation: str = ''
    # Whether it runs forwarded requests in the name of their organisation;
    # an older build would run them in its own.
    carries_organisations: bool = False
    # Whether it chooses owners by weights and slots; an older build would
    # choose others.
    weighs_owners: bool = False
    # Its part of all groups, in relation to other proxies.
    weight: float = 1.0


_decode_value = msgspec.json.Decoder(ProxyValue).decode


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyEntry:
    """Entry of a proxy, and the process that wrote it."""

    record: listings.ProxyRecord
    incarnation: str


def decode(name: str, text: str) -> ProxyEntry:
    """Return the decoded entry; raise an error if it cannot be used."""
    value = _decode_value(text)
    _check(name, value)
    record = listings.ProxyRecord(
        name,
        value.data_centre,
        value.peer_address,
        value.hop_address,
        value.carries_organisations,
        value.weighs_owners,
        ownership.bounded_weight(value.weight),
    )
    return ProxyEntry(record, value.incarnation)


def _check(name: str, value: ProxyValue) -> None:
    """Raise ValueError if the entry of a proxy cannot be used."""
    if not name:
        raise ValueError('a proxy has no name')
    for address in (value.peer_address, value.hop_address):
        if address:
            settings.endpoint(address)
