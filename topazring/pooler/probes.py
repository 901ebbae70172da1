"""Serve the load balancer's readiness probe and the operators' pages."""

import asyncio
import collections.abc
import contextlib
import dataclasses

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from topazring.plumbing import http_calls
from topazring.pooler import metrics as metric_sets
from topazring.pooler import settings

__all__ = ['Page', 'Server']

# Operators' requests are some hundred bytes.
MAX_BODY_BYTES = 16 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """HTTP status and body of an answer."""

    code: int
    body: bytes = b''


# Return the body of a page, and the answer to the body of a POST.
Render = collections.abc.Callable[[], collections.abc.Awaitable[bytes]]
Handle = collections.abc.Callable[[bytes], collections.abc.Awaitable[Page]]


class Server:
    """Serve the readiness probe and the operators' pages at one address."""

    def __init__(
        self,
        ready_path: str,
        is_ready: collections.abc.Callable[[], bool],
        render_metrics: collections.abc.Callable[[], bytes],
        pages: collections.abc.Mapping[str, Render] | None = None,
        posts: collections.abc.Mapping[str, Handle] | None = None,
    ):
        self.ready_path = ready_path
        self.is_ready = is_ready
        self.render_metrics = render_metrics
        # By path.
        self.pages = dict(pages or {})
        self.posts = dict(posts or {})
        self.server = httpserver.HTTPServer(
            self._answer, max_body_size=MAX_BODY_BYTES
        )
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

    def _answer(self, request: httputil.HTTPServerRequest) -> None:
        if request.path in self.pages or request.path in self.posts:
            task = asyncio.create_task(self._answer_operator(request))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return
        page = self._page(request.path)
        http_calls.send_response(request, page.code, page.body)

    async def _answer_operator(
        self, request: httputil.HTTPServerRequest
    ) -> None:
        page = Page(405)
        if request.method == 'GET' and request.path in self.pages:
            page = Page(200, await self.pages[request.path]())
        if request.method == 'POST' and request.path in self.posts:
            page = await self.posts[request.path](request.body)
        with contextlib.suppress(iostream.StreamClosedError):
            # The operator may not have waited.
            http_calls.send_response(request, page.code, page.body)

    def _page(self, path: str) -> Page:
        if path == metric_sets.PATH:
            return Page(200, self.render_metrics())
        if path == self.ready_path:
            return Page(200 if self.is_ready() else 503)
        return Page(404)
