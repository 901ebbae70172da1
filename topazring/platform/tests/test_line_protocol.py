"""Test the codecs of the line protocol with arbitrarily split input."""

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import prepared_names
from topazring.core.synchronous import statements
from topazring.platform import caller_codec
from topazring.platform import line_protocol
from topazring.platform import upstream_codec
from topazring.pooler import ports

Code = statements.Code
Reason = outcomes.Reason
MAX_LINE_BYTES = line_protocol.MAX_LINE_BYTES
SessionState = statements.SessionState
Verb = statements.Verb

MESSAGES = (
    b'START lepu270 u3f1\r\n'
    b'QUERY a1 SET zone cork hall\r\n'
    b'QUERY a2 PREPARE s1 WRITE q2c\r\n'
    b'QUERY a3 EXECUTE s1 1a4 some data\r\n'
    b'QUERY a4 BEGIN READ\r\n'
    b'QUIT\r\n'
)

# All that UTF-8 can hold, most of it apt to be taken for something else.
FIELDS = strategies.lists(
    strategies.text(strategies.sampled_from(' \t\r\n\0\x85\u2028ab')),
    min_size=1,
    max_size=4,
)


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    """Split bytes at the given offsets."""
    at = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in zip(at, at[1:], strict=False)]


def is_refused(formatter, *arguments) -> bool:
    """Return whether a formatter raises LineError, without long output."""
    try:
        formatter(*arguments)
    except line_protocol.LineError:
        return True
    return False


class FormatTest(testtools.TestCase):
    """A line is parsed into the fields that it is made of."""

    @hypothesis.settings(derandomize=True, max_examples=400)
    @hypothesis.given(FIELDS)
    def test_any_fields(self, fields):
        """Guards against a field that ends early, or ends the line."""
        try:
            line = line_protocol.format_line(*fields)
        except line_protocol.LineError:
            words = fields[:-1]
            is_line = all(words) and not any(' ' in each for each in words)
            bad = any(each in ''.join(fields) for each in '\r\n\0')
            self.assertFalse(is_line and not bad)
            return
        self.assertEqual(1, line.count(b'\n'))
        text = line.decode().removesuffix('\r\n')
        self.assertEqual(fields, text.split(' ', len(fields) - 1))

    def test_what_is_no_line(self):
        """Guards against lines that a receiver refuses or splits otherwise."""
        longest = 'x' * (line_protocol.MAX_LINE_BYTES - 4)
        line_protocol.format_line('ROW', longest)
        for fields in (
            ('ROW', longest + 'x'),
            ('ROW', '\ud800'),
            ('START', 'calc db', '', 'i-1'),
            ('QUERY', '-', 'SET', 'zone', 'a\r\nQUERY - RESET'),
        ):
            self.assertTrue(is_refused(line_protocol.format_line, *fields))


