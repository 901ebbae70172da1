"""Make HTTP calls to services that may become unreachable."""

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

# Services normally answer within milliseconds, slow ones within a few hundred.
REQUEST_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """Report that no response arrived; the call may have taken effect."""

    detail: str


def make_client(
    max_concurrent_calls: int = MAX_CONCURRENT_CALLS,
) -> httpclient.AsyncHTTPClient:
    """Return a client whose connections detect unreachable peers."""
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True, max_clients=max_concurrent_calls
    )
    client.tcp_client = dialling.KeepaliveClient()
    return client


def send_response(
    request: httputil.HTTPServerRequest, code: int, body: bytes
) -> None:
    """Send the complete response to a request."""
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
    """Return the response with any status code, or NoResponse."""
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
    except (OSError, ValueError, httpclient.HTTPError) as error:
        # ValueError: an address that another process listed is malformed.
        return NoResponse(str(error))
    if reply.code == 599:
        return NoResponse(str(reply.error))
    return reply
