"""Print a trace from logs: `topazring-admin trace`."""

import dataclasses
import sys
import typing

import cappa

from topazring.admin import exits
from topazring.admin import trace

__all__ = ['Trace']


@cappa.command(
    name='trace',
    help='Print the trace of a request or of a group from process logs.',
)
@dataclasses.dataclass
class Trace:
    """Read logs from files or standard input and print a trace."""

    name: typing.Annotated[
        str, cappa.Arg(help='the request id; with --group its service')
    ]
    files: typing.Annotated[
        list[str], cappa.Arg(help='logs; none: standard input')
    ] = dataclasses.field(default_factory=list)
    group: typing.Annotated[
        bool, cappa.Arg(long=True, help='print the trace of a group')
    ] = False
    from_ms: typing.Annotated[
        int, cappa.Arg(long='--from-ms', help='since 1970')
    ] = 0
    to_ms: typing.Annotated[
        int, cappa.Arg(long='--to-ms', help='since 1970')
    ] = 2**62

    def __call__(self) -> None:
        """Print the trace; exit with 1 if the logs have no line of it."""
        logs = trace.Logs()
        for file in self.files or ['-']:
            _read_log(file, logs)
        if self.group:
            lines = trace.trace_group(
                logs, self.name, self.from_ms, self.to_ms
            )
        else:
            lines = trace.trace_request(logs, self.name)
        for row in trace.render(lines):
            print(row)
        if logs.skipped_count or logs.dropped_count:
            print(
                f'({logs.skipped_count} lines were no log lines; '
                f'{logs.dropped_count} were dropped by the processes)',
                file=sys.stderr,
            )
        if not lines:
            exits.fail(exits.EXIT_REFUSED, f'no log line names {self.name}')


def _read_log(file: str, logs: trace.Logs) -> None:
    if file == '-':
        trace.read(sys.stdin, logs)
        return
    try:
        with open(file, encoding='utf-8', errors='replace') as lines:
            trace.read(lines, logs)
    except OSError as error:
        exits.fail(exits.EXIT_BAD_INPUT, f'{file}: cannot be read: {error}')