class CallerLinesTest(testtools.TestCase):
    """Callers' messages are parsed into statements or clear errors."""

    def read(
        self, data: bytes, max_bytes: int = 1000
    ) -> list[ports.CallerItem]:
        """Parse the data in one piece."""
        return caller_codec.CallerCodec().reader(max_bytes).feed(data)

    @hypothesis.settings(derandomize=True, max_examples=150)
    @hypothesis.given(strategies.lists(strategies.integers(0, len(MESSAGES))))
    def test_arbitrary_chunks(self, cuts):
        """The result does not depend on how the data is split."""
        reader = caller_codec.CallerCodec().reader(1000)
        items = []
        for piece in split_at(MESSAGES, cuts):
            items += reader.feed(piece)
        self.assertEqual(self.read(MESSAGES), items)

    @hypothesis.settings(derandomize=True, max_examples=400)
    @hypothesis.given(strategies.binary(max_size=300))
    def test_arbitrary_bytes(self, data):
        """Any input yields messages or faults, never an exception."""
        for item in self.read(data + b'\r\n', max_bytes=100):
            self.assertIsInstance(item, ports.CallerItem)

    def test_statements(self):
        """The fields of each verb are parsed."""
        start, set_value, prepare, execute, begin, quit_message = self.read(
            MESSAGES
        )
        self.assertEqual(ports.StartSession('lepu270', 'u3f1'), start)
        self.assertEqual(
            ('zone', 'cork hall'), (set_value.name, set_value.value)
        )
        self.assertEqual(statements.Access.WRITE, prepare.access)
        self.assertEqual('1a4 some data', execute.arguments)
        self.assertTrue(begin.read_only)
        self.assertEqual(ports.Quit(), quit_message)

    def test_line_end_inside_a_line(self):
        """A bare CR, LF or NUL inside a line is rejected.

        Guards against statement injection: a caller's data contains a line
        feed followed by the text of a statement, and the upstream, which
        splits lines differently, runs that text.
        """
        for inside in (b'\n', b'\r', b'\0'):
            data = b'QUERY a1 WRITE k x' + inside + b'QUERY a2 READ k\r\n'
            (item,) = self.read(data)
            self.assertEqual(Reason.BAD_STATEMENT, item.reason)

    def test_malformed(self):
        """Malformed messages are non-fatal faults; the session continues."""
        for data in (
            b'HELLO\r\n',
            b'QUERY\r\n',
            b'QUERY a1\r\n',
            b'QUERY - READ k\r\n',
            b'QUERY a1 STATUS\r\n',
            b'QUERY a1 AFTER 1.1 READ k\r\n',
            b'QUERY a1 PROMOTE\r\n',
            b'QUERY a1 WRITE k\r\n',
            b'QUERY a1 BEGIN WRITE\r\n',
            b'QUERY a1 COMMIT now\r\n',
            b'QUERY a1 PREPARE s1 BOTH q\r\n',
            b'QUERY a1 READ \xff\r\n',
            b'QUIT now\r\n',
        ):
            (item,) = self.read(data)
            self.assertIsInstance(item, ports.Fault, data)
            self.assertFalse(item.fatal, data)

    def test_too_long(self):
        """An oversized line is a fatal fault, also before its end arrives."""
        for data in (b'x' * 200, b'x' * 200 + b'\r\n'):
            item = self.read(data, max_bytes=100)[0]
            self.assertEqual(Reason.TOO_LARGE, item.reason)
            self.assertTrue(item.fatal)

    def answer(self, outcome, state=SessionState.IDLE) -> bytes:
        """Encode an answer."""
        return caller_codec.CallerCodec().answer(outcome, state)

    def test_answers(self):
        """Rows and signature are passed on as the upstream sent them."""
        done = outcomes.Done(['a b', 'c'], None, signature='7.1f')
        self.assertEqual(
            b'ROW a b\r\nROW c\r\nDONE 7.1f\r\nREADY T -\r\n',
            self.answer(done, SessionState.IN_TRANSACTION),
        )

    def test_unknown_outcome_is_not_a_refusal(self):
        """A request that may have run never gets a not-run code."""
        not_run_codes = (b'BUSY', b'ABORTED', b'LAGGING', b'TOOMANY')
        for reason in Reason:
            if reason in outcomes.REJECTION_REASONS:
                continue
            refused = self.answer(outcomes.NotRun(reason, 40))
            self.assertIn(refused.split()[1], not_run_codes)
            self.assertIn(b'retry-after-ms=40', refused)
            unknown = self.answer(outcomes.Unknown(reason))
            self.assertNotIn(unknown.split()[1], not_run_codes)

    def test_statement_that_would_leave_as_another(self):
        """Guards against a COMMIT that is sent without a space at its end."""
        (item,) = self.read(b'QUERY a1 COMMIT \r\n')
        self.assertIsInstance(item, ports.Fault)
        (item,) = self.read(b'QUERY a1 COMMIT\r\n')
        self.assertEqual('COMMIT', item.text)


class LongStatementsTest(testtools.TestCase):
    """What a caller sends is within the limit, and so is what leaves."""

    def read(self, start: str, length: int) -> ports.CallerItem:
        """Return what a line of a length is parsed into."""
        reader = caller_codec.CallerCodec().reader(MAX_LINE_BYTES)
        (item,) = reader.feed(start.encode().ljust(length, b'x') + b'\r\n')
        return item

    def encode(self, statement: statements.Statement) -> bytes:
        """Return the longest line that an upstream may be sent for it."""
        after = log_positions.LogPosition(2**53, 2**53)
        prepare = prepared_names.prepare_command
        match statement.verb:
            case Verb.PREPARE:
                command = prepare(statement.access, statement.value)
            case Verb.EXECUTE:
                name = prepare(statement.access, 'q').name
                command = statements.Execute(
                    statement.request_id, name, statement.arguments, after
                )
            case Verb.SET:
                command = statements.SetValue(statement.name, statement.value)
            case _:
                is_read = statement.verb is Verb.READ
                command = statements.Run(
                    statement.request_id,
                    statement.text,
                    after if is_read else None,
                )
        return upstream_codec.UpstreamCodec().encode((command,))

    def test_longest_statements(self):
        """Guards against a statement that is accepted and cannot be sent."""
        shortest = MAX_LINE_BYTES - line_protocol.MAX_ADDED_BYTES
        for text in ('READ ', 'PREPARE s READ ', 'EXECUTE s '):
            accepted = self.read(f'QUERY a {text}', shortest)
            self.assertLessEqual(
                len(self.encode(accepted)) - 2, MAX_LINE_BYTES
            )
            for length in (shortest + 1, MAX_LINE_BYTES):
                refused = self.read(f'QUERY a {text}', length)
                self.assertIsInstance(refused, ports.Fault)
                self.assertEqual(Reason.TOO_LARGE, refused.reason)
                self.assertFalse(refused.fatal)

    def test_what_leaves_as_it_came(self):
        """Guards against a refusal of what can be sent."""
        for text in ('WRITE k ', 'SET n '):
            accepted = self.read(f'QUERY a {text}', MAX_LINE_BYTES)
            self.assertLessEqual(
                len(self.encode(accepted)) - 2, MAX_LINE_BYTES
            )


