"""Read callers' lines as statements, and write their answers."""

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
# Nothing of the request is kept; `BUSY` says the same of all others.
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
    Reason.UNKNOWN_DATABASE: 'NODB',
    Reason.NO_STATEMENT: 'NOSTMT',
    Reason.TOO_LARGE: 'TOOLARGE',
}

Parser = collections.abc.Callable[[str, str, str], statements.Statement]
_verbs: dict[str, Parser] = {}


def _verb(word: str) -> collections.abc.Callable[[Parser], Parser]:
    """Register the parser of one verb: id, whole text, what follows it."""

    def register(parser: Parser) -> Parser:
        _verbs[word] = parser
        return parser

    return register


def _fields(rest: str, most: int, least: int) -> list[str]:
    """Split into fields; the last goes to the end of the line."""
    found = rest.split(' ', most - 1) if rest else []
    if len(found) < least or not all(found):
        raise line_protocol.LineError('a field is missing')
    return found


@_verb('BEGIN')
def _begin(request_id: str, text: str, rest: str) -> statements.Statement:
    if rest not in ('', 'READ'):
        raise line_protocol.LineError('BEGIN takes READ or nothing')
    return statements.Statement(
        request_id, Verb.BEGIN, text, read_only=rest == 'READ'
    )


@_verb('COMMIT')
def _commit(request_id: str, text: str, rest: str) -> statements.Statement:
    if rest:
        raise line_protocol.LineError('COMMIT takes nothing')
    return statements.Statement(request_id, Verb.COMMIT, text)


@_verb('ROLLBACK')
def _rollback(request_id: str, text: str, rest: str) -> statements.Statement:
    if rest:
        raise line_protocol.LineError('ROLLBACK takes nothing')
    return statements.Statement(request_id, Verb.ROLLBACK, text)


@_verb('READ')
def _read(request_id: str, text: str, rest: str) -> statements.Statement:
    _fields(rest, 1, 1)
    return statements.Statement(request_id, Verb.READ, text)


@_verb('WRITE')
def _write(request_id: str, text: str, rest: str) -> statements.Statement:
    _fields(rest, 2, 2)
    return statements.Statement(request_id, Verb.WRITE, text)


@_verb('SET')
def _set(request_id: str, text: str, rest: str) -> statements.Statement:
    name, value = _fields(rest, 2, 2)
    return statements.Statement(
        request_id, Verb.SET, text, name=name, value=value
    )


@_verb('PREPARE')
def _prepare(request_id: str, text: str, rest: str) -> statements.Statement:
    name, access, shape = _fields(rest, 3, 3)
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


@_verb('EXECUTE')
def _execute(request_id: str, text: str, rest: str) -> statements.Statement:
    name, arguments = _fields(rest, 2, 2)
    return statements.Statement(
        request_id, Verb.EXECUTE, text, name=name, arguments=arguments
    )


@_verb('DEALLOC')
def _dealloc(request_id: str, text: str, rest: str) -> statements.Statement:
    (name,) = _fields(rest, 1, 1)
    return statements.Statement(request_id, Verb.DEALLOCATE, text, name=name)


def parse_statement(request_id: str, text: str) -> statements.Statement:
    """Return a statement; raise BadLine on what is none."""
    word, _, rest = text.partition(' ')
    parser = _verbs.get(word)
    if parser is None:
        raise line_protocol.LineError('no such statement')
    return parser(request_id, text, rest)


class _Reader:
    """Read what one caller sends."""

    def __init__(self, message_bytes: int):
        self.splitter = line_protocol.LineSplitter(message_bytes)

    def feed(self, data: bytes) -> list[ports.CallerItem]:
        """Return the messages that are complete now."""
        items = [self._read(line) for line in self.splitter.feed(data)]
        if self.splitter.exceeds_limit():
            detail = 'the message is too long'
            items.append(ports.Fault(Reason.TOO_LARGE, detail, fatal=True))
        return items

    def _read(self, line: bytes) -> ports.CallerItem:
        if len(line) > self.splitter.max_line_bytes:
            detail = 'the message is too long'
            return ports.Fault(Reason.TOO_LARGE, detail, fatal=True)
        try:
            word, rest = line_protocol.parse_line(
                line, self.splitter.max_line_bytes
            )
            return _item(word, rest)
        except line_protocol.LineError as error:
            return ports.Fault(Reason.BAD_STATEMENT, str(error))


def _item(word: str, rest: str) -> ports.CallerItem:
    if word == 'QUERY':
        request_id, _, text = rest.partition(' ')
        if not request_id or not text or request_id == '-':
            raise line_protocol.LineError('QUERY takes an id and a text')
        return parse_statement(request_id, text)
    if word == 'START':
        # Who connects is not used: a session is the connection.
        database = _fields(rest, 2, 1)[0]
        return ports.StartSession(database)
    if word == 'QUIT' and not rest:
        return ports.Quit()
    raise line_protocol.LineError('no such message')


class CallerCodec:
    """Speak with callers."""

    def reader(self, message_bytes: int) -> _Reader:
        """Return a reader; longer messages are faults."""
        return _Reader(message_bytes)

    def greeting(self) -> bytes:
        """Return the answer to a session's start."""
        return line_protocol.format_line('READY', 'I', '-')

    def refusal(self, outcome: outcomes.Outcome) -> bytes:
        """Return the answer to a session that is refused."""
        return _error(outcome)

    def answer(self, outcome: outcomes.Outcome, state: SessionState) -> bytes:
        """Return the answer to a statement and the session's state."""
        ready = line_protocol.format_line('READY', _STATES[state], '-')
        if not isinstance(outcome, outcomes.Done):
            return _error(outcome) + ready
        rows = b''.join(
            line_protocol.format_line('ROW', row) for row in outcome.rows
        )
        done = line_protocol.format_line('DONE', outcome.signature or '-')
        return rows + done + ready


def _error(outcome: outcomes.Outcome) -> bytes:
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
