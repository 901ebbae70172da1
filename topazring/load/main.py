"""Generate load, run experiments on stand-ins, or soak real processes."""

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
# Imported only for a soak: its stand-ins need what only tests need.
SOAK_STAGE = 'topazring.platform.tests.soak_stage'


@cappa.command(name='run', help='Load proxies that run already.')
@dataclasses.dataclass
class Run:
    """Send reads and writes at a fixed rate and summarize the answers."""

    url: typing.Annotated[
        list[str],
        cappa.Arg(long=True, help='ws://HOST:PORT/session of a proxy'),
    ]
    organisation: typing.Annotated[str, cappa.Arg(long=True)]
    key: typing.Annotated[
        str, cappa.Arg(long=True, help='key of the organisation')
    ]
    database: typing.Annotated[str, cappa.Arg(long=True)]
    profile: typing.Annotated[str, cappa.Arg(long=True)] = 'browse'
    max_staleness_ms: typing.Annotated[
        int,
        cappa.Arg(long=True, help='maximum staleness that the profile allows'),
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
        """Run the load; exit with 1 if a guarantee was violated."""
        if not self.url or not 0 <= self.read_share <= 1:
            print(
                'topazring-load: need --url and --read-share from 0 to 1',
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
    """Start fleets of stand-ins, inject faults and print the measurements."""

    name: typing.Annotated[
        str, cappa.Arg(help='its name, or `list` for all names')
    ]
    runs: typing.Annotated[int, cappa.Arg(long=True)] = 10
    as_json: typing.Annotated[
        bool, cappa.Arg(long='--json', help='print JSON')
    ] = False

    def __call__(self) -> None:
        """Run the experiment and print its rows; `list` prints all names."""
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
    """Inject the faults drawn from a seed and check every guarantee."""

    seed: typing.Annotated[int, cappa.Arg(long=True)]
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 25.0
    proxies: typing.Annotated[int, cappa.Arg(long=True)] = 3
    family: typing.Annotated[
        list[str], cappa.Arg(long=True, help='draw only faults of this family')
    ] = dataclasses.field(default_factory=list)
    quiet: typing.Annotated[
        bool, cappa.Arg(long=True, help='do not print each fault')
    ] = False
    keep_logs: typing.Annotated[
        bool, cappa.Arg(long=True, help='keep the logs in any case')
    ] = False

    def __call__(self) -> None:
        """Run the soak; keep the logs and exit with 1 if a check failed."""
        unknown = set(self.family) - set(faults.families())
        if unknown:
            print(
                f'topazring-load: no such family: {sorted(unknown)}',
                file=sys.stderr,
            )
            sys.exit(EXIT_BAD_INPUT)
        schedule = schedules.draw(self.seed, self.seconds, tuple(self.family))
        folder = tempfile.mkdtemp(prefix=f'topazring-soak-{self.seed}-')
        stage_class = importlib.import_module(SOAK_STAGE).Stage
        stage = stage_class(schedule, self.proxies, folder)
        try:
            outcome = asyncio.run(self._run(stage, schedule))
        except (asyncio.CancelledError, KeyboardInterrupt):
            print(f'topazring-load: interrupted; logs: {folder}')
            sys.exit(EXIT_INTERRUPTED)
        print(soak_report.render(outcome, stage.logs()))
        has_failed = bool(outcome.violations or outcome.failed)
        if has_failed or self.keep_logs:
            print(f'  logs: {folder}')
        else:
            shutil.rmtree(folder)
        sys.exit(EXIT_VIOLATIONS if has_failed else 0)

    async def _run(self, stage, schedule: schedules.Schedule) -> soaks.Outcome:
        # SIGTERM cancels the task, so that an interrupted soak also ends its
        # processes.
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        report_fault = (lambda text: None) if self.quiet else print
        return await soaks.run_schedule(stage, schedule, report_fault)


@cappa.command(name='topazring-load')
@dataclasses.dataclass
class LoadCommand:
    """Generate load on a fleet and measure it."""

    command: cappa.Subcommands[Run | Experiment | Soak]


def main() -> None:
    """Run the command line."""
    cappa.invoke(LoadCommand)


if __name__ == '__main__':
    main()
