"""Answer the queries that prove or disprove leadership, for tests."""

from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Code = statements.Code
LogPosition = support.Place


def answer_read(driver: support.Driver, key: int) -> list:
    """Answer a read at the primary, including its leadership check."""
    connection = driver.running(key)
    return driver.reply(connection, support.ok('signed'))


def answer_leadership_checks(
    driver: support.Driver, upstream: str, first: support.Reply
) -> list:
    """Answer the leadership checks at one upstream."""
    outs = []
    for connection in driver.busy(upstream):
        if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
            last = support.ok(place=first.place or LogPosition(1, 5))
            outs += driver.reply(connection, first, last)
    return outs


def answer_status_queries(
    driver: support.Driver, upstream: str, **report
) -> list:
    """Answer the status queries at one upstream."""
    outs = []
    for connection in driver.busy(upstream):
        if connection.purpose is states.Purpose.STATUS_QUERY:
            outs += driver.reply(connection, support.report(**report))
    return outs


REFUSED = support.refused(Code.READ_ONLY)
