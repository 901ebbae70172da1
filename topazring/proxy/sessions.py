"""Serve callers' sessions over WebSocket."""

import asyncio
import dataclasses
import hmac

from tornado import websocket

from topazring.core import log_positions
from topazring.core import organisations
from topazring.core import outcomes
from topazring.core import request_ids
from topazring.core import requests
from topazring.core import tokens
from topazring.plumbing import clock
from topazring.plumbing import sockets
from topazring.proxy import cluster_state as cluster_states
from topazring.proxy import entry as entries
from topazring.proxy import frames
from topazring.proxy import metrics as metric_sets
from topazring.proxy import settings

__all__ = ['Frontend', 'Session', 'SessionSocket']

Kind = requests.Kind
Reason = outcomes.Reason
RETRY_MS = 200
CLOSE_GOING_AWAY = 1001

_KINDS = {
    'read': Kind.READ,
    'write': Kind.WRITE,
    'batch': Kind.WRITE,
    'begin': Kind.BEGIN,
    'execute': Kind.EXECUTE,
    'commit': Kind.COMMIT,
    'rollback': Kind.ROLLBACK,
}
_NEEDS_TRANSACTION = frozenset({Kind.EXECUTE, Kind.COMMIT, Kind.ROLLBACK})


@dataclasses.dataclass(slots=True)
class Session:
    """Represent a session and the furthest log position it has seen."""

    organisation: str
    database: str
    profile: str
    place: log_positions.LogPosition
    open_transaction: entries.OpenTransaction | None = None
    in_flight: int = 0


class Frontend:
    """Hold the state that all sessions of this proxy share."""

    def __init__(
        self,
        config: settings.ProxySettings,
        cluster_state: cluster_states.ClusterState,
        entry: entries.Entry,
        metrics: metric_sets.Metrics,
    ):
        self.config = config
        self.cluster_state = cluster_state
        self.entry = entry
        self.metrics = metrics
        self.sockets: set[SessionSocket] = set()
        self.draining = False

    def drain(self) -> None:
        """Refuse new sessions and ask the callers of open ones to move.

        Closing open sessions from here would lose requests that are already
        in transit. A caller that closes its session itself has none.
        """
        self.draining = True
        for socket in list(self.sockets):
            sockets.write_if_open(socket, frames.LEAVING_FRAME)

    def close_idle_sessions(self, quiet_ms: int) -> None:
        """Close sessions without open work whose callers ignore the notice.

        Only sessions that sent nothing for `quiet_ms` are closed.
        """
        now_ms = clock.monotonic_ms()
        for socket in list(self.sockets):
            if now_ms - socket.last_received_ms >= quiet_ms:
                socket.close_if_idle()

    def busy(self) -> int:
        """Return the number of sessions with requests or a transaction."""
        return sum(1 for socket in self.sockets if socket.is_busy())


