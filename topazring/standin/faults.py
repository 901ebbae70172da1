"""Pass TCP bytes on, with faults on any link.

Each link has a mode for either direction. Modes are changed by
`POST /links/NAME?forward=MODE&backward=MODE`; `forward` is from the caller
to the target. With `only=old` a mode holds for connections open by then and
not for later ones; with `only=new` the other way round.
"""

import asyncio
import contextlib
import enum

from tornado import httpserver
from tornado import web

from topazring.plumbing import logs
from topazring.standin import settings

__all__ = ['FaultProxy', 'Mode']

logger = logs.part_logger('faults')
CHUNK_BYTES = 65536


class Mode(enum.StrEnum):
    """Name what happens to bytes."""

    PASS = 'pass'
    # Nothing passes and nothing is closed.
    SILENT = 'silent'
    # Bytes vanish; what is sent later passes. For losing one answer.
    DROP = 'drop'
    # Connections are closed and new ones refused.
    CUT = 'cut'


class Link:
    """Own the sockets of one link."""

    def __init__(self, config: settings.LinkSettings, host: str):
        self.config = config
        self.host = host
        self.forward = Mode.PASS
        self.backward = Mode.PASS
        self.delay_s = 0.0
        self.pipes: set[Pipe] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for callers."""
        self.server = await asyncio.start_server(
            self._accept, self.host, self.config.port
        )

    async def close(self) -> None:
        """Close all connections."""
        self.server.close()
        for pipe in list(self.pipes):
            pipe.close()

    async def _accept(self, reader, writer) -> None:
        if Mode.CUT in (self.forward, self.backward):
            writer.close()
            return
        pipe = Pipe(self, writer)
        self.pipes.add(pipe)
        try:
            await pipe.run(reader)
        finally:
            pipe.close()
            self.pipes.discard(pipe)

    def set_modes(
        self, forward: Mode, backward: Mode, delay_s: float, only: str
    ) -> None:
        """Change what happens to bytes on old connections, new, or both."""
        self.delay_s = delay_s
        if only != 'old':
            self.forward, self.backward = forward, backward
        if only != 'new':
            for pipe in list(self.pipes):
                pipe.set_modes(forward, backward)


class Pipe:
    """Own one connection through a link."""

    def __init__(self, link: Link, writer: asyncio.StreamWriter):
        self.link = link
        self.modes = {'forward': link.forward, 'backward': link.backward}
        self.changed = asyncio.Event()
        self.caller = writer
        self.target: asyncio.StreamWriter | None = None

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Connect to the target and pass bytes both ways."""
        config = self.link.config
        try:
            back, self.target = await asyncio.open_connection(
                config.target_host, config.target_port
            )
        except OSError:
            return
        ways = [
            asyncio.create_task(self._pump('forward', reader, self.target)),
            asyncio.create_task(self._pump('backward', back, self.caller)),
        ]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()

    async def _pump(self, way: str, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.link.delay_s:
                    await asyncio.sleep(self.link.delay_s)
                while self.modes[way] is Mode.SILENT:
                    self.changed.clear()
                    await self.changed.wait()
                if self.modes[way] is Mode.DROP:
                    continue
                writer.write(chunk)
                await writer.drain()

    def set_modes(self, forward: Mode, backward: Mode) -> None:
        """Change what happens to bytes from now on."""
        if Mode.CUT in (forward, backward):
            self.close()
            return
        self.modes = {'forward': forward, 'backward': backward}
        self.changed.set()

    def close(self) -> None:
        """Close both sides."""
        for writer in (self.caller, self.target):
            if writer is not None and not writer.is_closing():
                writer.transport.abort()


class FaultProxy:
    """Own the links and the interface that sets their modes."""

    def __init__(self, config: settings.FaultsSettings):
        self.config = config
        self.links = {
            link.name: Link(link, config.host) for link in config.links
        }
        self.server: httpserver.HTTPServer | None = None

    async def start(self) -> None:
        """Listen on every link."""
        for link in self.links.values():
            await link.start()
        routes = [(r'/links/(.+)', LinkHandler, {'links': self.links})]
        self.server = httpserver.HTTPServer(web.Application(routes))
        self.server.listen(self.config.port, self.config.host)
        logger.info('passes %d links', len(self.links))

    async def close(self) -> None:
        """Close every link."""
        self.server.stop()
        for link in self.links.values():
            await link.close()


class LinkHandler(web.RequestHandler):
    """Set the modes of a link."""

    def initialize(self, links: dict[str, Link]) -> None:
        self.links = links

    def post(self, name: str) -> None:
        link = self.links.get(name)
        if link is None:
            self.set_status(404)
            return
        link.set_modes(
            Mode(self.get_argument('forward', 'pass')),
            Mode(self.get_argument('backward', 'pass')),
            float(self.get_argument('delay_ms', '0')) / 1000,
            self.get_argument('only', ''),
        )
        self.write('ok')
