"""Decode the entries that the operator and the upstreams write to the store.

The structures below are the only place where wire names appear. Unknown
fields are ignored.
"""

import typing

import msgspec

from topazring.core import organisations
from topazring.core.synchronous import listing
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.pooler import settings

__all__ = ['decode', 'redact']

CONFIGURATION_KEY = 'op/config'
UPSTREAM_PREFIX = 'servers/'
_KEYS_FIELD = 'api-keys'
_HASHES_FIELD = 'key-hashes'

_FRESHNESS = {
    'primary': messages.Freshness.PRIMARY,
    'bounded_staleness': messages.Freshness.BOUNDED,
    'read_your_writes': messages.Freshness.SESSION,
}


class _Entry(msgspec.Struct, rename='kebab'):
    pass


class _Route(_Entry):
    # The database name that callers connect with.
    host: str
    service: str
    # Freshness required of reads; named `type` on the wire.
    type: str
    timeout_ms: int = 1000
    latency_goal_ms: int = 250
    priority: int = 1
    max_staleness_ms: int = 0
    # Whether callers need no key.
    anonymous: bool = False


class _Service(_Entry):
    name: str
    # Connections to each upstream of the service, over all proxies.
    max_conns: int = 20


class _Limits(_Entry):
    tx_idle_ms: int = 10_000


class _Tenant(_Entry):
    name: str
    # Only `redact` reads keys; it replaces them by their hashes.
    key_hashes: list[str] = []
    # Operations per second; unlimited if missing.
    rate_per_s: float | None = None
    # Operations beyond the rate that may come at once.
    burst: float | None = None


class _Configuration(_Entry):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    # None where no database needs a key.
    tenants: list[_Tenant] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Upstream(_Entry):
    service: str
    address: str
    zone: str = ''
    state: typing.Literal['ready', 'draining'] = 'ready'
    # Role that the upstream reports for itself.
    db_role: typing.Literal['primary', 'replica'] = 'replica'
    # Start of its process in Unix milliseconds. A recreated upstream keeps
    # its name, so this tells the two apart.
    born: int = 0
    # Counts the writes of its process; ignored unless it is a number.
    sequence: object = None
    # Statements that it runs at a time; ignored unless it is a number.
    capacity: object = None


_decode_configuration = msgspec.json.Decoder(_Configuration).decode
_decode_upstream = msgspec.json.Decoder(_Upstream).decode


def decode(key: str, value: str, revision: int) -> listing.Record | None:
    """Return the decoded entry, or None for a key of another kind.

    Raises ValueError on a malformed entry: other programs write to the store
    too, so an entry that cannot be decoded completely must not be used as an
    upstream.
    """
    if key == CONFIGURATION_KEY:
        return _to_configuration(_decode_configuration(value))
    if key.startswith(UPSTREAM_PREFIX):
        name = key.removeprefix(UPSTREAM_PREFIX)
        return _to_upstream(name, _decode_upstream(value), revision)
    return None


def redact(key: str, value: str) -> str:
    """Return the value of an entry with its API keys replaced by hashes.

    A value that cannot be decoded becomes empty, as it may hold keys.
    """
    if key != CONFIGURATION_KEY or f'"{_KEYS_FIELD}"' not in value:
        return value
    try:
        raw = msgspec.json.decode(value)
        for tenant in raw.get('tenants') or ():
            keys = tenant.pop(_KEYS_FIELD, [])
            tenant[_HASHES_FIELD] = [
                organisations.hash_key(each) for each in keys if each
            ]
    except (ValueError, KeyError, TypeError, AttributeError):
        return ''
    return msgspec.json.encode(raw).decode()


def _to_configuration(raw: _Configuration) -> listing.Configuration:
    return listing.Configuration(
        raw.version,
        {
            route.host: messages.Policy(
                route.host,
                route.service,
                _FRESHNESS[route.type],
                route.max_staleness_ms,
                route.timeout_ms,
                route.latency_goal_ms,
                route.priority,
                raw.version,
                raw.limits.tx_idle_ms,
                raw.tenants is None or route.anonymous,
            )
            for route in raw.routes
            if route.type in _FRESHNESS
        },
        {service.name: service.max_conns for service in raw.services},
        None if raw.tenants is None else _to_organisations(raw.tenants),
    )


def _to_organisations(
    tenants: list[_Tenant],
) -> organisations.Organisations:
    for tenant in tenants:
        if not tenant.name or not tenant.name.isprintable():
            raise ValueError('an organisation has an invalid name')
        if ' ' in tenant.name:
            raise ValueError('the name of an organisation has a blank')
    return organisations.make_organisations(
        {tenant.name: tenant.key_hashes for tenant in tenants},
        {
            tenant.name: _to_quota(tenant)
            for tenant in tenants
            if tenant.rate_per_s is not None
        },
    )


def _to_quota(tenant: _Tenant) -> organisations.Quota:
    burst = tenant.rate_per_s if tenant.burst is None else tenant.burst
    if tenant.rate_per_s < 0 or burst < 0:
        raise ValueError('a quota is negative')
    return organisations.Quota(tenant.rate_per_s, burst)


def _to_upstream(
    name: str, raw: _Upstream, revision: int
) -> listing.UpstreamRecord:
    if not settings.endpoint(raw.address).host:
        raise ValueError('the address has no host')
    role = statements.Role.REPLICA
    if raw.db_role == 'primary':
        role = statements.Role.PRIMARY
    return listing.UpstreamRecord(
        raw.service,
        messages.ListedUpstream(
            name,
            raw.address,
            raw.zone,
            role,
            revision,
            raw.state == 'draining',
            born_ms=raw.born,
            slots=_to_slots(raw.capacity),
        ),
        raw.sequence if isinstance(raw.sequence, int) else None,
    )


def _to_slots(capacity: object) -> int:
    """Return the slots of an upstream, 0 if its entry does not say."""
    if isinstance(capacity, bool) or not isinstance(capacity, int):
        return 0
    return max(0, capacity)
