"""Decode what the operator and the upstreams write to the store.

Wire names appear in the structures below and nowhere else; unknown fields
are ignored.
"""

import typing

import msgspec

from topazring.core.synchronous import listing
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.pooler import settings

__all__ = ['decode']

CONFIGURATION_KEY = 'op/config'
UPSTREAM_PREFIX = 'servers/'

_FRESHNESS = {
    'primary': messages.Freshness.PRIMARY,
    'bounded_staleness': messages.Freshness.BOUNDED,
    'read_your_writes': messages.Freshness.SESSION,
}


class _Entry(msgspec.Struct, rename='kebab'):
    pass


class _Route(_Entry):
    # Callers name the database by it.
    host: str
    service: str
    # What a read has to see; called a type on the wire.
    type: str
    timeout_ms: int = 1000
    latency_goal_ms: int = 250
    priority: int = 1
    max_staleness_ms: int = 0


class _Service(_Entry):
    name: str
    # From all proxies together, to each of its upstreams.
    max_conns: int = 20


class _Limits(_Entry):
    tx_idle_ms: int = 10_000


class _Configuration(_Entry):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Upstream(_Entry):
    service: str
    address: str
    zone: str = ''
    state: typing.Literal['ready', 'draining'] = 'ready'
    # How it sees itself.
    db_role: typing.Literal['primary', 'replica'] = 'replica'
    # When its process began, in Unix milliseconds; its name stays the same.
    born: int = 0


_decode_configuration = msgspec.json.Decoder(_Configuration).decode
_decode_upstream = msgspec.json.Decoder(_Upstream).decode


def decode(key: str, value: str, revision: int) -> listing.Record | None:
    """Return an entry, None if it is none of ours.

    Raises ValueError on an entry of another form: others write there too,
    and what is not wholly understood names nobody.
    """
    if key == CONFIGURATION_KEY:
        return _configuration(_decode_configuration(value))
    if key.startswith(UPSTREAM_PREFIX):
        name = key.removeprefix(UPSTREAM_PREFIX)
        return _upstream(name, _decode_upstream(value), revision)
    return None


def _configuration(raw: _Configuration) -> listing.Configuration:
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
            )
            for route in raw.routes
            if route.type in _FRESHNESS
        },
        {service.name: service.max_conns for service in raw.services},
    )


def _upstream(
    name: str, raw: _Upstream, revision: int
) -> listing.UpstreamRecord:
    if not settings.endpoint(raw.address).host:
        raise ValueError('the address names no host')
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
        ),
    )
