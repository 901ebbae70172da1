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
MOST_KNOWN_RED = 3


def known_red() -> dict[str, str]:
    """Return the tests that are known to fail, with cause and issue."""
    found = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line and not line.startswith('#'):
            name, _, cause = line.partition(' ')
            found[name] = cause
    if len(found) > MOST_KNOWN_RED:
        raise SystemExit(f'{KNOWN_RED.name}: more than {MOST_KNOWN_RED}')
    return found


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the tests of a suite one by one."""
    tests = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            tests += flatten(item)
        else:
            tests.append(item)
    return tests


def load(words: list[str]) -> list[unittest.TestCase]:
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
    red = known_red()
    tests = load(sys.argv[1:])
    runner = unittest.TextTestRunner(
        sys.stdout, verbosity=2, resultclass=Result
    )
    result = runner.run(unittest.TestSuite(tests))
    failed = [t.id() for t, _ in result.failures + result.errors]
    unexpected = [name for name in failed if name not in red]
    for name in failed:
        if name in red:
            print(f'known red: {name} {red[name]}')
    passed = result.testsRun - len(failed) - len(result.skipped)
    sys.stdout.flush()
    print(f'{passed} passed, {len(failed)} failed')
    sys.exit(1 if unexpected or not result.testsRun else 0)


if __name__ == '__main__':
    main()
