"""Exchange changes of the platform's store between proxies.

Most proxies read changes from a follower. Also, the store may refuse some
proxies while it serves others, and a proxy that starts while the store is
unavailable has no data at all. Peers return what they have read: all changes
after a revision, or everything if they cannot determine which entries ended.

The transport is plain HTTP: a peer is asked every second or two, and a
messaging library would stay in memory all the time.

An older build knows no eras of the store. It gets the store's own numbers, and
its answers count as those of the first era.
"""

import asyncio
import collections.abc
import dataclasses
import random
import typing
import zlib

import msgspec
from tornado import httpserver
from tornado import httputil

from topazring.core import revisions
from topazring.plumbing import events
from topazring.plumbing import http_calls
from topazring.plumbing import supervision
from topazring.pooler import settings

__all__ = [
    'ASK_TIMEOUT_S',
    'BAD_ANSWER',
    'PATH',
    'PeerAnswer',
    'PeerClient',
    'Respond',
    'Server',
    'report_bad_answer',
    'without_eras',
]

PATH = '/changes'
_ERAS_ARGUMENT = 'eras'
ASK_TIMEOUT_S = 0.4
# Counts answers of other proxies that could not be read.
BAD_ANSWER = 'bad_answer'
# A change has to be in force within some seconds; no wait has to be longer.
MAX_WAIT_MS = 30_000
# A follower's link carries each change once per reader. A configuration of
# 1,400 databases is 0.25 MB: twelve copies take a link of 5 Mbit/s for 4.7 of
# the five seconds within which it has to be in force, and other traffic of the
# follower is queued behind them. Compressed it is a seventh of that, 0.7 s.
COMPRESSION_LEVEL = 1
# Revisions and times are encoded as signed integers.
MAX_NUMBER = 2**63 - 1
# A long answer may arrive later than its wait by this share of the wait.
WAIT_SLACK_SHARE = 0.5


_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class PeerAnswer(msgspec.Struct):
    """Changes that a peer has read."""

    revision: int
    # A full copy of the store, not only changes.
    complete: bool
    changes: list[revisions.Change]
    # The peer reads the store itself, not another proxy.
    follows: bool = False
    # Time since the store last answered the peer.
    age_ms: int = 0


class _EncodedAnswer(msgspec.Struct, array_like=True):
    """Encoded form of a PeerAnswer."""

    revision: _Number
    complete: bool
    follows: bool
    age_ms: _Number
    # The changes as JSON, compressed.
    changes: bytes


def compress_changes(changes: list[revisions.Change]) -> bytes:
    """Return changes as compressed JSON."""
    return zlib.compress(msgspec.json.encode(changes), COMPRESSION_LEVEL)


def without_eras(answer: PeerAnswer) -> PeerAnswer:
    """Return an answer with the numbers that the store itself gave out."""
    changes = [
        dataclasses.replace(
            change, revision=revisions.number_of(change.revision)
        )
        for change in answer.changes
    ]
    return msgspec.structs.replace(
        answer, revision=revisions.number_of(answer.revision), changes=changes
    )


def _decode(body: bytes) -> PeerAnswer:
    """Return the decoded answer; raise an error if it cannot be used."""
    packed = msgspec.msgpack.decode(body, type=_EncodedAnswer)
    changes = msgspec.json.decode(
        zlib.decompress(packed.changes), type=list[revisions.Change]
    )
    # It may be later than the answer: pages of the store are no snapshot.
    if not all(0 <= change.revision <= MAX_NUMBER for change in changes):
        raise ValueError('the revision of a change is out of range')
    return PeerAnswer(
        packed.revision,
        packed.complete,
        changes,
        packed.follows,
        packed.age_ms,
    )


class ReadChanges(typing.Protocol):
    """Return the changes after a revision; wait up to so many ms for one."""

    async def __call__(
        self, after: int, wait_ms: int, knows_eras: bool = True
    ) -> PeerAnswer:
        """Return revisions without their era if the peer knows none."""


# Returns the body of an answer to a request's arguments, None without one.
Respond = collections.abc.Callable[
    [dict[str, str]], collections.abc.Awaitable[bytes | None]
]


