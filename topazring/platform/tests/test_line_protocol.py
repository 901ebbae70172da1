"""Read and write lines, whatever the pieces they come in."""

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import statements
from topazring.platform import caller_codec
from topazring.platform import line_protocol
from topazring.platform import upstream_codec
from topazring.pooler import ports

Code = statements.Code
Reason = outcomes.Reason
SessionState = statements.SessionState
Verb = statements.Verb

SAID = (
    b'START lepu270 u3f1\r\n'
    b'QUERY a1 SET zone cork hall\r\n'
    b'QUERY a2 PREPARE s1 WRITE q2c\r\n'
    b'QUERY a3 EXECUTE s1 1a4 some data\r\n'
    b'QUERY a4 BEGIN READ\r\n'
    b'QUIT\r\n'
)


def pieces_of(data: bytes, cuts: list[int]) -> list[bytes]:
    """Cut bytes at these places."""
    at = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in zip(at, at[1:], strict=False)]


class CallerLinesTest(testtools.TestCase):
    """What callers send becomes statements, or a clear error."""

    def read(self, data: bytes, most: int = 1000) -> list[ports.CallerItem]:
        """Read it in one piece."""
        return caller_codec.CallerCodec().reader(most).feed(data)

    @hypothesis.settings(derandomize=True, max_examples=150)
    @hypothesis.given(strategies.lists(strategies.integers(0, len(SAID))))
    def test_any_pieces(self, cuts):
        """The pieces do not matter."""
        reader = caller_codec.CallerCodec().reader(1000)
        items = []
        for piece in pieces_of(SAID, cuts):
            items += reader.feed(piece)
        self.assertEqual(self.read(SAID), items)

    @hypothesis.settings(derandomize=True, max_examples=400)
    @hypothesis.given(strategies.binary(max_size=300))
    def test_anything_at_all(self, data):
        """Whatever comes is a message or a fault, never an exception."""
        for item in self.read(data + b'\r\n', most=100):
            self.assertIsInstance(item, ports.CallerItem)

    def test_statements(self):
        """Each verb says what it is about."""
        start, said_set, prepare, execute, begin, bye = self.read(SAID)
        self.assertEqual(ports.StartSession('lepu270'), start)
        self.assertEqual(
            ('zone', 'cork hall'), (said_set.name, said_set.value)
        )
        self.assertEqual(statements.Access.WRITE, prepare.access)
        self.assertEqual('1a4 some data', execute.arguments)
        self.assertTrue(begin.read_only)
        self.assertEqual(ports.Quit(), bye)

    def test_line_inside_a_line(self):
        """A bare line feed must not begin a statement further on.

        Symptom: an upstream runs a statement that no caller sent. Sequence:
        a caller's data holds a line feed and what looks like a statement;
        the upstream takes it for the end of the line. Cause: passing on
        what the two ends split differently.
        """
        for inside in (b'\n', b'\r', b'\0'):
            said = b'QUERY a1 WRITE k x' + inside + b'QUERY a2 READ k\r\n'
            (item,) = self.read(said)
            self.assertEqual(Reason.BAD_STATEMENT, item.reason)

    def test_malformed(self):
        """A clear error, and the session goes on."""
        for said in (
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
            (item,) = self.read(said)
            self.assertIsInstance(item, ports.Fault, said)
            self.assertFalse(item.fatal, said)

    def test_too_long(self):
        """It is not read to its end; there is no way to go on."""
        for said in (b'x' * 200, b'x' * 200 + b'\r\n'):
            item = self.read(said, most=100)[0]
            self.assertEqual(Reason.TOO_LARGE, item.reason)
            self.assertTrue(item.fatal)

    def answer(self, outcome, state=SessionState.IDLE) -> bytes:
        """Write an answer."""
        return caller_codec.CallerCodec().answer(outcome, state)

    def test_answers(self):
        """Rows and signature are the upstream's own."""
        done = outcomes.Done(['a b', 'c'], None, signature='7.1f')
        self.assertEqual(
            b'ROW a b\r\nROW c\r\nDONE 7.1f\r\nREADY T -\r\n',
            self.answer(done, SessionState.IN_TRANSACTION),
        )

    def test_refusals_differ_from_doubt(self):
        """What may have run is never answered as if nothing were kept."""
        kept_nothing = (b'BUSY', b'ABORTED', b'LAGGING', b'TOOMANY')
        for reason in Reason:
            if reason in outcomes.REJECTION_REASONS:
                continue
            refused = self.answer(outcomes.NotRun(reason, 40))
            self.assertIn(refused.split()[1], kept_nothing)
            self.assertIn(b'retry-after-ms=40', refused)
            doubt = self.answer(outcomes.Unknown(reason))
            self.assertNotIn(doubt.split()[1], kept_nothing)


class UpstreamLinesTest(testtools.TestCase):
    """Commands go out, replies come back."""

    def test_commands(self):
        """Callers' statements keep their id and text."""
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

    def test_every_command_can_be_written(self):
        """None is forgotten."""
        known = set(upstream_codec._commands)
        self.assertEqual(set(statements.Command.__args__), known)

    @hypothesis.settings(derandomize=True, max_examples=150)
    @hypothesis.given(strategies.lists(strategies.integers(0, 200)))
    def test_replies_in_any_pieces(self, cuts):
        """The greeting is the first reply."""
        said = (
            b'READY I 3.1207\r\n'
            b'ROW a b\r\nDONE 7.1f\r\nREADY T 3.1209\r\n'
            b'ERROR READONLY i-7f\r\nREADY E -\r\n'
            b'ROW replica 3 3.1209 4 12 2 17\r\nDONE -\r\nREADY I 3.1\r\n'
        )
        reader = upstream_codec.UpstreamCodec().reader()
        replies = []
        for piece in pieces_of(said, cuts):
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
        """No state follows it."""
        reader = upstream_codec.UpstreamCodec().reader()
        (reply,) = reader.feed(b'ERROR MISROUTED\r\n')
        self.assertEqual(Code.WRONG_UPSTREAM, reply.code)

    def test_answer_that_was_cut_off_is_none(self):
        """Rows without their end are never a success.

        Symptom: a caller gets half of its rows as the whole answer.
        Sequence: an answer is cut off before its end. Cause: taking what
        came for all.
        """
        reader = upstream_codec.UpstreamCodec().reader()
        reader.feed(b'READY I 1.1\r\n')
        self.assertEqual([], reader.feed(b'ROW a\r\nROW b\r\n'))
        self.assertRaises(
            line_protocol.LineError, reader.feed, b'READY I 1.1\r\n'
        )

    def test_nonsense(self):
        """The connection is given up."""
        for said in (b'HELLO\r\n', b'READY X 1.1\r\n', b'READY I x.y\r\n'):
            reader = upstream_codec.UpstreamCodec().reader()
            self.assertRaises(ValueError, reader.feed, said)
