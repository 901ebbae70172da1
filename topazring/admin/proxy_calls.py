"""Call proxies at the address of their probe, as operators do."""

import asyncio
import dataclasses
import time
import typing

import msgspec
from tornado import httpclient

from topazring.admin import exits
from topazring.plumbing import http_calls
from topazring.pooler import settings

__all__ = [
    'Failure',
    'Report',
    'TIMEOUT_S',
    'check_address',
    'fetch_reports',
    'read_addresses',
]

TIMEOUT_S = 2.0
# Proxies that are asked at a time.
MAX_CONCURRENT = 50

_Page = typing.TypeVar('_Page')


@dataclasses.dataclass(frozen=True, slots=True)
class Report(typing.Generic[_Page]):
    """Hold what a proxy reported, and when it was received."""

    address: str
    page: _Page
    received_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Name a proxy without a valid answer, and what happened instead."""

    address: str
    detail: str


def check_address(address: str) -> str:
    """Return an address, or exit if it is malformed."""
    try:
        settings.endpoint(address)
    except settings.SettingsError as error:
        exits.fail(exits.EXIT_BAD_INPUT, f'--proxy {error}')
    return address


def read_addresses(given: list[str], file: str) -> list[str]:
    """Return the addresses given and those of a file, one a line.

    Empty lines and those that begin with `#` are skipped.
    """
    lines: list[str] = []
    if file:
        try:
            with open(file, encoding='utf-8') as opened:
                lines = opened.read().splitlines()
        except (OSError, UnicodeDecodeError) as error:
            exits.fail(exits.EXIT_BAD_INPUT, f'{file}: {error}')
    stripped = [line.strip() for line in lines]
    listed = [line for line in stripped if line and line[0] != '#']
    addresses = list(dict.fromkeys([*given, *listed]))
    if not addresses:
        exits.fail(exits.EXIT_BAD_INPUT, 'name a proxy: --proxy HOST:PORT')
    return [check_address(address) for address in addresses]


async def fetch_reports(
    addresses: list[str],
    path: str,
    kind: type[_Page],
    timeout_s: float = TIMEOUT_S,
) -> tuple[list[Report[_Page]], list[Failure]]:
    """Ask all proxies for a page; return valid answers and failures."""
    client = http_calls.make_client(MAX_CONCURRENT)
    slots = asyncio.Semaphore(MAX_CONCURRENT)

    async def fetch(address: str) -> Report[_Page] | Failure:
        async with slots:
            return await _fetch(client, address, path, kind, timeout_s)

    try:
        found = await asyncio.gather(*(fetch(each) for each in addresses))
    finally:
        client.close()
    reports = [each for each in found if isinstance(each, Report)]
    failures = [each for each in found if isinstance(each, Failure)]
    return reports, failures


async def _fetch(
    client: httpclient.AsyncHTTPClient,
    address: str,
    path: str,
    kind: type[_Page],
    timeout_s: float,
) -> Report[_Page] | Failure:
    reply = await http_calls.call(
        client, 'GET', f'http://{address}{path}', timeout_s=timeout_s
    )
    if isinstance(reply, http_calls.NoResponse):
        return Failure(address, reply.detail)
    if reply.code != 200:
        return Failure(address, f'HTTP {reply.code}; an older build?')
    try:
        page = msgspec.json.decode(reply.body, type=kind)
    except msgspec.MsgspecError as error:
        return Failure(address, f'malformed answer: {error}')
    return Report(address, page, time.monotonic())
