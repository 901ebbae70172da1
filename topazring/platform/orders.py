"""Give the platform the order to promote an upstream."""

from topazring.core.synchronous import messages
from topazring.plumbing import http_calls

__all__ = ['OrdersClient']

# An order is answered in milliseconds; one that is not may still be carried
# out later.
ORDER_TIMEOUT_S = 0.2
_HOLDER = 'X-Topazring-Lease-Holder'
_TOKEN = 'X-Topazring-Fencing-Token'


class OrdersClient:
    """Own the connections for orders."""

    def __init__(self, address: str):
        self.base = f'http://{address}'
        self.client = http_calls.make_client()

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    async def promote(
        self, service: str, upstream: str, holder: str, token: int
    ) -> messages.OrderResult:
        """Have an upstream promoted."""
        reply = await http_calls.call(
            self.client,
            'POST',
            f'{self.base}/promote',
            {'service': service, 'id': upstream},
            {_HOLDER: holder, _TOKEN: str(token)},
            ORDER_TIMEOUT_S,
        )
        if isinstance(reply, http_calls.NoResponse):
            return messages.OrderResult.UNANSWERED
        if reply.code == 409:
            return messages.OrderResult.REFUSED
        if reply.code == 200:
            return messages.OrderResult.ACCEPTED
        return messages.OrderResult.UNANSWERED
