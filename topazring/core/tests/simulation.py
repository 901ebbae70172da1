"""Simulation of owners, upstreams and faults, checked by an oracle.

The caller drives every event: which messages are delivered, lost, late or
duplicated, when time passes, and which reports are false. The oracle checks
every answer.
"""

import dataclasses
import random

from topazring.core import grants
from topazring.core import log_positions
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import owner
from topazring.core import requests
from topazring.core import state as states
from topazring.core.tests import oracle as oracles
from topazring.standin import log as logs

OWNERS = ('a', 'b', 'c')
UPSTREAMS = ('u1', 'u2', 'u3')
ORGANISATIONS = ('ballinure', 'dizon')
SLOTS = 2
QUEUE = 6
Kind = requests.Kind
Reason = outcomes.Reason

PROFILES = (
    requests.Profile('saves', write_deadline_ms=4000),
    requests.Profile('retried', repeatable=True, write_deadline_ms=4000),
    requests.Profile('browse', max_staleness_ms=1000),
    requests.Profile('strict', max_staleness_ms=0),
)


@dataclasses.dataclass
class Delivery:
    """Message in transit, as the call that delivers it."""

    deliver: object
    # Called if the message is lost; None if the loss goes unnoticed.
    lost: object = None
    # It arrived at a process that is paused.
    arrived: bool = False


