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
import zlib

import msgspec
from tornado import httpserver
from tornado import httputil

from topazring.core import revisions
from topazring.plumbing import http_calls
from topazring.pooler import settings

__all__ = ['ASK_TIMEOUT_S', 'PeerClient', 'PATH', 'Server', 'PeerAnswer']

PATH = '/changes'
ASK_TIMEOUT_S = 0.4
# No change has to be in force later than some seconds after it was made.
MAX_WAIT_MS = 30_000
# A follower's link carries each change once a hearer. A configuration of
# 1,400 databases is 0.25 MB: twelve of these take a link of 5 Mbit/s for 4.7
# of the five seconds in which it has to be in force, and what the follower
# serves waits behind them. Packed it is a seventh of that, 0.7 s.
COMPRESSION_LEVEL = 1
# An answer with much to tell may come so much later than it was to wait.
WAIT_SLACK_SHARE = 0.5


class PeerAnswer(msgspec.Struct):
    """Hold what a peer knows."""

    revision: int
    # Everything there is, not only what changed.
    complete: bool
    changes: list[revisions.Change]
    # The teller reads the service itself, and not what others tell.
    follows: bool = False
    # How long ago the service last answered it.
    age_ms: int = 0


class _Packed(msgspec.Struct, array_like=True):
    """Carry what is told between two proxies."""

    revision: int
    complete: bool
    follows: bool
    age_ms: int
    # The changes as JSON, compressed.
    changes: bytes


def compress_changes(changes: list[revisions.Change]) -> bytes:
    """Return changes as they go out."""
    return zlib.compress(msgspec.json.encode(changes), COMPRESSION_LEVEL)


def _unpack(body: bytes) -> PeerAnswer:
    """Return what was told; MsgspecError or zlib.error if it is no such."""
    packed = msgspec.msgpack.decode(body, type=_Packed)
    changes = msgspec.json.decode(
        zlib.decompress(packed.changes), type=list[revisions.Change]
    )
    return PeerAnswer(
        packed.revision,
        packed.complete,
        changes,
        packed.follows,
        packed.age_ms,
    )


ReadChanges = collections.abc.Callable[
    [int, int], collections.abc.Awaitable[PeerAnswer]
]


class Server:
    """Answer peers."""

    def __init__(self, tell: ReadChanges):
        # Says what changed after a revision; waits that many ms for it.
        self.read_changes = tell
        self.server = httpserver.HTTPServer(self._take)
        # What was last packed, and for which question and revision: most
        # hearers stand at the same one.
        self.packed = ((0, 0), compress_changes([]))
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
            told = await self.read_changes(
                int(after), min(int(wait_ms), MAX_WAIT_MS)
            )
            code, body = 200, self._pack(int(after), told)
        http_calls.send_response(request, code, body)

    def _pack(self, after: int, told: PeerAnswer) -> bytes:
        question = (after, told.revision)
        if self.packed[0] != question:
            self.packed = (question, compress_changes(told.changes))
        return msgspec.msgpack.encode(
            _Packed(
                told.revision,
                told.complete,
                told.follows,
                told.age_ms,
                self.packed[1],
            )
        )


class PeerClient:
    """Ask peers what they know."""

    def __init__(self, seeds: tuple[str, ...], own_address: str):
        self.seeds = seeds
        # It may be among the seeds, and is in the list.
        self.own_address = own_address
        self.client = http_calls.make_client()

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    def choose_peers(self, addresses: set[str], count: int) -> list[str]:
        """Return some peers to ask, others each time."""
        known = sorted((addresses | set(self.seeds)) - {self.own_address})
        return random.sample(known, min(count, len(known)))

    async def fetch_changes(
        self, address: str, after: int, wait_ms: int = 0
    ) -> PeerAnswer | None:
        """Return what a peer knows after a revision, None if it is silent.

        One that knows nothing newer waits that long for it.
        """
        url = f'http://{address}{PATH}?after={after}&wait_ms={wait_ms}'
        timeout_s = max(ASK_TIMEOUT_S, wait_ms / 1000 * (1 + WAIT_SLACK_SHARE))
        reply = await http_calls.call(
            self.client, 'GET', url, timeout_s=timeout_s
        )
        if isinstance(reply, http_calls.NoResponse) or reply.code != 200:
            return None
        try:
            return _unpack(reply.body)
        except (msgspec.MsgspecError, zlib.error):
            # Not a proxy of ours: its address may belong to another by now.
            return None
