"""Tests of reading KNOWN-RED.txt, the list of known failures."""

import importlib.util
import pathlib

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def runner():
    """Return the module tools/run_tests.py, which is in no package."""
    path = ROOT / 'tools' / 'run_tests.py'
    spec = importlib.util.spec_from_file_location('run_tests', path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class KnownRedTest(testtools.TestCase):
    """An entry names a test that may fail, or a fault to be printed."""

    def test_no_bound_on_the_number(self):
        """Guards against a limit on the number of entries.

        The runner once failed if more than three were listed. A fourth fault
        was therefore listed in a comment, which nothing checks.
        """
        text = ''.join(f'a.T.test_{n} fails\n' for n in range(9))
        tests, _ = runner().parse_known_red(text)
        self.assertEqual(9, len(tests))

    def test_play_entries_are_returned(self):
        """A fault that only a `play` command shows is listed as well."""
        _, plays = runner().parse_known_red('play a day, its seed (issue 1)\n')
        self.assertEqual(['a day, its seed (issue 1)'], plays)

    def test_entry_without_a_test(self):
        """Guards against an entry left behind after its test was renamed.

        Entries that name no existing test were once ignored silently.
        """
        red = {self.id(): 'is there', 'a.T.test_gone': 'was renamed'}
        self.assertEqual(['a.T.test_gone'], runner().unknown(red, [self]))

    def test_listed_twice(self):
        """The second entry of a test would replace the first."""
        twice = 'a.T.test_b one\na.T.test_b two\n'
        self.assertRaises(SystemExit, runner().parse_known_red, twice)