class Server:
    """Answer requests of peers."""

    def __init__(
        self,
        read_changes: ReadChanges,
        responders: collections.abc.Mapping[str, Respond] | None = None,
    ):
        self.read_changes = read_changes
        # By path; requests for changes are answered here.
        self.responders = dict(responders or {})
        self.server = httpserver.HTTPServer(self._handle_request)
        # The last compressed changes, keyed by requested and current
        # revision: most readers ask for the same revision.
        self.compressed = ((0, 0), compress_changes([]))
        self.tasks: set[asyncio.Task] = set()

    def start(self, address: str) -> None:
        """Listen on an address."""
        endpoint = settings.endpoint(address)
        self.server.listen(endpoint.port, endpoint.host)

    def close(self) -> None:
        """Stop listening."""
        self.server.stop()
        for task in list(self.tasks):
            task.cancel()

    def _handle_request(self, request: httputil.HTTPServerRequest) -> None:
        task = asyncio.create_task(self._answer(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, request: httputil.HTTPServerRequest) -> None:
        respond = self.responders.get(request.path)
        if request.path == PATH:
            respond = self._respond_with_changes
        body = None
        if respond is not None:
            body = await respond(_arguments(request))
        code = 404 if body is None else 200
        http_calls.send_response(request, code, body or b'')

    async def _respond_with_changes(
        self, arguments: dict[str, str]
    ) -> bytes | None:
        after = _to_number(arguments.get('after', '0'))
        wait_ms = _to_number(arguments.get('wait_ms', '0'))
        if after is None or wait_ms is None:
            return None
        knows_eras = _ERAS_ARGUMENT in arguments
        answer = await self.read_changes(
            after, min(wait_ms, MAX_WAIT_MS), knows_eras
        )
        return self._encode(after, answer)

    def _encode(self, after: int, answer: PeerAnswer) -> bytes:
        cache_key = (after, answer.revision)
        if self.compressed[0] != cache_key:
            self.compressed = (cache_key, compress_changes(answer.changes))
        return msgspec.msgpack.encode(
            _EncodedAnswer(
                answer.revision,
                answer.complete,
                answer.follows,
                answer.age_ms,
                self.compressed[1],
            )
        )


def _arguments(request: httputil.HTTPServerRequest) -> dict[str, str]:
    """Return the first value of each argument."""
    return {
        name: values[0].decode(errors='replace')
        for name, values in request.arguments.items()
    }


def _to_number(text: str) -> int | None:
    """Return the number that an argument holds, None if it is out of range."""
    if not text.isascii() or not text.isdecimal():
        return None
    if len(text) > len(str(MAX_NUMBER)) or int(text) > MAX_NUMBER:
        return None
    return int(text)


def report_bad_answer(
    log: events.EventLog, address: str, error: Exception
) -> None:
    """Count an answer of another proxy that is unreadable, and log it."""
    log.count(BAD_ANSWER)
    inputs = {'address': address, **supervision.describe(error)}
    log.emit('directory', 'bad answer', inputs=inputs)


class PeerClient:
    """Request changes from peers."""

    def __init__(
        self, seeds: tuple[str, ...], own_address: str, log: events.EventLog
    ):
        self.seeds = seeds
        self.log = log
        # Excluded: it may be among the seeds, and it is listed.
        self.own_address = own_address
        self.client = http_calls.make_client()

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    def choose_peers(self, addresses: set[str], count: int) -> list[str]:
        """Return some peers, chosen at random each time."""
        candidates = sorted((addresses | set(self.seeds)) - {self.own_address})
        return random.sample(candidates, min(count, len(candidates)))

    async def fetch_changes(
        self, address: str, after: int, wait_ms: int = 0
    ) -> PeerAnswer | None:
        """Return a peer's changes after a revision, None without an answer.

        A peer that has nothing newer waits up to `wait_ms` for it.
        """
        url = (
            f'http://{address}{PATH}?after={after}&wait_ms={wait_ms}'
            f'&{_ERAS_ARGUMENT}=1'
        )
        timeout_s = max(ASK_TIMEOUT_S, wait_ms / 1000 * (1 + WAIT_SLACK_SHARE))
        reply = await http_calls.call(
            self.client, 'GET', url, timeout_s=timeout_s
        )
        if isinstance(reply, http_calls.NoResponse) or reply.code != 200:
            return None
        try:
            return _decode(reply.body)
        except Exception as error:
            # Not a proxy: the address may belong to another process by now.
            report_bad_answer(self.log, address, error)
            return None
