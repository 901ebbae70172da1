"""Close an upstream or a database for a while, and open it again."""

import asyncio
import dataclasses
import typing

import cappa
import msgspec
from tornado import httpclient

from topazring.admin import exits
from topazring.admin import proxy_calls
from topazring.plumbing import http_calls
from topazring.pooler import closures

__all__ = [
    'CloseDatabase',
    'CloseUpstream',
    'OpenDatabase',
    'OpenUpstream',
    'send',
]

# The proxy calls the store three times, and each may take a second.
TIMEOUT_S = 5.0
_EXITS = {
    400: exits.EXIT_BAD_INPUT,
    404: exits.EXIT_REFUSED,
    405: exits.EXIT_REFUSED,
    409: exits.EXIT_REFUSED,
    412: exits.EXIT_CONFLICT,
}

ProxyArg = typing.Annotated[
    str,
    cappa.Arg(long='--proxy', help='HOST:PORT of the probe of any proxy'),
]
ForArg = typing.Annotated[
    float,
    cappa.Arg(
        long='--for',
        help=f'seconds, {closures.MIN_S} to {closures.MAX_S}',
    ),
]
ServiceArg = typing.Annotated[str, cappa.Arg(help="the upstream's group")]
UpstreamArg = typing.Annotated[str, cappa.Arg(help='its name')]
DatabaseArg = typing.Annotated[str, cappa.Arg(help='its name')]


def send(proxy: str, request: closures.Request) -> closures.Result:
    """Send a request to a proxy and return its answer, or exit."""
    proxy_calls.check_address(proxy)
    reply = asyncio.run(_post(proxy, request))
    if isinstance(reply, http_calls.NoResponse):
        exits.fail(
            exits.EXIT_UNREACHABLE,
            f'{proxy}: no answer, it may be done: {reply.detail}',
        )
    try:
        if reply.code == 200:
            return msgspec.json.decode(reply.body, type=closures.Result)
        refused = msgspec.json.decode(reply.body, type=closures.Refused)
    except msgspec.MsgspecError:
        exits.fail(
            _EXITS.get(reply.code, exits.EXIT_UNREACHABLE),
            f'{proxy}: HTTP {reply.code}; an older build?',
        )
    exits.fail(_EXITS.get(reply.code, exits.EXIT_UNREACHABLE), refused.error)


async def _post(
    proxy: str, request: closures.Request
) -> httpclient.HTTPResponse | http_calls.NoResponse:
    client = http_calls.make_client()
    try:
        return await http_calls.call(
            client,
            'POST',
            f'http://{proxy}{closures.PATH}',
            msgspec.to_builtins(request),
            timeout_s=TIMEOUT_S,
        )
    finally:
        client.close()


def _report(what: str, result: closures.Result) -> None:
    """Print what is in force now, and what it replaced."""
    if result.for_ms:
        print(f'{what} is closed for {result.for_ms / 1000:g} s')
    elif result.replaced is None:
        print(f'{what} was not closed')
    else:
        print(f'{what} is open')
    replaced = result.replaced
    if replaced is None:
        return
    left = 'an unknown time'
    if replaced.left_ms is not None:
        left = f'{replaced.left_ms / 1000:.1f} s'
    print(
        f'this replaced a closure for {replaced.for_ms / 1000:g} s, asked '
        f'for at {replaced.by}, with {left} left'
    )


@cappa.command(
    name='close-upstream',
    help='Give an upstream that is not the primary no new work for a while.',
)
@dataclasses.dataclass
class CloseUpstream:
    """Take an upstream out; its open transactions go on to their end."""

    service: ServiceArg
    upstream: UpstreamArg
    for_s: ForArg
    proxy: ProxyArg

    def __call__(self) -> None:
        """Close it and print what this replaced."""
        _check_time(self.for_s)
        request = closures.Request(
            closures.Kind.UPSTREAM, self.upstream, self.for_s, self.service
        )
        _report(f'{self.service} {self.upstream}', send(self.proxy, request))


@cappa.command(name='open-upstream', help='End the closure of an upstream.')
@dataclasses.dataclass
class OpenUpstream:
    """Give an upstream work again before its closure is over."""

    service: ServiceArg
    upstream: UpstreamArg
    proxy: ProxyArg

    def __call__(self) -> None:
        """Open it and print what this ended."""
        request = closures.Request(
            closures.Kind.UPSTREAM, self.upstream, 0, self.service
        )
        _report(f'{self.service} {self.upstream}', send(self.proxy, request))


@cappa.command(
    name='close-database',
    help='Refuse all new operations on a database for a while.',
)
@dataclasses.dataclass
class CloseDatabase:
    """Close a database; its open transactions go on to their end."""

    database: DatabaseArg
    for_s: ForArg
    proxy: ProxyArg

    def __call__(self) -> None:
        """Close it and print what this replaced."""
        _check_time(self.for_s)
        request = closures.Request(
            closures.Kind.DATABASE, self.database, self.for_s
        )
        _report(self.database, send(self.proxy, request))


@cappa.command(name='open-database', help='End the closure of a database.')
@dataclasses.dataclass
class OpenDatabase:
    """Serve a database again before its closure is over."""

    database: DatabaseArg
    proxy: ProxyArg

    def __call__(self) -> None:
        """Open it and print what this ended."""
        request = closures.Request(closures.Kind.DATABASE, self.database, 0)
        _report(self.database, send(self.proxy, request))


def _check_time(for_s: float) -> None:
    if not closures.MIN_S <= for_s <= closures.MAX_S:
        exits.fail(
            exits.EXIT_BAD_INPUT,
            f'--for {for_s:g}: want {closures.MIN_S} to {closures.MAX_S}',
        )
