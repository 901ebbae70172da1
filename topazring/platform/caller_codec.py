"""Parse the lines that callers send and encode the answers to them."""

import collections.abc

from topazring.core import outcomes
from topazring.core.synchronous import statements
from topazring.platform import line_protocol
from topazring.pooler import ports

__all__ = ['CallerCodec', 'parse_statement']

Reason = outcomes.Reason
Verb = statements.Verb
SessionState = statements.SessionState

_STATES = {
    SessionState.IDLE: 'I',
    SessionState.IN_TRANSACTION: 'T',
    SessionState.FAILED: 'E',
}
# The request had no lasting effect. Reasons not listed are sent as `BUSY`,
# which means the same.
_NOT_RUN = {
    Reason.TRANSACTION_LOST: 'ABORTED',
    Reason.CONNECTION_LOST: 'ABORTED',
    Reason.SILENT: 'ABORTED',
    Reason.UPSTREAM_TIMEOUT: 'ABORTED',
    Reason.UPSTREAM_FAILED: 'ABORTED',
    Reason.REPLICA_BEHIND: 'LAGGING',
    Reason.NO_FRESH_REPLICA: 'LAGGING',
    Reason.CONNECTION_LIMIT: 'TOOMANY',
}
_UNKNOWN = {
    Reason.UPSTREAM_FAILED: 'FAILED',
    Reason.UPSTREAM_TIMEOUT: 'TIMEOUT',
}
_REJECTED = {
    Reason.FORBIDDEN: 'NOAUTH',
    Reason.UNKNOWN_DATABASE: 'NODB',
    Reason.NO_STATEMENT: 'NOSTMT',
    Reason.TOO_LARGE: 'TOOLARGE',
}

# Statements that an upstream may be sent with more than their text.
_EXTENDED = (Verb.READ, Verb.PREPARE, Verb.EXECUTE)

Parser = collections.abc.Callable[[str, str, str], statements.Statement]
_parsers: dict[str, Parser] = {}


def _parses(verb: str) -> collections.abc.Callable[[Parser], Parser]:
    """Register a verb's parser of request id, whole text and arguments."""

    def register(parser: Parser) -> Parser:
        _parsers[verb] = parser
        return parser

    return register


def _split_fields(rest: str, max_fields: int, min_fields: int) -> list[str]:
    """Return the fields; the last one extends to the end of the line."""
    fields = rest.split(' ', max_fields - 1) if rest else []
    if len(fields) < min_fields or not all(fields):
        raise line_protocol.LineError('a field is missing')
    return fields


@_parses('BEGIN')
def _begin(request_id: str, text: str, rest: str) -> statements.Statement:
    if rest not in ('', 'READ'):
        raise line_protocol.LineError('BEGIN takes READ or nothing')
    return statements.Statement(
        request_id, Verb.BEGIN, text, read_only=rest == 'READ'
    )


@_parses('COMMIT')
def _commit(request_id: str, text: str, rest: str) -> statements.Statement:
    # It is sent without its text, which must not hold a space at its end.
    if text != 'COMMIT':
        raise line_protocol.LineError('COMMIT takes nothing')
    return statements.Statement(request_id, Verb.COMMIT, text)


@_parses('ROLLBACK')
def _rollback(request_id: str, text: str, rest: str) -> statements.Statement:
    if rest:
        raise line_protocol.LineError('ROLLBACK takes nothing')
    return statements.Statement(request_id, Verb.ROLLBACK, text)


@_parses('READ')
def _read(request_id: str, text: str, rest: str) -> statements.Statement:
    _split_fields(rest, 1, 1)
    return statements.Statement(request_id, Verb.READ, text)


@_parses('WRITE')
def _write(request_id: str, text: str, rest: str) -> statements.Statement:
    _split_fields(rest, 2, 2)
    return statements.Statement(request_id, Verb.WRITE, text)


@_parses('SET')
def _set(request_id: str, text: str, rest: str) -> statements.Statement:
    name, value = _split_fields(rest, 2, 2)
    return statements.Statement(
        request_id, Verb.SET, text, name=name, value=value
    )


@_parses('PREPARE')
def _prepare(request_id: str, text: str, rest: str) -> statements.Statement:
    name, access, shape = _split_fields(rest, 3, 3)
    if access not in ('READ', 'WRITE'):
        raise line_protocol.LineError('PREPARE takes READ or WRITE')
    return statements.Statement(
        request_id,
        Verb.PREPARE,
        text,
        name=name,
        value=shape,
        access=statements.Access(access.lower()),
    )


