"""Answer the balancer, and whoever reads the metrics."""

import collections.abc
import dataclasses

from tornado import httpserver
from tornado import httputil

from topazring.plumbing import http_calls
from topazring.pooler import metrics as metric_sets
from topazring.pooler import settings

__all__ = ['Page', 'Server']


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Hold an answer: its HTTP status and its text."""

    code: int
    body: bytes = b''


class Server:
    """Answer at one address whether to send callers here, and the metrics."""

    def __init__(
        self,
        ready_path: str,
        is_ready: collections.abc.Callable[[], bool],
        render_metrics: collections.abc.Callable[[], bytes],
    ):
        self.ready_path = ready_path
        self.is_ready = is_ready
        self.render_metrics = render_metrics
        self.server = httpserver.HTTPServer(self._answer)

    def start(self, address: str) -> None:
        """Listen."""
        endpoint = settings.endpoint(address)
        self.server.listen(endpoint.port, endpoint.host)

    def close(self) -> None:
        """Stop listening."""
        self.server.stop()

    def _answer(self, request: httputil.HTTPServerRequest) -> None:
        page = self._page(request.path)
        http_calls.send_response(request, page.code, page.body)

    def _page(self, path: str) -> Page:
        if path == metric_sets.PATH:
            return Page(200, self.render_metrics())
        if path == self.ready_path:
            return Page(200 if self.is_ready() else 503)
        return Page(404)
