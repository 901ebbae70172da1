"""Talk to topazring as a caller does.

>>> async def save(url):  # doctest: +SKIP
...     session = client.Session(url, 'ballinure', 'key', 'calc1', 'saves')
...     await session.start()
...     await session.write('INSERT INTO beams VALUES (?)', ['IPE300'])
...     answer = await session.read('SELECT name FROM beams')
...     await session.close()
...     return answer.rows
"""

import asyncio
import dataclasses
import json
import secrets
import time
import typing

from tornado import websocket

from topazring.core import request_ids
from topazring.plumbing import sockets

__all__ = ['Answer', 'ConnectionLost', 'Session', 'new_request_id']

CONNECT_TIMEOUT_S = 5.0


class ConnectionLost(Exception):
    """Say that the connection ended before the answer came."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Hold the one final answer to a request."""

    outcome: str
    rows: list[list[typing.Any]] = dataclasses.field(default_factory=list)
    token: str = ''
    reason: str = ''
    retry_after_ms: int = 0
    detail: str = ''
    served_by: str = ''
    repeated: bool = False

    @property
    def done(self) -> bool:
        """Say whether the request ran."""
        return self.outcome == 'done'


def new_request_id() -> str:
    """Return a fresh id for a write; keep it to repeat that same write."""
    return request_ids.make_request_id(
        time.time_ns() // 1_000_000, secrets.token_hex(8)
    )


class Session:
    """Own one connection to one proxy; answers may come out of order."""

    def __init__(
        self,
        url: str,
        organisation: str,
        key: str,
        database: str,
        profile: str,
        token: str = '',
    ):
        self.url = url
        self.hello = {
            'organisation': organisation,
            'key': key,
            'database': database,
            'profile': profile,
        }
        # Carries the session to another proxy; the last one is enough.
        self.token = token
        self.socket: websocket.WebSocketClientConnection | None = None
        self.waiting: dict[int, asyncio.Future] = {}
        self.next_id = 1
        # The proxy asked this session to move, with its token, elsewhere.
        self.leaving = False

    async def start(self) -> Answer:
        """Connect and open the session."""
        self.socket = await websocket.websocket_connect(
            self.url,
            connect_timeout=CONNECT_TIMEOUT_S,
            on_message_callback=self._received,
        )
        frame = {'type': 'hello', **self.hello}
        if self.token:
            frame['token'] = self.token
        return await self.send(frame)

    async def close(self) -> None:
        """End the session."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    async def read(
        self, statement: str, parameters=(), token: str = ''
    ) -> Answer:
        """Run a statement that changes nothing.

        `token` is what another session of the same caller has seen.
        """
        frame = {
            'type': 'read',
            'statement': statement,
            'parameters': list(parameters),
        }
        if token:
            frame['token'] = token
        return await self.send(frame)

    async def write(
        self,
        statement: str,
        parameters=(),
        request_id: str = '',
        repeat: bool = False,
    ) -> Answer:
        """Run a write; `repeat` says that the id was sent before."""
        return await self.send(
            {
                'type': 'write',
                'request_id': request_id or new_request_id(),
                'repeat': repeat,
                'statement': statement,
                'parameters': list(parameters),
            }
        )

    async def batch(
        self, statements: list, request_id: str = '', repeat: bool = False
    ) -> Answer:
        """Run several statements as one transaction."""
        return await self.send(
            {
                'type': 'batch',
                'request_id': request_id or new_request_id(),
                'repeat': repeat,
                'statements': statements,
            }
        )

    async def begin(self) -> Answer:
        """Begin an interactive transaction."""
        return await self.send({'type': 'begin'})

    async def execute(self, statement: str, parameters=()) -> Answer:
        """Run a statement in the open transaction."""
        return await self.send(
            {
                'type': 'execute',
                'statement': statement,
                'parameters': list(parameters),
            }
        )

    async def commit(
        self, request_id: str = '', repeat: bool = False
    ) -> Answer:
        """Commit the open transaction."""
        return await self.send(
            {
                'type': 'commit',
                'request_id': request_id or new_request_id(),
                'repeat': repeat,
            }
        )

    async def rollback(self) -> Answer:
        """Drop the open transaction."""
        return await self.send({'type': 'rollback'})

    async def send(self, frame: dict) -> Answer:
        """Send a frame; raise ConnectionLost if no answer can come."""
        if self.socket is None:
            raise ConnectionLost('the session is closed')
        frame_id = self.next_id
        self.next_id += 1
        answered = asyncio.get_running_loop().create_future()
        self.waiting[frame_id] = answered
        text = json.dumps({**frame, 'id': frame_id})
        sockets.write_if_open(self.socket, text)
        return await answered

    def _received(self, raw: str | None) -> None:
        if raw is None:
            self._lost()
            return
        frame = json.loads(raw)
        if frame['outcome'] == 'leaving':
            self.leaving = True
            return
        answered = self.waiting.pop(frame.pop('id'), None)
        answer = Answer(**frame)
        if answer.token:
            self.token = answer.token
        if answered is not None and not answered.done():
            answered.set_result(answer)

    def _lost(self) -> None:
        self.socket = None
        waiting = list(self.waiting.values())
        self.waiting.clear()
        for answered in waiting:
            if not answered.done():
                answered.set_exception(ConnectionLost('the connection ended'))
