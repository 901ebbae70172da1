"""Learn from other proxies what changed at the platform's service.

Most proxies hear from a follower what changes there. And the service may turn
some proxies away while it serves others, and a proxy that starts while it is
away knows nothing at all. Peers tell what they read there: all that changed
after a revision, or everything if they cannot know what ended.

Plain HTTP: a peer is asked every second or two, and a messaging library would
stay in memory all the time.
"""

import asyncio
import collections.abc
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
# No change has to be in force later than some seconds after it was made.
MOST_WAIT_MS = 30_000


class Told(msgspec.Struct):
    """Hold what a peer knows."""

    revision: int
    # Everything there is, not only what changed.
    complete: bool
    changes: list[revisions.Change]
    # The teller reads the service itself, and not what others tell.
    follows: bool = False
    # How long ago the service last answered it.
    age_ms: int = 0


Tell = collections.abc.Callable[[int, int], collections.abc.Awaitable[Told]]


class Server:
    """Answer peers."""

    def __init__(self, tell: Tell):
        # Says what changed after a revision; waits that many ms for it.
        self.tell = tell
        self.server = httpserver.HTTPServer(self._take)
        self.tasks: set[asyncio.Task] = set()

    def start(self, address: str) -> None:
        """Listen."""
        endpoint = settings.endpoint(address)
        self.server.listen(endpoint.port, endpoint.host)

    def close(self) -> None:
        """Stop listening."""
        self.server.stop()
        for task in list(self.tasks):
            task.cancel()

    def _take(self, request: httputil.HTTPServerRequest) -> None:
        task = asyncio.create_task(self._answer(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, request: httputil.HTTPServerRequest) -> None:
        code, body = 404, b''
        after = request.arguments.get('after', [b'0'])[0]
        wait_ms = request.arguments.get('wait_ms', [b'0'])[0]
        if request.path == PATH and after.isdigit() and wait_ms.isdigit():
            told = await self.tell(int(after), min(int(wait_ms), MOST_WAIT_MS))
            code, body = 200, msgspec.json.encode(told)
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

    async def ask_one(
        self, address: str, after: int, wait_ms: int = 0
    ) -> Told | None:
        """Return what a peer knows after a revision, None if it is silent.

        One that knows nothing newer waits that long for it.
        """
        url = f'http://{address}{PATH}?after={after}&wait_ms={wait_ms}'
        timeout_s = ASK_S + wait_ms / 1000
        reply = await http_calls.call(
            self.client, 'GET', url, timeout_s=timeout_s
        )
        if isinstance(reply, http_calls.NoAnswer) or reply.code != 200:
            return None
        try:
            return self.decode(reply.body)
        except msgspec.MsgspecError:
            # Not a proxy of ours: its address may belong to another by now.
            return None
