"""Write logs without ever waiting for their reader."""

import json
import os
import time

import testtools

from topazring.plumbing import events


class EventsTest(testtools.TestCase):
    """Bounded, never blocking, one object a line."""

    def setUp(self):
        """Log into a pipe."""
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.log = events.EventLog('p1', self.writer)
        self.log.start()

    def lines(self) -> list[dict]:
        """Return what was written, once the log is closed."""
        self.log.close()
        os.close(self.writer)
        raw = b''
        while data := os.read(self.reader, 65536):
            raw += data
        return [json.loads(line) for line in raw.splitlines()]

    def test_fields(self):
        """As documented; what is empty is left out."""
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
        """A reader that stopped stops nobody else.

        Symptom: every proxy stands still. Sequence: the program that
        collects the logs hangs; the pipe fills; the next line waits. Cause:
        a write that blocks.
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

    def test_volume_is_bounded(self):
        """A storm of refusals is counted, not told line by line."""
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
        told = sum(line['event'] == 'gave up' for line in lines)
        self.assertEqual(3000, told + sum(dropped))
