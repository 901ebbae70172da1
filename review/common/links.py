"""A TCP proxy whose link can be silenced."""

import asyncio


class Link:
    """Forward connections to one address until the link is cut."""

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.server = None
        self.address = ''

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def close(self):
        """Stop listening."""
        self.server.close()

    async def _serve(self, reader, writer):
        host, _, port = self.target.rpartition(':')
        other = None
        try:
            while self.is_cut:
                # A new connection behind a partition hangs.
                await asyncio.sleep(0.05)
            other_reader, other = await asyncio.open_connection(host, port)
            await asyncio.gather(
                self._pipe(reader, other), self._pipe(other_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            # One end has left.
            pass
        finally:
            writer.close()
            if other is not None:
                other.close()

    async def _pipe(self, reader, writer):
        while data := await reader.read(65536):
            if self.is_cut:
                # What was sent meanwhile is lost.
                await asyncio.sleep(3600)
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError
