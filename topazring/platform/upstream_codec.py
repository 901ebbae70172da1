"""Write commands for upstreams, and read their replies."""

import collections.abc

from topazring.core import log_positions
from topazring.core.synchronous import statements
from topazring.platform import line_protocol

__all__ = ['UpstreamCodec', 'parse_log_position']

Code = statements.Code
SessionState = statements.SessionState

_STATES = {
    'I': SessionState.IDLE,
    'T': SessionState.IN_TRANSACTION,
    'E': SessionState.FAILED,
}
_CODES = {
    'BUSY': Code.BUSY,
    'LAGGING': Code.LAGGING,
    'READONLY': Code.READ_ONLY,
    'MISROUTED': Code.WRONG_UPSTREAM,
    'TOOMANY': Code.CONNECTION_LIMIT,
    'NOSTMT': Code.NO_STATEMENT,
    'FAILED': Code.FAILED,
    'TIMEOUT': Code.TIMEOUT,
}
# Statements that are ours and not a caller's carry this id.
_OWN_ID = '-'
_WHO = 'topazring'
_STATUS_FIELDS = 7

Writer = collections.abc.Callable[[object], tuple[str, str]]
_commands: dict[type, Writer] = {}


def _writes(kind: type) -> collections.abc.Callable[[Writer], Writer]:
    """Register what writes a command as its id and text."""

    def register(writer: Writer) -> Writer:
        _commands[kind] = writer
        return writer

    return register


def _after(place: log_positions.LogPosition | None, text: str) -> str:
    if place is None:
        return text
    return f'AFTER {place.log_term}.{place.position} {text}'


@_writes(statements.Begin)
def _begin(command: statements.Begin) -> tuple[str, str]:
    text = 'BEGIN READ' if command.read_only else 'BEGIN'
    return _OWN_ID, _after(command.after, text)


@_writes(statements.Rollback)
def _rollback(command: statements.Rollback) -> tuple[str, str]:
    return _OWN_ID, 'ROLLBACK'


@_writes(statements.Commit)
def _commit(command: statements.Commit) -> tuple[str, str]:
    return command.request_id, 'COMMIT'


@_writes(statements.Run)
def _run(command: statements.Run) -> tuple[str, str]:
    return command.request_id, _after(command.after, command.text)


@_writes(statements.Execute)
def _execute(command: statements.Execute) -> tuple[str, str]:
    text = f'EXECUTE {command.name} {command.arguments}'
    return command.request_id, _after(command.after, text)


@_writes(statements.SetValue)
def _set(command: statements.SetValue) -> tuple[str, str]:
    return _OWN_ID, f'SET {command.name} {command.value}'


@_writes(statements.Prepare)
def _prepare(command: statements.Prepare) -> tuple[str, str]:
    access = command.access.upper()
    return _OWN_ID, f'PREPARE {command.name} {access} {command.shape}'


@_writes(statements.Reset)
def _reset(command: statements.Reset) -> tuple[str, str]:
    return _OWN_ID, 'RESET'


@_writes(statements.Status)
def _status(command: statements.Status) -> tuple[str, str]:
    return _OWN_ID, 'STATUS'


@_writes(statements.Pause)
def _pause(command: statements.Pause) -> tuple[str, str]:
    return _OWN_ID, f'PAUSE {command.term}'


@_writes(statements.Resume)
def _resume(command: statements.Resume) -> tuple[str, str]:
    return _OWN_ID, 'RESUME'


@_writes(statements.Demote)
def _demote(command: statements.Demote) -> tuple[str, str]:
    return _OWN_ID, f'DEMOTE {command.term}'


def parse_log_position(text: str) -> log_positions.LogPosition | None:
    """Return TERM.NUMBER as a place, None for `-`; ValueError otherwise."""
    if text == '-':
        return None
    term, _, number = text.partition('.')
    return log_positions.LogPosition(int(term), int(number))


class _Reader:
    """Read one connection's replies, the greeting first."""

    def __init__(self):
        self.splitter = line_protocol.LineSplitter()
        self.greeted = False
        self._clear()

    def _clear(self) -> None:
        self.rows: list[str] = []
        self.signature: str | None = None
        self.code: Code | None = None
        self.detail = ''

    def feed(self, data: bytes) -> list[statements.Reply]:
        """Return complete replies; ValueError if it is no reply."""
        replies = []
        for line in self.splitter.feed(data):
            word, rest = line_protocol.parse_line(line)
            if self._take(word, rest):
                replies.append(self._reply(rest))
        if self.splitter.exceeds_limit():
            raise line_protocol.LineError('the message is too long')
        return replies

    def _take(self, word: str, rest: str) -> bool:
        """Take in a line; True if a reply is complete with it."""
        match word:
            case 'ROW':
                self.rows.append(rest)
            case 'DONE':
                self.signature = rest
            case 'ERROR':
                code, _, self.detail = rest.partition(' ')
                self.code = _CODES.get(code, Code.OTHER)
                # A refused greeting is followed by the end.
                return not self.greeted
            case 'READY':
                return True
            case _:
                raise line_protocol.LineError(f'no such reply: {word[:20]}')
        return False

    def _reply(self, rest: str) -> statements.Reply:
        first = not self.greeted
        self.greeted = True
        state, place = SessionState.IDLE, None
        if not (first and self.code is not None):
            word, _, at = rest.partition(' ')
            if word not in _STATES:
                raise line_protocol.LineError(f'no such state: {word[:20]}')
            state, place = _STATES[word], parse_log_position(at or '-')
        if not first and self.signature is None and self.code is None:
            raise line_protocol.LineError('an answer without its end')
        reply = statements.Reply(
            tuple(self.rows),
            self.signature,
            self.code,
            self.detail,
            state,
            place,
            _report(self.rows) if self.signature == '-' else None,
        )
        self._clear()
        return reply


def _report(rows: list[str]) -> statements.StatusReport | None:
    if len(rows) != 1:
        return None
    fields = rows[0].split(' ')
    if len(fields) != _STATUS_FIELDS:
        return None
    role, term, received, held, lag, busy, connections = fields
    return statements.StatusReport(
        statements.Role(role),
        int(term),
        parse_log_position(received) or log_positions.ORIGIN,
        int(held),
        int(float(lag)),
        int(busy),
        int(connections),
    )


class UpstreamCodec:
    """Speak with upstreams."""

    def hello(self, service: str, upstream: str) -> bytes:
        """Return what opens a connection to just this upstream."""
        return line_protocol.format_line('START', service, _WHO, upstream)

    def encode(self, commands: tuple[statements.Command, ...]) -> bytes:
        """Return commands as they go out, in one piece."""
        return b''.join(
            line_protocol.format_line(
                'QUERY', *_commands[type(command)](command)
            )
            for command in commands
        )

    def reader(self) -> _Reader:
        """Return a reader of one connection's replies."""
        return _Reader()
