"""Test the structured event log."""

import json
import os
import time

import testtools

from topazring.plumbing import events


class EventsTest(testtools.TestCase):
    """Check that the log is bounded, non-blocking and one object per line."""

    def setUp(self):
        """Start a log that writes to a pipe."""
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.log = events.EventLog('p1', self.writer)
        self.log.start()

    def lines(self) -> list[dict]:
        """Close the log and return the lines written to it."""
        self.log.close()
        os.close(self.writer)
        raw = b''
        while data := os.read(self.reader, 65536):
            raw += data
        return [json.loads(line) for line in raw.splitlines()]

    def test_fields(self):
        """Lines have the documented fields; empty ones are omitted."""
        self.log.emit('group', 'gave up', 'r1', 's', {'after_ms': 7})
        (line,) = self.lines()
        self.assertEqual(
            ('p1', 'group', 'gave up', 'r1', 's', {'after_ms': 7}),
            tuple(
                line[field]
                for field in (
                    'process', 'part', 'event', 'request', 'service',
                    'inputs',
                )
            ),
        )  # fmt: skip

    def test_blocked_reader(self):
        """A stuck log reader must not block the process.

        Guards against proxies that hang: the program that collects the logs
        hangs, the pipe fills up, and a blocking write of the next line never
        returns.
        """
        self.log.allowance = 10**9
        began_s = time.monotonic()
        for _ in range(4000):
            self.log.allowance = 10**9
            self.log.emit('group', 'x' * 200)
        self.assertLess(time.monotonic() - began_s, 5)
        self.assertGreater(self.log.sink.dropped, 0)
        size = len(self.log.sink.buffer)
        self.assertLessEqual(size, events.BUFFER_BYTES)

    def test_long_request_id(self):
        """Guards against a log that is full of one caller's ids.

        An id may be as long as a message. A longer line than the buffer was
        dropped, and shorter ones took the place of all others.
        """
        for length in (events.MAX_REQUEST_CHARS, 200_000, 1 << 20):
            self.log.emit('group', 'gave up', 'r' * length, 's')
        self.assertEqual(0, self.log.sink.dropped)
        lines = self.lines()
        self.assertEqual(3, len(lines))
        for line in lines:
            self.assertEqual('r' * events.MAX_REQUEST_CHARS, line['request'])

    def test_long_inputs(self):
        """Guards against a line that is dropped, or drops others."""
        self.log.emit('closures', 'closure refused', inputs={'n': 'x' * 10**6})
        (line,) = self.lines()
        self.assertEqual('closure refused', line['event'])
        self.assertGreater(line['inputs']['omitted_bytes'], 10**6)

    def test_volume_is_bounded(self):
        """A burst of events is rate-limited; dropped lines are counted."""
        for _ in range(3000):
            self.log.emit('group', 'gave up')
        self.log.allowance = 10.0
        self.log.emit('group', 'later')
        lines = self.lines()
        self.assertLess(len(lines), events.BURST_LINES + 100)
        dropped = [
            line['inputs']['count']
            for line in lines
            if line['event'] == 'lines dropped'
        ]
        written = sum(line['event'] == 'gave up' for line in lines)
        self.assertEqual(3000, written + sum(dropped))
