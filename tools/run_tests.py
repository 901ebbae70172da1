"""Run every test and doctest; tolerate failures listed in KNOWN-RED.txt.

Usage: python tools/run_tests.py [WORD ...]; with words, run only the tests
whose name contains one of them.
"""

import doctest
import importlib
import pathlib
import pkgutil
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
# Replaces the name of a test in the entry of a fault that only a `play`
# command shows.
PLAY = 'play'


def parse_known_red(text: str) -> tuple[dict[str, str], list[str]]:
    """Return the known failures by test name, and the entries of plays.

    Each line that is not a comment holds the name of a test, or `play`, and
    the text of the entry. Raises SystemExit if a test is listed twice.
    """
    tests: dict[str, str] = {}
    plays = []
    for line in text.splitlines():
        if not line or line.startswith('#'):
            continue
        name, _, cause = line.partition(' ')
        if name == PLAY:
            plays.append(cause)
        elif name in tests:
            raise SystemExit(f'{KNOWN_RED.name}: {name} is listed twice')
        else:
            tests[name] = cause
    return tests, plays


def unknown(red: dict[str, str], tests: list[unittest.TestCase]) -> list[str]:
    """Return the entries that match no test.

    The entry of a mistyped or renamed test would otherwise have no effect
    without anyone noticing.
    """
    return sorted(red.keys() - {test.id() for test in tests})


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the tests of a suite and its nested suites as a list."""
    tests = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            tests += flatten(item)
        else:
            tests.append(item)
    return tests


def collect_tests(words: list[str]) -> list[unittest.TestCase]:
    """Return the tests and doctests whose names contain a word.

    Without words, all of them are returned.
    """
    loader = unittest.TestLoader()
    suite = loader.discover(str(ROOT / 'topazring'), top_level_dir=str(ROOT))
    tests = flatten(suite)
    package = importlib.import_module('topazring')
    for module in pkgutil.walk_packages(package.__path__, 'topazring.'):
        if '.tests' not in module.name:
            imported = importlib.import_module(module.name)
            tests += flatten(doctest.DocTestSuite(imported))
    if words:
        tests = [t for t in tests if any(w in t.id() for w in words)]
    return tests


class Result(unittest.TextTestResult):
    """Print the duration of tests that take over 5 seconds."""

    def startTest(self, test):
        """Record the start time."""
        self.began_s = time.monotonic()
        super().startTest(test)

    def stopTest(self, test):
        """Print the duration of a slow test."""
        took_s = time.monotonic() - self.began_s
        if took_s > 5:
            self.stream.writeln(f'  {test.id()} took {took_s:.1f} s')
        super().stopTest(test)


def main() -> None:
    """Run the tests; exit 1 on an unlisted failure or if no test ran."""
    sys.path.insert(0, str(ROOT))
    red, plays = parse_known_red(KNOWN_RED.read_text())
    words = sys.argv[1:]
    tests = collect_tests(words)
    unmatched = [] if words else unknown(red, tests)
    if unmatched:
        raise SystemExit(f'{KNOWN_RED.name} names no test: {unmatched}')
    runner = unittest.TextTestRunner(
        sys.stdout, verbosity=2, resultclass=Result
    )
    result = runner.run(unittest.TestSuite(tests))
    failed = [t.id() for t, _ in result.failures + result.errors]
    unexpected = [name for name in failed if name not in red]
    report_known_red(red, plays, tests, failed)
    passed = result.testsRun - len(failed) - len(result.skipped)
    sys.stdout.flush()
    print(f'{passed} passed, {len(failed)} failed')
    sys.exit(1 if unexpected or not result.testsRun else 0)


def report_known_red(
    red: dict[str, str],
    plays: list[str],
    tests: list[unittest.TestCase],
    failed: list[str],
) -> None:
    """Print the listed tests that ran, whether they failed, and the plays."""
    for test in tests:
        name = test.id()
        if name in red and name in failed:
            print(f'known red: {name} {red[name]}')
        elif name in red:
            print(f'known red, passed this time: {name} {red[name]}')
    for play in plays:
        print(f'known red, a play: {play}')


if __name__ == '__main__':
    main()
