"""Track the state of caller sessions: values, prepared names, transactions.

BEGIN, SET, PREPARE, DEALLOCATE and ROLLBACK are answered locally. A
transaction takes a connection only with its first statement, so that callers
that pause after BEGIN do not hold a connection that others need.
"""

import dataclasses

from topazring.core import log_positions
from topazring.core import organisations
from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import prepared_names
from topazring.core.synchronous import statements

__all__ = [
    'LocalAnswer',
    'Session',
    'OpenTransaction',
    'record_outcome',
    'fail_transaction',
    'handle_statement',
    'reject',
]

Reason = outcomes.Reason
SessionState = statements.SessionState
Verb = statements.Verb

# Values, shapes and their names. All values and one shape are forwarded with
# each statement, in one frame between proxies.
MAX_HELD_BYTES = 5_000_000
# Part of a value or shape beside its texts. Each takes a command when a
# connection is set up, so that short ones cost more than their texts.
ENTRY_BYTES = 1024

_DONE = outcomes.Done([], log_positions.ORIGIN)


@dataclasses.dataclass(slots=True)
class OpenTransaction:
    """Hold the open transaction of a session."""

    key: int
    policy: messages.Policy
    read_only: bool
    # Whether it is open on an upstream.
    begun: bool = False


@dataclasses.dataclass(slots=True)
class Session:
    """Hold the session of one caller."""

    number: int
    database: str
    # The organisation that holds the key of the session, and the key's hash.
    organisation: str = organisations.ANONYMOUS
    key_hash: str = ''
    state: SessionState = SessionState.IDLE
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, statements.Prepare] = dataclasses.field(
        default_factory=dict
    )
    # Size of its values and shapes.
    held_bytes: int = 0
    transaction: OpenTransaction | None = None
    # Log position of its last commit.
    place: log_positions.LogPosition = log_positions.ORIGIN


@dataclasses.dataclass(frozen=True, slots=True)
class LocalAnswer:
    """Hold the answer to a statement that needs no upstream.

    `ends` is the key of the transaction to be rolled back on its upstream, 0
    if none.
    """

    outcome: outcomes.Outcome
    ends: int = 0


def handle_statement(
    session: Session,
    now_ms: int,
    key: int,
    statement: statements.Statement,
    policy: messages.Policy | None,
) -> LocalAnswer | messages.Request:
    """Return a local answer to a statement or the request for an upstream.

    `key` identifies the request, and the transaction if it begins one.
    """
    if session.state is SessionState.FAILED:
        return _handle_in_failed_transaction(session, statement)
    match statement.verb:
        case Verb.BEGIN:
            return _begin(session, key, statement, policy)
        case Verb.ROLLBACK:
            return _rollback(session)
        case Verb.SET:
            return _set(session, statement)
        case Verb.PREPARE:
            return _prepare(session, statement)
        case Verb.DEALLOCATE:
            return _deallocate(session, statement)
        case _:
            return _make_request(session, now_ms, key, statement, policy)


def reject(session: Session, reason: Reason, detail: str) -> LocalAnswer:
    """Reject an invalid statement and fail the open transaction."""
    ends = 0
    if session.transaction is not None:
        ends = session.transaction.key if session.transaction.begun else 0
        session.transaction = None
        session.state = SessionState.FAILED
    return LocalAnswer(outcomes.Rejected(reason, detail), ends)


def _handle_in_failed_transaction(
    session: Session, statement: statements.Statement
) -> LocalAnswer:
    match statement.verb:
        case Verb.ROLLBACK:
            session.state = SessionState.IDLE
            return LocalAnswer(_DONE)
        case Verb.COMMIT:
            session.state = SessionState.IDLE
            return LocalAnswer(outcomes.NotRun(Reason.TRANSACTION_LOST, 0))
        case _:
            detail = 'the transaction failed; end it first'
            rejected = outcomes.Rejected(Reason.BAD_STATEMENT, detail)
            return LocalAnswer(rejected)


def _begin(
    session: Session,
    key: int,
    statement: statements.Statement,
    policy: messages.Policy | None,
) -> LocalAnswer:
    if session.transaction is not None:
        detail = 'a transaction is open already'
        return reject(session, Reason.BAD_STATEMENT, detail)
    if policy is None:
        return LocalAnswer(_unknown_database(session))
    session.transaction = OpenTransaction(key, policy, statement.read_only)
    session.state = SessionState.IN_TRANSACTION
    return LocalAnswer(_DONE)