class SessionSocket(websocket.WebSocketHandler):
    """Handle the WebSocket connection of one caller."""

    def initialize(self, front: Frontend) -> None:
        self.front = front
        self.session: Session | None = None
        self.tasks: set[asyncio.Task] = set()
        self.last_received_ms = clock.monotonic_ms()

    def prepare(self) -> None:
        limit = self.front.config.limits.sessions
        is_full = len(self.front.sockets) >= limit
        if self.front.draining or is_full:
            self.set_header('Retry-After', '1')
            self.set_status(503)
            self.finish('leaving' if self.front.draining else 'full')

    def check_origin(self, origin: str) -> bool:
        """Accept any origin, since callers authenticate with a key."""
        return True

    def open(self) -> None:
        self.set_nodelay(True)
        self.front.sockets.add(self)

    def on_close(self) -> None:
        self.front.sockets.discard(self)
        session = self.session
        if session is not None and session.open_transaction is not None:
            self.front.entry.withdraw(
                session.database, session.open_transaction
            )
            session.open_transaction = None

    def is_busy(self) -> bool:
        """Return whether a request or a transaction is open."""
        session = self.session
        if session is None:
            return False
        return session.in_flight > 0 or session.open_transaction is not None

    def close_if_idle(self) -> None:
        """Close the session unless a request or a transaction is open."""
        if not self.is_busy():
            self.close(CLOSE_GOING_AWAY, 'leaving')

    def on_message(self, raw: str | bytes) -> None:
        self.last_received_ms = clock.monotonic_ms()
        limit = self.front.config.limits.message_bytes
        if len(raw) > limit:
            rejection = outcomes.Rejected(
                Reason.TOO_LARGE,
                f'{len(raw)} bytes, {limit} at most',
            )
            frame_id = frames.read_id(raw)
            self._reply(frame_id, 'frame', rejection, self.last_received_ms)
            return
        try:
            frame = frames.parse(raw)
        except frames.FrameError as error:
            rejection = outcomes.Rejected(Reason.BAD_FRAME, str(error))
            self._reply(
                error.frame_id, 'frame', rejection, clock.monotonic_ms()
            )
            return
        if isinstance(frame, frames.Hello):
            self._handle_hello(frame)
            return
        task = asyncio.create_task(self._serve_request(frame))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _reply(
        self,
        frame_id: int | None,
        kind: str,
        outcome: outcomes.Outcome,
        began_ms: int,
        token: str = '',
    ) -> None:
        took_ms = clock.monotonic_ms() - began_ms
        self.front.metrics.record_answer(kind, outcome, took_ms)
        sockets.write_if_open(self, frames.encode(frame_id, outcome, token))

    # ---- hello ----

    def _handle_hello(self, frame: frames.Hello) -> None:
        began_ms = clock.monotonic_ms()
        refusal = self._open_session(frame)
        if refusal is None:
            outcome = outcomes.Done([], self.session.place)
            token = self._make_token()
        else:
            outcome, token = refusal, ''
        self._reply(frame.id, 'hello', outcome, began_ms, token)

    def _open_session(
        self, frame: frames.Hello
    ) -> outcomes.NotRun | outcomes.Rejected | None:
        if self.session is not None:
            return outcomes.Rejected(Reason.BAD_FRAME, 'a second hello')
        if not self.front.cluster_state.is_ready():
            return outcomes.NotRun(Reason.NO_CONFIGURATION, RETRY_MS)
        configured = self.front.cluster_state.catalogue
        organisation = configured.organisations.get(frame.organisation)
        key_hash = organisations.hash_key(frame.key)
        expected_hash = organisation.key_sha256 if organisation else ''
        if not hmac.compare_digest(key_hash, expected_hash):
            return outcomes.Rejected(
                Reason.FORBIDDEN, 'no such organisation and key'
            )
        database = configured.database(frame.database)
        if database is None or (
            frame.organisation not in database.organisations
        ):
            # Both cases get the same answer, which does not disclose to other
            # organisations whether a database exists.
            return outcomes.Rejected(Reason.UNKNOWN_DATABASE, frame.database)
        if frame.profile not in configured.profiles:
            return outcomes.Rejected(Reason.UNKNOWN_PROFILE, frame.profile)
        place = log_positions.ORIGIN
        session = Session(
            frame.organisation, frame.database, frame.profile, place
        )
        if frame.token:
            refusal = self._merge_token(session, frame.token)
            if refusal is not None:
                return refusal
        self.session = session
        return None

    def _merge_token(
        self, session: Session, token: str
    ) -> outcomes.Rejected | None:
        """Advance the session to the log position in the token.

        Return a rejection if the token is not valid.
        """
        try:
            verified = tokens.verify_token(
                token,
                self.front.cluster_state.catalogue.verifying_keys(),
                session.organisation,
                session.database,
            )
        except tokens.TokenError as error:
            return outcomes.Rejected(Reason.BAD_TOKEN, str(error))
        session.place = max(session.place, verified.place())
        return None

    def _make_token(self) -> str:
        session = self.session
        key = self.front.cluster_state.catalogue.signing_key()
        if key is None:
            return ''
        return tokens.sign_token(
            tokens.Session(
                session.organisation,
                session.database,
                session.place.log_term,
                session.place.position,
            ),
            key,
        )

    # ---- requests ----

    async def _serve_request(self, frame: frames.CallerFrame) -> None:
        began_ms = clock.monotonic_ms()
        kind = _KINDS[frame.type]
        job = self._make_job(frame, kind, began_ms)
        if not isinstance(job, entries.Job):
            self._reply(frame.id, frame.type, job, began_ms)
            return
        session = self.session
        session.in_flight += 1
        try:
            outcome, transaction = await self.front.entry.run(job)
        finally:
            session.in_flight -= 1
        self._update_transaction(kind, outcome, transaction)
        token = ''
        if isinstance(outcome, outcomes.Done):
            session.place = max(session.place, outcome.place)
            token = self._make_token()
        self._reply(frame.id, frame.type, outcome, began_ms, token)

    def _update_transaction(
        self,
        kind: Kind,
        outcome: outcomes.Outcome,
        transaction: entries.OpenTransaction | None,
    ) -> None:
        session = self.session
        if transaction is not None:
            if self.ws_connection is None:
                # The caller disconnected while BEGIN was in progress.
                self.front.entry.withdraw(session.database, transaction)
                return
            session.open_transaction = transaction
        is_lost = getattr(outcome, 'reason', None) is Reason.TRANSACTION_LOST
        has_ended = kind in (Kind.COMMIT, Kind.ROLLBACK)
        if is_lost or has_ended:
            session.open_transaction = None

    def _make_job(
        self, frame: frames.CallerFrame, kind: Kind, now_ms: int
    ) -> entries.Job | outcomes.Outcome:
        """Return the job for a frame, or the outcome that refuses it."""
        session = self.session
        if session is None:
            return outcomes.Rejected(Reason.BAD_FRAME, 'hello comes first')
        configured = self.front.cluster_state.catalogue
        database = configured.database(session.database)
        if database is None:
            return outcomes.Rejected(Reason.UNKNOWN_DATABASE, session.database)
        profile = configured.profiles.get(session.profile)
        if profile is None:
            return outcomes.Rejected(Reason.UNKNOWN_PROFILE, session.profile)
        refusal = self._find_refusal(frame, kind)
        token = getattr(frame, 'token', None)
        if refusal is None and token:
            refusal = self._merge_token(session, token)
        if refusal is not None:
            return refusal
        return entries.Job(
            kind,
            session.organisation,
            database,
            profile,
            now_ms + _deadline_ms(kind, profile),
            _statements(frame),
            getattr(frame, 'request_id', ''),
            session.place,
            session.open_transaction if kind in _NEEDS_TRANSACTION else None,
            getattr(frame, 'repeat', False),
        )

    def _find_refusal(
        self, frame: frames.CallerFrame, kind: Kind
    ) -> outcomes.Outcome | None:
        session = self.session
        limit = self.front.config.limits.requests_a_session
        if session.in_flight >= limit:
            return outcomes.NotRun(Reason.OVERLOAD, RETRY_MS)
        request_id = getattr(frame, 'request_id', None)
        if request_id is not None and not request_ids.is_well_formed(
            request_id
        ):
            return outcomes.Rejected(
                Reason.BAD_REQUEST_ID,
                'want HEXMILLISECONDS-RANDOM',
            )
        if kind is Kind.BEGIN and session.open_transaction is not None:
            return outcomes.Rejected(
                Reason.BAD_FRAME, 'a transaction is open already'
            )
        if kind in _NEEDS_TRANSACTION and session.open_transaction is None:
            if kind is Kind.COMMIT:
                # May be a repeated COMMIT that has already taken effect.
                return None
            return outcomes.Rejected(
                Reason.NO_TRANSACTION, 'no transaction is open'
            )
        return None


def _deadline_ms(kind: Kind, profile: requests.Profile) -> int:
    if kind in (Kind.READ, Kind.EXECUTE):
        return profile.read_deadline_ms
    return profile.write_deadline_ms


def _statements(
    frame: frames.CallerFrame,
) -> tuple[requests.Statement, ...]:
    if isinstance(frame, frames.Batch):
        return tuple(
            requests.Statement(sql, values) for sql, values in frame.statements
        )
    sql = getattr(frame, 'statement', None)
    if sql is None:
        return ()
    return (requests.Statement(sql, frame.parameters),)
