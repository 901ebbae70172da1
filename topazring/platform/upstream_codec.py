"""Encode commands for upstreams and decode their replies."""

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
# Request id of statements issued by the proxy itself.
_PROXY_ID = '-'
# Client name of connections that serve no organisation.
_OWN_NAME = 'topazring'
_STATUS_FIELDS = 7

# The request id and the words of a statement; only the last may hold blanks.
Fields = tuple[str, ...]
Encoder = collections.abc.Callable[[object], Fields]
_encoders: dict[type, Encoder] = {}


def _encodes(kind: type) -> collections.abc.Callable[[Encoder], Encoder]:
    """Register the encoder of a command as the fields of its line."""

    def register(encoder: Encoder) -> Encoder:
        _encoders[kind] = encoder
        return encoder

    return register


def _wait(position: log_positions.LogPosition | None) -> Fields:
    """Return the fields for the log position that a statement waits for."""
    if position is None:
        return ()
    return 'AFTER', f'{position.log_term}.{position.position}'


@_encodes(statements.Begin)
def _begin(command: statements.Begin) -> Fields:
    text = 'BEGIN READ' if command.read_only else 'BEGIN'
    return _PROXY_ID, *_wait(command.after), text


@_encodes(statements.Rollback)
def _rollback(command: statements.Rollback) -> Fields:
    return _PROXY_ID, 'ROLLBACK'


@_encodes(statements.Commit)
def _commit(command: statements.Commit) -> Fields:
    return command.request_id, 'COMMIT'


@_encodes(statements.Run)
def _run(command: statements.Run) -> Fields:
    return command.request_id, *_wait(command.after), command.text


@_encodes(statements.Execute)
def _execute(command: statements.Execute) -> Fields:
    wait = _wait(command.after)
    statement = 'EXECUTE', command.name, command.arguments
    return command.request_id, *wait, *statement


@_encodes(statements.SetValue)
def _set(command: statements.SetValue) -> Fields:
    return _PROXY_ID, 'SET', command.name, command.value


@_encodes(statements.Prepare)
def _prepare(command: statements.Prepare) -> Fields:
    access = command.access.upper()
    return _PROXY_ID, 'PREPARE', command.name, access, command.shape


@_encodes(statements.Reset)
def _reset(command: statements.Reset) -> Fields:
    return _PROXY_ID, 'RESET'


@_encodes(statements.Status)
def _status(command: statements.Status) -> Fields:
    return _PROXY_ID, 'STATUS'


@_encodes(statements.Pause)
def _pause(command: statements.Pause) -> Fields:
    return _PROXY_ID, 'PAUSE', str(command.term)


@_encodes(statements.Resume)
def _resume(command: statements.Resume) -> Fields:
    return _PROXY_ID, 'RESUME'


@_encodes(statements.Demote)
def _demote(command: statements.Demote) -> Fields:
    return _PROXY_ID, 'DEMOTE', str(command.term)


def parse_log_position(text: str) -> log_positions.LogPosition | None:
    """Return TERM.NUMBER as a log position and `-` as None.

    Raises ValueError on any other text.
    """
    if text == '-':
        return None
    term, _, number = text.partition('.')
    return log_positions.LogPosition(int(term), int(number))


class _Reader:
    """Decode the replies of one connection, starting with the greeting."""

    def __init__(self):
        self.splitter = line_protocol.LineSplitter()
        self.greeted = False
        self._reset()

    def _reset(self) -> None:
        self.rows: list[str] = []
        self.signature: str | None = None
        self.code: Code | None = None
        self.detail = ''

    def feed(self, data: bytes) -> list[statements.Reply]:
        """Return the replies completed by this data.

        Raises ValueError on data that is not a reply.
        """
        replies = []
        for line in self.splitter.feed(data):
            word, rest = line_protocol.parse_line(line)
            if self._add_line(word, rest):
                replies.append(self._finish_reply(rest))
        if self.splitter.exceeds_limit():
            raise line_protocol.LineError('the message is too long')
        return replies

    def is_inside_reply(self) -> bool:
        """Return whether a part of the next reply has been fed."""
        return bool(self.splitter.buffer or self.rows) or self._has_ended()

    def _has_ended(self) -> bool:
        """Return whether only the READY line of a reply is missing."""
        return self.signature is not None or self.code is not None

    def _add_line(self, word: str, rest: str) -> bool:
        """Add a line; return whether it completes a reply."""
        if self._has_ended() and word != 'READY':
            raise line_protocol.LineError('a line after DONE or ERROR')
        match word:
            case 'ROW':
                self.rows.append(rest)
            case 'DONE':
                self.signature = rest
            case 'ERROR':
                code, _, self.detail = rest.partition(' ')
                self.code = _CODES.get(code, Code.OTHER)
                # An upstream that refuses the connection closes it after
                # this line, without a READY line.
                return not self.greeted
            case 'READY':
                return True
            case _:
                raise line_protocol.LineError(f'unknown reply: {word[:20]}')
        return False

    def _finish_reply(self, rest: str) -> statements.Reply:
        is_greeting = not self.greeted
        self.greeted = True
        state, place = SessionState.IDLE, None
        if not (is_greeting and self.code is not None):
            word, _, position_text = rest.partition(' ')
            if word not in _STATES:
                raise line_protocol.LineError(
                    f'unknown session state: {word[:20]}'
                )
            state, place = (
                _STATES[word],
                parse_log_position(position_text or '-'),
            )
        if not is_greeting and self.signature is None and self.code is None:
            raise line_protocol.LineError('reply without DONE or ERROR')
        reply = statements.Reply(
            tuple(self.rows),
            self.signature,
            self.code,
            self.detail,
            state,
            place,
            _parse_status(self.rows) if self.signature == '-' else None,
        )
        self._reset()
        return reply


def _parse_status(rows: list[str]) -> statements.StatusReport | None:
    if len(rows) != 1:
        return None
    fields = rows[0].split(' ')
    if len(fields) != _STATUS_FIELDS:
        return None
    role, term, received, held_term, lag_ms, busy, connections = fields
    return statements.StatusReport(
        statements.Role(role),
        int(term),
        parse_log_position(received) or log_positions.ORIGIN,
        int(held_term),
        int(float(lag_ms)),
        int(busy),
        int(connections),
    )


def _encode(command: statements.Command) -> bytes:
    try:
        return line_protocol.format_line(
            'QUERY', *_encoders[type(command)](command)
        )
    except line_protocol.LineError as error:
        detail = f'{type(command).__name__}: {error}'
        raise line_protocol.LineError(detail) from None


class UpstreamCodec:
    """Encode and decode the line protocol of upstreams."""

    def hello(self, service: str, organisation: str, upstream: str) -> bytes:
        """Return the first line of a connection to this upstream."""
        return line_protocol.format_line(
            'START', service, organisation or _OWN_NAME, upstream
        )

    def encode(self, commands: tuple[statements.Command, ...]) -> bytes:
        """Return the encoded commands, to be sent in a single write.

        Raises LineError if an upstream would parse one as another command.
        """
        return b''.join(map(_encode, commands))

    def reader(self) -> _Reader:
        """Return a reader for the replies of one connection."""
        return _Reader()
