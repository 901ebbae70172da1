"""Print the end of processes' logs with the failure of a test."""

import testtools
from testtools import content

__all__ = ['attach_log']

# So much of each process's log is shown.
TAIL_CHARS = 4000


def attach_log(test: testtools.TestCase, name: str, log: str) -> None:
    """Have the end of a process's log printed with the failure."""
    test.addDetail(f'{name}.log', content.text_content(log[-TAIL_CHARS:]))
