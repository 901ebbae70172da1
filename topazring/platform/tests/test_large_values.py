"""The store's largest value arrives over a slow link as well."""

import asyncio
import base64
import json

import testtools

from topazring import key_value
from topazring.platform import store as stores
from topazring.platform.tests import odd_entries

LINK_BYTES_PER_S = 5_000_000 / 8
STEP_S = 0.05


class SlowLinkTest(testtools.TestCase):
    """A page takes longer than an ordinary answer, but it arrives."""

    def test_full_read(self):
        """Guards against a list that one long entry keeps from a proxy."""
        self.assertIsInstance(asyncio.run(self.read()), key_value.Changes)

    async def read(self) -> object:
        """Return the result of a full read over a slow link."""
        value = odd_entries.nest(odd_entries.DEPTHS[-1])
        item = {
            'key': 'servers/odd',
            'revision': 3,
            'value': base64.b64encode(value.encode()).decode(),
        }
        body = json.dumps({'items': [item], 'current-rev': 3}).encode()
        server = await asyncio.start_server(
            lambda reader, writer: self.respond(reader, writer, body),
            '127.0.0.1',
            0,
        )
        port = server.sockets[0].getsockname()[1]
        client = stores.StoreClient(f'127.0.0.1:{port}')
        try:
            return await client.read_all('')
        finally:
            client.close()
            server.close()

    async def respond(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        body: bytes,
    ) -> None:
        """Send a page as fast as the link carries it."""
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode())
        step = int(LINK_BYTES_PER_S * STEP_S)
        for start in range(0, len(body), step):
            if writer.is_closing():
                return
            writer.write(body[start : start + step])
            await asyncio.sleep(STEP_S)