class UpstreamLinesTest(testtools.TestCase):
    """Commands are encoded and replies decoded."""

    def test_commands(self):
        """Callers' statements keep their request id and text."""
        place = log_positions.LogPosition(3, 1207)
        written = upstream_codec.UpstreamCodec().encode(
            (
                statements.Begin(),
                statements.Begin(read_only=True, after=place),
                statements.Run('a1', 'READ 1a4', place),
                statements.Execute('a2', 'wq2c', '1a4 x y'),
                statements.Commit('a3'),
                statements.Pause(4),
            )
        )
        self.assertEqual(
            b'QUERY - BEGIN\r\n'
            b'QUERY - AFTER 3.1207 BEGIN READ\r\n'
            b'QUERY a1 AFTER 3.1207 READ 1a4\r\n'
            b'QUERY a2 EXECUTE wq2c 1a4 x y\r\n'
            b'QUERY a3 COMMIT\r\n'
            b'QUERY - PAUSE 4\r\n',
            written,
        )

    def test_command_that_is_another(self):
        """Guards against a command that an upstream takes for another."""
        encode = upstream_codec.UpstreamCodec().encode
        read = statements.Access.READ
        for command in (
            statements.Prepare('rq1 READ zj', read, 'q1 READ zj'),
            statements.Execute('a2', 'rq1 READ zj', 'k'),
            statements.Execute('a 2', 'q', 'k'),
            statements.SetValue('', 'a'),
            statements.Run('a1', 'READ k\r\nQUERY a2 COMMIT'),
            statements.Run('a1', 'x' * line_protocol.MAX_LINE_BYTES),
        ):
            self.assertTrue(is_refused(encode, (statements.Begin(), command)))

    def test_every_command_has_an_encoder(self):
        """Every type of command has a registered encoder."""
        encoded = set(upstream_codec._encoders)
        self.assertEqual(set(statements.Command.__args__), encoded)

    @hypothesis.settings(derandomize=True, max_examples=150)
    @hypothesis.given(strategies.lists(strategies.integers(0, 200)))
    def test_replies_in_arbitrary_chunks(self, cuts):
        """Replies are decoded however split; the greeting is the first one."""
        replies_data = (
            b'READY I 3.1207\r\n'
            b'ROW a b\r\nDONE 7.1f\r\nREADY T 3.1209\r\n'
            b'ERROR READONLY i-7f\r\nREADY E -\r\n'
            b'ROW replica 3 3.1209 4 12 2 17\r\nDONE -\r\nREADY I 3.1\r\n'
        )
        reader = upstream_codec.UpstreamCodec().reader()
        replies = []
        for piece in split_at(replies_data, cuts):
            replies += reader.feed(piece)
        greeting, row, refusal, status = replies
        self.assertEqual(log_positions.LogPosition(3, 1207), greeting.place)
        self.assertEqual((('a b',), '7.1f'), (row.rows, row.signature))
        self.assertEqual(Code.READ_ONLY, refusal.code)
        self.assertEqual(SessionState.FAILED, refusal.state)
        self.assertEqual(
            log_positions.LogPosition(3, 1209), status.report.received
        )
        self.assertEqual(4, status.report.held_term)

    def test_refused_greeting(self):
        """A refused greeting is complete without a session state."""
        reader = upstream_codec.UpstreamCodec().reader()
        (reply,) = reader.feed(b'ERROR MISROUTED\r\n')
        self.assertEqual(Code.WRONG_UPSTREAM, reply.code)

    def test_truncated_answer_is_an_error(self):
        """Rows without a final DONE are never returned as an answer.

        Guards against returning the rows received so far as the whole answer
        when the upstream's answer is truncated.
        """
        reader = upstream_codec.UpstreamCodec().reader()
        reader.feed(b'READY I 1.1\r\n')
        self.assertEqual([], reader.feed(b'ROW a\r\nROW b\r\n'))
        self.assertRaises(
            line_protocol.LineError, reader.feed, b'READY I 1.1\r\n'
        )

    def test_second_end_of_a_reply(self):
        """Guards against a success that is read as a refusal."""
        for lines in (
            b'ERROR BUSY u1\r\nDONE 7.1f\r\n',
            b'DONE 7.1f\r\nROW late\r\n',
            b'DONE 7.1f\r\nDONE 7.2a\r\n',
        ):
            reader = upstream_codec.UpstreamCodec().reader()
            reader.feed(b'READY I 1.1\r\n')
            self.assertRaises(line_protocol.LineError, reader.feed, lines)

    def test_invalid_replies(self):
        """Invalid replies raise ValueError, which closes the connection."""
        for data in (b'HELLO\r\n', b'READY X 1.1\r\n', b'READY I x.y\r\n'):
            reader = upstream_codec.UpstreamCodec().reader()
            self.assertRaises(ValueError, reader.feed, data)
