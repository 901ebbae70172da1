"""Load a fleet, run an experiment on stand-ins, or soak real processes."""

import asyncio
import dataclasses
import importlib
import json
import shutil
import signal
import sys
import tempfile
import typing

import cappa

from topazring.load import experiments
from topazring.load import generator
from topazring.load import report
from topazring.soak import faults
from topazring.soak import report as soak_report
from topazring.soak import schedules
from topazring.soak import soaks

__all__ = ['main']

EXIT_VIOLATIONS = 1
EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130
# The stand-ins that a soak runs on need what only tests need.
SOAK_STAGE = 'topazring.platform.tests.soak_stage'


@cappa.command(name='run', help='Load proxies that run already.')
@dataclasses.dataclass
class Run:
    """Send reads and writes at a rate and sum up the answers."""

    url: typing.Annotated[
        list[str],
        cappa.Arg(long=True, help='ws://HOST:PORT/session of a proxy'),
    ]
    organisation: typing.Annotated[str, cappa.Arg(long=True)]
    key: typing.Annotated[str, cappa.Arg(long=True, help='its key')]
    database: typing.Annotated[str, cappa.Arg(long=True)]
    profile: typing.Annotated[str, cappa.Arg(long=True)] = 'browse'
    max_staleness_ms: typing.Annotated[
        int, cappa.Arg(long=True, help='what the profile promises')
    ] = 2000
    sessions: typing.Annotated[int, cappa.Arg(long=True)] = 40
    rate: typing.Annotated[
        float, cappa.Arg(long=True, help='requests a second in all')
    ] = 200.0
    read_share: typing.Annotated[float, cappa.Arg(long=True)] = 0.9
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 10.0
    as_json: typing.Annotated[
        bool, cappa.Arg(long='--json', help='print JSON')
    ] = False

    def __call__(self) -> None:
        """Run the load; exit 1 if a promise was broken."""
        if not self.url or not 0 <= self.read_share <= 1:
            print(
                'topazring-load: want --url and --read-share from 0 to 1',
                file=sys.stderr,
            )
            sys.exit(EXIT_BAD_INPUT)
        summary = asyncio.run(self._run())
        if self.as_json:
            print(json.dumps(dataclasses.asdict(summary), indent=2))
        else:
            print(report.render(summary))
        sys.exit(EXIT_VIOLATIONS if summary.violations else 0)

    async def _run(self) -> report.Summary:
        mix = generator.Mix(
            self.sessions,
            self.rate,
            self.read_share,
            self.profile,
            self.max_staleness_ms,
            self.seconds,
        )
        load = generator.Load(
            self.url, self.organisation, self.key, self.database, mix
        )
        await load.start()
        stats = await load.run()
        await load.close()
        return report.summarize(stats, self.seconds)


@cappa.command(name='experiment', help='Run an experiment on stand-ins.')
@dataclasses.dataclass
class Experiment:
    """Start a fleet of stand-ins, cause faults, print the figures."""

    name: typing.Annotated[
        str, cappa.Arg(help='its name, or `list` for all names')
    ]
    runs: typing.Annotated[int, cappa.Arg(long=True)] = 10
    as_json: typing.Annotated[
        bool, cappa.Arg(long='--json', help='print JSON')
    ] = False

    def __call__(self) -> None:
        """Run it and print a table."""
        known = experiments.experiments()
        if self.name == 'list':
            for name, function in known.items():
                print(f'{name:20} {function.__doc__.splitlines()[0]}')
            return
        if self.name not in known:
            print(
                f'topazring-load: {self.name}: no such experiment',
                file=sys.stderr,
            )
            sys.exit(EXIT_BAD_INPUT)
        rows = asyncio.run(known[self.name](self.runs))
        if self.as_json:
            print(json.dumps(rows, indent=2))
        else:
            print(experiments.render(rows))


@cappa.command(name='soak', help='Run real processes through faults.')
@dataclasses.dataclass
class Soak:
    """Cause the faults of a seed and check every promise meanwhile."""

    seed: typing.Annotated[int, cappa.Arg(long=True)]
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 25.0
    proxies: typing.Annotated[int, cappa.Arg(long=True)] = 3
    family: typing.Annotated[
        list[str], cappa.Arg(long=True, help='draw only such faults')
    ] = dataclasses.field(default_factory=list)
    quiet: typing.Annotated[
        bool, cappa.Arg(long=True, help='do not tell each fault')
    ] = False

    def __call__(self) -> None:
        """Run it; exit 1 and keep the logs if a promise was broken."""
        unknown = set(self.family) - set(faults.families())
        if unknown:
            print(
                f'topazring-load: no such family: {sorted(unknown)}',
                file=sys.stderr,
            )
            sys.exit(EXIT_BAD_INPUT)
        schedule = schedules.draw(self.seed, self.seconds, tuple(self.family))
        folder = tempfile.mkdtemp(prefix=f'topazring-soak-{self.seed}-')
        kind = importlib.import_module(SOAK_STAGE).Stage
        stage = kind(schedule, self.proxies, folder)
        try:
            outcome = asyncio.run(self._run(stage, schedule))
        except (asyncio.CancelledError, KeyboardInterrupt):
            print(f'topazring-load: interrupted; logs: {folder}')
            sys.exit(EXIT_INTERRUPTED)
        print(soak_report.render(outcome, stage.logs()))
        if outcome.violations or outcome.failed:
            print(f'  logs: {folder}')
            sys.exit(EXIT_VIOLATIONS)
        shutil.rmtree(folder)

    async def _run(self, stage, schedule: schedules.Schedule) -> soaks.Outcome:
        # An interrupted soak ends its processes too.
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        tell = (lambda text: None) if self.quiet else print
        return await soaks.run_schedule(stage, schedule, tell)


@cappa.command(name='topazring-load')
@dataclasses.dataclass
class LoadCommand:
    """Load a fleet and measure it."""

    command: cappa.Subcommands[Run | Experiment | Soak]


def main() -> None:
    """Run the command line."""
    cappa.invoke(LoadCommand)


if __name__ == '__main__':
    main()
