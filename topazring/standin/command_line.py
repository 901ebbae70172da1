"""Run a stand-in: `topazring-standin platform`, `upstream` or `faults`."""

import asyncio
import dataclasses
import sys
import typing

import cappa

from topazring.plumbing import early_signals
from topazring.plumbing import logs
from topazring.plumbing import settings_file
from topazring.standin import faults
from topazring.standin import platform
from topazring.standin import settings
from topazring.standin import upstream

__all__ = ['main']

EXIT_BAD_SETTINGS = 2


@cappa.command(name='platform', help='The platform: values and instances.')
@dataclasses.dataclass
class PlatformCommand:
    """Serve the platform's HTTP interface from memory."""

    file: typing.Annotated[str, cappa.Arg(help='settings file')]

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT."""
        _run(self.file, settings.PlatformSettings, platform.Platform)


@cappa.command(name='upstream', help='One upstream of a database group.')
@dataclasses.dataclass
class UpstreamCommand:
    """Serve SQL from memory and replicate writes to the group."""

    file: typing.Annotated[str, cappa.Arg(help='settings file')]

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT."""
        _run(self.file, settings.UpstreamSettings, upstream.Upstream)


@cappa.command(name='faults', help='A TCP proxy that injects faults.')
@dataclasses.dataclass
class FaultsCommand:
    """Forward TCP connections; close, stall, delay or drop on request."""

    file: typing.Annotated[str, cappa.Arg(help='settings file')]

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT."""
        _run(self.file, settings.FaultsSettings, faults.FaultProxy)


@cappa.command(name='topazring-standin')
@dataclasses.dataclass
class Standin:
    """Simulate the systems that topazring depends on."""

    command: cappa.Subcommands[
        PlatformCommand | UpstreamCommand | FaultsCommand
    ]


def _run(file: str, model, server_class) -> None:
    logs.configure()
    try:
        config = settings_file.read_settings(file, model)
    except settings_file.SettingsError as error:
        print(f'topazring-standin: {error}', file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(_serve(server_class, config))


async def _serve(server_class, config) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    server = server_class(config)
    with early_signals.handled(loop, stop_requested.set, _log_reload):
        await server.start()
        await stop_requested.wait()
        await server.close()


def _log_reload() -> None:
    logs.part_logger('process').info('reload: settings hold until a restart')


def main() -> None:
    """Parse the command line and run the command."""
    cappa.invoke(Standin)
