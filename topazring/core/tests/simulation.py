"""A small world of owners, upstreams and faults, with its oracle.

Everything is driven by the caller: what is delivered, lost, late or twice,
when time passes and who lies. The oracle looks at every answer.
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
class Mail:
    """Hold one message under way, as the call that delivers it."""

    deliver: object
    # Posted if the message is lost; None for what may vanish unseen.
    lost: object = None
    # It arrived at a process that does not run just now.
    arrived: bool = False


class Simulation:
    """Hold all parts; every method is one thing that can happen."""

    def __init__(self, seed: int = 0):
        self.now = 10_000
        self.rng = random.Random(seed)
        self.in_transit: list[Mail] = []
        self.logs = {name: logs.Log(name) for name in UPSTREAMS}
        self.heard = dict.fromkeys(UPSTREAMS, self.now)
        self.reports_false_silence = False
        self.paused: set[str] = set()
        self.owners = {name: self._make_owner(name) for name in OWNERS}
        self.incarnations = dict.fromkeys(OWNERS, 0)
        self.record = grants.GroupRecord()
        self.store = 'up'
        self.parked: list[tuple[str, messages.RequestStatus, object]] = []
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

    # ---- things that happen ----

    def advance(self, ms: int) -> None:
        """Let time pass; owners that are not paused tick."""
        self.now += ms
        for name in OWNERS:
            if name not in self.paused:
                self.post(name, messages.Tick())
        self._wake_parked()

    def pause(self, name: str) -> None:
        """Stop an owner's process, or let it go on, late."""
        if name not in self.paused:
            self.paused.add(name)
            return
        self.paused.discard(name)
        self.post(name, messages.Tick(self.rng.choice((0, 400))))

    def change_owners(self, name: str, count: int) -> None:
        """Have an owner's list of the owners differ from the others'."""
        order = self.rng.sample(OWNERS, len(OWNERS))
        self.post(name, messages.OwnersChanged(tuple(order[:count])))

    def restart(self, name: str) -> None:
        """Replace an owner's process by one that knows nothing."""
        self.incarnations[name] += 1
        self.owners[name] = self._make_owner(name)
        self.paused.discard(name)
        for key in [k for k in self.running if k[0] == name]:
            del self.running[key]
        for session in self.sessions:
            if session.bound and session.bound[0] == name:
                session.bound = None
        # Its callers see their connection end: the fate is open.
        self.oracle.forget(name)
        self.post(name, messages.OwnersChanged(OWNERS))

    def deliver(self, index: int) -> None:
        """Deliver one message, in any order."""
        if self.in_transit:
            mail = self.in_transit.pop(index % len(self.in_transit))
            mail.deliver()

    def lose(self, index: int, late: bool) -> None:
        """Lose one message; or say so while it is still under way."""
        if not self.in_transit:
            return
        index %= len(self.in_transit)
        mail = self.in_transit[index]
        if mail.arrived:
            return
        if not late:
            self.in_transit.pop(index)
        if mail.lost is not None:
            lost, mail.lost = mail.lost, None
            lost()

    def replicate(self, source: str, target: str) -> None:
        """Send a copy of the log; it may arrive late."""
        log = self.logs[source]
        if not log.leads or source == target:
            return
        term, entries = log.accepted_term, list(log.entries)

        def arrive() -> None:
            if term >= self.logs[target].accepted_term:
                self.heard[target] = self.now
            # From the start each time: what fits already is passed over.
            logs.extend(self.logs[target], term, log_positions.ORIGIN, entries)
            self._wake_parked()

        self.in_transit.append(Mail(arrive))

    def fail_probe(self, name: str, kind: str) -> None:
        """Have a probe of the primary fail, truly or not."""
        primary = self.owners[name].view.primary
        if primary:
            self.post(name, messages.ProbeFailed(primary, kind))

    def submit(
        self, name: str, session: int, profile: int, write: bool
    ) -> None:
        """Have a session send a read or a write to an owner."""
        chosen = PROFILES[profile % len(PROFILES)]
        kind = Kind.WRITE if write else Kind.READ
        who = self.sessions[session]
        request_id = f'{self.next_key}' if write else ''
        self._submit(name, session, kind, chosen, request_id)
        if write:
            self.oracle.ids.append((who.organisation, request_id))

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
        """Have a session end with its transaction open."""
        session = self.sessions[number]
        if session.bound is not None:
            name, key = session.bound
            session.bound = None
            self.post(name, messages.Withdraw(key))

    def repeat(self, name: str, index: int, settle: bool) -> None:
        """Have a caller or an entry send an old write once more."""
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
        who = self.sessions[session]
        key = self.next_key
        self.next_key += 1
        deadline_ms = profile.write_deadline_ms
        if kind is Kind.READ:
            deadline_ms = profile.read_deadline_ms
        request = requests.Request(
            key,
            kind,
            who.organisation,
            profile,
            self.now + deadline_ms,
            (),
            request_id,
            who.place,
            transaction,
            repeat,
        )
        self.oracle.submitted(self.now, name, session, request)
        self.post(name, messages.Submit(request))

    # ---- what owners do ----

    def post(self, name: str, message: object) -> None:
        """Give an owner a message and do what it says."""
        if name in self.paused and not isinstance(message, messages.Tick):
            mail = Mail(self._poster(name, message), arrived=True)
            self.in_transit.append(mail)
            return
        state = self.owners[name]
        for out in owner.step(state, self.now, message):
            self._perform(name, out)
        for upstream, count in state.in_work.items():
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
                self.oracle.answered(self.now, name, out)
            case messages.RequestStatus():
                mail = Mail(lambda: self._ask(name, out))
                mail.lost = self._loser(name, out.upstream)
                self.in_transit.append(mail)
            case messages.Fence() | messages.Lead():
                claimant = f'{name}{self.incarnations[name]}'
                self.in_transit.append(
                    Mail(lambda: self._promote(name, claimant, out))
                )
            case messages.CloseTransaction():
                key = (name, self.incarnations[name], out.transaction)
                self.opened.pop(key, None)
            case messages.SendSuspicion():
                for peer in OWNERS:
                    if peer != name:
                        word = messages.PeerSuspicion(
                            name, out.term, out.suspects
                        )
                        self.in_transit.append(Mail(self._poster(peer, word)))
            case messages.RequestGrants():
                self._grant(name, out.above_term)

    def _poster(self, name: str, message: object):
        incarnation = self.incarnations[name]

        def deliver() -> None:
            if self.incarnations[name] == incarnation:
                self.post(name, message)

        return deliver

    def _loser(self, name: str, upstream: str):
        return self._poster(name, messages.ProbeFailed(upstream, 'silent'))

    def _grant(self, name: str, above: int) -> None:
        """Compare and swap; the answer may be lost after the effect."""
        if self.store == 'down':
            return
        claimant = f'{name}{self.incarnations[name]}'
        self.record = grants.grant_terms(self.record, claimant, above, 3, 'x')
        if self.store == 'lossy' and self.rng.random() < 0.5:
            return
        terms = grants.terms_of(self.record, claimant)
        self.in_transit.append(
            Mail(self._poster(name, messages.GrantsReceived(terms)))
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
            # The connection is closed, and with it what was open on it; a
            # commit that is under way may still be read by the upstream.
            if out.kind in (Kind.COMMIT, Kind.ROLLBACK):
                self.closed.add(transaction)
            elif out.kind is Kind.BEGIN:
                self.opened.pop(transaction, None)
            finish(messages.ConnectionLost(Reason.CONNECTION_LOST, True))

        def arrive() -> None:
            if out.kind is Kind.BEGIN and key not in self.running:
                return
            result = self._run(name, incarnation, out)
            self.in_transit.append(Mail(lambda: finish(result), lost))

        self.in_transit.append(Mail(arrive, lost))

    def _status(self, name: str) -> messages.Status:
        log = self.logs[name]
        silent_ms = self.now - self.heard[name]
        if self.reports_false_silence:
            silent_ms = 10_000
        return messages.Status(
            name,
            log.accepted_term,
            log.leads,
            logs.last_place(log),
            0 if log.leads else silent_ms,
        )

    def _run(
        self, name: str, incarnation: int, out: messages.Execute
    ) -> object:
        """Do as the stand-in does, on a log without SQL."""
        log = self.logs[out.upstream]
        request = out.request
        if out.at_replica:
            if logs.last_place(log) < out.wait_position:
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
        self._wake_parked()
        return self._ran(log, False, cancelled)

    def _run_in_transaction(
        self, name: str, incarnation: int, out: messages.Execute
    ) -> messages.Refused | None:
        """Keep to the connection that the transaction began on."""
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
                f'{key} began on {known}, goes on on {opened}'
            )
        if out.kind is not Kind.EXECUTE:
            del self.opened[key]
        return None

    def _ran(self, log, repeated=False, cancelled=False, rows=()):
        return messages.Ran(
            list(rows),
            logs.last_place(log),
            log.accepted_term,
            repeated,
            cancelled,
            log.leads,
        )

    def _ask(self, name: str, out: messages.RequestStatus) -> None:
        reply = self._replier(name, out)
        if self._held(out):
            reply()
        else:
            self.parked.append((self.now + out.wait_ms, out, reply))

    def _replier(self, name: str, out: messages.RequestStatus):
        sent_ms = self.now
        incarnation = self.incarnations[name]

        def reply() -> None:
            if self.incarnations[name] != incarnation:
                return
            seen = messages.StatusReceived(
                self._status(out.upstream), out.round_id, sent_ms
            )
            mail = Mail(self._poster(name, seen))
            mail.lost = self._loser(name, out.upstream)
            self.in_transit.append(mail)

        return reply

    def _held(self, out: messages.RequestStatus) -> bool:
        log = self.logs[out.upstream]
        last = logs.last_place(log)
        return (
            out.place == log_positions.ORIGIN
            or log.accepted_term > out.term
            or (last.log_term == out.term and last >= out.place)
        )

    def _wake_parked(self) -> None:
        parked, self.parked = self.parked, []
        for until, out, reply in parked:
            if self._held(out) or self.now >= until:
                reply()
            else:
                self.parked.append((until, out, reply))

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
        self.in_transit.append(Mail(self._poster(name, reply)))
        self._wake_parked()

    def run_without_faults(self, rounds: int) -> None:
        """Let everything work as it should for a while."""
        for _ in range(rounds):
            for _ in range(len(self.in_transit)):
                self.deliver(0)
            for source in UPSTREAMS:
                for target in UPSTREAMS:
                    self.replicate(source, target)
            self.advance(25)

    def heal_and_check(self) -> None:
        """Heal everything; then every request has to have its answer."""
        self.reports_false_silence = False
        self.store = 'up'
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
            raise oracles.Violation('no primary after all healed')
        self.oracle.check_promises()


def _ids(log: logs.Log, organisation: str) -> list[list[str]]:
    return [
        [entry.request_id]
        for entry in log.entries
        if entry.organisation == organisation and not entry.cancelled
    ]
