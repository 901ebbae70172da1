"""Run a stand-in: `topazring-standin platform` or `upstream`."""

import asyncio
import dataclasses
import signal
import sys
import typing

import cappa

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
    """Serve the platform's interface from memory."""

    file: typing.Annotated[str, cappa.Arg(help='settings file')]

    def __call__(self) -> None:
        """Run until the process is told to stop."""
        _run(self.file, settings.PlatformSettings, platform.Platform)


@cappa.command(name='upstream', help='One upstream of a database group.')
@dataclasses.dataclass
class UpstreamCommand:
    """Serve SQL from memory, replicated to the group."""

    file: typing.Annotated[str, cappa.Arg(help='settings file')]

    def __call__(self) -> None:
        """Run until the process is told to stop."""
        _run(self.file, settings.UpstreamSettings, upstream.Upstream)


@cappa.command(name='faults', help='A TCP proxy that injects faults.')
@dataclasses.dataclass
class FaultsCommand:
    """Pass bytes on, and cut, freeze, delay or drop them as told."""

    file: typing.Annotated[str, cappa.Arg(help='settings file')]

    def __call__(self) -> None:
        """Run until the process is told to stop."""
        _run(self.file, settings.FaultsSettings, faults.FaultProxy)


@cappa.command(name='topazring-standin')
@dataclasses.dataclass
class Standin:
    """Stand in for the systems around topazring."""

    command: cappa.Subcommands[
        PlatformCommand | UpstreamCommand | FaultsCommand
    ]


def _run(file: str, model, part) -> None:
    logs.configure()
    try:
        config = settings_file.read_settings(file, model)
    except settings_file.SettingsError as error:
        print(f'topazring-standin: {error}', file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(_serve(part, config))


async def _serve(part, config) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    running = part(config)
    await running.start()
    await stopped.wait()
    await running.close()


def main() -> None:
    """Run the command line."""
    cappa.invoke(Standin)


if __name__ == '__main__':
    main()
