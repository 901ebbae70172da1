"""Route each request to a proxy that can serve it."""

import collections.abc
import functools
import itertools
import typing

from topazring.core import outcomes
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.plumbing import framing
from topazring.pooler import hop
from topazring.pooler import hop_frames

__all__ = ['Router']

Reason = outcomes.Reason

# A proxy that could not be reached is skipped for this long; twice as long
# after each further failure, up to the time that a restart takes.
MIN_AVOID_MS = 500
# A proxy that could not serve a group gets no requests for it for this long:
# it may be partitioned together with a primary that has been replaced.
REFUSAL_AVOID_MS = 1000
MAX_AVOID_MS = 4000


class LocalServer(typing.Protocol):
    """Interface for serving requests in this process."""

    async def serve_locally(
        self, request: messages.Request
    ) -> outcomes.Outcome:
        """Return the final outcome of a request."""

    def withdraw_locally(self, service: str, transaction: int) -> None:
        """Abort a transaction that was begun in this process."""

    def queued_locally(self, service: str) -> int:
        """Return how many requests are queued here for a service."""


class _Peer:
    """Link to another proxy and its availability."""

    def __init__(self, address: str):
        self.address = address
        self.link = hop.Link(address)
        self.avoid_until_ms = 0
        self.failures = 0
        # Per service: until when it gets no requests, and its load.
        self.refused_until_ms: dict[str, int] = {}
        self.loads: dict[str, forwarding.Load] = {}

    def load(self, service: str) -> forwarding.Load:
        """Return its load for a service."""
        return self.loads.setdefault(service, forwarding.Load())


