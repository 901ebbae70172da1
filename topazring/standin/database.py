"""Execute SQL for one upstream, with one database per organisation."""

import dataclasses
import sqlite3
import typing

from topazring.standin import log as logs

__all__ = [
    'Databases',
    'Record',
    'StatementError',
    'apply_entry',
    'find_record',
    'read',
    'rebuild',
    'run_and_roll_back',
]

RECORDS_TABLE = 'topazring_requests'
RECORD_RETENTION_MS = 600_000
SWEEP_INTERVAL_ENTRIES = 1000
MAX_ROWS = 5000

Rows = list[list[typing.Any]]
Statements = typing.Iterable[tuple[str, typing.Sequence[typing.Any]]]


class StatementError(ValueError):
    """Report that a statement failed or is not allowed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Hold the stored outcome of a request id."""

    cancelled: bool


@dataclasses.dataclass(slots=True)
class Databases:
    """Hold one SQLite connection per organisation."""

    connections: dict[str, sqlite3.Connection] = dataclasses.field(
        default_factory=dict
    )
    applied: int = 0
    # Whether the statement being executed comes from a caller; only these
    # are checked by the authorizer.
    runs_caller_sql: bool = False


# A caller's statement must not end the transaction that it runs in, access
# another database or change the settings of the connection.
FORBIDDEN_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_TRANSACTION,
    }
)


def _make_authorizer(databases: Databases):
    """Return the authorizer that SQLite calls as it prepares a statement."""

    def authorize(action, name, *_):
        if not databases.runs_caller_sql:
            return sqlite3.SQLITE_OK
        if action in FORBIDDEN_ACTIONS or name == RECORDS_TABLE:
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK

    return authorize


def _get_connection(
    databases: Databases, organisation: str
) -> sqlite3.Connection:
    connection = databases.connections.get(organisation)
    if connection is None:
        # SQLite authorises a statement when it is prepared: a cached one
        # would not be checked again.
        connection = sqlite3.connect(
            ':memory:', isolation_level=None, cached_statements=0
        )
        connection.set_authorizer(_make_authorizer(databases))
        connection.execute(
            f'CREATE TABLE {RECORDS_TABLE} (request_id TEXT PRIMARY KEY, '
            'cancelled INTEGER NOT NULL, at_ms INTEGER NOT NULL)'
        )
        connection.execute('PRAGMA query_only=ON')
        databases.connections[organisation] = connection
    return connection


def read(
    databases: Databases, organisation: str, statements: Statements
) -> Rows:
    """Execute read-only statements; raise StatementError if one writes."""
    connection = _get_connection(databases, organisation)
    return _execute(databases, connection, statements)


def _execute(
    databases: Databases,
    connection: sqlite3.Connection,
    statements: Statements,
) -> Rows:
    rows: Rows = []
    databases.runs_caller_sql = True
    try:
        for sql, parameters in statements:
            cursor = connection.execute(sql, parameters)
            rows = [list(row) for row in cursor.fetchmany(MAX_ROWS + 1)]
            if len(rows) > MAX_ROWS:
                raise StatementError(f'the answer has over {MAX_ROWS} rows')
    except (sqlite3.Error, sqlite3.Warning, ValueError) as error:
        raise StatementError(str(error)) from None
    finally:
        databases.runs_caller_sql = False
    return rows


def run_and_roll_back(
    databases: Databases, organisation: str, statements: Statements
) -> Rows:
    """Execute statements, roll them back and return the last result."""
    connection = _get_connection(databases, organisation)
    _begin(connection)
    try:
        return _execute(databases, connection, statements)
    finally:
        _end(connection, 'ROLLBACK')


def _begin(connection: sqlite3.Connection) -> None:
    connection.execute('PRAGMA query_only=OFF')
    connection.execute('BEGIN')


def _end(connection: sqlite3.Connection, verb: str) -> None:
    # SQLite may have rolled the transaction back when a statement failed.
    if connection.in_transaction:
        connection.execute(verb)
    connection.execute('PRAGMA query_only=ON')


def find_record(
    databases: Databases, organisation: str, request_id: str
) -> Record | None:
    """Return the record of a request id, or None if there is none."""
    connection = _get_connection(databases, organisation)
    row = connection.execute(
        f'SELECT cancelled FROM {RECORDS_TABLE} WHERE request_id=?',
        (request_id,),
    ).fetchone()
    return Record(bool(row[0])) if row else None


def apply_entry(
    databases: Databases, entry: logs.Entry, position: int
) -> Rows:
    """Commit an entry's statements and its request record atomically."""
    if not entry.organisation:
        databases.applied = position
        return []
    connection = _get_connection(databases, entry.organisation)
    _begin(connection)
    try:
        rows = _execute(databases, connection, entry.statements)
        if entry.request_id:
            connection.execute(
                f'INSERT INTO {RECORDS_TABLE} VALUES (?, ?, ?)',
                (entry.request_id, entry.cancelled, entry.at_ms),
            )
        if position % SWEEP_INTERVAL_ENTRIES == 0:
            connection.execute(
                f'DELETE FROM {RECORDS_TABLE} WHERE at_ms < ?',
                (entry.at_ms - 2 * RECORD_RETENTION_MS,),
            )
    except BaseException:
        _end(connection, 'ROLLBACK')
        raise
    _end(connection, 'COMMIT')
    databases.applied = position
    return rows


def rebuild(databases: Databases, entries: list[logs.Entry]) -> None:
    """Replay the whole log, after its tail was removed."""
    for connection in databases.connections.values():
        connection.close()
    databases.connections.clear()
    databases.applied = 0
    for position, entry in enumerate(entries, start=1):
        apply_entry(databases, entry, position)
