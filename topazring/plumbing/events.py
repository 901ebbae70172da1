"""Write a structured log line for each decision, without ever blocking.

A line is a JSON object with only these fields:

time_ms     wall clock, milliseconds since 1970
process     the name of the process
part        the component that made the decision
event       the decision, in a few words
request     the caller's id of the request, if there is one, cut to
            `MAX_REQUEST_CHARS`
service     the group, if there is one
inputs      the values behind the decision: names, log positions, ages,
            versions, outcomes

Lines never contain callers' data, keys or values. The inputs of a line that
would be longer than `MAX_LINE_BYTES` are left out. Ordinary successes are not
logged. Lines beyond `MAX_LINES_PER_SECOND` are dropped and counted, so that a
burst of refusals uses a bounded share of a core. While the reader of the log
is stuck, lines are held in a buffer of `BUFFER_BYTES`; those that don't fit
are dropped and counted.
"""

import collections.abc
import logging
import os
import time

from absl import logging as absl_logging
import msgspec

from topazring.plumbing import supervision

__all__ = [
    'BUFFER_BYTES',
    'EventLog',
    'MAX_LINES_PER_SECOND',
    'MAX_LINE_BYTES',
    'MAX_REQUEST_CHARS',
]

# A line takes some 30 microseconds, so this rate uses less than one percent
# of a core. An incident of a whole day produces far fewer lines.
MAX_LINES_PER_SECOND = 200
BURST_LINES = 400
BUFFER_BYTES = 256 * 1024
MAX_LINE_BYTES = 64 * 1024
# Callers choose ids of any length.
MAX_REQUEST_CHARS = 128


class _Sink(logging.Handler):
    """Write lines to a file descriptor without ever blocking."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.buffer = bytearray()
        self.dropped = 0
        self._was_blocking = os.get_blocking(descriptor)
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or buffer it while the reader is not reading."""
        line = record.getMessage().encode() + b'\n'
        if len(self.buffer) + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self.buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer[:65536])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the log, so the error cannot be
                # reported there.
                self.dropped += self.buffer.count(b'\n')
                self.buffer.clear()
                return
            del self.buffer[:written]

    def close(self) -> None:
        """Flush and restore the blocking mode of the descriptor."""
        self.flush()
        os.set_blocking(self.descriptor, self._was_blocking)
        super().close()


class EventLog(supervision.Counts):
    """Write the structured log of one process."""

    def __init__(self, process: str, descriptor: int = 1):
        super().__init__()
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
        """Send absl's log to the descriptor, as one JSON object per line."""
        self.sink = _Sink(self.descriptor)
        self.logger.handlers = [self.sink]
        self.logger.propagate = False
        self.logger.setLevel(logging.INFO)

    def close(self) -> None:
        """Report dropped lines and flush the buffer."""
        self._report_dropped()
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
        """Write one line, or drop it if the rate limit is exceeded."""
        if not self._is_allowed():
            self.dropped += 1
            return
        self._report_dropped()
        self._write(part, event, request, service, inputs)

    def report_failure(self, task: str, error: BaseException) -> None:
        """Count a failure of a task, and log its cause."""
        self.count_failure(task)
        inputs = {'task': task, **supervision.describe(error)}
        self.emit('process', 'task failed', inputs=inputs)

    def _is_allowed(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self.refilled_s) * MAX_LINES_PER_SECOND
        self.allowance = min(BURST_LINES, self.allowance + refill)
        self.refilled_s = now_s
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True

    def _report_dropped(self) -> None:
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
            line['request'] = request[:MAX_REQUEST_CHARS]
        if service:
            line['service'] = service
        if inputs:
            line['inputs'] = inputs
        self.lines += 1
        encoded = self.encode(line)
        if len(encoded) > MAX_LINE_BYTES:
            line['inputs'] = {'omitted_bytes': len(encoded)}
            encoded = self.encode(line)
        self.logger.info('%s', encoded.decode())
