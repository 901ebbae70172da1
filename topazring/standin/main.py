"""Start the command `topazring-standin`; the entry point."""

from topazring.plumbing import early_signals

__all__ = ['main']


def main() -> None:
    """Handle signals, then import and run the program."""
    early_signals.install()
    # Imported here, as the imports take most of the start; signals may
    # arrive meanwhile.
    from topazring.standin import command_line

    command_line.main()


if __name__ == '__main__':
    main()
