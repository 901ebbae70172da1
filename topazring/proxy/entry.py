"""Take a caller's request to an owner and see it to its final answer."""

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
from topazring.proxy import cluster_state as knowledges
from topazring.proxy import hop
from topazring.proxy import ownership as ownerships

__all__ = ['OpenTransaction', 'Entry', 'Job']

Kind = requests.Kind
Reason = outcomes.Reason
TICK_INTERVAL_S = 0.1
# Of what waits for a database at its owner, one entry may fill this part.
QUEUE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class OpenTransaction:
    """Name the owner that holds a transaction, and its number there."""

    owner: str
    transaction: int


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Hold a caller's request as the entry takes it in."""

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
    """Own the streams to owners; forward jobs."""

    def __init__(
        self,
        name: str,
        knowledge: knowledges.ClusterState,
        ownership: ownerships.Ownership,
    ):
        self.name = name
        self.cluster_state = knowledge
        self.ownership = ownership
        self.clients: dict[str, hop.HopClient] = {}
        # What is under way to each owner, for each database.
        self.windows: dict[tuple[str, str], windows.Window] = {}
        self.retries: dict[str, int] = {}
        self.hops = 0
        self.in_flight = 0
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to look after the streams."""
        self.task = asyncio.create_task(self._tick_forever())

    async def _tick_forever(self) -> None:
        # One timer for all: with a stream to each of 2,000 owners, a timer
        # a stream would be 20,000 wake-ups a second.
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now_ms = clock.monotonic_ms()
            for client in self.clients.values():
                client.tick(now_ms)

    def close(self) -> None:
        """Close the streams."""
        if self.task is not None:
            self.task.cancel()
        for client in self.clients.values():
            client.close()
        self.clients.clear()

    def refresh(self) -> None:
        """Close streams to processes that are gone."""
        listed = self.cluster_state.members.listed
        for key, client in list(self.clients.items()):
            name, incarnation = key
            member = listed.get(name)
            gone = member is None or member.incarnation != incarnation
            # A leaving owner still answers what it has.
            if gone and not client.pending:
                client.close()
                del self.clients[key]
        for key, window in list(self.windows.items()):
            if key[0] not in listed and not window.total:
                del self.windows[key]

    async def run(
        self, job: Job
    ) -> tuple[outcomes.Outcome, OpenTransaction | None]:
        """Return the final outcome, and the transaction if one began."""
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
                # Its fate is open, so it waits for its turn to ask.
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
        """Return the owners, those first that can be reached from here."""
        owners = self.ownership.owners_of(job.database)
        now_ms = clock.monotonic_ms()
        members = self.cluster_state.members
        near = [
            n for n in owners if membership.is_reachable(members, n, now_ms)
        ]
        return (*near, *(n for n in owners if n not in near))

    def _window(self, owner: str, job: Job) -> windows.Window | None:
        """Return what bounds a request there; None if nothing does.

        An owner of this process is asked directly. A transaction's
        statements hold a connection, so the sooner they end the better.
        """
        if owner == self.name or job.open_transaction is not None:
            return None
        key = (owner, job.database.name)
        window = self.windows.get(key)
        if window is None:
            most = int(self.ownership.config.limits.queue * QUEUE_SHARE)
            window = self.windows[key] = windows.Window(max(1, most))
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

        return await client.call(make_frame)

    async def _submit_locally(
        self,
        job: Job,
        step: forwarding.Send,
        kind: Kind,
        transaction: int,
    ) -> tuple[outcomes.Outcome, int]:
        answered = asyncio.get_running_loop().create_future()

        def answer(key: int, outcome: outcomes.Outcome) -> None:
            if not answered.done():
                answered.set_result((key, outcome))

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
        key, outcome = await answered
        done = isinstance(outcome, outcomes.Done)
        began = kind is Kind.BEGIN and done
        return outcome, key if began else 0

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
        """Return the stream to an owner that left the list already."""
        for (name, _), client in self.clients.items():
            if name == owner:
                return client
        return None

    def withdraw(self, database: str, bound: OpenTransaction) -> None:
        """Roll back a transaction whose session ended."""
        if bound.owner == self.name:
            self.ownership.withdraw(database, bound.transaction)
            return
        client = self._find_client(bound.owner)
        if client is not None:
            client.withdraw(database, bound.transaction)

    def serve_hop(self, frame, answer) -> None:
        """Serve another entry's frame as an owner."""
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
