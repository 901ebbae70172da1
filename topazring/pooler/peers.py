"""Learn from other proxies what the platform's store does not tell.

The store may turn some proxies away while it serves others, and a proxy that
starts while it is away knows nothing at all. Peers tell what they read there:
all that changed after a revision, or everything if they began later.

Plain HTTP: a peer is asked about once a second and only while the store is
away, and a messaging library would stay in memory all the time.
"""

import random

import msgspec
from tornado import httpserver
from tornado import httputil

from topazring.core import revisions
from topazring.plumbing import http_calls
from topazring.pooler import settings

__all__ = ['ASK_S', 'Asker', 'PATH', 'Server', 'Told']

PATH = '/changes'
ASK_S = 0.4


class Told(msgspec.Struct):
    """Hold what a peer knows."""

    revision: int
    # Everything there is, not only what changed.
    complete: bool
    changes: list[revisions.Change]


class Server:
    """Answer peers."""

    def __init__(self, known):
        # Returns Told for a revision.
        self.known = known
        self.server = httpserver.HTTPServer(self._answer)

    def start(self, address: str) -> None:
        """Listen."""
        endpoint = settings.endpoint(address)
        self.server.listen(endpoint.port, endpoint.host)

    def close(self) -> None:
        """Stop listening."""
        self.server.stop()

    def _answer(self, request: httputil.HTTPServerRequest) -> None:
        code, body = 404, b''
        if request.path == PATH:
            after = request.arguments.get('after', [b'0'])[0]
            if after.isdigit():
                code, body = 200, msgspec.json.encode(self.known(int(after)))
        http_calls.answer(request, code, body)


class Asker:
    """Ask peers what they know."""

    def __init__(self, seeds: tuple[str, ...], own_address: str):
        self.seeds = seeds
        # It may be among the seeds, and is in the list.
        self.own_address = own_address
        self.client = http_calls.make_client()
        self.decode = msgspec.json.Decoder(Told).decode

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    def choose(self, addresses: set[str], count: int) -> list[str]:
        """Return some peers to ask, others each time."""
        known = sorted((addresses | set(self.seeds)) - {self.own_address})
        return random.sample(known, min(count, len(known)))

    async def ask_one(self, address: str, after: int) -> Told | None:
        """Return what a peer knows after a revision, None if it is silent."""
        url = f'http://{address}{PATH}?after={after}'
        reply = await http_calls.call(self.client, 'GET', url, timeout_s=ASK_S)
        if isinstance(reply, http_calls.NoAnswer) or reply.code != 200:
            return None
        try:
            return self.decode(reply.body)
        except msgspec.MsgspecError:
            # Not a proxy of ours: its address may belong to another by now.
            return None
