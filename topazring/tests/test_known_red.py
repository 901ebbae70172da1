"""Read the list of known failures."""

import importlib.util
import pathlib

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def runner():
    """Return the module that runs the tests; it is no part of a package."""
    path = ROOT / 'tools' / 'run_tests.py'
    spec = importlib.util.spec_from_file_location('run_tests', path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class KnownRedTest(testtools.TestCase):
    """An entry passes over one test, or is told."""

    def test_no_bound_on_the_number(self):
        """Each open fault has an entry of its own.

        Symptom: a fourth fault stood in a comment, which nothing checks.
        Cause: the runner ended if more than three were listed.
        """
        text = ''.join(f'a.T.test_{n} fails\n' for n in range(9))
        tests, _ = runner().parse_known_red(text)
        self.assertEqual(9, len(tests))

    def test_plays_are_told(self):
        """A fault that only a play shows has an entry as well."""
        _, plays = runner().parse_known_red('play a day, its seed (issue 1)\n')
        self.assertEqual(['a day, its seed (issue 1)'], plays)

    def test_entry_without_a_test(self):
        """Symptom: a renamed test fails, and its entry is still listed.

        Cause: an entry that names nothing was passed over in silence.
        """
        red = {self.id(): 'is there', 'a.T.test_gone': 'was renamed'}
        self.assertEqual(['a.T.test_gone'], runner().unknown(red, [self]))

    def test_listed_twice(self):
        """The second would hide the first."""
        twice = 'a.T.test_b one\na.T.test_b two\n'
        self.assertRaises(SystemExit, runner().parse_known_red, twice)
