"""Bring each request to a proxy that can serve it."""

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
from topazring.pooler import hop

__all__ = ['Router']

Reason = outcomes.Reason

# A proxy that could not be reached is left out for so long; longer each
# time, up to the time in which one restarts.
MIN_AVOID_MS = 500
# One that could not serve a group is not asked for that group for so long: it
# may be cut off with a primary that is replaced.
REFUSAL_AVOID_MS = 1000
MAX_AVOID_MS = 4000


class LocalServer(typing.Protocol):
    """Serve requests in this process."""

    async def serve_locally(
        self, request: messages.Request
    ) -> outcomes.Outcome:
        """Return the request's one final answer."""

    def withdraw_locally(self, service: str, transaction: int) -> None:
        """Undo a transaction that was begun here."""

    def queued_locally(self, service: str) -> int:
        """Return how many requests wait here for a service."""


class _Peer:
    """Hold the link to another proxy, and whether it is worth a try."""

    def __init__(self, address: str):
        self.address = address
        self.link = hop.Link(address)
        self.avoid_until_ms = 0
        self.failures = 0
        # Until when it is not asked for a service, and how busy it is there.
        self.cannot_until_ms: dict[str, int] = {}
        self.loads: dict[str, forwarding.Load] = {}

    def load(self, service: str) -> forwarding.Load:
        """Return how busy it is with a service."""
        return self.loads.setdefault(service, forwarding.Load())


class Router:
    """Own the links to other proxies; remember who has a transaction."""

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
        self.peers: dict[str, _Peer] = {}
        self.ownerships: dict[str, ownership.Ownership] = {}
        # Where each open transaction is, HERE or a proxy's name.
        self.begun: dict[int, str] = {}
        self.turns = itertools.count()
        self.forwarded = 0
        self.closed = False

    def close(self) -> None:
        """Close all links; what is under way is answered, tried no more."""
        self.closed = True
        for peer in self.peers.values():
            peer.link.close()

    def set_peers(self, addresses: collections.abc.Mapping[str, str]) -> None:
        """Take in the proxies that live and where they take requests."""
        for name in list(self.peers):
            if addresses.get(name) != self.peers[name].address:
                self.peers.pop(name).link.close()
        for name, address in addresses.items():
            if name not in self.peers and name != self.name and address:
                self.peers[name] = _Peer(address)

    async def run(self, request: messages.Request) -> outcomes.Outcome:
        """Return the request's one final answer."""
        if request.continues_transaction:
            return await self._go_on(request)
        owned = self.ownerships.get(request.policy.service)
        if owned is None:
            return forwarding.unconfigured_outcome()
        plan = forwarding.Plan()
        deadline_ms = request.arrived_ms + request.policy.timeout_ms
        turn = next(self.turns)
        weigh = functools.partial(self._weigh, request.policy.service)
        while not self.closed and clock.boottime_ms() < deadline_ms:
            place = forwarding.next_owner(
                plan,
                owned,
                self.name,
                self.data_centre,
                weigh,
                turn,
            )
            if place is None:
                break
            plan.tried.append(place)
            outcome = await self._try(plan, place, request)
            if outcome is not None:
                return outcome
        return forwarding.final_outcome(plan)

    async def _try(
        self, plan: forwarding.Plan, place: str, request: messages.Request
    ) -> outcomes.Outcome | None:
        """Try one place; None if the request is to go on elsewhere."""
        answer = await self._ask(place, request)
        if isinstance(answer, forwarding.LinkLost):
            return forwarding.lost_link_outcome(request, answer)
        plan.last = answer
        if request.transaction and isinstance(answer, outcomes.Done):
            self.begun[request.transaction] = place
        if forwarding.is_final(request, answer):
            return answer
        if place in self.peers:
            until_ms = clock.boottime_ms() + REFUSAL_AVOID_MS
            self.peers[place].cannot_until_ms[request.policy.service] = (
                until_ms
            )
        self.log.emit(
            'router',
            'cannot be served there',
            request.statement.request_id,
            request.policy.service,
            {'place': place, 'reason': str(answer.reason)},
        )
        return None

    async def _go_on(self, request: messages.Request) -> outcomes.Outcome:
        """Send a statement of an open transaction to where that is."""
        place = self.begun.get(request.transaction)
        if place is None:
            return outcomes.NotRun(Reason.TRANSACTION_LOST, 0)
        answer = await self._ask(place, request)
        ended = request.statement.verb.ends_transaction
        if ended or not isinstance(answer, outcomes.Done):
            self.begun.pop(request.transaction, None)
        if isinstance(answer, forwarding.LinkLost):
            return forwarding.lost_link_outcome(request, answer)
        return answer

    async def _ask(
        self, place: str, request: messages.Request
    ) -> outcomes.Outcome | forwarding.LinkLost:
        if place == forwarding.THIS_PROXY:
            return await self.local.serve_locally(request)
        peer = self.peers.get(place)
        if peer is None:
            return forwarding.LinkLost(False)
        self.forwarded += 1
        deadline_ms = request.arrived_ms + request.policy.timeout_ms
        load = peer.load(request.policy.service)
        answer = await peer.link.send_request(request, deadline_ms, load)
        self._note(place, peer, answer)
        return answer

    def _note(
        self,
        place: str,
        peer: _Peer,
        answer: outcomes.Outcome | forwarding.LinkLost,
    ) -> None:
        """Leave a proxy alone for a while that could not be reached."""
        if not isinstance(answer, forwarding.LinkLost):
            peer.failures = 0
            return
        now_ms = clock.boottime_ms()
        if now_ms < peer.avoid_until_ms:
            return
        avoid_ms = min(MIN_AVOID_MS * 2**peer.failures, MAX_AVOID_MS)
        peer.failures += 1
        peer.avoid_until_ms = now_ms + avoid_ms
        inputs = {'proxy': place, 'sent': answer.sent, 'avoid_ms': avoid_ms}
        self.log.emit('router', 'proxy lost', inputs=inputs)

    def _weigh(self, service: str, place: str) -> float | None:
        """Return how many requests are ahead there, None if not reachable."""
        if place == forwarding.THIS_PROXY:
            return self.local.queued_locally(service)
        peer = self.peers.get(place)
        now_ms = clock.boottime_ms()
        if peer is None or now_ms < peer.avoid_until_ms:
            return None
        if now_ms < peer.cannot_until_ms.get(service, 0):
            return None
        return peer.load(service).expected_ahead(now_ms)

    def withdraw(self, service: str, transaction: int) -> None:
        """Undo a transaction wherever it was begun."""
        place = self.begun.pop(transaction, None)
        if place == forwarding.THIS_PROXY:
            self.local.withdraw_locally(service, transaction)
        elif place is not None and place in self.peers:
            self.peers[place].link.withdraw(service, transaction)
