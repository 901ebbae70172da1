"""Start the command `topazring-proxy`; the entry point."""

import sys

from topazring.plumbing import early_signals

__all__ = ['main']


def main() -> None:
    """Handle signals, then import and run the program."""
    # A check that is interrupted must not end with the code of a good one.
    if sys.argv[1:2] == ['run']:
        early_signals.install()
    # Imported here, as the imports take most of the start; signals may
    # arrive meanwhile.
    from topazring.proxy import command_line

    command_line.main()


if __name__ == '__main__':
    main()