class Simulation:
    """State of the simulation; each public method is an event."""

    def __init__(self, seed: int = 0):
        self.now_ms = 10_000
        self.rng = random.Random(seed)
        self.in_transit: list[Delivery] = []
        self.logs = {name: logs.Log(name) for name in UPSTREAMS}
        self.primary_contact_ms = dict.fromkeys(UPSTREAMS, self.now_ms)
        self.reports_false_silence = False
        self.paused: set[str] = set()
        self.owners = {name: self._make_owner(name) for name in OWNERS}
        self.incarnations = dict.fromkeys(OWNERS, 0)
        self.record = grants.GroupRecord()
        self.store_state = 'up'
        self.waiting_replies: list[
            tuple[str, messages.RequestStatus, object]
        ] = []
        self.running: dict[tuple[str, int, int], str] = {}
        self.closed: set[tuple[str, int, int]] = set()
        self.opened: dict[tuple[str, int, int], tuple[str, int]] = {}
        self.sessions = [
            oracles.Session(ORGANISATIONS[i % len(ORGANISATIONS)])
            for i in range(4)
        ]
        self.next_key = 1
        self.oracle = oracles.Oracle(self.logs, self.sessions)
        for name in OWNERS:
            self.post(name, messages.OwnersChanged(OWNERS))

    def _make_owner(self, name: str) -> states.OwnerState:
        limits = states.Limits(slots=SLOTS, connections=6, queue=QUEUE)
        return states.make_owner(
            name, 'calc1', list(UPSTREAMS), limits, random.Random(name)
        )

    # ---- events ----

    def advance(self, ms: int) -> None:
        """Advance the time; owners that are not paused receive a tick."""
        self.now_ms += ms
        for name in OWNERS:
            if name not in self.paused:
                self.post(name, messages.Tick())
        self._send_waiting_replies()

    def pause(self, name: str) -> None:
        """Pause an owner's process, or resume it with a late timer."""
        if name not in self.paused:
            self.paused.add(name)
            return
        self.paused.discard(name)
        self.post(name, messages.Tick(self.rng.choice((0, 400))))

    def change_owners(self, name: str, count: int) -> None:
        """Give an owner a list of the owners that may differ from others'."""
        order = self.rng.sample(OWNERS, len(OWNERS))
        self.post(name, messages.OwnersChanged(tuple(order[:count])))

    def restart(self, name: str) -> None:
        """Replace an owner's process by a new one without state."""
        self.incarnations[name] += 1
        self.owners[name] = self._make_owner(name)
        self.paused.discard(name)
        for key in [k for k in self.running if k[0] == name]:
            del self.running[key]
        for session in self.sessions:
            if session.bound and session.bound[0] == name:
                session.bound = None
        # Its callers lose their connections, so their requests are in doubt.
        self.oracle.forget(name)
        self.post(name, messages.OwnersChanged(OWNERS))

    def deliver(self, index: int) -> None:
        """Deliver one message, in any order."""
        if self.in_transit:
            delivery = self.in_transit.pop(index % len(self.in_transit))
            delivery.deliver()

    def lose(self, index: int, late: bool) -> None:
        """Lose one message, or report it lost while it is still in transit."""
        if not self.in_transit:
            return
        index %= len(self.in_transit)
        delivery = self.in_transit[index]
        if delivery.arrived:
            return
        if not late:
            self.in_transit.pop(index)
        if delivery.lost is not None:
            lost, delivery.lost = delivery.lost, None
            lost()

    def replicate(self, source: str, target: str) -> None:
        """Send a copy of the log, which may arrive late."""
        log = self.logs[source]
        if not log.leads or source == target:
            return
        term, entries = log.accepted_term, list(log.entries)

        def arrive() -> None:
            if term >= self.logs[target].accepted_term:
                self.primary_contact_ms[target] = self.now_ms
            # Sent from the start each time; entries that match are skipped.
            logs.extend(self.logs[target], term, log_positions.ORIGIN, entries)
            self._send_waiting_replies()

        self.in_transit.append(Delivery(arrive))

    def fail_probe(self, name: str, kind: str) -> None:
        """Report a failed probe of the primary, which may be false."""
        primary = self.owners[name].view.primary
        if primary:
            self.post(name, messages.ProbeFailed(primary, kind))

    def submit(
        self, name: str, session: int, profile: int, write: bool
    ) -> None:
        """Send a read or a write of a session to an owner."""
        chosen = PROFILES[profile % len(PROFILES)]
        kind = Kind.WRITE if write else Kind.READ
        session_state = self.sessions[session]
        request_id = f'{self.next_key}' if write else ''
        self._submit(name, session, kind, chosen, request_id)
        if write:
            self.oracle.ids.append((session_state.organisation, request_id))

    def transact(self, name: str, number: int, what: int) -> None:
        """Begin a transaction, or take the next step of an open one."""
        session = self.sessions[number]
        profile = PROFILES[0]
        if session.bound is None:
            self._submit(name, number, Kind.BEGIN, profile, '')
            return
        owner_name, key = session.bound
        kind = (Kind.EXECUTE, Kind.EXECUTE, Kind.COMMIT, Kind.ROLLBACK)[
            what % 4
        ]
        request_id = ''
        if kind is Kind.COMMIT:
            request_id = f'{self.next_key}'
            self.oracle.ids.append((session.organisation, request_id))
        if kind is not Kind.EXECUTE:
            session.bound = None
        self._submit(
            owner_name, number, kind, profile, request_id, transaction=key
        )

    def withdraw(self, number: int) -> None:
        """End a session whose transaction is open."""
        session = self.sessions[number]
        if session.bound is not None:
            name, key = session.bound
            session.bound = None
            self.post(name, messages.Withdraw(key))

    def repeat(self, name: str, index: int, settle: bool) -> None:
        """Send an old write again, as a caller or an entry would."""
        if not self.oracle.ids:
            return
        organisation, request_id = self.oracle.ids[
            index % len(self.oracle.ids)
        ]
        for number, session in enumerate(self.sessions):
            if session.organisation == organisation:
                kind = Kind.SETTLE if settle else Kind.WRITE
                profile = PROFILES[index % 2]
                self._submit(name, number, kind, profile, request_id, True)
                return

    def _submit(
        self,
        name,
        session,
        kind,
        profile,
        request_id,
        repeat=False,
        transaction=0,
    ) -> None:
        session_state = self.sessions[session]
        key = self.next_key
        self.next_key += 1
        deadline_ms = profile.write_deadline_ms
        if kind is Kind.READ:
            deadline_ms = profile.read_deadline_ms
        request = requests.Request(
            key,
            kind,
            session_state.organisation,
            profile,
            self.now_ms + deadline_ms,
            (),
            request_id,
            session_state.place,
            transaction,
            repeat,
        )
        self.oracle.submitted(self.now_ms, name, session, request)
        self.post(name, messages.Submit(request))

    # ---- actions of owners ----

    def post(self, name: str, message: object) -> None:
        """Send an owner a message and perform the actions it returns."""
        if name in self.paused and not isinstance(message, messages.Tick):
            delivery = Delivery(self._make_post(name, message), arrived=True)
            self.in_transit.append(delivery)
            return
        state = self.owners[name]
        for out in owner.step(state, self.now_ms, message):
            self._perform(name, out)
        for upstream, count in state.in_flight.items():
            if not 0 <= count <= SLOTS:
                raise oracles.Violation(f'{count} in work at {upstream}')
        waiting = state.primary_queue.count + state.replica_queue.count
        if waiting > 2 * QUEUE:
            raise oracles.Violation(f'{waiting} wait at {name}')

    def _perform(self, name: str, out: object) -> None:
        match out:
            case messages.Execute():
                self._execute(name, out)
            case messages.Answer():
                self.oracle.answered(self.now_ms, name, out)
            case messages.RequestStatus():
                delivery = Delivery(lambda: self._request_status(name, out))
                delivery.lost = self._make_loss_report(name, out.upstream)
                self.in_transit.append(delivery)
            case messages.Fence() | messages.Lead():
                claimant = f'{name}{self.incarnations[name]}'
                self.in_transit.append(
                    Delivery(lambda: self._promote(name, claimant, out))
                )
            case messages.CloseTransaction():
                key = (name, self.incarnations[name], out.transaction)
                self.opened.pop(key, None)
            case messages.SendSuspicion():
                for peer in OWNERS:
                    if peer != name:
                        suspicion = messages.PeerSuspicion(
                            name, out.term, out.suspects
                        )
                        self.in_transit.append(
                            Delivery(self._make_post(peer, suspicion))
                        )
            case messages.RequestGrants():
                self._grant(name, out.above_term)

    def _make_post(self, name: str, message: object):
        incarnation = self.incarnations[name]

        def deliver() -> None:
            if self.incarnations[name] == incarnation:
                self.post(name, message)

        return deliver

    def _make_loss_report(self, name: str, upstream: str):
        return self._make_post(name, messages.ProbeFailed(upstream, 'silent'))

    def _grant(self, name: str, above: int) -> None:
        """Grant terms by compare and swap; the answer may be lost."""
        if self.store_state == 'down':
            return
        claimant = f'{name}{self.incarnations[name]}'
        self.record = grants.grant_terms(self.record, claimant, above, 3, 'x')
        if self.store_state == 'lossy' and self.rng.random() < 0.5:
            return
        terms = grants.terms_of(self.record, claimant)
        self.in_transit.append(
            Delivery(self._make_post(name, messages.GrantsReceived(terms)))
        )

    def _execute(self, name: str, out: messages.Execute) -> None:
        key = (name, out.key, out.attempt)
        incarnation = self.incarnations[name]
        self.running[key] = out.upstream

        def finish(result: object) -> None:
            if self.incarnations[name] != incarnation:
                return
            if self.running.pop(key, None) is None:
                return
            self.post(
                name,
                messages.Executed(out.key, out.attempt, out.upstream, result),
            )

        transaction = (name, incarnation, out.request.transaction or out.key)

        def lost() -> None:
            # The connection is closed, and with it its transaction; a commit
            # in transit may still be read by the upstream.
            if out.kind in (Kind.COMMIT, Kind.ROLLBACK):
                self.closed.add(transaction)
            elif out.kind is Kind.BEGIN:
                self.opened.pop(transaction, None)
            finish(messages.ConnectionLost(Reason.CONNECTION_LOST, True))

        def arrive() -> None:
            if out.kind is Kind.BEGIN and key not in self.running:
                return
            result = self._run(name, incarnation, out)
            self.in_transit.append(Delivery(lambda: finish(result), lost))

        self.in_transit.append(Delivery(arrive, lost))

    def _status(self, name: str) -> messages.Status:
        log = self.logs[name]
        silent_ms = self.now_ms - self.primary_contact_ms[name]
        if self.reports_false_silence:
            silent_ms = 10_000
        return messages.Status(
            name,
            log.accepted_term,
            log.leads,
            logs.last_position(log),
            0 if log.leads else silent_ms,
        )

    def _run(
        self, name: str, incarnation: int, out: messages.Execute
    ) -> object:
        """Run a request like the stand-in upstream, on a log without SQL."""
        log = self.logs[out.upstream]
        request = out.request
        if out.at_replica:
            if logs.last_position(log) < out.wait_position:
                return messages.Refused(Reason.REPLICA_BEHIND)
        elif not log.leads or log.accepted_term != out.term:
            return messages.Refused(
                Reason.REPLACED, self._status(out.upstream)
            )
        if out.kind in (Kind.BEGIN, Kind.EXECUTE, Kind.ROLLBACK, Kind.COMMIT):
            refused = self._run_in_transaction(name, incarnation, out)
            if refused is not None or out.kind is not Kind.COMMIT:
                return refused or self._ran(log)
        if out.kind is Kind.READ:
            return self._ran(log, rows=_ids(log, request.organisation))
        for entry in log.entries:
            same = entry.organisation == request.organisation
            if same and entry.request_id == request.request_id:
                return self._ran(log, True, entry.cancelled)
        cancelled = out.kind is Kind.SETTLE
        logs.append(
            log,
            logs.Entry(
                log.accepted_term,
                request.organisation,
                (),
                request.request_id,
                cancelled,
            ),
        )
        self._send_waiting_replies()
        return self._ran(log, False, cancelled)

    def _run_in_transaction(
        self, name: str, incarnation: int, out: messages.Execute
    ) -> messages.Refused | None:
        """Check that a transaction stays on the connection it began on."""
        key = (name, incarnation, out.request.transaction or out.key)
        opened = (out.upstream, out.term)
        if out.kind is Kind.BEGIN:
            self.opened[key] = opened
            return None
        known = self.opened.get(key)
        if known is None:
            return messages.Refused(Reason.TRANSACTION_LOST)
        if known != opened:
            raise oracles.Violation(
                f'{key} began on {known}, continues on {opened}'
            )
        if out.kind is not Kind.EXECUTE:
            del self.opened[key]
        return None

    def _ran(self, log, repeated=False, cancelled=False, rows=()):
        return messages.Ran(
            list(rows),
            logs.last_position(log),
            log.accepted_term,
            repeated,
            cancelled,
            log.leads,
        )

    def _request_status(self, name: str, out: messages.RequestStatus) -> None:
        reply = self._make_reply(name, out)
        if self._is_conclusive(out):
            reply()
        else:
            self.waiting_replies.append(
                (self.now_ms + out.wait_ms, out, reply)
            )

    def _make_reply(self, name: str, out: messages.RequestStatus):
        sent_ms = self.now_ms
        incarnation = self.incarnations[name]

        def reply() -> None:
            if self.incarnations[name] != incarnation:
                return
            seen = messages.StatusReceived(
                self._status(out.upstream), out.round_id, sent_ms
            )
            delivery = Delivery(self._make_post(name, seen))
            delivery.lost = self._make_loss_report(name, out.upstream)
            self.in_transit.append(delivery)

        return reply

    def _is_conclusive(self, out: messages.RequestStatus) -> bool:
        log = self.logs[out.upstream]
        last = logs.last_position(log)
        return (
            out.place == log_positions.ORIGIN
            or log.accepted_term > out.term
            or (last.log_term == out.term and last >= out.place)
        )

    def _send_waiting_replies(self) -> None:
        waiting_replies, self.waiting_replies = self.waiting_replies, []
        for until, out, reply in waiting_replies:
            if self._is_conclusive(out) or self.now_ms >= until:
                reply()
            else:
                self.waiting_replies.append((until, out, reply))

    def _promote(self, name: str, claimant: str, out: object) -> None:
        log = self.logs[out.upstream]
        if isinstance(out, messages.Fence):
            accepted = logs.fence(log, out.term, claimant)
            make = messages.FenceReply
        else:
            accepted = logs.lead(log, out.term, claimant)
            make = messages.LeadReply
            if accepted:
                self.oracle.record_leader(out.term, out.upstream)
        reply = make(out.term, accepted, self._status(out.upstream))
        self.in_transit.append(Delivery(self._make_post(name, reply)))
        self._send_waiting_replies()

    def run_without_faults(self, rounds: int) -> None:
        """Run for a while without any faults."""
        for _ in range(rounds):
            for _ in range(len(self.in_transit)):
                self.deliver(0)
            for source in UPSTREAMS:
                for target in UPSTREAMS:
                    self.replicate(source, target)
            self.advance(25)

    def heal_and_check(self) -> None:
        """End all faults and check that every request is answered."""
        self.reports_false_silence = False
        self.store_state = 'up'
        for name in list(self.paused):
            self.pause(name)
        for name in OWNERS:
            self.post(name, messages.OwnersChanged(OWNERS))
        self.run_without_faults(400)
        unanswered = [
            a for a in self.oracle.submissions.values() if not a.answered
        ]
        if unanswered:
            raise oracles.Violation(f'never answered: {unanswered}')
        for key in self.opened.keys() - self.closed:
            name, incarnation, transaction = key
            current = incarnation == self.incarnations[name]
            if current and transaction not in self.owners[name].transactions:
                raise oracles.Violation(f'{key} was left open')
        if not any(log.leads for log in self.logs.values()):
            raise oracles.Violation('no primary after all faults ended')
        self.oracle.check_promises()


def _ids(log: logs.Log, organisation: str) -> list[list[str]]:
    return [
        [entry.request_id]
        for entry in log.entries
        if entry.organisation == organisation and not entry.cancelled
    ]
