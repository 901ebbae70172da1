"""Check the references between the objects in the state of a group.

A request refers to its connections by number, a connection to its request and
its transaction, a transaction to its connection. Whichever ends first, the
others must not keep a reference to it: the next lookup would fail and end the
group.
"""

from topazring.core.synchronous import state as states

__all__ = ['broken']


def broken(state: states.GroupState) -> list[str]:
    """Return the violated invariants of a state, one sentence each."""
    return [
        *_work(state),
        *_connections(state),
        *_transactions(state),
        *_queues(state),
    ]


def _work(state: states.GroupState) -> list[str]:
    found = []
    for key, work in state.work.items():
        for number in work.running:
            connection = state.connections.get(number)
            if connection is None:
                found.append(
                    f'request {key} runs on {number}, which is closed'
                )
            elif connection.work != key:
                found.append(f'request {key} runs on {number}, not its own')
            elif connection.organisation != work.request.organisation:
                found.append(f"request {key} runs on another's {number}")
        if not (work.is_queued or work.running or work.unproven_answer):
            found.append(f'request {key} waits for nothing')
        if work.is_queued and work.running:
            found.append(f'request {key} runs and is queued')
    return found


def _connections(state: states.GroupState) -> list[str]:
    found = []
    listed = {
        number
        for mine in state.connections_by_upstream.values()
        for number in mine
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
            found.append(f'connection {number} is held for no transaction')
    return found


def _transactions(state: states.GroupState) -> list[str]:
    found = []
    for key, transaction in state.transactions.items():
        connection = state.connections.get(transaction.connection)
        if connection is None:
            found.append(f'transaction {key} is on a closed connection')
        elif connection.transaction != key:
            found.append(f"transaction {key} is on another's connection")
    return found


def _queues(state: states.GroupState) -> list[str]:
    waiting = {
        key
        for queues in (state.primary_queues, state.any_queues)
        for queue in queues.values()
        for heap in queue.heaps.values()
        for _, key in heap
    }
    queued = {key for key, work in state.work.items() if work.is_queued}
    return [f'request {key} is queued, or not' for key in waiting ^ queued]
