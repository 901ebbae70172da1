"""Change one configured value, and find out what came of it."""

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
    """Report that the change is in force from `revision` on."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """Report that the value was so already."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Report that another operator was first, with both versions."""

    current: object
    requested: object
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """Report that the service did not say whether the change took effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Name the proxies that do not confirm the revision in time."""

    proxies: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """Hold a value as the service has it."""

    value: dict | None
    revision: int | None
    change_id: str


def make_key(kind: str, name: str) -> str:
    """Return the key under which a configured thing is kept."""
    return f'{catalogue.PREFIX}{kind}/{name}'


async def read_value(
    platform: platform_client.PlatformClient, kind: str, name: str
) -> Stored | NoResponse:
    """Read what the service has."""
    found = await platform.get(make_key(kind, name))
    match found:
        case key_value.Missing():
            return Stored(None, None, '')
        case key_value.Unavailable(detail=detail):
            return NoResponse(detail)
    value = json.loads(found.value)
    change_id = value.pop(_CHANGE_ID, '')
    return Stored(value, found.revision, change_id)


async def change_value(
    platform: platform_client.PlatformClient,
    kind: str,
    name: str,
    value: dict,
    expected: int | None,
) -> Accepted | Unchanged | Conflict | NoResponse:
    """Set a value by compare-and-swap against the revision `expected`.

    The answer to a swap can be lost after it took effect. The change's own
    id in the value tells: if it is there on reading back, the change is in
    force; trying again blindly would report a race with oneself.
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
    """Wait until every proxy has the revision; name those that do not.

    `fetch(proxy)` returns a proxy's status, or None if it cannot be reached.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    missing = {proxy['name']: proxy for proxy in proxies}
    while True:
        names = list(missing)
        found = await asyncio.gather(*(fetch(missing[n]) for n in names))
        for name, status in zip(names, found, strict=True):
            if status and status['seen']['configuration'] >= revision:
                del missing[name]
        if not missing:
            return None
        if loop.time() >= until:
            return Unconfirmed(sorted(missing))
        await asyncio.sleep(POLL_INTERVAL_S)
