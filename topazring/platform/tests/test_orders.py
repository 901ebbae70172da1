"""Send promotion orders over HTTP."""

import asyncio
import urllib.parse

import testtools
from tornado import httpserver

from topazring.bench import ports
from topazring.core.synchronous import messages
from topazring.platform import orders
from topazring.plumbing import http_calls


class HolderTest(testtools.TestCase):
    """An order names the proxy that sends it."""

    def promote(self, holder: str) -> str | None:
        """Return the holder that the platform reads, None without an order."""
        return asyncio.run(self._promote(holder))

    async def _promote(self, holder):
        found = []

        def answer(request):
            found.append(request.headers)
            http_calls.send_response(request, 200, b'{}')

        server = httpserver.HTTPServer(answer)
        port = ports.find_free_port()
        server.listen(port, '127.0.0.1')
        client = orders.OrdersClient(f'127.0.0.1:{port}')
        result = await client.promote('s', 'u1', holder, 7)
        client.close()
        server.stop()
        if not found:
            return None
        self.assertEqual(messages.OrderResult.ACCEPTED, result)
        self.assertEqual(['7'], found[0].get_list('X-Topazring-Fencing-Token'))
        return found[0]['X-Topazring-Lease-Holder']

    def test_name_that_no_header_can_carry(self):
        """Guards against groups without a primary under one lease holder.

        Its orders were never sent, and each counted as one that may still be
        carried out.
        """
        for holder in ('gda\u0144sk-1', 'p\r\nx: 1', 'p\x7f1', 'p\x001', ' p'):
            read = self.promote(holder)
            self.assertEqual(holder, urllib.parse.unquote(read or ''), holder)

    def test_usual_name(self):
        """It is sent as it is."""
        for holder in ('front-1', 'p 1', 'a%b', 'a.b:c'):
            self.assertEqual(holder, self.promote(holder))
