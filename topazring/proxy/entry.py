"""Forward callers' requests to owners until each has a final outcome."""

import asyncio
import dataclasses

from topazring import catalogue
from topazring.core import forwarding
from topazring.core import log_positions
from topazring.core import members as membership
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import requests
from topazring.core import windows
from topazring.plumbing import clock
from topazring.plumbing import framing
from topazring.plumbing import supervision
from topazring.proxy import cluster_state as cluster_states
from topazring.proxy import hop
from topazring.proxy import ownership as ownerships

__all__ = ['OpenTransaction', 'Entry', 'Job']

Kind = requests.Kind
Reason = outcomes.Reason
TICK_INTERVAL_S = 0.1
# Largest share of an owner's request queue for a database that the requests
# of one entry may occupy.
QUEUE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class OpenTransaction:
    """Identify an open transaction by its owner and its number there."""

    owner: str
    transaction: int


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Represent a caller's request that is to be forwarded to an owner."""

    kind: Kind
    organisation: str
    database: catalogue.Database
    profile: requests.Profile
    deadline_ms: int
    statements: tuple[requests.Statement, ...] = ()
    request_id: str = ''
    token_place: log_positions.LogPosition = log_positions.ORIGIN
    open_transaction: OpenTransaction | None = None
    repeat: bool = False


