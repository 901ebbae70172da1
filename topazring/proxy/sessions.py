"""Serve callers' sessions over WebSocket."""

import asyncio
import dataclasses
import hmac

from tornado import websocket

from topazring import catalogue
from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core import request_ids
from topazring.core import requests
from topazring.core import tokens
from topazring.plumbing import clock
from topazring.plumbing import sockets
from topazring.proxy import cluster_state as knowledges
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
    """Hold what a session is, and the furthest place it has seen."""

    organisation: str
    database: str
    profile: str
    place: log_positions.LogPosition
    open_transaction: entries.OpenTransaction | None = None
    in_flight: int = 0


class Frontend:
    """Hold what all sessions of this proxy share."""

    def __init__(
        self,
        config: settings.ProxySettings,
        knowledge: knowledges.ClusterState,
        entry: entries.Entry,
        metrics: metric_sets.Metrics,
    ):
        self.config = config
        self.cluster_state = knowledge
        self.entry = entry
        self.metrics = metrics
        self.sockets: set[SessionSocket] = set()
        self.draining = False

    def drain(self) -> None:
        """Take no new session, and ask the others to move.

        Closing them from here would cut off requests that are on their way
        already. A caller that closes by itself has none.
        """
        self.draining = True
        for socket in list(self.sockets):
            sockets.write_if_open(socket, frames.LEAVING_FRAME)

    def close_idle_sessions(self, quiet_ms: int) -> None:
        """End the sessions whose callers do not heed the notice."""
        now_ms = clock.monotonic_ms()
        for socket in list(self.sockets):
            if now_ms - socket.last_received_ms >= quiet_ms:
                socket.close_if_idle()

    def busy(self) -> int:
        """Return how many sessions have something open."""
        return sum(1 for socket in self.sockets if socket.is_busy())


class SessionSocket(websocket.WebSocketHandler):
    """Own one caller's connection."""

    def initialize(self, front: Frontend) -> None:
        self.front = front
        self.session: Session | None = None
        self.tasks: set[asyncio.Task] = set()
        self.last_received_ms = clock.monotonic_ms()

    def prepare(self) -> None:
        limit = self.front.config.limits.sessions
        full = len(self.front.sockets) >= limit
        if self.front.draining or full:
            self.set_header('Retry-After', '1')
            self.set_status(503)
            self.finish('leaving' if self.front.draining else 'full')

    def check_origin(self, origin: str) -> bool:
        """Accept services of any origin: the key is what counts."""
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
        """Say whether something of this session is open."""
        session = self.session
        if session is None:
            return False
        return session.in_flight > 0 or session.open_transaction is not None

    def close_if_idle(self) -> None:
        """End a session that has nothing open."""
        if not self.is_busy():
            self.close(CLOSE_GOING_AWAY, 'leaving')

    def on_message(self, raw: str | bytes) -> None:
        self.last_received_ms = clock.monotonic_ms()
        limit = self.front.config.limits.message_bytes
        if len(raw) > limit:
            large = outcomes.Rejected(
                Reason.TOO_LARGE, f'{len(raw)} bytes, {limit} at most'
            )
            frame_id = frames.read_id(raw)
            self._reply(frame_id, 'frame', large, self.last_received_ms)
            return
        try:
            frame = frames.parse(raw)
        except frames.FrameError as error:
            bad = outcomes.Rejected(Reason.BAD_FRAME, str(error))
            self._reply(error.frame_id, 'frame', bad, clock.monotonic_ms())
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
        known = self.front.cluster_state.catalogue
        organisation = known.organisations.get(frame.organisation)
        given = catalogue.hash_key(frame.key)
        expected = organisation.key_sha256 if organisation else ''
        if not hmac.compare_digest(given, expected):
            return outcomes.Rejected(
                Reason.FORBIDDEN, 'no such organisation and key'
            )
        database = known.database(frame.database)
        if database is None or (
            frame.organisation not in database.organisations
        ):
            # The same answer for both: whether a database exists is not
            # for other organisations to know.
            return outcomes.Rejected(Reason.UNKNOWN_DATABASE, frame.database)
        if frame.profile not in known.profiles:
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
        """Have the session see at least what the token has seen."""
        try:
            told = tokens.verify_token(
                token,
                self.front.cluster_state.catalogue.verifying_keys(),
                session.organisation,
                session.database,
            )
        except tokens.TokenError as error:
            return outcomes.Rejected(Reason.BAD_TOKEN, str(error))
        session.place = max(session.place, told.place())
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
            outcome, bound = await self.front.entry.run(job)
        finally:
            session.in_flight -= 1
        self._update_transaction(kind, outcome, bound)
        token = ''
        if isinstance(outcome, outcomes.Done):
            session.place = max(session.place, outcome.place)
            token = self._make_token()
        self._reply(frame.id, frame.type, outcome, began_ms, token)

    def _update_transaction(
        self,
        kind: Kind,
        outcome: outcomes.Outcome,
        bound: entries.OpenTransaction | None,
    ) -> None:
        session = self.session
        if bound is not None:
            if self.ws_connection is None:
                # The caller left while its transaction began.
                self.front.entry.withdraw(session.database, bound)
                return
            session.open_transaction = bound
        lost = getattr(outcome, 'reason', None) is Reason.TRANSACTION_LOST
        ended = kind in (Kind.COMMIT, Kind.ROLLBACK)
        if lost or ended:
            session.open_transaction = None

    def _make_job(
        self, frame: frames.CallerFrame, kind: Kind, now_ms: int
    ) -> entries.Job | outcomes.Outcome:
        """Return the job for a frame, or why there is none."""
        session = self.session
        if session is None:
            return outcomes.Rejected(Reason.BAD_FRAME, 'hello comes first')
        known = self.front.cluster_state.catalogue
        database = known.database(session.database)
        if database is None:
            return outcomes.Rejected(Reason.UNKNOWN_DATABASE, session.database)
        profile = known.profiles.get(session.profile)
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
        most = self.front.config.limits.requests_a_session
        if session.in_flight >= most:
            return outcomes.NotRun(Reason.OVERLOAD, RETRY_MS)
        request_id = getattr(frame, 'request_id', None)
        if request_id is not None and not request_ids.is_well_formed(
            request_id
        ):
            return outcomes.Rejected(
                Reason.BAD_REQUEST_ID, 'want HEXMILLISECONDS-RANDOM'
            )
        if kind is Kind.BEGIN and session.open_transaction is not None:
            return outcomes.Rejected(
                Reason.BAD_FRAME, 'a transaction is open already'
            )
        if kind in _NEEDS_TRANSACTION and session.open_transaction is None:
            if kind is Kind.COMMIT:
                # Perhaps a second copy of a commit that took effect.
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
