"""Write one structured line for each decision, and never wait for it.

A line is a JSON object with these fields, and no others outside `inputs`:

time_ms     wall clock, milliseconds since 1970
process     the name of the process
part        the part that decided
event       what was decided, in a few words
request     the caller's id of the request concerned, if there is one
service     the group concerned, if there is one
inputs      what decided it: names, places, ages, versions, outcomes

No line holds a caller's data, keys or values. An ordinary success is no
line. Above `LINES_A_SECOND` lines are dropped and counted, so that a storm
of refusals costs a bounded part of a core. A reader that does not read
fills a buffer of `BUFFER_BYTES`; what does not fit is dropped and counted.
"""

import collections.abc
import logging
import os
import time

from absl import logging as absl_logging
import msgspec

__all__ = ['BUFFER_BYTES', 'EventLog', 'MAX_LINES_PER_SECOND']

# A line costs some 30 microseconds; at this rate under one percent of a
# core, and a day's incident is told by far fewer.
MAX_LINES_PER_SECOND = 200
BURST_LINES = 400
BUFFER_BYTES = 256 * 1024


class _Sink(logging.Handler):
    """Write lines to a descriptor without ever blocking."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.buffer = bytearray()
        self.dropped = 0
        self._was_blocking = os.get_blocking(descriptor)
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or keep it until the reader goes on."""
        line = record.getMessage().encode() + b'\n'
        if len(self.buffer) + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self.buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer[:65536])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: there is no one to tell.
                self.dropped += self.buffer.count(b'\n')
                self.buffer.clear()
                return
            del self.buffer[:written]

    def close(self) -> None:
        """Give the descriptor back as it was."""
        self.flush()
        os.set_blocking(self.descriptor, self._was_blocking)
        super().close()


class EventLog:
    """Own the structured log of one process."""

    def __init__(self, process: str, descriptor: int = 1):
        self.process = process
        self.descriptor = descriptor
        self.sink: _Sink | None = None
        self.logger = absl_logging.get_absl_logger()
        self.encode = msgspec.json.Encoder().encode
        self.allowance = float(BURST_LINES)
        self.refilled_s = time.monotonic()
        self.dropped = 0
        self.lines = 0

    def start(self) -> None:
        """Send absl's log to the descriptor, one JSON object a line."""
        self.sink = _Sink(self.descriptor)
        self.logger.handlers = [self.sink]
        self.logger.propagate = False
        self.logger.setLevel(logging.INFO)

    def close(self) -> None:
        """Write what is left."""
        self._tell_dropped()
        if self.sink is not None:
            self.sink.close()

    def emit(
        self,
        part: str,
        event: str,
        request: str = '',
        service: str = '',
        inputs: collections.abc.Mapping[str, object] | None = None,
    ) -> None:
        """Write one line, unless there have been too many."""
        if not self._allowed():
            self.dropped += 1
            return
        self._tell_dropped()
        self._write(part, event, request, service, inputs)

    def _allowed(self) -> bool:
        now_s = time.monotonic()
        earned = (now_s - self.refilled_s) * MAX_LINES_PER_SECOND
        self.allowance = min(BURST_LINES, self.allowance + earned)
        self.refilled_s = now_s
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True

    def _tell_dropped(self) -> None:
        count = self.dropped
        if self.sink is not None:
            count += self.sink.dropped
            self.sink.dropped = 0
        if not count:
            return
        self.dropped = 0
        self._write('log', 'lines dropped', '', '', {'count': count})

    def _write(
        self,
        part: str,
        event: str,
        request: str,
        service: str,
        inputs: collections.abc.Mapping[str, object] | None,
    ) -> None:
        line: dict[str, object] = {
            'time_ms': time.time_ns() // 1_000_000,
            'process': self.process,
            'part': part,
            'event': event,
        }
        if request:
            line['request'] = request
        if service:
            line['service'] = service
        if inputs:
            line['inputs'] = inputs
        self.lines += 1
        self.logger.info('%s', self.encode(line).decode())
