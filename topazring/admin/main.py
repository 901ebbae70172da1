"""Configure and inspect the fleet: `topazring-admin`."""

import asyncio
import dataclasses
import difflib
import json
import sys
import typing
import urllib.parse

import cappa
import json5
import pydantic
from tornado import httpclient

from topazring.admin import changes
from topazring.admin import closure_commands
from topazring.admin import exits
from topazring.admin import load_command
from topazring.admin import trace_command
from topazring import catalogue
from topazring.core import members as membership
from topazring.core import organisations
from topazring.core import revisions
from topazring import instances
from topazring import key_value
from topazring import platform_client

__all__ = ['main']

FETCH_TIMEOUT_S = 2.0

PlatformArg = typing.Annotated[
    str,
    cappa.Arg(
        long='--platform',
        help='HOST:PORT of the platform service',
    ),
]
KindArg = typing.Annotated[
    str, cappa.Arg(help='profile, organisation, database or token-key')
]
NameArg = typing.Annotated[str, cappa.Arg(help='its name')]
ValueArg = typing.Annotated[
    str, cappa.Arg(help='its value as JSON with comments, or @FILE')
]
DEFAULT_PLATFORM = '127.0.0.1:7100'


def _client(platform: str) -> platform_client.PlatformClient:
    host, _, port = platform.rpartition(':')
    if not host or not port.isdigit():
        exits.fail(
            exits.EXIT_BAD_INPUT, f'--platform {platform}: want HOST:PORT'
        )
    return platform_client.PlatformClient(host, int(port), 'admin')


def _parse_value(kind: str, text: str) -> dict:
    """Return the value with its defaults, or exit with the first error."""
    if kind not in catalogue.kinds():
        kinds = ', '.join(catalogue.kinds())
        exits.fail(
            exits.EXIT_BAD_INPUT, f'{kind}: unknown kind; want one of {kinds}'
        )
    try:
        if text.startswith('@'):
            with open(text[1:], encoding='utf-8') as file:
                text = file.read()
        return catalogue.check(kind, json5.loads(text)).model_dump()
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        key = '.'.join(str(part) for part in first['loc']) or '(whole)'
        exits.fail(exits.EXIT_BAD_INPUT, f'{kind}: {key}: {first["msg"]}')
    except (OSError, ValueError) as error:
        exits.fail(exits.EXIT_BAD_INPUT, f'{kind}: {error}')


def _read_stored(
    platform: platform_client.PlatformClient, kind: str, name: str
) -> changes.Stored:
    stored = asyncio.run(changes.read_value(platform, kind, name))
    if isinstance(stored, changes.NoResponse):
        exits.fail(
            exits.EXIT_UNREACHABLE, f'the service is away: {stored.detail}'
        )
    return stored


def _format_json(value: object) -> str:
    return json.dumps(value, indent=2, sort_keys=True)


@cappa.command(name='get', help='Show a configured value.')
@dataclasses.dataclass
class Get:
    """Print a configured value."""

    kind: KindArg
    name: NameArg
    platform: PlatformArg = DEFAULT_PLATFORM

    def __call__(self) -> None:
        """Print the value with its revision."""
        stored = _read_stored(_client(self.platform), self.kind, self.name)
        if stored.value is None:
            state = 'unreadable' if stored.revision else 'not configured'
            exits.fail(exits.EXIT_REFUSED, f'{self.kind} {self.name}: {state}')
        print(f'// revision {stored.revision}')
        print(_format_json(stored.value))


