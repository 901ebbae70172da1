"""Judge the lines that upstreams receive by what callers have sent.

The parser follows the platform's page alone; it shares no code with the
proxy.
"""

import collections
import dataclasses

MAX_MESSAGE_BYTES = 1 << 20
# Request id of the statements that proxies issue themselves.
PROXY_ID = '-'
_PROXY_TEXTS = ('BEGIN', 'BEGIN READ', 'ROLLBACK', 'RESET', 'STATUS', 'RESUME')
_PROXY_VERBS = ('SET', 'PREPARE', 'DEALLOC', 'PAUSE', 'DEMOTE')
_CALLERS_VERBS = ('READ', 'WRITE', 'COMMIT', 'EXECUTE')


@dataclasses.dataclass(frozen=True)
class Sent:
    """Hold a caller's statement and what its session had set by then."""

    text: str
    values: tuple[tuple[str, str], ...] = ()
    # Access and shape of the prepared name that it executes.
    prepared: tuple[str, str] | None = None
    in_transaction: bool = False


@dataclasses.dataclass
class Wire:
    """Hold what one connection to an upstream has set, by its lines."""

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = dataclasses.field(
        default_factory=dict
    )
    is_open: bool = False


class LineOracle:
    """Collect the faults of lines by the rule that they break."""

    def __init__(self):
        self.sent: dict[str, Sent] = {}
        self.faults: list[tuple[str, str]] = []
        # Statements of callers by verb.
        self.ran: collections.Counter[str] = collections.Counter()

    def note_sent(self, request_id: str, sent: Sent) -> None:
        """Record a statement before its caller sends it."""
        self.sent[request_id] = sent

    def find_sent(self, request_id: str) -> Sent | None:
        """Return what a caller has sent under a request id."""
        return self.sent.get(request_id)

    def check(self, wire: Wire, line: bytes) -> None:
        """Judge one line without its CR LF."""
        try:
            self._judge(wire, line)
        except Exception as error:
            # Its connection would end, and the test pass.
            self._add('ORACLE', repr(error))

    def _judge(self, wire: Wire, line: bytes) -> None:
        if len(line) > MAX_MESSAGE_BYTES:
            self._add('SIZE', f'{len(line)} bytes')
        word, request_id, text = _split(line)
        if word != 'QUERY' or not request_id or not text:
            self._add('FORM', repr(line[:80]))
        elif request_id == PROXY_ID:
            self._check_own(text)
        else:
            self._check_callers(wire, request_id, text)

    def _add(self, rule: str, detail: str) -> None:
        self.faults.append((rule, detail))

    def _check_own(self, text: str) -> None:
        """Judge a statement that the proxy issued for itself."""
        waits, text = text.startswith('AFTER '), _without_wait(text)
        verb, _, rest = text.partition(' ')
        if waits and verb != 'BEGIN':
            self._add('FORM', f'waits for a position: {text[:80]!r}')
        if text not in _PROXY_TEXTS and verb not in _PROXY_VERBS:
            self._add('UNASKED', f'own statement {text[:80]!r}')
        elif verb == 'PREPARE':
            _, access, shape = _split_words(rest)
            if access not in ('READ', 'WRITE') or not shape:
                self._add('FORM', f'{text[:80]!r}')

    def follow(self, wire: Wire, line: bytes) -> None:
        """Record the effect of a line that the upstream has not refused."""
        text = _without_wait(_split(line)[2])
        verb, _, rest = text.partition(' ')
        if verb == 'BEGIN':
            wire.is_open = True
        elif verb in ('COMMIT', 'ROLLBACK'):
            wire.is_open = False
        elif verb == 'RESET':
            wire.values.clear()
            wire.prepared.clear()
        elif verb == 'SET':
            name, _, value = rest.partition(' ')
            wire.values[name] = value
        elif verb == 'PREPARE':
            name, access, shape = _split_words(rest)
            wire.prepared[name] = (access, shape)
        elif verb == 'DEALLOC':
            wire.prepared.pop(rest, None)

    def _check_callers(self, wire: Wire, request_id: str, text: str) -> None:
        """Compare a caller's statement with what its caller sent."""
        sent = self.find_sent(request_id)
        if sent is None:
            self._add('UNASKED', f'unknown id {request_id!r}: {text[:80]!r}')
            return
        waits, text = text.startswith('AFTER '), _without_wait(text)
        verb, _, rest = text.partition(' ')
        if verb not in _CALLERS_VERBS:
            self._add('UNASKED', f'{sent.text[:60]!r} as {text[:80]!r}')
            return
        if waits and 'READ' not in (verb, *(sent.prepared or ())[:1]):
            self._add('FORM', f'waits for a position: {text[:80]!r}')
        self.ran[verb] += 1
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            rest = self._check_execute(wire, sent, name, rest)
        elif text != sent.text:
            self._add('UNASKED', f'{sent.text[:60]!r} as {text[:80]!r}')
        if tuple(sorted(wire.values.items())) != sent.values:
            self._add('PINNED', f'{wire.values}, set {sent.values}')
        if wire.is_open != sent.in_transaction:
            self._add('PINNED', f'in a transaction: {wire.is_open}')

    def _check_execute(
        self, wire: Wire, sent: Sent, name: str, arguments: str
    ) -> None:
        verb, _, expected = sent.text.partition(' ')
        _, _, expected = expected.partition(' ')
        if verb != 'EXECUTE' or arguments != expected:
            self._add('UNASKED', f'{sent.text[:60]!r} with {arguments[:80]!r}')
        found = wire.prepared.get(name)
        if found != sent.prepared:
            self._add('PINNED', f'prepared {sent.prepared}, ran {found}')


def _split(line: bytes) -> tuple[str, str, str]:
    return _split_words(line.decode(errors='backslashreplace'))


def _split_words(text: str) -> tuple[str, str, str]:
    """Return two words and what follows them, empty where they are missing."""
    first, _, rest = text.partition(' ')
    second, _, rest = rest.partition(' ')
    return first, second, rest


def _without_wait(text: str) -> str:
    """Return a text without the log position that it waits for."""
    if text.startswith('AFTER '):
        return _split_words(text)[2]
    return text
