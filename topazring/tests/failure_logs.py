"""Attach the ends of process logs to the failure of a test."""

import testtools
from testtools import content

__all__ = ['attach_log']

# Length of the end of each log that is attached.
TAIL_CHARS = 4000


def attach_log(test: testtools.TestCase, name: str, log: str) -> None:
    """Attach the end of a process's log to a failing test."""
    test.addDetail(f'{name}.log', content.text_content(log[-TAIL_CHARS:]))