@cappa.command(name='set', help='Set a value; see --expect for races.')
@dataclasses.dataclass
class Set:
    """Set a value by compare-and-swap."""

    kind: KindArg
    name: NameArg
    value: ValueArg
    platform: PlatformArg = DEFAULT_PLATFORM
    expect: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help='the revision that was read; 0: must not exist yet',
        ),
    ] = None
    wait: typing.Annotated[
        bool, cappa.Arg(long=True, help='wait until every proxy has it')
    ] = False
    timeout_s: typing.Annotated[
        float, cappa.Arg(long=True, help='how long to wait')
    ] = 5.0

    def __call__(self) -> None:
        """Set the value and print the revision that is in force."""
        value = _parse_value(self.kind, self.value)
        asyncio.run(self._set(value))

    async def _set(self, value: dict) -> None:
        platform = _client(self.platform)
        expected = self.expect or None
        if self.expect is None:
            stored = await changes.read_value(platform, self.kind, self.name)
            if isinstance(stored, changes.NoResponse):
                exits.fail(
                    exits.EXIT_UNREACHABLE,
                    f'the service is away: {stored.detail}',
                )
            expected = stored.revision
        result = await changes.change_value(
            platform, self.kind, self.name, value, expected
        )
        match result:
            case changes.Accepted(revision=revision):
                print(f'accepted as revision {revision}')
            case changes.Unchanged(revision=revision):
                print(f'unchanged since revision {revision}')
            case changes.Conflict():
                print('another operator was first; your value is not in force')
                print(f'in force, revision {result.revision}:')
                print(_format_json(result.current))
                print('yours:')
                print(_format_json(result.requested))
                sys.exit(exits.EXIT_CONFLICT)
            case changes.NoResponse(detail=detail):
                exits.fail(
                    exits.EXIT_UNREACHABLE,
                    f'unknown whether the value is in force: {detail}',
                )
        if self.wait:
            await self._wait(platform, revision)

    async def _wait(
        self, platform: platform_client.PlatformClient, revision: int
    ) -> None:
        proxies = await list_proxies(platform)
        missing = await changes.wait_everywhere(
            fetch_status, proxies, revision, self.timeout_s
        )
        if missing is not None:
            names = ', '.join(missing.proxies)
            exits.fail(exits.EXIT_UNREACHABLE, f'not confirmed by: {names}')
        print(f'in force on {len(proxies)} proxies')


@cappa.command(name='list', help='List what is configured.')
@dataclasses.dataclass
class List:
    """List the names of configured values."""

    kind: typing.Annotated[str, cappa.Arg(help='only this kind')] = ''
    platform: PlatformArg = DEFAULT_PLATFORM

    def __call__(self) -> None:
        """Print one line per configured value."""
        asyncio.run(self._list())

    async def _list(self) -> None:
        found = await _client(self.platform).all_changes(catalogue.PREFIX)
        if isinstance(found, key_value.Unavailable):
            exits.fail(
                exits.EXIT_UNREACHABLE, f'the service is away: {found.detail}'
            )
        for change in sorted(found.changes, key=lambda c: c.key):
            _, kind, name = change.key.split('/', 2)
            if change.value is not None and self.kind in ('', kind):
                print(f'{kind} {name} (revision {change.revision})')


@cappa.command(name='validate', help='Check a value; change nothing.')
@dataclasses.dataclass
class Validate:
    """Check a value without setting it."""

    kind: KindArg
    value: ValueArg

    def __call__(self) -> None:
        """Print the value with its defaults."""
        print(_format_json(_parse_value(self.kind, self.value)))


@cappa.command(name='diff', help='Compare a value with the one in force.')
@dataclasses.dataclass
class Diff:
    """Compare a new value with the one in force."""

    kind: KindArg
    name: NameArg
    value: ValueArg
    platform: PlatformArg = DEFAULT_PLATFORM

    def __call__(self) -> None:
        """Print a unified diff; exit 1 if there is a difference."""
        new = _parse_value(self.kind, self.value)
        stored = _read_stored(_client(self.platform), self.kind, self.name)
        lines = difflib.unified_diff(
            _format_json(stored.value or {}).splitlines(),
            _format_json(new).splitlines(),
            'in force',
            'new',
            lineterm='',
        )
        text = '\n'.join(lines)
        if text:
            print(text)
            sys.exit(exits.EXIT_REFUSED)


@cappa.command(name='status', help='Show every proxy of the list.')
@dataclasses.dataclass
class Status:
    """Show the status of all proxies."""

    platform: PlatformArg = DEFAULT_PLATFORM
    as_json: typing.Annotated[
        bool, cappa.Arg(long='--json', help='print JSON')
    ] = False

    def __call__(self) -> None:
        """Print one line per proxy, or JSON."""
        asyncio.run(self._status())

    async def _status(self) -> None:
        proxies = await list_proxies(_client(self.platform))
        found = await asyncio.gather(*(fetch_status(p) for p in proxies))
        if self.as_json:
            names = [p['name'] for p in proxies]
            print(_format_json(dict(zip(names, found, strict=True))))
            return
        for proxy, status in zip(proxies, found, strict=True):
            print(_status_line(proxy, status))


def _status_line(proxy: dict, status: dict | None) -> str:
    if status is None:
        return f'{proxy["name"]}: unreachable'
    age_ms = status['confirmed_ms_ago']['configuration']
    age = 'never' if age_ms is None else f'{age_ms / 1000:.1f} s ago'
    return (
        f'{status["name"]}: {status["state"]}, {status["sessions"]} '
        f'sessions, owns {len(status["owns"])}, configuration at '
        f'{status["seen"]["configuration"]} (confirmed {age})'
    )


