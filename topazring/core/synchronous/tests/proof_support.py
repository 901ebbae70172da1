"""Answer the questions that prove, or disprove, a lead."""

from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Code = statements.Code
Place = support.Place


def answer_read(driver: support.Driver, key: int) -> list:
    """Answer a read that runs at the primary, its guard as well."""
    connection = driver.running(key)
    return driver.reply(connection, support.ok('signed'))


def answer_leadership_checks(
    driver: support.Driver, upstream: str, first: support.Reply
) -> list:
    """Answer the guards at one upstream."""
    outs = []
    for connection in driver.busy(upstream):
        if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
            last = support.ok(place=first.place or Place(1, 5))
            outs += driver.reply(connection, first, last)
    return outs


def answer_status_queries(
    driver: support.Driver, upstream: str, **report
) -> list:
    """Answer the questions for an upstream's own word."""
    outs = []
    for connection in driver.busy(upstream):
        if connection.purpose is states.Purpose.STATUS_QUERY:
            outs += driver.reply(connection, support.report(**report))
    return outs


REFUSED = support.refused(Code.READ_ONLY)