def _unknown_database(session: Session) -> outcomes.Rejected:
    return outcomes.Rejected(Reason.UNKNOWN_DATABASE, session.database)


def _rollback(session: Session) -> LocalAnswer:
    transaction = session.transaction
    if transaction is None:
        detail = 'no transaction is open'
        return reject(session, Reason.NO_TRANSACTION, detail)
    session.transaction = None
    session.state = SessionState.IDLE
    return LocalAnswer(_DONE, transaction.key if transaction.begun else 0)


def _set(session: Session, statement: statements.Statement) -> LocalAnswer:
    before = session.values.get(statement.name)
    if not _hold(session, statement.name, before, statement.value):
        return _reject_size(session)
    session.values[statement.name] = statement.value
    return LocalAnswer(_DONE)


def _hold(
    session: Session, name: str, before: str | None, text: str | None
) -> bool:
    """Count a text that replaces another; return False if it is too much."""
    held_bytes = session.held_bytes
    held_bytes += _entry_bytes(name, text) - _entry_bytes(name, before)
    if held_bytes > MAX_HELD_BYTES and held_bytes > session.held_bytes:
        return False
    session.held_bytes = held_bytes
    return True


def _entry_bytes(name: str, text: str | None) -> int:
    if text is None:
        return 0
    return len(name.encode()) + len(text.encode()) + ENTRY_BYTES


def _reject_size(session: Session) -> LocalAnswer:
    """Reject what the session cannot hold.

    An open transaction fails: its caller may have sent statements already
    that rely on what is not set.
    """
    detail = 'the session holds too many values and prepared statements'
    return reject(session, Reason.TOO_LARGE, detail)


def _prepare(session: Session, statement: statements.Statement) -> LocalAnswer:
    old = session.prepared.get(statement.name)
    before = None if old is None else old.shape
    if not _hold(session, statement.name, before, statement.value):
        return _reject_size(session)
    session.prepared[statement.name] = prepared_names.prepare_command(
        statement.access, statement.value
    )
    return LocalAnswer(_DONE)


def _deallocate(
    session: Session, statement: statements.Statement
) -> LocalAnswer:
    old = session.prepared.pop(statement.name, None)
    if old is None:
        return reject(session, Reason.NO_STATEMENT, statement.name)
    _hold(session, statement.name, old.shape, None)
    return LocalAnswer(_DONE)


def _make_request(
    session: Session,
    now_ms: int,
    key: int,
    statement: statements.Statement,
    policy: messages.Policy | None,
) -> LocalAnswer | messages.Request:
    transaction = session.transaction
    if transaction is not None:
        policy = transaction.policy
    elif statement.verb is Verb.COMMIT:
        detail = 'no transaction is open'
        return reject(session, Reason.NO_TRANSACTION, detail)
    if policy is None:
        return LocalAnswer(_unknown_database(session))
    prepared = None
    writes = statement.verb is Verb.WRITE
    if statement.verb is Verb.EXECUTE:
        prepared = session.prepared.get(statement.name)
        if prepared is None:
            return reject(session, Reason.NO_STATEMENT, statement.name)
        writes = prepared.access is statements.Access.WRITE
    if writes and transaction is not None and transaction.read_only:
        detail = 'the transaction only reads'
        return reject(session, Reason.BAD_STATEMENT, detail)
    return messages.Request(
        key,
        statement,
        policy,
        writes,
        now_ms,
        0 if transaction is None else transaction.key,
        transaction is not None and not transaction.begun,
        transaction is not None and transaction.read_only,
        session.place,
        dict(session.values),
        prepared,
        session.organisation,
    )


def record_outcome(
    session: Session, request: messages.Request, outcome: outcomes.Outcome
) -> None:
    """Update a session with the final answer to a request."""
    done = isinstance(outcome, outcomes.Done)
    if done and outcome.place is not None:
        session.place = max(session.place, outcome.place)
    if session.transaction is None:
        return
    if request.statement.verb is Verb.COMMIT:
        session.transaction = None
        session.state = SessionState.IDLE
    elif done:
        session.transaction.begun = True
    else:
        session.transaction = None
        session.state = SessionState.FAILED


def fail_transaction(session: Session) -> int:
    """Fail the open transaction.

    Return its key if it has to be rolled back on an upstream, else 0.
    """
    transaction = session.transaction
    if transaction is None:
        return 0
    session.transaction = None
    session.state = SessionState.FAILED
    return transaction.key if transaction.begun else 0
