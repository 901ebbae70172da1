"""Validate and hold the values that operators configure."""

import collections
import dataclasses
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
    'kinds',
    'register_kind',
]

PREFIX = 'configuration/'
MAX_CACHED_DATABASES = 512

_kinds: dict[str, type[pydantic.BaseModel]] = {}


def register_kind(name: str):
    """Register the model of one kind of configured value."""

    def register(model: type[pydantic.BaseModel]):
        _kinds[name] = model
        return model

    return register


def kinds() -> tuple[str, ...]:
    """Return the kinds of values that can be configured."""
    return tuple(_kinds)


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9_-]{0,62}$')
]
Milliseconds = typing.Annotated[int, pydantic.Field(ge=0, le=3_600_000)]


@register_kind('profile')
class ProfileModel(_Model):
    """Describe the staleness and deadlines that a traffic class accepts."""

    max_staleness_ms: Milliseconds = 0
    repeatable: bool = False
    read_deadline_ms: Milliseconds = 2000
    write_deadline_ms: Milliseconds = 8000
    transaction_deadline_ms: Milliseconds = 30_000
    replica_wait_ms: Milliseconds = 20


@register_kind('organisation')
class OrganisationModel(_Model):
    """Hold the hash of an organisation's key; the key is never stored."""

    key_sha256: str = pydantic.Field(pattern=r'^[0-9a-f]{64}$')


class UpstreamModel(_Model):
    """Describe the address and data centre of an upstream."""

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
    """Hold a key for session tokens.

    New tokens are signed with the key whose name sorts last.
    """

    secret_hex: str = pydantic.Field(pattern=r'^[0-9a-f]{64,}$')


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Hold an organisation as configured."""

    name: str
    key_sha256: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAddress:
    """Describe the address and data centre of an upstream."""

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
    """Hold all configured values in a form that is ready for use."""

    profiles: dict[str, requests.Profile] = dataclasses.field(
        default_factory=dict
    )
    organisations: dict[str, Organisation] = dataclasses.field(
        default_factory=dict
    )
    # One proxy uses few of the 3,200 databases, so each is stored as the text
    # received, with its region, and parsed when it is first requested.
    database_texts: dict[str, str] = dataclasses.field(default_factory=dict)
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    database_cache: collections.OrderedDict[str, Database] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    token_keys: dict[str, bytes] = dataclasses.field(default_factory=dict)

    def database(self, name: str) -> Database | None:
        """Return a database from the cache, or parse it; None if unknown."""
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
        """Return the keys that are accepted for verifying tokens."""
        return list(self.token_keys.values())

    def signing_key(self) -> bytes | None:
        """Return the key for signing new tokens, None if there is none."""
        if not self.token_keys:
            return None
        return self.token_keys[max(self.token_keys)]


def check(kind: str, value: object) -> pydantic.BaseModel:
    """Validate a value; raise pydantic.ValidationError if invalid."""
    return _kinds[kind].model_validate(value)


def apply_changes(
    catalogue: Catalogue, changes: list[revisions.Change]
) -> list[str]:
    """Apply changes to the catalogue; return messages for those skipped.

    A value that fails validation was not written by the tools of this
    version. The previous value stays in force, because dropping a profile
    would cause all traffic that names it to be refused.
    """
    errors = []
    for change in changes:
        try:
            _apply_change(catalogue, change)
        except Exception as error:
            # Values of other programs make a decoder fail in any way. None of
            # them may keep the changes behind it from being applied.
            errors.append(f'{change.key}: {type(error).__name__}: {error}')
    return errors


def _apply_change(catalogue: Catalogue, change: revisions.Change) -> None:
    _, kind, name = change.key.split('/', 2)
    if kind not in _kinds:
        raise ValueError('unknown kind')
    if change.value is None:
        _remove(catalogue, kind, name)
        return
    model = _parse(kind, change.value)
    if kind == 'database':
        catalogue.database_cache.pop(name, None)
        catalogue.database_texts[name] = change.value
        catalogue.regions[name] = sys.intern(model.region)
    else:
        _table_of(catalogue, kind)[name] = _build(kind, name, model)


def _parse(kind: str, text: str) -> pydantic.BaseModel:
    raw = json.loads(text)
    raw.pop('change_id', None)
    return check(kind, raw)


def _remove(catalogue: Catalogue, kind: str, name: str) -> None:
    if kind != 'database':
        _table_of(catalogue, kind).pop(name, None)
        return
    catalogue.database_cache.pop(name, None)
    catalogue.database_texts.pop(name, None)
    catalogue.regions.pop(name, None)


def _table_of(catalogue: Catalogue, kind: str) -> dict:
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
        UpstreamAddress(
            upstream.name,
            upstream.host,
            upstream.port,
            upstream.data_centre,
        )
        for upstream in model.upstreams
    )
    return Database(
        name,
        model.region,
        frozenset(model.organisations),
        upstreams,
        model.slots,
        model.connections,
    )
