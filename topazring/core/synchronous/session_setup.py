"""Set up the session of a statement on the connection that is to run it.

Connections are shared by sessions. Their values and prepared names count as
set only once the upstream has acknowledged them, and a statement is sent
after that.
"""

from topazring.core.synchronous import connections
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'forget',
    'note_replies',
    'send',
    'send_following',
    'setup_commands',
    'setup_cost',
]

# What an upstream keeps prepared on one connection. Many sessions prepare
# shapes on it, and only a RESET that succeeds clears them.
MAX_PREPARED_NAMES = 1000
MAX_PREPARED_BYTES = 4 << 20


def setup_commands(
    connection: states.Connection, request: messages.Request
) -> tuple[statements.Command, ...]:
    """Return the commands that set up a connection for a session.

    They set its values and prepare the shape that the request executes.
    """
    commands: list[statements.Command] = []
    values, prepared_names = connection.values, connection.prepared
    if _needs_reset(connection, request):
        commands.append(statements.Reset())
        values, prepared_names = {}, set()
    for name, value in request.values.items():
        if values.get(name) != value:
            commands.append(statements.SetValue(name, value))
    prepared = request.prepared
    if prepared is not None and prepared.name not in prepared_names:
        commands.append(prepared)
    return tuple(commands)


def _needs_reset(
    connection: states.Connection, request: messages.Request
) -> bool:
    """Return whether values or too many names of other sessions are set."""
    if connection.values.keys() - request.values.keys():
        return True
    prepared = request.prepared
    if prepared is None or prepared.name in connection.prepared:
        return False
    if request.continues_transaction or not connection.prepared_count:
        return False
    size_bytes = connection.prepared_bytes + len(prepared.shape.encode())
    is_full = connection.prepared_count >= MAX_PREPARED_NAMES
    return is_full or size_bytes > MAX_PREPARED_BYTES


def note_replies(
    connection: states.Connection, replies: tuple[statements.Reply, ...]
) -> None:
    """Record what the commands in flight have changed of a session.

    A refused one may have had its effect, or a part of it.
    """
    for command, reply in zip(connection.commands, replies, strict=False):
        is_done = reply.code is None
        match command:
            case statements.Reset() if is_done:
                connection.values.clear()
                connection.prepared.clear()
                connection.prepared_count = connection.prepared_bytes = 0
            case statements.Reset():
                forget(connection)
            case statements.SetValue():
                value = command.value if is_done else None
                connection.values[command.name] = value
            case statements.Prepare():
                connection.prepared_count += 1
                connection.prepared_bytes += len(command.shape.encode())
                if is_done:
                    connection.prepared.add(command.name)


def forget(connection: states.Connection) -> None:
    """Record that a connection may hold values and names, or not.

    A name is prepared again without harm: it always stands for one shape.
    """
    connection.values = dict.fromkeys(connection.values)
    connection.prepared.clear()


def setup_cost(
    connection: states.Connection, request: messages.Request
) -> int:
    """Return the number of commands that `setup_commands` would return."""
    values = request.values
    cost = 0
    prepared = connection.prepared
    if _needs_reset(connection, request):
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


def send(
    connection: states.Connection,
    now_ms: int,
    setup: tuple[statements.Command, ...],
    commands: tuple[statements.Command, ...],
) -> messages.Send:
    """Send a statement's commands, or first what sets up its session."""
    if not setup:
        return connections.send(
            connection, now_ms, states.Purpose.STATEMENT, commands
        )
    connection.following = commands
    return connections.send(
        connection, now_ms, states.Purpose.SESSION_SETUP, setup
    )


def send_following(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> messages.Send:
    """Send the commands of a statement whose session has been set up."""
    commands, connection.following = connection.following, ()
    upstream = state.upstreams.get(connection.upstream)
    if upstream is not None:
        connection.place_before = upstream.place
    return connections.send(
        connection, now_ms, states.Purpose.STATEMENT, commands
    )
