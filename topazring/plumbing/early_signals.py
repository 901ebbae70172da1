"""Handle signals from the first line of a program to its exit.

By default SIGHUP, SIGTERM and SIGINT end a process of Python. A program that
changes this when its loop runs is ended by them during its imports, which are
most of its start. So `install` comes before them. Later `handled` gives the
signals to the loop, until all is closed.

Only modules that the interpreter has loaded anyway are imported here.
"""

import contextlib
import os
import signal

__all__ = ['handled', 'install']

STOP = (signal.SIGTERM, signal.SIGINT)


def install() -> None:
    """Exit with code 0 at a signal to stop, and hold back SIGHUP."""
    # The kernel keeps a blocked signal until it is unblocked.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    for number in STOP:
        signal.signal(number, _exit)


def _exit(number, frame) -> None:
    # Code that is interrupted, such as an import, could catch an exception.
    # Nothing has been started, or all of it has been closed.
    os._exit(0)


def _wake(number, frame) -> None:
    """Do nothing; the interpreter has written the number to the pipe."""


@contextlib.contextmanager
def handled(loop, stop, reload):
    """Have the loop call `stop` and `reload` at signals.

    Enter it before anything is started, and leave it when all is closed: from
    then on a signal to stop exits at once and SIGHUP is ignored.
    """
    callbacks = {**dict.fromkeys(STOP, stop), signal.SIGHUP: reload}
    reader, writer = os.pipe()
    for descriptor in (reader, writer):
        os.set_blocking(descriptor, False)

    def receive() -> None:
        for number in os.read(reader, 4096):
            if number in callbacks:
                callbacks[number]()

    loop.add_reader(reader, receive)
    # `loop.add_signal_handler` isn't used: its removal, also by closing the
    # loop, restores the default, which ends a process that is about to exit.
    signal.set_wakeup_fd(writer)
    for number in callbacks:
        signal.signal(number, _wake)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for number in STOP:
            signal.signal(number, _exit)
        signal.set_wakeup_fd(-1)
        loop.remove_reader(reader)
        os.close(reader)
        os.close(writer)