class Router:
    """Own the links to other proxies and track transaction owners."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        local: LocalServer,
        log: events.EventLog,
    ):
        self.name = name
        self.data_centre = data_centre
        self.local = local
        self.log = log
        hop_frames.register(log)
        self.peers: dict[str, _Peer] = {}
        # Peers that would run a request in their own name.
        self.old_peers: frozenset[str] = frozenset()
        self.ownerships: dict[str, ownership.Ownership] = {}
        # Owner of each open transaction: THIS_PROXY or a proxy's name.
        self.transaction_owners: dict[int, str] = {}
        # Owner that each request waits for, by its key.
        self.awaited_owners: dict[int, str] = {}
        self.turns = itertools.count()
        self.forwarded = 0
        self.closed = False

    def close(self) -> None:
        """Close all links; requests in flight are answered, not retried."""
        self.closed = True
        for peer in self.peers.values():
            peer.link.close()

    def set_peers(self, addresses: collections.abc.Mapping[str, str]) -> None:
        """Set the live proxies and the addresses where they take requests."""
        for name in list(self.peers):
            if addresses.get(name) != self.peers[name].address:
                self.peers.pop(name).link.close()
        for name, address in addresses.items():
            if name not in self.peers and name != self.name and address:
                self.peers[name] = _Peer(address)

    async def run(self, request: messages.Request) -> outcomes.Outcome:
        """Return the final outcome of a request."""
        if request.continues_transaction:
            return await self._continue_transaction(request)
        owned = self.ownerships.get(request.policy.service)
        if owned is None:
            return forwarding.unconfigured_outcome()
        plan = forwarding.Plan()
        deadline_ms = request.arrived_ms + request.policy.timeout_ms
        turn = next(self.turns)
        queue_length = functools.partial(self._queue_length, request)
        while not self.closed and clock.boottime_ms() < deadline_ms:
            owner = forwarding.next_owner(
                plan,
                owned,
                self.name,
                self.data_centre,
                queue_length,
                turn,
                request.organisation,
            )
            if owner is None:
                break
            plan.tried.append(owner)
            outcome = await self._try_owner(plan, owner, request)
            if outcome is not None:
                return outcome
        return forwarding.final_outcome(plan)

    async def _try_owner(
        self, plan: forwarding.Plan, owner: str, request: messages.Request
    ) -> outcomes.Outcome | None:
        """Try one owner; return None if the request should go to another."""
        answer = await self._send(owner, request)
        if isinstance(answer, forwarding.LinkLost):
            return forwarding.lost_link_outcome(request, answer)
        plan.last = answer
        if request.transaction and isinstance(answer, outcomes.Done):
            self.transaction_owners[request.transaction] = owner
        if forwarding.is_final(request, answer):
            return answer
        if owner in self.peers:
            until_ms = clock.boottime_ms() + REFUSAL_AVOID_MS
            self.peers[owner].refused_until_ms[request.policy.service] = (
                until_ms
            )
        self.log.emit(
            'router',
            'cannot be served there',
            request.statement.request_id,
            request.policy.service,
            {'place': owner, 'reason': str(answer.reason)},
        )
        return None

    async def _continue_transaction(
        self, request: messages.Request
    ) -> outcomes.Outcome:
        """Send a statement of an open transaction to its owner."""
        owner = self.transaction_owners.get(request.transaction)
        if owner is None:
            return outcomes.NotRun(Reason.TRANSACTION_LOST, 0)
        answer = await self._send(owner, request)
        ended = request.statement.verb.ends_transaction
        if ended or not isinstance(answer, outcomes.Done):
            self.transaction_owners.pop(request.transaction, None)
        if isinstance(answer, forwarding.LinkLost):
            return forwarding.lost_link_outcome(request, answer)
        return answer

    def describe_wait(self, key: int) -> dict[str, object]:
        """Return what a request waits for, as inputs of a log line."""
        owner = self.awaited_owners.get(key)
        if owner is None:
            return {'owner': 'none'}
        if owner == forwarding.THIS_PROXY:
            return {'owner': 'this process'}
        peer = self.peers.get(owner)
        return {'owner': owner, **(peer.link.describe() if peer else {})}

    async def _send(
        self, owner: str, request: messages.Request
    ) -> outcomes.Outcome | forwarding.LinkLost:
        self.awaited_owners[request.key] = owner
        try:
            return await self._exchange(owner, request)
        finally:
            del self.awaited_owners[request.key]

    async def _exchange(
        self, owner: str, request: messages.Request
    ) -> outcomes.Outcome | forwarding.LinkLost:
        if owner == forwarding.THIS_PROXY:
            return await self.local.serve_locally(request)
        peer = self.peers.get(owner)
        if peer is None:
            return forwarding.LinkLost(False)
        self.forwarded += 1
        deadline_ms = request.arrived_ms + request.policy.timeout_ms
        load = peer.load(request.policy.service)
        try:
            answer = await peer.link.send_request(request, deadline_ms, load)
        except framing.FrameTooLongError:
            hop_frames.report_too_long(self.log, 'request', request)
            if request.continues_transaction:
                peer.link.withdraw(request.policy.service, request.transaction)
            return forwarding.unsent_outcome()
        self._record_link_result(owner, peer, answer)
        return answer

    def _record_link_result(
        self,
        owner: str,
        peer: _Peer,
        answer: outcomes.Outcome | forwarding.LinkLost,
    ) -> None:
        """Update the backoff of a proxy after a request."""
        if not isinstance(answer, forwarding.LinkLost):
            peer.failures = 0
            return
        now_ms = clock.boottime_ms()
        if now_ms < peer.avoid_until_ms:
            return
        avoid_ms = min(MIN_AVOID_MS * 2**peer.failures, MAX_AVOID_MS)
        peer.failures += 1
        peer.avoid_until_ms = now_ms + avoid_ms
        inputs = {'proxy': owner, 'sent': answer.sent, 'avoid_ms': avoid_ms}
        self.log.emit('router', 'proxy lost', inputs=inputs)

    def _queue_length(
        self, request: messages.Request, owner: str
    ) -> float | None:
        """Return the expected queue length, None if not available."""
        service = request.policy.service
        if request.organisation and owner in self.old_peers:
            return None
        if owner == forwarding.THIS_PROXY:
            return self.local.queued_locally(service)
        peer = self.peers.get(owner)
        now_ms = clock.boottime_ms()
        if peer is None or now_ms < peer.avoid_until_ms:
            return None
        if now_ms < peer.refused_until_ms.get(service, 0):
            return None
        return peer.load(service).expected_ahead(now_ms)

    def reachable_link(self, name: str) -> hop.Link | None:
        """Return the link to a proxy, None if it is unknown or avoided."""
        peer = self.peers.get(name)
        if peer is None or clock.boottime_ms() < peer.avoid_until_ms:
            return None
        return peer.link

    def record_silence(self, name: str) -> None:
        """Avoid a proxy that did not answer in time."""
        peer = self.peers.get(name)
        if peer is not None:
            self._record_link_result(name, peer, forwarding.LinkLost(True))

    def withdraw(self, service: str, transaction: int) -> None:
        """Abort a transaction at its owner."""
        owner = self.transaction_owners.pop(transaction, None)
        if owner == forwarding.THIS_PROXY:
            self.local.withdraw_locally(service, transaction)
        elif owner is not None and owner in self.peers:
            self.peers[owner].link.withdraw(service, transaction)
