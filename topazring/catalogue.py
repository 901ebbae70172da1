"""Check and hold what operators configure."""

import collections
import dataclasses
import hashlib
import json
import sys
import typing

import pydantic

from topazring.core import requests
from topazring.core import revisions

__all__ = [
    'Catalogue',
    'Database',
    'Organisation',
    'PREFIX',
    'UpstreamAddress',
    'apply_changes',
    'check',
    'hash_key',
    'kinds',
    'register_kind',
]

PREFIX = 'configuration/'
MAX_CACHED_DATABASES = 512

_kinds: dict[str, type[pydantic.BaseModel]] = {}


def register_kind(name: str):
    """Register the model of one kind of configured thing."""

    def register(model: type[pydantic.BaseModel]):
        _kinds[name] = model
        return model

    return register


def kinds() -> tuple[str, ...]:
    """Return the kinds of things that can be configured."""
    return tuple(_kinds)


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9_-]{0,62}$')
]
Milliseconds = typing.Annotated[int, pydantic.Field(ge=0, le=3_600_000)]


@register_kind('profile')
class ProfileModel(_Model):
    """Say what a class of traffic accepts."""

    max_staleness_ms: Milliseconds = 0
    repeatable: bool = False
    read_deadline_ms: Milliseconds = 2000
    write_deadline_ms: Milliseconds = 8000
    transaction_deadline_ms: Milliseconds = 30_000
    replica_wait_ms: Milliseconds = 20


@register_kind('organisation')
class OrganisationModel(_Model):
    """Hold the hash of an organisation's key, never the key."""

    key_sha256: str = pydantic.Field(pattern=r'^[0-9a-f]{64}$')


class UpstreamModel(_Model):
    """Say where an upstream listens."""

    name: Name
    host: str = '127.0.0.1'
    port: int = pydantic.Field(ge=1, le=65535)
    data_centre: str = ''


@register_kind('database')
class DatabaseModel(_Model):
    """Describe a database group."""

    region: str
    organisations: list[Name] = pydantic.Field(min_length=1)
    upstreams: list[UpstreamModel] = pydantic.Field(min_length=1)
    slots: int = pydantic.Field(3, ge=1)
    connections: int = pydantic.Field(25, ge=4)


@register_kind('token-key')
class TokenKeyModel(_Model):
    """Hold a key that signs session tokens; the last by name signs."""

    secret_hex: str = pydantic.Field(pattern=r'^[0-9a-f]{64,}$')


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Hold an organisation as configured."""

    name: str
    key_sha256: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAddress:
    """Say where an upstream listens."""

    name: str
    host: str
    port: int
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Database:
    """Hold a database group as configured."""

    name: str
    region: str
    organisations: frozenset[str]
    upstreams: tuple[UpstreamAddress, ...]
    slots: int
    connections: int


@dataclasses.dataclass(slots=True)
class Catalogue:
    """Hold all that is configured, ready for use."""

    profiles: dict[str, requests.Profile] = dataclasses.field(
        default_factory=dict
    )
    organisations: dict[str, Organisation] = dataclasses.field(
        default_factory=dict
    )
    # Most of 3,200 databases are of no use to one proxy: they are kept as
    # they came, with their regions, and built when asked for.
    database_texts: dict[str, str] = dataclasses.field(default_factory=dict)
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    database_cache: collections.OrderedDict[str, Database] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    token_keys: dict[str, bytes] = dataclasses.field(default_factory=dict)

    def database(self, name: str) -> Database | None:
        """Return a database, built anew if it was not used lately."""
        found = self.database_cache.get(name)
        if found is not None:
            self.database_cache.move_to_end(name)
            return found
        text = self.database_texts.get(name)
        if text is None:
            return None
        found = _build('database', name, _parse('database', text))
        self.database_cache[name] = found
        while len(self.database_cache) > MAX_CACHED_DATABASES:
            self.database_cache.popitem(last=False)
        return found

    def verifying_keys(self) -> list[bytes]:
        """Return the keys that a token may be signed with."""
        return list(self.token_keys.values())

    def signing_key(self) -> bytes | None:
        """Return the key that signs new tokens."""
        if not self.token_keys:
            return None
        return self.token_keys[max(self.token_keys)]


def hash_key(key: str) -> str:
    """Return the hash under which an organisation's key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


def check(kind: str, value: object) -> pydantic.BaseModel:
    """Check a value; raises pydantic.ValidationError."""
    return _kinds[kind].model_validate(value)


def apply_changes(
    catalogue: Catalogue, changes: list[revisions.Change]
) -> list[str]:
    """Take changes into the catalogue; return what was passed over.

    A value that does not pass its check was not written by this version's
    tools. The value in force stays in force: losing a profile would refuse
    all traffic that names it.
    """
    faults = []
    for change in changes:
        _, kind, name = change.key.split('/', 2)
        if kind not in _kinds:
            faults.append(f'{change.key}: unknown kind')
            continue
        if change.value is None:
            _drop(catalogue, kind, name)
            continue
        try:
            model = _parse(kind, change.value)
        except ValueError as error:
            faults.append(f'{change.key}: {error}')
            continue
        if kind == 'database':
            catalogue.database_cache.pop(name, None)
            catalogue.database_texts[name] = change.value
            catalogue.regions[name] = sys.intern(model.region)
        else:
            _table(catalogue, kind)[name] = _build(kind, name, model)
    return faults


def _parse(kind: str, text: str) -> pydantic.BaseModel:
    raw = json.loads(text)
    raw.pop('change_id', None)
    return check(kind, raw)


def _drop(catalogue: Catalogue, kind: str, name: str) -> None:
    if kind != 'database':
        _table(catalogue, kind).pop(name, None)
        return
    catalogue.database_cache.pop(name, None)
    catalogue.database_texts.pop(name, None)
    catalogue.regions.pop(name, None)


def _table(catalogue: Catalogue, kind: str) -> dict:
    return {
        'profile': catalogue.profiles,
        'organisation': catalogue.organisations,
        'token-key': catalogue.token_keys,
    }[kind]


def _build(kind: str, name: str, model):
    match kind:
        case 'profile':
            return requests.Profile(name, **model.model_dump())
        case 'organisation':
            return Organisation(name, model.key_sha256)
        case 'token-key':
            return bytes.fromhex(model.secret_hex)
    upstreams = tuple(
        UpstreamAddress(u.name, u.host, u.port, u.data_centre)
        for u in model.upstreams
    )
    return Database(
        name,
        model.region,
        frozenset(model.organisations),
        upstreams,
        model.slots,
        model.connections,
    )
