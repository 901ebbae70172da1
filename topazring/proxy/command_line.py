"""Define the command `topazring-proxy`: run a proxy or check settings."""

import asyncio
import dataclasses
import sys
import typing

import cappa

from topazring.plumbing import early_signals
from topazring.plumbing import logs
from topazring.plumbing import settings_file
from topazring.plumbing import supervision
from topazring.proxy import process
from topazring.proxy import settings

__all__ = ['main']

EXIT_BAD_SETTINGS = 2


@cappa.command(name='run', help='Run a proxy until SIGTERM or SIGINT.')
@dataclasses.dataclass
class Run:
    """Serve callers and own databases."""

    file: typing.Annotated[str, cappa.Arg(help='settings file')]
    verbose: typing.Annotated[bool, cappa.Arg(long=True, help='log more')] = (
        False
    )

    def __call__(self) -> None:
        """Run; SIGTERM or SIGINT drains, a second signal exits at once."""
        config = _read(self.file)
        logs.configure(self.verbose)
        asyncio.run(_serve(config))


@cappa.command(name='check', help='Check settings without starting a proxy.')
@dataclasses.dataclass
class Check:
    """Check a settings file."""

    file: typing.Annotated[str, cappa.Arg(help='settings file')]

    def __call__(self) -> None:
        """Print `ok`, or the first error and exit with code 2."""
        config = _read(self.file)
        print(f'{self.file}: ok ({config.name} in {config.data_centre})')


@cappa.command(name='topazring-proxy')
@dataclasses.dataclass
class ProxyCommand:
    """Run one proxy of the fleet."""

    command: cappa.Subcommands[Run | Check]


def _read(file: str) -> settings.ProxySettings:
    try:
        return settings_file.read_settings(file, settings.ProxySettings)
    except settings_file.SettingsError as error:
        print(f'topazring-proxy: {error}', file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


async def _serve(config: settings.ProxySettings) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    proxy = process.Proxy(config)
    supervision.report_unhandled(loop, proxy.failures)
    with early_signals.handled(loop, stop_requested.set, _log_reload):
        await proxy.start()
        await stop_requested.wait()
        stop_requested.clear()
        draining = asyncio.create_task(proxy.drain())
        second_request = asyncio.create_task(stop_requested.wait())
        await asyncio.wait(
            {draining, second_request}, return_when=asyncio.FIRST_COMPLETED
        )
        draining.cancel()
        second_request.cancel()
        await proxy.close()


def _log_reload() -> None:
    logs.part_logger('process').info('reload: settings hold until a restart')


def main() -> None:
    """Run the command line."""
    cappa.invoke(ProxyCommand)
