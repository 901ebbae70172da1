"""Call over HTTP, with peers that may vanish."""

import dataclasses

import msgspec
from tornado import httpclient
from tornado import httputil
from tornado import simple_httpclient

from topazring.plumbing import dialling

__all__ = [
    'NoResponse',
    'REQUEST_TIMEOUT_S',
    'send_response',
    'call',
    'make_client',
]

# Services answer in milliseconds; a slow one in some hundred.
REQUEST_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """Report that there was no response; the call may have had its effect."""

    detail: str


def make_client() -> httpclient.AsyncHTTPClient:
    """Return a client whose connections notice that their peer is gone."""
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONCURRENT_CALLS
    )
    client.tcp_client = dialling.KeepaliveClient()
    return client


def send_response(
    request: httputil.HTTPServerRequest, code: int, body: bytes
) -> None:
    """Send the whole answer to a request."""
    headers = httputil.HTTPHeaders({'Content-Length': str(len(body))})
    line = httputil.ResponseStartLine('HTTP/1.1', code, '')
    request.connection.write_headers(line, headers, body)
    request.connection.finish()


async def call(
    client: httpclient.AsyncHTTPClient,
    method: str,
    url: str,
    body: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> httpclient.HTTPResponse | NoResponse:
    """Return a response, whatever its code, or that there was none."""
    raw = None
    if method == 'POST':
        raw = msgspec.json.encode(body or {})
    try:
        reply = await client.fetch(
            url,
            method=method,
            body=raw,
            headers={'Content-Type': 'application/json', **(headers or {})},
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            raise_error=False,
        )
    except (OSError, httpclient.HTTPError) as error:
        return NoResponse(str(error))
    if reply.code == 599:
        return NoResponse(str(reply.error))
    return reply
