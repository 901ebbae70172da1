"""Test the names under which shapes are prepared at upstreams."""

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core.synchronous import sessions
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Access = statements.Access
Verb = statements.Verb
# Callers may send a megabyte; a name goes with every EXECUTE.
MAX_NAME_CHARS = 64
MIN_NAME_BITS = 160
SHAPES = strategies.text(min_size=1) | strategies.sampled_from(
    ('q1', 'q1 ', ' q1', 'q1  READ', 'q1 READ zj', 'q1 WRITE zj', 'q' * 70_000)
)
PREPARED = strategies.tuples(strategies.sampled_from(Access), SHAPES)


def prepare(access: Access, shape: str) -> statements.Prepare:
    """Return what an EXECUTE needs, for a session that prepared a shape."""
    session = sessions.Session(1, 'own')
    for verb in (Verb.PREPARE, Verb.EXECUTE):
        statement = statements.Statement(
            'r', verb, 'text', 's', shape, 'k', access
        )
        result = sessions.handle_statement(
            session, 0, 5, statement, support.OWN
        )
    return result.prepared


class PreparedNamesTest(testtools.TestCase):
    """A name is one short word, and stands for one shape."""

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(PREPARED)
    def test_name_is_one_word(self, wanted):
        """Guards against a name that a receiver takes for several fields."""
        prepared = prepare(*wanted)
        self.assertEqual(wanted, (prepared.access, prepared.shape))
        self.assertTrue(prepared.name.isalnum(), prepared.name)
        self.assertTrue(prepared.name.isascii(), prepared.name)

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(PREPARED)
    def test_name_is_short(self, wanted):
        """Guards against lines that are longer than what callers sent."""
        length = len(prepare(*wanted).name)
        self.assertLessEqual(length, MAX_NAME_CHARS)
        # Five bits a character, which nobody finds a second shape for.
        self.assertGreaterEqual(5 * length, MIN_NAME_BITS)

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(PREPARED, PREPARED)
    def test_name_stands_for_one_shape(self, one, other):
        """Guards against a name that runs the shape of another caller."""
        names = prepare(*one).name, prepare(*other).name
        self.assertEqual(one == other, names[0] == names[1])
