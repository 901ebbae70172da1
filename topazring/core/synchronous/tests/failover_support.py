"""Bring a group's core into the states that lead to a promotion."""

from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous.tests import support

LogPosition = support.Place
OrderResult = messages.OrderResult


def make_lease_holder(**more) -> support.Driver:
    """Return a stable group's core with a fenced promotion lease."""
    driver = support.Driver().ready(**more)
    driver.post(messages.PromotionLeaseSeen(True, 100))
    for order in support.orders(
        driver.tick(120) + driver.answer_leadership_checks()
    ):
        driver.post(
            messages.PromotionOrdered(
                order.upstream, order.token, OrderResult.ACCEPTED
            )
        )
    answer_control_commands(driver)
    return driver


def answer_control_commands(
    driver: support.Driver, **received: LogPosition
) -> list:
    """Answer every pause, status query and resume."""
    outs = []
    for connection in driver.busy():
        if connection.purpose is not states.Purpose.CONTROL:
            continue
        place = received.get(connection.upstream, LogPosition(1, 5))
        command = connection.commands[0]
        held_term = getattr(command, 'term', 0)
        outs += driver.reply(
            connection, support.report(received=place, held_term=held_term)
        )
    return outs


def lose_primary(driver: support.Driver) -> list:
    """Close all connections to the primary until a promotion begins."""
    outs = []
    for connection in list(driver.state.connections.values()):
        if connection.upstream == 'u1':
            outs += driver.close(connection)
    for _ in range(25):
        outs += driver.tick(20)
        outs += driver.answer_leadership_checks(primary='')
        for connection in list(driver.state.connections.values()):
            if connection.upstream == 'u1':
                outs += driver.close(connection)
    return outs


def command_targets(driver: support.Driver, kind: type) -> set[str]:
    """Return the upstreams that were just sent a command of a kind."""
    return {
        connection.upstream
        for connection in driver.busy()
        if connection.commands and isinstance(connection.commands[0], kind)
    }