class Entry:
    """Manage the streams to owners and forward jobs over them."""

    def __init__(
        self,
        name: str,
        cluster_state: cluster_states.ClusterState,
        ownership: ownerships.Ownership,
        reporter: supervision.Counts,
    ):
        self.name = name
        self.cluster_state = cluster_state
        self.ownership = ownership
        self.reporter = reporter
        self.clients: dict[str, hop.HopClient] = {}
        # Limits on the requests in flight, by owner and database.
        self.windows: dict[tuple[str, str], windows.Window] = {}
        self.retries: dict[str, int] = {}
        self.hops = 0
        self.in_flight = 0
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the periodic check of the streams."""
        self.task = supervision.start(
            'entry', self._tick_forever, self.reporter
        )

    async def _tick_forever(self) -> None:
        # One timer serves all streams: with streams to 2,000 owners, one
        # timer per stream would cause 20,000 wake-ups per second.
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now_ms = clock.monotonic_ms()
            for client in self.clients.values():
                client.tick(now_ms)

    def close(self) -> None:
        """Stop the periodic check and close the streams."""
        if self.task is not None:
            self.task.cancel()
        for client in self.clients.values():
            client.close()
        self.clients.clear()

    def refresh(self) -> None:
        """Remove streams and windows of processes that are no longer listed.

        Those that still have requests pending are kept.
        """
        listed = self.cluster_state.members.listed
        for key, client in list(self.clients.items()):
            name, incarnation = key
            member = listed.get(name)
            is_stale = member is None or member.incarnation != incarnation
            # An owner that is shutting down still answers its requests.
            if is_stale and not client.pending:
                client.close()
                del self.clients[key]
        for key, window in list(self.windows.items()):
            if key[0] not in listed and not window.total:
                del self.windows[key]

    async def run(
        self, job: Job
    ) -> tuple[outcomes.Outcome, OpenTransaction | None]:
        """Return the final outcome, and the transaction if one was opened."""
        self.in_flight += 1
        try:
            return await self._run(job)
        finally:
            self.in_flight -= 1

    async def _run(
        self, job: Job
    ) -> tuple[outcomes.Outcome, OpenTransaction | None]:
        plan = forwarding.make_plan(
            job.kind,
            job.profile.repeatable,
            job.deadline_ms,
            job.open_transaction.owner if job.open_transaction else '',
            job.repeat,
        )
        while True:
            now_ms = clock.monotonic_ms()
            step = forwarding.next_step(plan, now_ms, self._owners(job))
            match step:
                case forwarding.Finish(outcome=outcome):
                    return outcome, None
                case forwarding.Pause(ms=ms):
                    await asyncio.sleep(ms / 1000)
                    continue
            window = self._window(step.owner, job)
            if window and not windows.has_capacity(window, job.organisation):
                if not plan.maybe_ran:
                    return self._refuse_overload(window), None
                # The request may have run, so it is not refused here: it
                # waits for capacity to query its outcome.
                await asyncio.sleep(forwarding.PAUSE_MS / 1000)
                continue
            result = await self._send_counted(job, step, window)
            if isinstance(result, messages.ConnectionLost):
                self._record_lost_connection(step.owner, now_ms, result)
                forwarding.record_result(plan, step.owner, result)
                continue
            outcome, transaction = result
            forwarding.record_result(plan, step.owner, outcome)
            if transaction:
                return outcome, OpenTransaction(step.owner, transaction)

    def _owners(self, job: Job) -> tuple[str, ...]:
        """Return the owners of the database, reachable ones first."""
        owners = self.ownership.owners_of(job.database)
        now_ms = clock.monotonic_ms()
        members = self.cluster_state.members
        reachable = [
            n for n in owners if membership.is_reachable(members, n, now_ms)
        ]
        return (*reachable, *(n for n in owners if n not in reachable))

    def _window(self, owner: str, job: Job) -> windows.Window | None:
        """Return the in-flight limit that applies; None if there is none.

        An owner in this process is called directly. Statements in an open
        transaction are not limited: the transaction holds a connection, and
        delaying its statements would hold it longer.
        """
        if owner == self.name or job.open_transaction is not None:
            return None
        key = (owner, job.database.name)
        window = self.windows.get(key)
        if window is None:
            limit = int(self.ownership.config.limits.queue * QUEUE_SHARE)
            window = self.windows[key] = windows.Window(max(1, limit))
        return window

    def _refuse_overload(self, window: windows.Window) -> outcomes.NotRun:
        key = f'{Reason.OVERLOAD}_not_sent'
        self.retries[key] = self.retries.get(key, 0) + 1
        after_ms = max(forwarding.PAUSE_MS, int(window.mean_answer_ms))
        return outcomes.NotRun(Reason.OVERLOAD, after_ms)

    async def _send_counted(
        self,
        job: Job,
        step: forwarding.Send,
        window: windows.Window | None,
    ) -> tuple[outcomes.Outcome, int] | messages.ConnectionLost:
        if window is None:
            return await self._send(job, step)
        sent_ms = clock.monotonic_ms()
        windows.acquire(window, job.organisation)
        try:
            return await self._send(job, step)
        finally:
            took_ms = clock.monotonic_ms() - sent_ms
            windows.release(window, job.organisation, took_ms)

    def _record_lost_connection(
        self, owner: str, now_ms: int, lost: messages.ConnectionLost
    ) -> None:
        membership.record_failure(self.cluster_state.members, owner, now_ms)
        key = f'{lost.reason}_{"sent" if lost.sent else "not_sent"}'
        self.retries[key] = self.retries.get(key, 0) + 1

    async def _send(
        self, job: Job, step: forwarding.Send
    ) -> tuple[outcomes.Outcome, int] | messages.ConnectionLost:
        kind = Kind.SETTLE if step.settle else job.kind
        transaction = (
            job.open_transaction.transaction if job.open_transaction else 0
        )
        if step.owner == self.name:
            return await self._submit_locally(job, step, kind, transaction)
        client = self._client_for(step.owner)
        if client is None:
            return messages.ConnectionLost(Reason.OWNER_LOST, False)
        self.hops += 1
        place = (job.token_place.log_term, job.token_place.position)

        def make_frame(frame_id: int) -> hop.HopRequest:
            return hop.HopRequest(
                frame_id,
                str(kind),
                job.organisation,
                job.database.name,
                job.profile,
                step.left_ms,
                list(job.statements),
                job.request_id,
                place,
                transaction,
                job.repeat,
            )

        try:
            return await client.call(make_frame)
        except framing.FrameTooLongError:
            hop.report_too_long(
                self.reporter, 'request', str(kind), job.database.name
            )
            if job.repeat or step.settle:
                return outcomes.Unknown(Reason.TOO_LARGE), 0
            detail = 'the request is too long to be forwarded'
            return outcomes.Rejected(Reason.TOO_LARGE, detail), 0

    async def _submit_locally(
        self,
        job: Job,
        step: forwarding.Send,
        kind: Kind,
        transaction: int,
    ) -> tuple[outcomes.Outcome, int]:
        future = asyncio.get_running_loop().create_future()

        def answer(key: int, outcome: outcomes.Outcome) -> None:
            if not future.done():
                future.set_result((key, outcome))

        request = requests.Request(
            0,
            kind,
            job.organisation,
            job.profile,
            clock.monotonic_ms() + step.left_ms,
            job.statements,
            job.request_id,
            job.token_place,
            transaction,
            job.repeat,
        )
        self.ownership.submit(job.database.name, request, answer)
        key, outcome = await future
        is_done = isinstance(outcome, outcomes.Done)
        has_begun = kind is Kind.BEGIN and is_done
        return outcome, key if has_begun else 0

    def _client_for(self, owner: str) -> hop.HopClient | None:
        member = self.cluster_state.members.listed.get(owner)
        if member is None:
            return self._find_client(owner)
        key = (owner, member.incarnation)
        client = self.clients.get(key)
        if client is None:
            client = hop.HopClient(owner, member.host, member.hop_port)
            self.clients[key] = client
        return client

    def _find_client(self, owner: str) -> hop.HopClient | None:
        """Return a stream to an owner, also if it is no longer listed."""
        for (name, _), client in self.clients.items():
            if name == owner:
                return client
        return None

    def withdraw(self, database: str, transaction: OpenTransaction) -> None:
        """Roll back a transaction whose session has ended."""
        if transaction.owner == self.name:
            self.ownership.withdraw(database, transaction.transaction)
            return
        client = self._find_client(transaction.owner)
        if client is not None:
            client.withdraw(database, transaction.transaction)

    def serve_hop(self, frame, answer) -> None:
        """Handle a frame from another entry in the role of an owner."""
        if isinstance(frame, hop.Withdraw):
            self.ownership.withdraw(frame.database, frame.transaction)
            return
        request = requests.Request(
            0,
            Kind(frame.kind),
            frame.organisation,
            frame.profile,
            clock.monotonic_ms() + frame.left_ms,
            tuple(frame.statements),
            frame.request_id,
            log_positions.LogPosition(*frame.token),
            frame.transaction,
            frame.repeat,
        )
        self.ownership.submit(frame.database, request, answer)
