"""Keep what the platform lists: configuration, upstreams and proxies.

The configuration version never decreases. An upstream whose entry expires is
kept for a grace period, because entries also expire while the service that
holds them is unavailable. They reappear about two seconds after the service.
The same holds for entries that the service has lost in a return from an older
copy, also of upstreams that were leaving.
"""

import collections.abc
import dataclasses

from topazring.core import organisations
from topazring.core import revisions
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership

__all__ = [
    'Configuration',
    'Listing',
    'ProxyRecord',
    'Record',
    'UpstreamRecord',
    'apply_record',
    'are_owners_weighed',
    'hop_addresses',
    'old_proxies',
    'organisation_proxies',
    'proxies_of',
    'reconcile',
    'record_removal',
    'remove_expired',
    'upstreams_of',
]

# An upstream whose entry is missing for longer is removed. According to the
# users, entries reappear two seconds after the service returns.
UPSTREAM_GRACE_MS = 2200
# A proxy checks its lease every 10 s and lists itself again if it has expired.
# All proxy entries may expire while the service is unavailable, and each proxy
# would then assume that it is the only owner of every group until the other
# proxies are listed again.
PROXY_GRACE_MS = 12_000


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    policies: collections.abc.Mapping[str, messages.Policy]
    # By service: connections that one upstream accepts from all proxies.
    max_connections: collections.abc.Mapping[str, int]
    # None if no database needs a key.
    known_organisations: organisations.Organisations | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream's own entry and the service that it belongs to."""

    service: str
    upstream: messages.ListedUpstream
    # Counts the writes of the upstream's process, if it says so.
    sequence: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyRecord:
    """The entry of one live proxy."""

    name: str
    data_centre: str
    peer_address: str = ''
    hop_address: str = ''
    # Whether it runs forwarded requests in the name of their organisation.
    carries_organisations: bool = False
    # Whether it chooses owners by weights and slots, and its own weight.
    weighs_owners: bool = False
    weight: float = 1.0


Record = Configuration | UpstreamRecord | ProxyRecord


@dataclasses.dataclass(slots=True)
class Listing:
    """All listed entries, by the platform's key."""

    configuration: Configuration | None = None
    upstreams: dict[str, UpstreamRecord] = dataclasses.field(
        default_factory=dict
    )
    # Since when each missing entry is missing, unless the upstream had
    # announced that it was leaving.
    missing_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    # Lower bound of the time at which each upstream started to leave.
    leaving_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    proxies: dict[str, ProxyRecord] = dataclasses.field(default_factory=dict)


def apply_record(
    listing: Listing,
    now_ms: int,
    confirmed_ms: int,
    key: str,
    record: Record,
) -> set[str]:
    """Apply a new or changed entry; return the affected services.

    `confirmed_ms` is when the listing was last known to be complete; a new
    entry may have been written immediately after that.
    """
    match record:
        case Configuration():
            return _apply_configuration(listing, record)
        case UpstreamRecord():
            return _apply_upstream(listing, now_ms, confirmed_ms, key, record)
        case ProxyRecord():
            listing.missing_since_ms.pop(key, None)
            listing.proxies[key] = record
            return _services(listing)


def _services(listing: Listing) -> set[str]:
    if listing.configuration is None:
        return set()
    return set(listing.configuration.max_connections)


def _apply_configuration(
    listing: Listing, configuration: Configuration
) -> set[str]:
    current = listing.configuration
    if current is not None and configuration.version <= current.version:
        return set()
    before = _services(listing)
    listing.configuration = configuration
    return before | _services(listing)


def _apply_upstream(
    listing: Listing,
    now_ms: int,
    confirmed_ms: int,
    key: str,
    record: UpstreamRecord,
) -> set[str]:
    current = listing.upstreams.get(key)
    if current is not None:
        if record.upstream.revision < current.upstream.revision:
            return set()
    listing.missing_since_ms.pop(key, None)
    if current is not None and _is_older_write(record, current):
        return set()
    if not record.upstream.leaving:
        listing.leaving_since_ms.pop(key, None)
    elif key not in listing.leaving_since_ms:
        listing.leaving_since_ms[key] = min(confirmed_ms, now_ms)
    listing.upstreams[key] = record
    return {record.service}


