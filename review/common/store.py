"""Stand-in of the platform's metadata store, over HTTP/1.1."""

import asyncio
import base64
import itertools
import json
import time
import urllib.parse

PAGE_ITEMS = 50
HISTORY = 5000


class Store:
    """Hold keys, leases and the history of changes."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.lease_numbers = itertools.count(7001)
        self.changed = asyncio.Event()
        self.servers = []
        self.address = ''
        self.task = None

    async def start(self):
        """Listen on a free port."""
        self.address = await self.listen({})
        self.task = asyncio.create_task(self._expire_forever())

    async def listen(self, translated):
        """Listen on another port; return its address.

        Its callers get some addresses instead of others, so that a link of
        the test lies on their way.
        """

        async def serve(reader, writer):
            await self._serve(reader, writer, translated)

        server = await asyncio.start_server(
            serve, '127.0.0.1', 0, limit=1 << 22
        )
        self.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def close(self):
        """Stop listening."""
        self.task.cancel()
        for server in self.servers:
            server.close()

    def put(self, key, value, lease=0):
        """Write a value and return its revision: the acknowledgement."""
        self.revision += 1
        before = self.items.get(key)
        created = before['created'] if before else self.revision
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self._record(item)
        return self.revision

    def put_json(self, key, value):
        """Write a value as JSON."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record({'key': key, 'revision': self.revision, 'deleted': True})

    def _record(self, event):
        self.events.append(event)
        del self.events[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire_forever(self):
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (ends_s, _) in list(self.leases.items()):
                if now_s >= ends_s:
                    self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.remove(key)

    # ---- HTTP ----

    async def _serve(self, reader, writer, translated):
        try:
            while True:
                line = (await reader.readline()).decode().split()
                if len(line) < 2:
                    break
                length = 0
                while (header := await reader.readline()) not in (
                    b'\r\n',
                    b'',
                ):
                    name, _, value = header.decode().partition(':')
                    if name.lower() == 'content-length':
                        length = int(value)
                body = await reader.readexactly(length) if length else b''
                code, answer = await self._answer(line[0], line[1], body)
                for name in ('items', 'events') if translated else ():
                    if name in answer:
                        answer[name] = [
                            _translate(item, translated)
                            for item in answer[name]
                        ]
                text = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {code} -\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(text)}\r\n\r\n'.encode()
                    + text
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The caller left, or the case has ended.
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path
        if path == '/-/kv-key':
            item = self.items.get(query.get('key', ''))
            if item is None:
                return 404, {'current-rev': self.revision}
            return 200, {**item, 'current-rev': self.revision}
        if path == '/-/kv-range':
            return self._range(query)
        if path == '/-/kv-watch':
            return await self._watch(query)
        if path == '/-/kv-txn':
            return self._txn(json.loads(body))
        if path == '/-/kv-lease':
            ttl_ms = max(1000, min(600_000, json.loads(body)['ttl-ms']))
            lease = next(self.lease_numbers)
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {'lease': lease, 'ttl-ms': ttl_ms}
        kind, _, number = path.rpartition('/')
        if kind == '/-/kv-keep' and int(number) in self.leases:
            ttl_ms = self.leases[int(number)][1]
            ends_s = time.monotonic() + ttl_ms / 1000
            self.leases[int(number)] = (ends_s, ttl_ms)
            return 200, {'ttl-ms': ttl_ms}
        if kind == '/-/kv-lease-end' and int(number) in self.leases:
            self._end(int(number))
            return 200, {}
        return 404, {}

    def _range(self, query):
        prefix, after = query.get('path-prefix', ''), query.get('after', '')
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return 200, {
            'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
            'has-more': len(keys) > PAGE_ITEMS,
            'current-rev': self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get('path-prefix', ''), int(query['after'])
        ends_s = time.monotonic() + int(query.get('wait-ms', 0)) / 1000
        while True:
            if self.events and self.events[0]['revision'] > after + 1:
                if len(self.events) >= HISTORY:
                    return 410, {}
            found = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {'events': found, 'current-rev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass

    def _txn(self, body):
        for row in body.get('expect', []):
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                keys = [r['key'] for r in body['expect']]
                found = [self.items[k] for k in keys if k in self.items]
                return 412, {'items': found}
        for put in body.get('puts', []):
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, {}
        for put in body.get('puts', []):
            value = base64.b64decode(put['value'])
            self.put(put['key'], value, put.get('lease', 0))
        for key in body.get('remove', []):
            self.remove(key)
        return 200, {'revision': self.revision}


def _translate(item, translated):
    """Return an item with the addresses that a caller is to use."""
    if 'value' not in item:
        return item
    value = base64.b64decode(item['value'])
    for address, used in translated.items():
        value = value.replace(f'"{address}"'.encode(), f'"{used}"'.encode())
    return {**item, 'value': base64.b64encode(value).decode()}
