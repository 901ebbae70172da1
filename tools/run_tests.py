"""Run every test and doctest; pass over just those in KNOWN-RED.txt.

Usage: python tools/run_tests.py [WORD ...]; with words, only the tests whose
name contains one of them.
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
# Stands in place of a test's name for a fault that only a play shows.
PLAY = 'play'


def parse_known_red(text: str) -> tuple[dict[str, str], list[str]]:
    """Return the tests that are known to fail with their entries, and plays.

    Each line that is no comment holds a test's name, or `play`, and what the
    entry says of it.
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
    """Return the entries that name no test.

    A name that is mistyped, or of a test that was renamed, would pass over
    nothing and be believed to.
    """
    return sorted(red.keys() - {test.id() for test in tests})


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the tests of a suite one by one."""
    tests = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            tests += flatten(item)
        else:
            tests.append(item)
    return tests


def collect_tests(words: list[str]) -> list[unittest.TestCase]:
    """Return the tests and doctests whose names contain a word."""
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
    """Report each test with the time it took."""

    def startTest(self, test):
        """Note when the test began."""
        self.began = time.monotonic()
        super().startTest(test)

    def stopTest(self, test):
        """Print the slow ones."""
        took = time.monotonic() - self.began
        if took > 5:
            self.stream.writeln(f'  {test.id()} took {took:.1f} s')
        super().stopTest(test)


def main() -> None:
    """Run; exit 1 if a test fails that is not known to."""
    sys.path.insert(0, str(ROOT))
    red, plays = parse_known_red(KNOWN_RED.read_text())
    words = sys.argv[1:]
    tests = collect_tests(words)
    missing = [] if words else unknown(red, tests)
    if missing:
        raise SystemExit(f'{KNOWN_RED.name} names no test: {missing}')
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
    """Print each entry that was passed over, that passed, or is a play."""
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