@cappa.command(name='explain', help='Show what owners decided, and why.')
@dataclasses.dataclass
class Explain:
    """Show the state of a database and the decisions of its owners."""

    database: typing.Annotated[str, cappa.Arg(help='database name')]
    platform: PlatformArg = DEFAULT_PLATFORM

    def __call__(self) -> None:
        """Print the state and the decisions of all owners, oldest first."""
        asyncio.run(self._explain())

    async def _explain(self) -> None:
        proxies = await list_proxies(_client(self.platform))
        path = f'/explain/{urllib.parse.quote(self.database)}'
        found = await asyncio.gather(*(fetch(p, path) for p in proxies))
        replies = [each for each in found if each and 'state' in each]
        if not replies:
            exits.fail(
                exits.EXIT_REFUSED, f'{self.database}: no owner responded'
            )
        for reply in replies:
            state = reply['state']
            print(
                f'term {state["term"]}, primary '
                f'{state["primary"] or "unknown"}, owners '
                f'{", ".join(state["owners"])}'
            )
        explanations = [e for reply in replies for e in reply['explanations']]
        explanations.sort(key=lambda e: e['wall_ms'])
        for e in explanations:
            print(f'{e["wall_ms"]} {e["owner"]}: {e["what"]} ({e["why"]})')


async def list_proxies(
    platform: platform_client.PlatformClient,
) -> list[dict]:
    """Return the proxies that the platform lists, sorted by name."""
    found = await platform.all_instances()
    if isinstance(found, key_value.Unavailable):
        exits.fail(
            exits.EXIT_UNREACHABLE, f'the service is away: {found.detail}'
        )
    proxies = []
    for change in found.changes:
        member = _decode_proxy(change) if change.value else None
        if member is not None:
            proxies.append(dataclasses.asdict(member))
    return sorted(proxies, key=lambda p: p['name'])


def _decode_proxy(change: revisions.Change) -> membership.Member | None:
    try:
        instance = instances.decode(change.value)
    except Exception as error:
        # Written by another program; the others are shown.
        print(
            f'ignored an unreadable instance: {change.key} '
            f'({type(error).__name__})',
            file=sys.stderr,
        )
        return None
    return instance if isinstance(instance, membership.Member) else None


async def fetch(proxy: dict, path: str) -> dict | None:
    """Return JSON from a proxy's operator port, or None on any failure."""
    url = f'http://{proxy["host"]}:{proxy["operator_port"]}{path}'
    try:
        reply = await httpclient.AsyncHTTPClient().fetch(
            url, request_timeout=FETCH_TIMEOUT_S, raise_error=False
        )
        return json.loads(reply.body)
    except (OSError, ValueError, TypeError, httpclient.HTTPError):
        return None


async def fetch_status(proxy: dict) -> dict | None:
    """Return the status of a proxy, or None on any failure."""
    return await fetch(proxy, '/status')


@cappa.command(name='hash-key', help='Hash an organisation key.')
@dataclasses.dataclass
class HashKey:
    """Read a key from standard input; print the hash to configure."""

    def __call__(self) -> None:
        """Print the hash."""
        print(organisations.hash_key(sys.stdin.readline().rstrip('\n')))


@cappa.command(name='topazring-admin')
@dataclasses.dataclass
class Admin:
    """Configure and inspect the fleet."""

    command: cappa.Subcommands[
        Get
        | Set
        | List
        | Validate
        | Diff
        | Status
        | Explain
        | HashKey
        | load_command.Load
        | closure_commands.CloseUpstream
        | closure_commands.OpenUpstream
        | closure_commands.CloseDatabase
        | closure_commands.OpenDatabase
        | trace_command.Trace
    ]


VERBS = frozenset({'get', 'set', 'list', 'validate', 'diff'})


def move_verb_first(words: list[str]) -> list[str]:
    """Accept `profile set NAME` as a form of `set profile NAME`.

    >>> move_verb_first(['profile', 'set', 'browse', '{}'])
    ['set', 'profile', 'browse', '{}']
    """
    if len(words) > 1 and words[0] in catalogue.kinds():
        if words[1] in VERBS:
            return [words[1], words[0], *words[2:]]
    return words


def main() -> None:
    """Run the command line."""
    cappa.invoke(Admin, argv=move_verb_first(sys.argv[1:]))


if __name__ == '__main__':
    main()
