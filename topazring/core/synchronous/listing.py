"""Keep what the platform lists: configuration, upstreams, proxies.

A version of the configuration never goes back. An upstream whose entry
lapses is kept for a moment: entries lapse too while the service that holds
them is away, and are back about two seconds after it.
"""

import collections.abc
import dataclasses

from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership

__all__ = [
    'Configuration',
    'Listing',
    'ProxyRecord',
    'Record',
    'UpstreamRecord',
    'remove_expired',
    'reconcile',
    'hop_addresses',
    'proxies_of',
    'apply_record',
    'record_removal',
    'upstreams_of',
]

# An entry that is missing longer is gone. The users state two seconds after
# the service's return.
UPSTREAM_GRACE_MS = 2200
# A proxy looks at its lease every 10 s and lists itself anew if that ended.
# All entries of proxies may lapse while the service is away, and each would
# take itself for the only owner of everything until the others are back.
PROXY_GRACE_MS = 12_000


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of what operators configured."""

    version: int
    policies: collections.abc.Mapping[str, messages.Policy]
    # Connections that an upstream of the service takes from all proxies.
    max_connections: collections.abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Hold an upstream's own entry and the service that it serves."""

    service: str
    upstream: messages.ListedUpstream


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyRecord:
    """Hold the entry of one live proxy."""

    name: str
    data_centre: str
    peer_address: str = ''
    hop_address: str = ''


Record = Configuration | UpstreamRecord | ProxyRecord


@dataclasses.dataclass(slots=True)
class Listing:
    """Hold what is listed, by the platform's key."""

    configuration: Configuration | None = None
    upstreams: dict[str, UpstreamRecord] = dataclasses.field(
        default_factory=dict
    )
    # Since when each entry is missing that did not say that it would leave.
    missing_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    # When each was first seen to be leaving, or an upper bound of that.
    leaving_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    proxies: dict[str, ProxyRecord] = dataclasses.field(default_factory=dict)


def apply_record(
    listing: Listing,
    now_ms: int,
    confirmed_ms: int,
    key: str,
    record: Record,
) -> set[str]:
    """Take in an entry; return the services that it concerns.

    `confirmed_ms` is when the listing was last known to be complete: what
    is new may have been written right after.
    """
    match record:
        case Configuration():
            return _take_configuration(listing, record)
        case UpstreamRecord():
            return _take_upstream(listing, now_ms, confirmed_ms, key, record)
        case ProxyRecord():
            listing.missing_since_ms.pop(key, None)
            listing.proxies[key] = record
            return _services(listing)


def _services(listing: Listing) -> set[str]:
    if listing.configuration is None:
        return set()
    return set(listing.configuration.max_connections)


def _take_configuration(
    listing: Listing, configuration: Configuration
) -> set[str]:
    current = listing.configuration
    if current is not None and configuration.version <= current.version:
        return set()
    before = _services(listing)
    listing.configuration = configuration
    return before | _services(listing)


def _take_upstream(
    listing: Listing,
    now_ms: int,
    confirmed_ms: int,
    key: str,
    record: UpstreamRecord,
) -> set[str]:
    known = listing.upstreams.get(key)
    if known is not None:
        if record.upstream.revision < known.upstream.revision:
            return set()
    listing.missing_since_ms.pop(key, None)
    if not record.upstream.leaving:
        listing.leaving_since_ms.pop(key, None)
    elif key not in listing.leaving_since_ms:
        listing.leaving_since_ms[key] = min(confirmed_ms, now_ms)
    listing.upstreams[key] = record
    return {record.service}


def record_removal(listing: Listing, now_ms: int, key: str) -> set[str]:
    """Take in that an entry is gone; return the services concerned."""
    if key not in listing.proxies and key not in listing.upstreams:
        return set()
    if key in listing.leaving_since_ms:
        return _remove(listing, key)
    listing.missing_since_ms.setdefault(key, now_ms)
    return set()


def _remove(listing: Listing, key: str) -> set[str]:
    listing.missing_since_ms.pop(key, None)
    if listing.proxies.pop(key, None) is not None:
        return _services(listing)
    record = listing.upstreams.pop(key)
    listing.leaving_since_ms.pop(key, None)
    return {record.service}


def reconcile(
    listing: Listing, now_ms: int, present: collections.abc.Container[str]
) -> set[str]:
    """Compare with a complete list; what it lacks is missing."""
    services: set[str] = set()
    for key in [*listing.upstreams, *listing.proxies]:
        if key not in present:
            services |= record_removal(listing, now_ms, key)
    return services


def remove_expired(
    listing: Listing, now_ms: int, away_since_ms: int | None
) -> set:
    """Remove what has been missing for too long; return the services.

    Nothing is removed while the service that lists is away.
    """
    services: set[str] = set()
    if away_since_ms is not None:
        return services
    for key, since_ms in list(listing.missing_since_ms.items()):
        is_proxy = key in listing.proxies
        kept_ms = PROXY_GRACE_MS if is_proxy else UPSTREAM_GRACE_MS
        if now_ms - since_ms >= kept_ms:
            services |= _remove(listing, key)
    return services


def upstreams_of(
    listing: Listing, now_ms: int, service: str
) -> tuple[messages.ListedUpstream, ...]:
    """Return a service's upstreams."""
    found = []
    for key, record in listing.upstreams.items():
        if record.service != service:
            continue
        upstream = record.upstream
        leaving_ms = listing.leaving_since_ms.get(key)
        if leaving_ms is not None:
            upstream = dataclasses.replace(
                upstream, leaving_for_ms=now_ms - leaving_ms
            )
        found.append(upstream)
    return tuple(found)


def proxies_of(
    listing: Listing, name: str, data_centre: str
) -> list[ownership.Proxy]:
    """Return the live proxies; this one is among them, listed or not."""
    found = {name: ownership.Proxy(name, data_centre)}
    for record in listing.proxies.values():
        found[record.name] = ownership.Proxy(record.name, record.data_centre)
    return [found[each] for each in sorted(found)]


def hop_addresses(listing: Listing) -> dict[str, str]:
    """Return where the live proxies take requests of others."""
    return {
        record.name: record.hop_address for record in listing.proxies.values()
    }
