"""Tell one request's story, or a group's, from processes' logs.

A proxy's log has the lines that name the request; what else it decided about
the same group at that time, such as a lost primary, stands between them.
"""

import collections.abc
import dataclasses
import json

__all__ = ['Line', 'Logs', 'trace_group', 'read', 'render', 'trace_request']

# What a group decided so long before and after a request's lines explains
# them: a gap without a primary and the request's own time.
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
    """Hold what was read, and how many lines were none of ours."""

    lines: list[Line] = dataclasses.field(default_factory=list)
    skipped_count: int = 0
    # Lines that processes dropped because there were too many.
    dropped_count: int = 0


def read(raw: collections.abc.Iterable[str], logs: Logs) -> None:
    """Add lines; whatever stands before the first brace is passed over."""
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
    begins = text.find('{')
    if begins < 0:
        return None
    try:
        raw = json.loads(text[begins:])
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
    """Return a request's lines and what its groups decided around them.

    Empty if no line names the request: then it was served in the ordinary
    way, or its lines were dropped.
    """
    own = [line for line in logs.lines if line.request == request]
    if not own:
        return []
    places = {(line.process, line.service) for line in own}
    services = {line.service for line in own}
    first_ms = min(line.time_ms for line in own) - CONTEXT_BEFORE_MS
    last_ms = max(line.time_ms for line in own) + CONTEXT_AFTER_MS

    def belongs(line: Line) -> bool:
        if line.request:
            return line.request == request
        if not first_ms <= line.time_ms <= last_ms:
            return False
        if line.event.startswith(('promotion', 'order')):
            # Decided by one proxy for all of them.
            return line.service in services
        near = {(line.process, line.service), (line.process, '')}
        if not line.service:
            return any(line.process == process for process, _ in places)
        return bool(near & places)

    story = [line for line in logs.lines if belongs(line)]
    return sorted(story, key=lambda line: line.time_ms)


def trace_group(
    logs: Logs, service: str, from_ms: int, to_ms: int
) -> list[Line]:
    """Return what all processes decided about a group in a span of time."""
    story = [
        line
        for line in logs.lines
        if line.service == service
        and from_ms <= line.time_ms <= to_ms
        and not line.request
    ]
    return sorted(story, key=lambda line: line.time_ms)


def render(story: list[Line]) -> list[str]:
    """Return a story as text, times counted from its first line."""
    if not story:
        return []
    begins_ms = story[0].time_ms
    rows = []
    for line in story:
        inputs = ' '.join(f'{k}={v}' for k, v in line.inputs.items())
        mark = '*' if line.request else ' '
        rows.append(
            f'{line.time_ms - begins_ms:>7} ms {mark} {line.process} '
            f'{line.service or line.part}: {line.event} {inputs}'.rstrip()
        )
    return rows
