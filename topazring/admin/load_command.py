"""Show who waits and which upstream has room: `topazring-admin load`."""

import asyncio
import dataclasses
import time
import typing

import cappa
import msgspec

from topazring.admin import exits
from topazring.admin import load_merge
from topazring.admin import load_table
from topazring.admin import proxy_calls
from topazring.pooler import load_page

__all__ = ['Load']


@cappa.command(
    name='load',
    help='Show who waits, is refused or served late, and which upstream has '
    'room. Exits with 4 if a proxy did not answer.',
)
@dataclasses.dataclass
class Load:
    """Ask proxies for their load and print it by group."""

    proxy: typing.Annotated[
        list[str],
        cappa.Arg(long=True, help='HOST:PORT of its probe; several'),
    ] = dataclasses.field(default_factory=list)
    proxies: typing.Annotated[
        str, cappa.Arg(long=True, help='file with an address a line')
    ] = ''
    top: typing.Annotated[
        int, cappa.Arg(long=True, help='groups to print; 0: all')
    ] = 20
    timeout_s: typing.Annotated[
        float, cappa.Arg(long=True, help='how long to wait for a proxy')
    ] = proxy_calls.TIMEOUT_S
    as_json: typing.Annotated[
        bool, cappa.Arg(long='--json', help='print JSON, of all groups')
    ] = False

    def __call__(self) -> None:
        """Print the load; exit with 4 if it is not that of all proxies."""
        if self.top < 0 or self.timeout_s <= 0:
            exits.fail(exits.EXIT_BAD_INPUT, 'a number is out of range')
        addresses = proxy_calls.read_addresses(self.proxy, self.proxies)
        reports, failures = asyncio.run(
            proxy_calls.fetch_reports(
                addresses, load_page.PATH, load_page.Page, self.timeout_s
            )
        )
        load = load_merge.merge(reports, failures, time.monotonic())
        if self.as_json:
            encoded = msgspec.json.encode(load)
            print(msgspec.json.format(encoded, indent=2).decode())
        else:
            print('\n'.join(load_table.render(load, self.top)))
        if failures:
            exits.fail(
                exits.EXIT_UNREACHABLE,
                f'{len(failures)} of {len(addresses)} proxies did not answer',
            )