@_parses('EXECUTE')
def _execute(request_id: str, text: str, rest: str) -> statements.Statement:
    name, arguments = _split_fields(rest, 2, 2)
    return statements.Statement(
        request_id, Verb.EXECUTE, text, name=name, arguments=arguments
    )


@_parses('DEALLOC')
def _dealloc(request_id: str, text: str, rest: str) -> statements.Statement:
    (name,) = _split_fields(rest, 1, 1)
    return statements.Statement(request_id, Verb.DEALLOCATE, text, name=name)


def parse_statement(request_id: str, text: str) -> statements.Statement:
    """Return the parsed statement; raise LineError if it is invalid."""
    word, _, rest = text.partition(' ')
    parser = _parsers.get(word)
    if parser is None:
        raise line_protocol.LineError('no such statement')
    return parser(request_id, text, rest)


class _Reader:
    """Parse the messages of one caller."""

    def __init__(self, message_bytes: int):
        self.splitter = line_protocol.LineSplitter(message_bytes)

    def feed(self, data: bytes) -> list[ports.CallerItem]:
        """Return the messages completed by this data."""
        items = [self._read_message(line) for line in self.splitter.feed(data)]
        if self.splitter.exceeds_limit():
            detail = 'the message is too long'
            items.append(ports.Fault(Reason.TOO_LARGE, detail, fatal=True))
        return items

    def _read_message(self, line: bytes) -> ports.CallerItem:
        if len(line) > self.splitter.max_line_bytes:
            detail = 'the message is too long'
            return ports.Fault(Reason.TOO_LARGE, detail, fatal=True)
        try:
            word, rest = line_protocol.parse_line(
                line, self.splitter.max_line_bytes
            )
            message = _parse_message(word, rest)
        except line_protocol.LineError as error:
            return ports.Fault(Reason.BAD_STATEMENT, str(error))
        if _is_too_long_to_send(message, len(line)):
            detail = 'the statement is too long for what is sent with it'
            return ports.Fault(Reason.TOO_LARGE, detail)
        return message


def _is_too_long_to_send(message: ports.CallerItem, line_bytes: int) -> bool:
    return (
        isinstance(message, statements.Statement)
        and message.verb in _EXTENDED
        and line_bytes + line_protocol.MAX_ADDED_BYTES
        > line_protocol.MAX_LINE_BYTES
    )


def _parse_message(word: str, rest: str) -> ports.CallerItem:
    if word == 'QUERY':
        request_id, _, text = rest.partition(' ')
        if not request_id or not text or request_id == '-':
            raise line_protocol.LineError('QUERY takes an id and a text')
        return parse_statement(request_id, text)
    if word == 'START':
        return ports.StartSession(*_split_fields(rest, 2, 1))
    if word == 'QUIT' and not rest:
        return ports.Quit()
    raise line_protocol.LineError('no such message')


class CallerCodec:
    """Encode and decode the line protocol of callers."""

    def reader(self, message_bytes: int) -> _Reader:
        """Return a reader that reports messages over `message_bytes`."""
        return _Reader(message_bytes)

    def greeting(self) -> bytes:
        """Return the answer to an accepted session start."""
        return line_protocol.format_line('READY', 'I', '-')

    def refusal(self, outcome: outcomes.Outcome) -> bytes:
        """Return the answer to a refused session start."""
        return _encode_error(outcome)

    def answer(self, outcome: outcomes.Outcome, state: SessionState) -> bytes:
        """Return the answer to a statement, ending with the session state."""
        ready = line_protocol.format_line('READY', _STATES[state], '-')
        if not isinstance(outcome, outcomes.Done):
            return _encode_error(outcome) + ready
        rows = b''.join(
            line_protocol.format_line('ROW', row) for row in outcome.rows
        )
        done = line_protocol.format_line('DONE', outcome.signature or '-')
        return rows + done + ready


def _encode_error(outcome: outcomes.Outcome) -> bytes:
    match outcome:
        case outcomes.NotRun():
            code = _NOT_RUN.get(outcome.reason, 'BUSY')
            text = f'{outcome.reason} retry-after-ms={outcome.retry_after_ms}'
        case outcomes.Unknown():
            code = _UNKNOWN.get(outcome.reason, 'UNKNOWN')
            text = str(outcome.reason)
        case outcomes.Rejected():
            code = _REJECTED.get(outcome.reason, 'MALFORMED')
            text = outcome.detail or str(outcome.reason)
    return line_protocol.format_line('ERROR', code, text)
