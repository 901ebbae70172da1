"""Extract the trace of a request or a group from the logs of processes.

The trace of a request has the lines that name it, and between them what its
proxies decided about the same group at that time, such as a lost primary.
"""

import collections.abc
import dataclasses
import json

from topazring.admin import plain_text
from topazring.plumbing import events

__all__ = ['Line', 'Logs', 'trace_group', 'read', 'render', 'trace_request']

# Decisions about a group this long before and after a request's lines belong
# to its trace; this covers an outage and the duration of the request.
CONTEXT_BEFORE_MS = 2500
CONTEXT_AFTER_MS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Hold one line of a log."""

    time_ms: int
    process: str
    part: str
    event: str
    request: str
    service: str
    inputs: dict


@dataclasses.dataclass(slots=True)
class Logs:
    """Hold the lines that were read, and counts of those that are missing."""

    lines: list[Line] = dataclasses.field(default_factory=list)
    # Lines that could not be parsed.
    skipped_count: int = 0
    # Lines that processes dropped because there were too many.
    dropped_count: int = 0


def read(raw: collections.abc.Iterable[str], logs: Logs) -> None:
    """Parse lines and add them; text before the first brace is ignored."""
    for text in raw:
        if not text.strip():
            continue
        line = _parse(text)
        if line is None:
            logs.skipped_count += 1
            continue
        if line.event == 'lines dropped':
            logs.dropped_count += int(line.inputs.get('count', 0))
        logs.lines.append(line)


def _parse(text: str) -> Line | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        raw = json.loads(text[start:])
        return Line(
            int(raw['time_ms']),
            str(raw['process']),
            str(raw['part']),
            str(raw['event']),
            str(raw.get('request', '')),
            str(raw.get('service', '')),
            dict(raw.get('inputs', {})),
        )
    except (ValueError, KeyError, TypeError):
        return None


def trace_request(logs: Logs, request: str) -> list[Line]:
    """Return a request's lines and the decisions of its groups around them.

    Empty if no line names the request: it was served in the normal way,
    or its lines were dropped.
    """
    request = request[: events.MAX_REQUEST_CHARS]
    request_lines = [line for line in logs.lines if line.request == request]
    if not request_lines:
        return []
    groups = {(line.process, line.service) for line in request_lines}
    services = {line.service for line in request_lines}
    first_ms = min(line.time_ms for line in request_lines) - CONTEXT_BEFORE_MS
    last_ms = max(line.time_ms for line in request_lines) + CONTEXT_AFTER_MS

    def belongs(line: Line) -> bool:
        if line.request:
            return line.request == request
        if not first_ms <= line.time_ms <= last_ms:
            return False
        if line.event.startswith(('promotion', 'order')):
            # One proxy decides this on behalf of all proxies.
            return line.service in services
        line_groups = {(line.process, line.service), (line.process, '')}
        if not line.service:
            return any(line.process == process for process, _ in groups)
        return bool(line_groups & groups)

    trace = [line for line in logs.lines if belongs(line)]
    return sorted(trace, key=lambda line: line.time_ms)


def trace_group(
    logs: Logs, service: str, from_ms: int, to_ms: int
) -> list[Line]:
    """Return the decisions of all processes about a group in an interval."""
    trace = [
        line
        for line in logs.lines
        if line.service == service
        and from_ms <= line.time_ms <= to_ms
        and not line.request
    ]
    return sorted(trace, key=lambda line: line.time_ms)


def render(trace: list[Line]) -> list[str]:
    """Return a trace as text, with times relative to its first line."""
    if not trace:
        return []
    start_ms = trace[0].time_ms
    rows = []
    for line in trace:
        inputs = ' '.join(f'{k}={v}' for k, v in line.inputs.items())
        mark = '*' if line.request else ' '
        rows.append(
            f'{line.time_ms - start_ms:>7} ms {mark} {line.process} '
            f'{line.service or line.part}: {line.event} {inputs}'.rstrip()
        )
    return [plain_text.escape(row) for row in rows]
