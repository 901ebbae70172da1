"""Access the platform's key-value service and its list of instances."""

import collections
import json
import typing
import urllib.parse

import msgspec
from tornado import httpclient

from topazring.core import revisions
from topazring import key_value

__all__ = ['PlatformClient']

REQUEST_TIMEOUT_S = 2.0
# Proxies send revisions to each other as signed integers.
MAX_REVISION = 2**63 - 1


class _Page(msgspec.Struct):
    revision: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
    changes: list[revisions.Change]
    more: bool = False

    def __post_init__(self):
        for change in self.changes:
            if not 0 <= change.revision <= MAX_REVISION:
                raise ValueError('the revision of a change is out of range')


_UNREADABLE = key_value.Unavailable('the answer names no revision')
_decode_page = msgspec.json.Decoder(_Page).decode


class PlatformClient:
    """Call the platform's service and count the calls by method."""

    def __init__(self, host: str, port: int, caller: str):
        self.base = f'http://{host}:{port}'
        self.caller = caller
        self.calls: collections.Counter[str] = collections.Counter()
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=20
        )

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    async def get(
        self, key: str
    ) -> key_value.Found | key_value.Missing | key_value.Unavailable:
        """Return the value of a key."""
        reply = await self._call('GET', _path('kv', key))
        if isinstance(reply, key_value.Unavailable):
            return reply
        if reply.code == 404:
            return key_value.Missing()
        revision = _revision(reply)
        if revision is None:
            return _UNREADABLE
        # Text that no reader can use, if another program wrote bytes.
        text = reply.body.decode(errors='replace')
        return key_value.Found(text, revision)

    async def put(
        self, key: str, value: str, revision: int | None
    ) -> key_value.Written | key_value.Conflict | key_value.Unavailable:
        """Write a value if it is at `revision`, or absent if that is None."""
        reply = await self._call(
            'PUT',
            _path('kv', key),
            body=value,
            headers=_precondition_headers(revision),
        )
        return _write_result(reply)

    async def delete(
        self, key: str, revision: int
    ) -> key_value.Written | key_value.Conflict | key_value.Unavailable:
        """Delete a value if it is at `revision`."""
        reply = await self._call(
            'DELETE', _path('kv', key), headers=_precondition_headers(revision)
        )
        return _write_result(reply)

    async def changes(
        self, prefix: str, since: int, wait_ms: int = 0
    ) -> key_value.Changes | key_value.Unavailable:
        """Return the changes under a prefix.

        Waits up to `wait_ms` for the first change.
        """
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'since': since, 'wait_ms': wait_ms}
        )
        return await self._read_changes(f'/watch?{query}', since, wait_ms)

    async def instances(
        self, since: int, wait_ms: int = 0
    ) -> key_value.Changes | key_value.Unavailable:
        """Return the changes in the list of instances."""
        query = f'since={since}&wait_ms={wait_ms}'
        return await self._read_changes(f'/instances?{query}', since, wait_ms)

    async def all_changes(
        self, prefix: str
    ) -> key_value.Changes | key_value.Unavailable:
        """Return all values under a prefix, reading every page."""
        return await _read_pages(lambda since: self.changes(prefix, since))

    async def all_instances(self) -> key_value.Changes | key_value.Unavailable:
        """Return the whole list of instances, reading every page."""
        return await _read_pages(self.instances)

    async def announce(self, name: str, instance: dict) -> bool:
        """List this instance; return whether the service answered."""
        reply = await self._call(
            'PUT', _path('instances', name), body=json.dumps(instance)
        )
        return not isinstance(reply, key_value.Unavailable)

    async def withdraw(self, name: str) -> bool:
        """Remove this instance from the list.

        Returns whether the service answered.
        """
        reply = await self._call('DELETE', _path('instances', name))
        return not isinstance(reply, key_value.Unavailable)

    async def _read_changes(
        self, path: str, since: int, wait_ms: int
    ) -> key_value.Changes | key_value.Unavailable:
        reply = await self._call('GET', path, wait_ms=wait_ms)
        if isinstance(reply, key_value.Unavailable):
            return reply
        try:
            page = _decode_page(reply.body)
        except Exception as error:
            self.calls['unreadable'] += 1
            return key_value.Unavailable(f'unreadable: {error}')
        return key_value.Changes(since, page.revision, page.changes, page.more)

    async def _call(
        self,
        method: str,
        path: str,
        body: str | None = None,
        headers: dict | None = None,
        wait_ms: int = 0,
    ) -> httpclient.HTTPResponse | key_value.Unavailable:
        self.calls[method.lower()] += 1
        try:
            reply = await self.client.fetch(
                self.base + path,
                method=method,
                body=body,
                headers={'X-Caller': self.caller, **(headers or {})},
                connect_timeout=REQUEST_TIMEOUT_S,
                request_timeout=REQUEST_TIMEOUT_S + wait_ms / 1000,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError) as error:
            self.calls['unavailable'] += 1
            return key_value.Unavailable(str(error))
        if reply.code == 599 or reply.code >= 500:
            self.calls['unavailable'] += 1
            return key_value.Unavailable(str(reply.error))
        return reply


async def _read_pages(read_page) -> key_value.Changes | key_value.Unavailable:
    found: list[revisions.Change] = []
    since = 0
    while True:
        page = await read_page(since)
        if isinstance(page, key_value.Unavailable):
            return page
        found += page.changes
        since = page.upto
        if not page.more:
            return key_value.Changes(0, since, found)


def _path(collection: str, key: str) -> str:
    """Return the path of a value, whatever its key holds."""
    return f'/{collection}/{urllib.parse.quote(key)}'


def _precondition_headers(revision: int | None) -> dict[str, str]:
    if revision is None:
        return {'If-None-Match': '*'}
    return {'If-Match': f'"{revision}"'}


def _revision(reply: httpclient.HTTPResponse) -> int | None:
    """Return the revision that an answer names, None if it is unreadable."""
    text = reply.headers.get('ETag', '').strip('"')
    if not text.isascii() or not text.isdecimal():
        return None
    if len(text) > len(str(MAX_REVISION)) or int(text) > MAX_REVISION:
        return None
    return int(text)


def _write_result(
    reply: httpclient.HTTPResponse | key_value.Unavailable,
) -> key_value.Written | key_value.Conflict | key_value.Unavailable:
    if isinstance(reply, key_value.Unavailable):
        return reply
    if reply.code in (404, 412):
        return key_value.Conflict()
    if reply.code == 413:
        return key_value.Unavailable('the value is too large for the service')
    revision = _revision(reply)
    return _UNREADABLE if revision is None else key_value.Written(revision)
