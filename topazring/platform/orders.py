"""Send promotion orders to the platform."""

import urllib.parse

from topazring.core.synchronous import messages
from topazring.plumbing import http_calls

__all__ = ['OrdersClient']

# Orders are normally answered within milliseconds. An order that times out
# may still be carried out later.
ORDER_TIMEOUT_S = 0.2
_HOLDER_HEADER = 'X-Topazring-Lease-Holder'
_TOKEN_HEADER = 'X-Topazring-Fencing-Token'


class OrdersClient:
    """Send orders over HTTP connections of its own."""

    def __init__(self, address: str):
        self.base = f'http://{address}'
        self.client = http_calls.make_client()

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    async def promote(
        self, service: str, upstream: str, holder: str, token: int
    ) -> messages.OrderResult:
        """Order the promotion of an upstream; return the platform's answer."""
        reply = await http_calls.call(
            self.client,
            'POST',
            f'{self.base}/promote',
            {'service': service, 'id': upstream},
            {_HOLDER_HEADER: _header_value(holder), _TOKEN_HEADER: str(token)},
            ORDER_TIMEOUT_S,
        )
        if isinstance(reply, http_calls.NoResponse):
            return messages.OrderResult.UNANSWERED
        if reply.code == 409:
            return messages.OrderResult.REFUSED
        if reply.code == 200:
            return messages.OrderResult.ACCEPTED
        return messages.OrderResult.UNANSWERED


def _header_value(name: str) -> str:
    """Return a name as a header can carry it.

    >>> _header_value('p1'), _header_value('p€')
    ('p1', 'p%E2%82%AC')
    """
    if name.isascii() and name.isprintable() and name == name.strip():
        return name
    return urllib.parse.quote(name)
