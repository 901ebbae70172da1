"""Access the platform's key-value store over HTTP.

The store names its era in each answer. Its own revisions start over in a new
era, so they are combined with the era here.
"""

import base64
import collections
import typing
import urllib.parse

import msgspec
from tornado import httpclient

from topazring.core import revisions
from topazring import key_value
from topazring.plumbing import http_calls

__all__ = ['StoreClient']

# A watch may be answered somewhat later than its requested wait time.
WATCH_SLACK_S = 0.6
MAX_PAGES = 200
# A renewal is normally answered within milliseconds. Giving up early leaves
# time for the next renewal if the store never answers this one.
RENEWAL_TIMEOUT_S = 0.5
_ERA_HEADER = 'Store-Era'
# Revisions are encoded as signed integers.
REVISION_BITS = 63
MAX_NUMBER = 2**revisions.NUMBER_BITS - 1
MAX_ERA = 2 ** (REVISION_BITS - revisions.NUMBER_BITS) - 1

_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_LeaseId = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Item(msgspec.Struct):
    """Hold one item, or its deletion if `deleted` is set."""

    key: str
    revision: _Number
    # Encoded as Base64.
    value: str | None = None
    deleted: bool = False


class _Page(msgspec.Struct, rename='kebab'):
    items: list[_Item] = []
    has_more: bool = False
    # Revision of the whole store, from which a watch continues.
    current_rev: _Number = 0


class _Events(msgspec.Struct, rename='kebab'):
    events: list[_Item] = []
    current_rev: _Number = 0


class _Lease(msgspec.Struct, rename='kebab'):
    ttl_ms: _Milliseconds
    lease: _LeaseId = 0


class _Revision(msgspec.Struct):
    revision: _Number


_Body = typing.TypeVar('_Body')


