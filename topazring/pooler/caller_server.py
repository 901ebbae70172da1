"""Take in callers' connections, as many as there are descriptors for."""

import asyncio

from tornado import iostream
from tornado import tcpserver

from topazring.core import outcomes
from topazring.pooler import caller_task
from topazring.pooler import settings

__all__ = ['Server']

# Another proxy is likely to have room at once.
REFUSED_RETRY_MS = 200
# A caller's first message comes with its connection.
REFUSAL_TIMEOUT_S = 0.5
MAX_FIRST_READ_BYTES = 4096
BACKLOG = 512
# Descriptors kept for files, upstreams, the store and the balancer's
# questions. Without a limit callers that connect and say nothing take them
# all, and nothing works any more.
SPARE_DESCRIPTORS = 400


class Server(tcpserver.TCPServer):
    """Own the sessions of all callers."""

    def __init__(self, host: caller_task.Host, max_descriptors: int):
        super().__init__()
        self.host = host
        self.most_callers = max_descriptors - SPARE_DESCRIPTORS
        self.callers: set[caller_task.CallerTask] = set()

    def start_at(self, address: str) -> None:
        """Listen."""
        target = settings.endpoint(address)
        self.listen(target.port, target.host, backlog=BACKLOG)

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serve one caller until its session ends."""
        if len(self.callers) >= self.most_callers:
            await self._turn_away(stream)
            return
        caller = caller_task.CallerTask(self.host, stream)
        self.callers.add(caller)
        try:
            await caller.serve()
        finally:
            self.callers.discard(caller)

    async def _turn_away(self, stream: iostream.IOStream) -> None:
        """Refuse a caller for whom there is no descriptor to spare."""
        refusal = outcomes.NotRun(
            outcomes.Reason.CONNECTION_LIMIT, REFUSED_RETRY_MS
        )
        self.host.note('start', refusal, 0)
        self.host.log.emit(
            'session',
            'turned away',
            inputs={'sessions': len(self.callers)},
        )
        try:
            # What is not read before the end resets the connection, and the
            # answer is lost with it.
            async with asyncio.timeout(REFUSAL_TIMEOUT_S):
                await stream.read_bytes(MAX_FIRST_READ_BYTES, partial=True)
            await stream.write(self.host.codec.refusal(refusal))
        except (iostream.StreamClosedError, TimeoutError):
            # It left, or said nothing; there is nobody to tell.
            return
        finally:
            stream.close()
