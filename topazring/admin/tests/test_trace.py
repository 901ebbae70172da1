"""Tell stories from logs."""

import json
import subprocess
import sys

import testtools

from topazring.admin import trace


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
    """What explains a request, and nothing else."""

    def setUp(self):
        """Read the log."""
        super().setUp()
        self.logs = trace.Logs()
        trace.read(LOG, self.logs)

    def test_story(self):
        """Its own lines, its group's at its proxy, and the promotion."""
        story = trace.trace_request(self.logs, 'r1')
        self.assertEqual(
            [
                ('p1', 'connection lost'),
                ('p2', 'promotion begins'),
                ('p1', 'gave up'),
                ('p1', 'answered'),
            ],
            [(told.process, told.event) for told in story],
        )

    def test_bad_lines_are_counted(self):
        """They are not fatal."""
        self.assertEqual(2, self.logs.skipped_count)

    def test_group(self):
        """All proxies, in a span of time."""
        story = trace.trace_group(self.logs, 's', 1100, 1303)
        self.assertEqual(['p2', 'p3'], [told.process for told in story])

    def test_command(self):
        """Standard input, files, and a request that nobody tells of."""
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
