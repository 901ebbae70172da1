"""Build the commands sent for a request, and check the replies to them.

A statement is sent only after the commands that set up its session have
succeeded: behind a refused SET it would run with the values of another
session. The first statement of a transaction is sent only after its BEGIN has
succeeded: behind a refused BEGIN it would run outside the caller's
transaction. A refused leadership check does no harm to the statement behind
it, whose result is not used then.
"""

from topazring.core import log_positions
from topazring.core.synchronous import messages
from topazring.core.synchronous import session_setup
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'LEADERSHIP_CHECK',
    'STATUS_QUERY',
    'begin_commands',
    'checks_leadership',
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
    request: messages.Request, after: log_positions.LogPosition | None
) -> tuple[statements.Command, ...]:
    """Return the commands for a statement outside a transaction.

    A read that requires no log position is preceded by a leadership check.
    """
    statement = statement_command(request, after)
    if after is None and not request.writes:
        return (*LEADERSHIP_CHECK, statement)
    return (statement,)


def begin_commands(
    connection: states.Connection,
    request: messages.Request,
    after: log_positions.LogPosition | None,
) -> tuple[statements.Command, ...]:
    """Return the commands that set up a session and begin a transaction.

    The first statement of the transaction is not included; it is sent once
    all of them have succeeded.
    """
    commands = list(session_setup.setup_commands(connection, request))
    if request.read_only and after is None:
        # BEGIN READ succeeds at any upstream, so it does not prove
        # leadership.
        commands += LEADERSHIP_CHECK
    commands.append(statements.Begin(request.read_only, after))
    return tuple(commands)


def checks_leadership(commands: tuple[statements.Command, ...]) -> bool:
    """Return whether commands begin with a leadership check."""
    return commands[: len(LEADERSHIP_CHECK)] == LEADERSHIP_CHECK


def first_refusal(
    commands: tuple[statements.Command, ...],
    replies: tuple[statements.Reply, ...],
) -> statements.Reply | None:
    """Return the first refusal of a command before the last one, if any.

    A statement behind it ran without the proof that the refused command was
    to provide, so its result must not be used.
    """
    for reply in replies[: len(commands) - 1]:
        if reply.code is not None:
            return reply
    return None
