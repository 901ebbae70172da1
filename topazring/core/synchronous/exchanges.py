"""Build the commands sent for a request, and check the replies to them.

A statement outside a transaction is sent together with all commands that
have to precede it. The first statement of a transaction is sent only after
its BEGIN has succeeded: behind a refused BEGIN it would run outside the
caller's transaction.
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

# Leadership check sent ahead of a read. BEGIN takes no slot, and an upstream
# that does not lead refuses it. Its success therefore proves, before the read
# behind it runs, that the upstream led after the read arrived at this proxy.
LEADERSHIP_CHECK = (statements.Begin(), statements.Rollback())

# Status query. No term is below the first one, so DEMOTE 0 demotes no
# upstream. As for STATUS, the reply reports the upstream's role, its log and
# whether it is paused, but unlike STATUS it takes no slot.
STATUS_QUERY = (statements.Demote(0),)


def adapt(
    connection: states.Connection, request: messages.Request
) -> list[statements.Command]:
    """Return the commands that set up a connection for a session.

    They set its values and prepare the shape that the request executes; the
    recorded state of the connection is updated.
    """
    commands: list[statements.Command] = []
    stale_names = connection.values.keys() - request.values.keys()
    if stale_names:
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
    """Return the number of commands that `adapt` would return."""
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
    """Return the command that runs the request's own statement."""
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
    """Return all commands for a statement outside a transaction.

    A read that requires no log position is preceded by a leadership check.
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
    """Return the commands that begin a transaction.

    The first statement of the transaction is not included.
    """
    commands = adapt(connection, request)
    if request.read_only and after is None:
        # BEGIN READ succeeds at any upstream, so it does not prove
        # leadership.
        commands += LEADERSHIP_CHECK
    commands.append(statements.Begin(request.read_only, after))
    return tuple(commands)


def first_refusal(
    commands: tuple[statements.Command, ...],
    replies: tuple[statements.Reply, ...],
) -> statements.Reply | None:
    """Return the first refusal of a command before the last one, if any.

    A statement behind it ran without the proof or settings that the refused
    command was to provide, so its result must not be used.
    """
    for reply in replies[: len(commands) - 1]:
        if reply.code is not None:
            return reply
    return None
