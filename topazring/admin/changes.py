"""Change a configured value, and determine the outcome of the change."""

import asyncio
import dataclasses
import json
import uuid

from topazring import catalogue
from topazring import key_value
from topazring import platform_client

__all__ = [
    'Accepted',
    'NoResponse',
    'Unconfirmed',
    'Conflict',
    'Unchanged',
    'change_value',
    'make_key',
    'read_value',
    'wait_everywhere',
]

MAX_ATTEMPTS = 20
RETRY_DELAY_S = 0.25
POLL_INTERVAL_S = 0.1
_CHANGE_ID = 'change_id'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in force from `revision` on."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The value in force, since `revision`, was equal already."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another operator changed the value first; hold both values."""

    current: object
    requested: object
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """The service did not respond; the outcome of a change is unknown."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Some proxies did not confirm the revision in time; hold their names."""

    proxies: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """Hold a value as stored in the service.

    Without a value it is absent, or unreadable if it has a revision.
    """

    value: dict | None
    revision: int | None
    change_id: str


def make_key(kind: str, name: str) -> str:
    """Return the key under which a value is stored."""
    return f'{catalogue.PREFIX}{kind}/{name}'


async def read_value(
    platform: platform_client.PlatformClient, kind: str, name: str
) -> Stored | NoResponse:
    """Return the stored value, or NoResponse if the service is unavailable."""
    response = await platform.get(make_key(kind, name))
    match response:
        case key_value.Missing():
            return Stored(None, None, '')
        case key_value.Unavailable(detail=detail):
            return NoResponse(detail)
    try:
        value = json.loads(response.value)
        change_id = value.pop(_CHANGE_ID, '')
    except Exception:
        # Written by another program. An operator can replace it.
        return Stored(None, response.revision, '')
    return Stored(value, response.revision, change_id)


async def change_value(
    platform: platform_client.PlatformClient,
    kind: str,
    name: str,
    value: dict,
    expected: int | None,
) -> Accepted | Unchanged | Conflict | NoResponse:
    """Set a value by compare-and-swap against the revision `expected`.

    The answer to a swap can be lost after the swap took effect. The value
    therefore includes an id of the change: if a read returns that id, the
    change is in force. A retry without this read would report a conflict
    with the change itself.
    """
    change_id = uuid.uuid4().hex
    text = json.dumps({**value, _CHANGE_ID: change_id})
    detail = ''
    for _ in range(MAX_ATTEMPTS):
        written = await platform.put(make_key(kind, name), text, expected)
        if isinstance(written, key_value.Written):
            return Accepted(written.revision)
        stored = await read_value(platform, kind, name)
        if isinstance(stored, NoResponse):
            detail = stored.detail
            await asyncio.sleep(RETRY_DELAY_S)
            continue
        if stored.change_id == change_id:
            return Accepted(stored.revision)
        if stored.revision != expected:
            if stored.value == value:
                return Unchanged(stored.revision)
            return Conflict(stored.value, value, stored.revision or 0)
    return NoResponse(detail)


async def wait_everywhere(
    fetch, proxies: list[dict], revision: int, timeout_s: float
) -> Unconfirmed | None:
    """Wait until all proxies have a revision; return those that do not.

    `fetch(proxy)` returns the status of a proxy, or None if unreachable.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    unconfirmed = {proxy['name']: proxy for proxy in proxies}
    while True:
        names = list(unconfirmed)
        statuses = await asyncio.gather(
            *(fetch(unconfirmed[n]) for n in names)
        )
        for name, status in zip(names, statuses, strict=True):
            if status and status['seen']['configuration'] >= revision:
                del unconfirmed[name]
        if not unconfirmed:
            return None
        if loop.time() >= deadline_s:
            return Unconfirmed(sorted(unconfirmed))
        await asyncio.sleep(POLL_INTERVAL_S)
