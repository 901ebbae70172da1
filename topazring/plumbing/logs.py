"""Write text log lines prefixed with the name of the component."""

import logging
import sys

from absl import flags
from absl import logging as absl_logging

from topazring.plumbing import supervision

__all__ = ['FailureLog', 'PartLogger', 'configure', 'part_logger']


class PartLogger(logging.LoggerAdapter):
    """Prefix each line with the name of the component."""

    def process(self, msg, kwargs):
        """Return the line with its prefix."""
        return f'[{self.extra["part"]}] {msg}', kwargs


def part_logger(part: str) -> PartLogger:
    """Return a component's logger, which writes to absl's."""
    return PartLogger(absl_logging.get_absl_logger(), {'part': part})


class FailureLog(supervision.Counts):
    """Count the failures of tasks by name, and log them."""

    def __init__(self):
        super().__init__()
        self.logger = part_logger('process')

    def report_failure(self, task: str, error: BaseException) -> None:
        """Count a failure of a task, and log its cause."""
        self.count_failure(task)
        found = supervision.describe(error)
        self.logger.error(
            'task %s failed: %s at %s', task, found['error'], found['where']
        )


def configure(verbose: bool = False) -> None:
    """Send absl's log to standard error."""
    # cappa parses the command line. Without this call absl would warn that
    # its flags have not been parsed.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    level = absl_logging.DEBUG if verbose else absl_logging.INFO
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)
    logging.getLogger('tornado.access').setLevel(logging.ERROR)
    sys.stderr.reconfigure(line_buffering=True)