class StoreClient:
    """Call the store over HTTP and count the calls by path."""

    def __init__(self, address: str):
        self.base = f'http://{address}'
        self.era = 0
        self.bad_answers = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.client = http_calls.make_client()

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    async def get(
        self, key: str
    ) -> key_value.Found | key_value.Missing | key_value.Unavailable:
        """Return the value of a key."""
        query = urllib.parse.urlencode({'key': key})
        reply = await self._call('GET', f'/-/kv-key?{query}')
        if isinstance(reply, key_value.Unavailable):
            return reply
        if reply.code == 404:
            return key_value.Missing()
        item = self._decode_body(reply, _Item)
        if isinstance(item, key_value.Unavailable):
            return item
        revision = revisions.in_era(self.era, item.revision)
        return key_value.Found(_decode_value(item), revision)

    async def put_all(
        self, values: tuple[key_value.Value, ...]
    ) -> (
        key_value.Written
        | key_value.Conflict
        | key_value.Missing
        | key_value.Unavailable
    ):
        """Write all values or none; return Missing if the lease has ended.

        A revision of an earlier era may have been given out again, to a value
        that the caller has not read.
        """
        expected_era = max(revisions.era_of(v.revision) for v in values)
        if any(self._is_outdated(value.revision) for value in values):
            return key_value.Conflict()
        body = {
            'expect': [
                {
                    'key': value.key,
                    'revision': revisions.number_of(value.revision),
                }
                for value in values
            ],
            'puts': [
                {
                    'key': value.key,
                    'value': base64.b64encode(value.value.encode()).decode(),
                    'lease': value.lease,
                }
                for value in values
            ],
            'remove': [],
        }
        reply = await self._call(
            'POST', '/-/kv-txn', body, least_era=expected_era
        )
        if isinstance(reply, key_value.Unavailable):
            return reply
        if reply.code == 412:
            return key_value.Conflict()
        if reply.code == 404:
            return key_value.Missing()
        written = self._decode_body(reply, _Revision)
        if isinstance(written, key_value.Unavailable):
            return written
        return key_value.Written(revisions.in_era(self.era, written.revision))

    async def read_all(
        self, prefix: str
    ) -> key_value.Changes | key_value.Unavailable:
        """Return all values under a prefix.

        The pages are not a consistent snapshot, so the returned revision is
        that of the first page: a watch that continues from it also reports
        the changes made between pages.
        """
        found: list[revisions.Change] = []
        first_revision: int | None = None
        era = 0
        after = ''
        for _ in range(MAX_PAGES):
            query = {'path-prefix': prefix}
            if after:
                query['after'] = after
            path = f'/-/kv-range?{urllib.parse.urlencode(query)}'
            reply = await self._call('GET', path)
            if isinstance(reply, key_value.Unavailable):
                return reply
            page = self._decode_body(reply, _Page)
            if isinstance(page, key_value.Unavailable):
                return page
            if first_revision is None:
                first_revision = page.current_rev
                era = self.era
            elif self.era != era:
                return key_value.Unavailable('a new era began between pages')
            found += [_change(era, item) for item in page.items]
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        upto = revisions.in_era(era, first_revision or 0)
        return key_value.Changes(0, upto, found)

    async def changes(
        self, prefix: str, since: int, wait_ms: int
    ) -> (
        key_value.Changes | key_value.HistoryCompacted | key_value.Unavailable
    ):
        """Return the changes under a prefix, waiting for the first one."""
        if self._is_outdated(since):
            return key_value.HistoryCompacted()
        era = revisions.era_of(since)
        after = revisions.number_of(since)
        query = urllib.parse.urlencode(
            {'path-prefix': prefix, 'after': after, 'wait-ms': wait_ms}
        )
        timeout_s = wait_ms / 1000 + WATCH_SLACK_S
        reply = await self._call(
            'GET', f'/-/kv-watch?{query}', timeout_s=timeout_s, least_era=era
        )
        if isinstance(reply, key_value.Unavailable):
            return reply
        if reply.code == 410 or self.era > era:
            return key_value.HistoryCompacted()
        page = self._decode_body(reply, _Events)
        if isinstance(page, key_value.Unavailable):
            return page
        found = [_change(era, item) for item in page.events]
        upto = revisions.in_era(era, page.current_rev)
        return key_value.Changes(since, upto, found)

    async def lease(
        self, ttl_ms: int
    ) -> key_value.Leased | key_value.Unavailable:
        """Create a lease."""
        reply = await self._call('POST', '/-/kv-lease', {'ttl-ms': ttl_ms})
        if isinstance(reply, key_value.Unavailable):
            return reply
        lease = self._decode_body(reply, _Lease)
        if isinstance(lease, key_value.Unavailable):
            return lease
        return key_value.Leased(lease.lease, lease.ttl_ms)

    async def renew_lease(
        self, lease: int
    ) -> key_value.Leased | key_value.Missing | key_value.Unavailable:
        """Renew a lease."""
        path = f'/-/kv-keep/{lease}'
        reply = await self._call('POST', path, timeout_s=RENEWAL_TIMEOUT_S)
        if isinstance(reply, key_value.Unavailable):
            return reply
        if reply.code == 404:
            return key_value.Missing()
        renewed = self._decode_body(reply, _Lease)
        if isinstance(renewed, key_value.Unavailable):
            return renewed
        return key_value.Leased(lease, renewed.ttl_ms)

    async def end(self, lease: int) -> bool:
        """End a lease and delete the values written under it."""
        reply = await self._call('DELETE', f'/-/kv-lease-end/{lease}')
        return not isinstance(reply, key_value.Unavailable)

    async def _call(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        timeout_s: float = http_calls.REQUEST_TIMEOUT_S,
        least_era: int = 0,
    ) -> httpclient.HTTPResponse | key_value.Unavailable:
        """Return an answer of the newest known era, which is `self.era` then.

        An answer of an earlier one was sent before the store's return. An era
        that other proxies have seen is given as `least_era`.
        """
        self.calls[path.split('?')[0]] += 1
        reply = await http_calls.call(
            self.client, method, self.base + path, body, timeout_s=timeout_s
        )
        if isinstance(reply, http_calls.NoResponse):
            return key_value.Unavailable(reply.detail)
        era = _era(reply)
        if era is None:
            self.bad_answers += 1
            return key_value.Unavailable('unreadable era')
        is_late = era < max(self.era, least_era)
        self.era = max(self.era, era)
        if reply.code not in (200, 404, 410, 412):
            return key_value.Unavailable(f'HTTP {reply.code}')
        if is_late:
            return key_value.Unavailable(f'answer of the earlier era {era}')
        return reply

    def _decode_body(
        self, reply: httpclient.HTTPResponse, kind: type[_Body]
    ) -> _Body | key_value.Unavailable:
        """Return the decoded body; an unreadable one counts as no answer."""
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except Exception as error:
            self.bad_answers += 1
            detail = f'unreadable answer: {type(error).__name__}: {error}'
            return key_value.Unavailable(detail)

    def _is_outdated(self, revision: int) -> bool:
        """Return whether a revision is of an earlier era; 0 is of none."""
        return bool(revision) and revisions.era_of(revision) < self.era


def _era(reply: httpclient.HTTPResponse) -> int | None:
    """Return the era that an answer names, 0 if it names none.

    Return None if it cannot be read: no later answer would be believed after
    an era that is out of range.
    """
    text = reply.headers.get(_ERA_HEADER, '')
    if not text:
        return 0
    if not text.isdecimal() or len(text) > len(str(MAX_ERA)):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None


def _decode_value(item: _Item) -> str:
    """Return an item's value, or an empty string if it is not text.

    Other programs write to the store too. An exception here would end the
    watch, and this process would receive no further changes. An empty value
    is not a valid entry of any kind, so it is logged as a bad entry.
    """
    try:
        return base64.b64decode(item.value or '').decode()
    except ValueError:
        return ''


def _change(era: int, item: _Item) -> revisions.Change:
    value = None if item.deleted else _decode_value(item)
    revision = revisions.in_era(era, item.revision)
    return revisions.Change(item.key, revision, value)
