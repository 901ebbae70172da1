"""Check that what a group's state holds refers to nothing that is gone.

A request names its connections by number, a connection its request and its
transaction, a transaction its connection. Whichever ends first, the others
must not go on naming it: the next look at the number ends the group.
"""

from topazring.core.synchronous import state as states

__all__ = ['broken']


def broken(state: states.GroupState) -> list[str]:
    """Return what is wrong with a state, one sentence each."""
    return [
        *_work(state),
        *_connections(state),
        *_transactions(state),
        *_lines(state),
    ]


def _work(state: states.GroupState) -> list[str]:
    found = []
    for key, work in state.work.items():
        for number in work.running:
            connection = state.connections.get(number)
            if connection is None:
                found.append(f'request {key} runs on {number}, which is gone')
            elif connection.work != key:
                found.append(f'request {key} runs on {number}, not its own')
        if not (work.is_queued or work.running or work.unproven_answer):
            found.append(f'request {key} waits for nothing')
        if work.is_queued and work.running:
            found.append(f'request {key} runs and waits in line')
    return found


def _connections(state: states.GroupState) -> list[str]:
    found = []
    listed = {
        number
        for held in state.connections_by_upstream.values()
        for number in held
    }
    if listed != state.connections.keys():
        found.append('connections by upstream are not all connections')
    for number, connection in state.connections.items():
        work = state.work.get(connection.work)
        if work is not None and number not in work.running:
            found.append(f'connection {number} serves {connection.work} alone')
        idle = connection.phase is states.Phase.IDLE
        if idle and connection.work:
            found.append(f'connection {number} is idle and serves a request')
        known = connection.transaction in state.transactions
        if idle and connection.transaction and not known:
            found.append(f'connection {number} is kept for no transaction')
    return found


def _transactions(state: states.GroupState) -> list[str]:
    found = []
    for key, transaction in state.transactions.items():
        connection = state.connections.get(transaction.connection)
        if connection is None:
            found.append(f'transaction {key} is on a connection that is gone')
        elif connection.transaction != key:
            found.append(f"transaction {key} is on another's connection")
    return found


def _lines(state: states.GroupState) -> list[str]:
    waiting = {
        key
        for queues in (state.primary_queues, state.any_queues)
        for queue in queues.values()
        for line in queue.heaps.values()
        for _, key in line
    }
    queued = {key for key, work in state.work.items() if work.is_queued}
    return [f'request {key} is in line, or not' for key in waiting ^ queued]
