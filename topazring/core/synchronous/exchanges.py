"""Write what goes to an upstream for a request, and judge what comes back.

A statement outside a transaction goes out in one piece with all that has to
precede it. A transaction's statement waits for the BEGIN: a statement behind
a refused BEGIN would run outside the caller's transaction.
"""

from topazring.core import log_positions
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'LEADERSHIP_CHECK',
    'STATUS_QUERY',
    'adapt',
    'adapt_cost',
    'begin_commands',
    'first_refusal',
    'single_commands',
    'statement_command',
]

# BEGIN takes no slot, and an upstream that does not lead refuses it. So its
# success proves, before the read behind it runs, that the upstream led after
# the read had arrived here.
LEADERSHIP_CHECK = (statements.Begin(), statements.Rollback())

# No term is below the first, so nobody is demoted. The answer is an upstream's
# own word on its part, its log, and whether it is paused, as that to STATUS
# is, but it takes no slot.
STATUS_QUERY = (statements.Demote(0),)


def adapt(
    connection: states.Connection, request: messages.Request
) -> list[statements.Command]:
    """Bring a connection to a session's values and prepared shape."""
    commands: list[statements.Command] = []
    foreign = connection.values.keys() - request.values.keys()
    if foreign:
        commands.append(statements.Reset())
        connection.values.clear()
        connection.prepared.clear()
    for name, value in request.values.items():
        if connection.values.get(name) != value:
            commands.append(statements.SetValue(name, value))
            connection.values[name] = value
    prepared = request.prepared
    if prepared is not None and prepared.name not in connection.prepared:
        commands.append(prepared)
        connection.prepared.add(prepared.name)
    return commands


def adapt_cost(
    connection: states.Connection, request: messages.Request
) -> int:
    """Return how many commands `adapt` would send."""
    values = request.values
    cost = 0
    prepared = connection.prepared
    if connection.values.keys() - values.keys():
        cost = 1 + len(values)
        prepared = set()
    else:
        cost = sum(
            connection.values.get(name) != value
            for name, value in values.items()
        )
    if request.prepared is not None:
        cost += request.prepared.name not in prepared
    return cost


def statement_command(
    request: messages.Request, after: log_positions.LogPosition | None = None
) -> statements.Command:
    """Return the request's own statement."""
    statement = request.statement
    if statement.verb is statements.Verb.COMMIT:
        return statements.Commit(statement.request_id)
    if request.prepared is not None:
        return statements.Execute(
            statement.request_id,
            request.prepared.name,
            statement.arguments,
            after,
        )
    return statements.Run(statement.request_id, statement.text, after)


def single_commands(
    connection: states.Connection,
    request: messages.Request,
    after: log_positions.LogPosition | None,
) -> tuple[statements.Command, ...]:
    """Return all that goes out for a statement outside a transaction.

    A read without a place to be at goes behind a guard.
    """
    commands = adapt(connection, request)
    if after is None and not request.writes:
        commands += LEADERSHIP_CHECK
    commands.append(statement_command(request, after))
    return tuple(commands)


def begin_commands(
    connection: states.Connection,
    request: messages.Request,
    after: log_positions.LogPosition | None,
) -> tuple[statements.Command, ...]:
    """Return what begins a transaction, without its first statement."""
    commands = adapt(connection, request)
    if request.read_only and after is None:
        # BEGIN READ succeeds at any upstream and proves nothing.
        commands += LEADERSHIP_CHECK
    commands.append(statements.Begin(request.read_only, after))
    return tuple(commands)


def first_refusal(
    commands: tuple[statements.Command, ...],
    replies: tuple[statements.Reply, ...],
) -> statements.Reply | None:
    """Return the first refusal ahead of the last command, if there is one.

    What ran behind it ran without what it was to prove or set: its answer
    is not to be used.
    """
    for reply in replies[: len(commands) - 1]:
        if reply.code is not None:
            return reply
    return None
