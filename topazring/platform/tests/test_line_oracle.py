"""Test what the judge of lines notices."""

import testtools

from topazring.platform.tests import line_oracle


class LineOracleTest(testtools.TestCase):
    """Each line that differs from what was sent is a fault."""

    def judge(self, line: bytes) -> list[str]:
        """Return the rules that a line breaks."""
        oracle = line_oracle.LineOracle()
        oracle.note_sent('q1', line_oracle.Sent('READ k'))
        oracle.check(line_oracle.Wire(), line)
        return [rule for rule, _ in oracle.faults]

    def test_lines(self):
        """Guards against a line that is judged as another, or not at all."""
        for line, rules in (
            (b'QUERY q1 READ k', []),
            (b'QUERY q1 AFTER 1.2 READ k', []),
            (b'QUERY q1 READ k ', ['UNASKED']),
            (b'QUERY q2 READ k', ['UNASKED']),
            (b'QUERY q1 AFTER 1.2', ['UNASKED']),
            (b'QUERY q1', ['FORM']),
            (b'QUERY - PREPARE a READ', ['FORM']),
            (b'QUERY q1 READ \xff', ['UNASKED']),
            (b'', ['FORM']),
        ):
            self.assertEqual(rules, self.judge(line), line)

    def test_judge_that_fails(self):
        """Guards against a judge whose errors end connections alone."""
        oracle = line_oracle.LineOracle()
        oracle.sent = None
        oracle.check(line_oracle.Wire(), b'QUERY q1 READ k')
        self.assertEqual(['ORACLE'], [rule for rule, _ in oracle.faults])
