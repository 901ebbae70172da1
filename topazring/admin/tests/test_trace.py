"""Extract traces from logs."""

import json
import subprocess
import sys

import testtools

from topazring.admin import trace
from topazring.plumbing import events


def line(time_ms, event, request='', process='p1', service='s', **inputs):
    """Return a log line as a process writes it."""
    return json.dumps(
        {
            'time_ms': time_ms,
            'process': process,
            'part': 'group',
            'event': event,
            'request': request,
            'service': service,
            'inputs': inputs,
        }
    )


LOG = [
    line(1000, 'connection lost', upstream='u1'),
    line(1200, 'promotion begins', process='p2', why='silent'),
    line(1300, 'gave up', 'r1', reason='no_primary'),
    line(1301, 'gave up', 'r2', reason='no_primary'),
    line(1302, 'connection lost', service='other'),
    line(1303, 'connection lost', process='p3', upstream='u1'),
    '  12.5 front-1 ' + line(1310, 'answered', 'r1'),
    'Traceback (most recent call last):',
    '{"time_ms": "x"}',
    '',
]


class TraceTest(testtools.TestCase):
    """A trace has the lines that explain a request, and no others."""

    def setUp(self):
        """Read the log."""
        super().setUp()
        self.logs = trace.Logs()
        trace.read(LOG, self.logs)

    def test_request(self):
        """Its lines, those of its group at its proxy, and the promotion."""
        lines = trace.trace_request(self.logs, 'r1')
        self.assertEqual(
            [
                ('p1', 'connection lost'),
                ('p2', 'promotion begins'),
                ('p1', 'gave up'),
                ('p1', 'answered'),
            ],
            [(each.process, each.event) for each in lines],
        )

    def test_long_request_id(self):
        """Guards against a request whose log lines are not found."""
        request = 'r' * (events.MAX_REQUEST_CHARS + 10)
        written = line(1400, 'gave up', request[: events.MAX_REQUEST_CHARS])
        trace.read([written], self.logs)
        lines = trace.trace_request(self.logs, request)
        self.assertIn('gave up', [each.event for each in lines])

    def test_name_with_line_ends(self):
        """Guards against a name that looks like a line of its own."""
        name = 's\n      0 ms   p1 s: promoted\x1b[2J'
        trace.read([line(1400, 'begins', service=name, to=name)], self.logs)
        lines = trace.trace_group(self.logs, name, 1400, 1400)
        (row,) = trace.render(lines)
        self.assertTrue(row.isprintable())
        self.assertIn('\\n      0 ms   p1 s: promoted\\x1b[2J', row)

    def test_bad_lines_are_counted(self):
        """Lines that cannot be parsed are counted and are not fatal."""
        self.assertEqual(2, self.logs.skipped_count)

    def test_group(self):
        """The lines of all proxies in an interval."""
        lines = trace.trace_group(self.logs, 's', 1100, 1303)
        self.assertEqual(['p2', 'p3'], [each.process for each in lines])

    def test_command(self):
        """Standard input, an unknown request, and a file that is missing."""
        command = [sys.executable, '-m', 'topazring.admin.main', 'trace']
        done = subprocess.run(
            [*command, 'r1'],
            input='\n'.join(LOG),
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertIn('reason=no_primary', done.stdout)
        self.assertIn('2 lines were no log lines', done.stderr)
        done = subprocess.run(
            [*command, 'r9'], input='', capture_output=True, text=True,
            timeout=60,
        )  # fmt: skip
        self.assertEqual(1, done.returncode)
        done = subprocess.run(
            [*command, 'r9', '/nowhere.log'], capture_output=True, text=True,
            timeout=60,
        )  # fmt: skip
        self.assertEqual(2, done.returncode)
