"""End a command with one line and an exit code."""

import sys
import typing

__all__ = [
    'EXIT_BAD_INPUT',
    'EXIT_CONFLICT',
    'EXIT_REFUSED',
    'EXIT_UNREACHABLE',
    'fail',
]

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4


def fail(code: int, text: str) -> typing.NoReturn:
    """End with one line and an exit code."""
    print(f'topazring-admin: {text}', file=sys.stderr)
    sys.exit(code)