def _is_older_write(record: UpstreamRecord, current: UpstreamRecord) -> bool:
    """Return whether the service's copy had an earlier entry of a process.

    Within an era the later revision is the later write, whatever it counts.
    """
    if _era_of(record) == _era_of(current):
        return False
    if record.upstream.born_ms != current.upstream.born_ms:
        return False
    if record.sequence is None or current.sequence is None:
        return False
    return record.sequence < current.sequence


def _era_of(record: UpstreamRecord) -> int:
    return revisions.era_of(record.upstream.revision)


def record_removal(
    listing: Listing, now_ms: int, key: str, is_return: bool = False
) -> set[str]:
    """Record that an entry is missing; return the affected services.

    An upstream that had announced that it was leaving is removed immediately,
    unless the service has lost its entry in a return from an older copy.
    """
    if key not in listing.proxies and key not in listing.upstreams:
        return set()
    if key in listing.leaving_since_ms and not is_return:
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
    """Compare with a complete list; return the affected services.

    Entries that are not in `present` are recorded as missing.
    """
    services: set[str] = set()
    for key in [*listing.upstreams, *listing.proxies]:
        if key not in present:
            services |= record_removal(listing, now_ms, key)
    return services


def remove_expired(
    listing: Listing, now_ms: int, unavailable_since_ms: int | None
) -> set:
    """Remove entries missing for too long; return the affected services.

    Nothing is removed while the service that holds the list is unavailable.
    """
    services: set[str] = set()
    if unavailable_since_ms is not None:
        return services
    for key, since_ms in list(listing.missing_since_ms.items()):
        is_proxy = key in listing.proxies
        grace_ms = PROXY_GRACE_MS if is_proxy else UPSTREAM_GRACE_MS
        if now_ms - since_ms >= grace_ms:
            services |= _remove(listing, key)
    return services


def upstreams_of(
    listing: Listing, now_ms: int, service: str
) -> tuple[messages.ListedUpstream, ...]:
    """Return a service's upstreams and for how long they have been leaving."""
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


def are_owners_weighed(listing: Listing) -> bool:
    """Return whether all listed proxies know weights and slots.

    A proxy of an older build knows neither. While there is one, all choose
    owners as it does, because they would not agree otherwise.
    """
    return all(record.weighs_owners for record in listing.proxies.values())


def proxies_of(
    listing: Listing, name: str, data_centre: str, weight: float = 1.0
) -> list[ownership.Proxy]:
    """Return the live proxies, including this one even if it is not listed.

    While owners are not weighed, all weights are equal.
    """
    is_weighed = are_owners_weighed(listing)
    own_weight = weight if is_weighed else 1.0
    proxies = {name: ownership.Proxy(name, data_centre, own_weight)}
    for record in listing.proxies.values():
        proxies[record.name] = ownership.Proxy(
            record.name,
            record.data_centre,
            record.weight if is_weighed else 1.0,
        )
    return [proxies[each] for each in sorted(proxies)]


def old_proxies(listing: Listing) -> frozenset[str]:
    """Return the live proxies that ignore the organisation of a request."""
    return frozenset(
        record.name
        for record in listing.proxies.values()
        if not record.carries_organisations
    )


def organisation_proxies(listing: Listing, name: str) -> frozenset[str]:
    """Return the live proxies that know organisations, and this one."""
    names = {record.name for record in listing.proxies.values()}
    return frozenset(names - old_proxies(listing) | {name})


def hop_addresses(listing: Listing) -> dict[str, str]:
    """Return the addresses at which live proxies accept forwarded requests."""
    return {
        record.name: record.hop_address for record in listing.proxies.values()
    }
