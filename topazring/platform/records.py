"""Decode the entries that the operator and the upstreams write to the store.

The structures below are the only place where wire names appear. Unknown
fields are ignored.
"""

import functools
import ipaddress
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

# JSON numbers are exact up to here, and so are floating point numbers.
_MAX_COUNT = 2**53
# No upstream runs as many statements at a time.
_MAX_SLOTS = 10_000
_MAX_PRIORITY = 1_000
_MAX_ADDRESSES = 20_000

_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Slots = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
_Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_PRIORITY)]
_Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Text = typing.Annotated[str, msgspec.Meta(min_length=1)]

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
    timeout_ms: _Count = 1000
    latency_goal_ms: _Count = 250
    priority: _Priority = 1
    max_staleness_ms: _Count = 0
    # Whether callers need no key.
    anonymous: bool = False


class _Service(_Entry):
    name: str
    # Connections to each upstream of the service, over all proxies.
    max_conns: _Count = 20


class _Limits(_Entry):
    tx_idle_ms: _Count = 10_000


class _Tenant(_Entry):
    name: str
    # Only `redact` reads keys; it replaces them by their hashes.
    key_hashes: list[str] = []
    # Operations per second; unlimited if missing.
    rate_per_s: _Rate | None = None
    # Operations beyond the rate that may come at once.
    burst: _Rate | None = None


class _Configuration(_Entry):
    version: _Count
    routes: list[_Route] = []
    services: list[_Service] = []
    # None where no database needs a key.
    tenants: list[_Tenant] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Upstream(_Entry):
    service: _Text
    address: str
    zone: str
    state: typing.Literal['ready', 'draining']
    # Role that the upstream reports for itself.
    db_role: typing.Literal['primary', 'replica']
    # Start of its process in Unix milliseconds. A recreated upstream keeps
    # its name, so this tells the two apart.
    born: _Count = 0
    # Counts the writes of its process.
    sequence: _Count | msgspec.UnsetType = msgspec.UNSET
    # Statements that it runs at a time; 0 if it does not say.
    capacity: _Slots = 0


_decode_configuration = msgspec.json.Decoder(_Configuration).decode
_decode_upstream = msgspec.json.Decoder(_Upstream).decode
# For `redact`, which leaves what it does not know as it is.
_Fields = dict[str, msgspec.Raw]
_decode_fields = msgspec.json.Decoder(_Fields).decode
_decode_tenants = msgspec.json.Decoder(list[_Fields] | None).decode
_decode_keys = msgspec.json.Decoder(list[str | None]).decode


def decode(key: str, value: str, revision: int) -> listing.Record | None:
    """Return the decoded entry, or None for a key of another kind.

    Raises ValueError on a malformed entry, or another error of the decoder:
    other programs write to the store too, so an entry that cannot be decoded
    completely must not be used as an upstream. What is returned is within the
    range that all parts of the proxy can use.
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
        raw = _decode_fields(value)
        tenants = _decode_tenants(raw.get('tenants', b'null')) or []
        for tenant in tenants:
            keys = _decode_keys(tenant.pop(_KEYS_FIELD, b'[]'))
            tenant[_HASHES_FIELD] = [
                organisations.hash_key(each) for each in keys if each
            ]
    except (ValueError, KeyError, TypeError, AttributeError):
        return ''
    if tenants:
        raw['tenants'] = tenants
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
        _check_name(tenant.name)
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
    return organisations.Quota(tenant.rate_per_s, burst)


def _to_upstream(
    name: str, raw: _Upstream, revision: int
) -> listing.UpstreamRecord:
    _check_name(name)
    _check_address(raw.address)
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
            slots=raw.capacity,
        ),
        None if raw.sequence is msgspec.UNSET else raw.sequence,
    )


def _check_name(name: str) -> None:
    """Raise ValueError if a name does not fit in a line of the protocol."""
    if not name or not name.isprintable() or ' ' in name:
        raise ValueError('a name is empty or has a blank or unprintable text')


@functools.lru_cache(_MAX_ADDRESSES)
def _check_address(address: str) -> None:
    """Raise ValueError unless an address is an IP number and a port.

    Looking up a host name would block the process.
    """
    ipaddress.IPv4Address(settings.endpoint(address).host)
