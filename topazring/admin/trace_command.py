"""Read logs and tell a story: `topazring-admin trace`."""

import dataclasses
import sys
import typing

import cappa

from topazring.admin import exits
from topazring.admin import trace

__all__ = ['Trace']


@cappa.command(
    name='trace',
    help="Tell a request's story, or a group's, from processes' logs.",
)
@dataclasses.dataclass
class Trace:
    """Read logs from files, or standard input, and tell a story."""

    name: typing.Annotated[
        str, cappa.Arg(help='the request id; with --group its service')
    ]
    files: typing.Annotated[
        list[str], cappa.Arg(help='logs; none: standard input')
    ] = dataclasses.field(default_factory=list)
    group: typing.Annotated[
        bool, cappa.Arg(long=True, help="tell a group's story")
    ] = False
    from_ms: typing.Annotated[
        int, cappa.Arg(long='--from-ms', help='since 1970')
    ] = 0
    to_ms: typing.Annotated[
        int, cappa.Arg(long='--to-ms', help='since 1970')
    ] = 2**62

    def __call__(self) -> None:
        """Print the story; exit code 1 if the logs tell nothing."""
        logs = trace.Logs()
        for file in self.files or ['-']:
            _read_log(file, logs)
        if self.group:
            story = trace.trace_group(
                logs, self.name, self.from_ms, self.to_ms
            )
        else:
            story = trace.trace_request(logs, self.name)
        for row in trace.render(story):
            print(row)
        if logs.skipped_count or logs.dropped_count:
            print(
                f'({logs.skipped_count} lines were no log lines; {logs.dropped_count} were '
                'dropped where they were written)',
                file=sys.stderr,
            )
        if not story:
            exits.fail(exits.EXIT_REFUSED, f'no line tells of {self.name}')


def _read_log(file: str, logs: trace.Logs) -> None:
    if file == '-':
        trace.read(sys.stdin, logs)
        return
    try:
        with open(file, encoding='utf-8', errors='replace') as lines:
            trace.read(lines, logs)
    except OSError as error:
        exits.fail(exits.EXIT_BAD_INPUT, f'{file}: cannot be read: {error}')
