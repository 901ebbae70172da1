"""Check statement runs and answers against the guarantees given."""

import dataclasses

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import sessions
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import fake_group

Verb = statements.Verb
Violation = fake_group.Violation


@dataclasses.dataclass
class Asked:
    """Hold a request and the writes that it must see."""

    request: messages.Request
    session: int
    must_see: frozenset[str]
    answered: bool = False


class Oracle:
    """Hold the guarantees given to callers."""

    def __init__(self):
        self.asked: dict[str, Asked] = {}
        # Acknowledged writes and the times of their answers.
        self.acknowledged: dict[str, int] = {}
        self.own_writes: dict[int, set[str]] = {}
        # Writes reported to a caller as having had no effect.
        self.denied: set[str] = set()
        self.truncated: set[str] = set()
        # Writes of open transactions, by transaction key.
        self.uncommitted_writes: dict[int, list[str]] = {}
        # Writes visible to each read, by its signature.
        self.seen: dict[str, frozenset[str]] = {}
        self.committed: set[str] = set()
        # The last term in which each write was committed.
        self.terms: dict[str, int] = {}
        # The newest term that has a primary, and the writes that it started
        # with.
        self.leading_term = 1
        self.initial_writes: set[str] = set()
        self.transaction_must_see: dict[int, frozenset[str]] = {}
        self.tokens: dict[int, str] = {}
        self.counts: dict[str, int] = {}

    def submitted(
        self,
        now_ms: int,
        session: sessions.Session,
        request: messages.Request,
    ) -> None:
        """Record the writes that a request must see."""
        must_see = self._must_see(now_ms, session, request)
        if request.transaction:
            # A transaction must see what its first statement had to see.
            must_see = self.transaction_must_see.setdefault(
                request.transaction, must_see
            )
        self.asked[request.statement.request_id] = Asked(
            request, session.number, must_see
        )

    def _must_see(
        self,
        now_ms: int,
        session: sessions.Session,
        request: messages.Request,
    ) -> frozenset[str]:
        policy = request.policy
        before_ms = now_ms
        if policy.freshness is not messages.Freshness.PRIMARY:
            before_ms -= policy.max_staleness_ms
        seen = {w for w, at in self.acknowledged.items() if at <= before_ms}
        if policy.freshness is messages.Freshness.SESSION:
            seen |= self.own_writes.get(session.number, set())
        return frozenset(seen)

    def received(
        self,
        command: statements.Run | statements.Execute | statements.Commit,
    ) -> None:
        """Check that a statement is the one that its caller has sent."""
        asked = self.asked.get(command.request_id)
        if asked is None:
            raise Violation(f'{command.request_id}: nobody sent it')
        statement = asked.request.statement
        match command:
            case statements.Run():
                unchanged = command.text == statement.text
            case statements.Execute():
                unchanged = statement.verb is Verb.EXECUTE
                unchanged &= command.arguments == statement.arguments
            case statements.Commit():
                unchanged = statement.verb is Verb.COMMIT
        if not unchanged:
            raise Violation(f'{command.request_id}: {command}')

    def ran(
        self,
        wire: fake_group.Wire,
        member: fake_group.Member,
        request_id: str,
        signature: str,
    ) -> None:
        """Check the connection state that a statement runs with."""
        asked = self.asked[request_id]
        request = asked.request
        if wire.values != dict(request.values):
            raise Violation(f'{request_id}: other values: {wire.values}')
        if wire.organisation != request.organisation:
            raise Violation(f'{request_id}: for {wire.organisation!r}')
        inside = wire.read_only is not None
        if inside != bool(request.transaction):
            raise Violation(f'{request_id}: in or out of a transaction')
        if inside and wire.owner not in (0, request.transaction):
            raise Violation(f"{request_id}: in another's transaction")
        wire.owner = request.transaction
        applied = member.log[: member.applied]
        self.seen[signature] = frozenset(
            write for entry in applied for write in entry.writes
        )

    def runs_prepared(
        self, wire: fake_group.Wire, name: str, request_id: str
    ) -> None:
        """Check that a name runs the shape prepared by its caller."""
        prepared = self.asked[request_id].request.prepared
        found = wire.prepared[name]
        if prepared is None or (found.access, found.shape) != (
            prepared.access,
            prepared.shape,
        ):
            raise Violation(f'{request_id}: another shape')

    def commits(self, entry: fake_group.Entry) -> None:
        """Check that no write takes effect twice."""
        for write in entry.writes:
            if write in self.committed and write not in self.truncated:
                raise Violation(f'{write} took effect twice')
            self.committed.add(write)
            self.terms[write] = entry.term

    def promoted(
        self,
        member: fake_group.Member,
        cut: set[str],
        token: int,
        holder: str,
        term: int,
    ) -> None:
        """Check that a new primary holds all acknowledged writes."""
        held = {write for entry in member.log for write in entry.writes}
        lost = self.acknowledged.keys() - held
        if lost:
            raise Violation(f'{member.name} lacks {sorted(lost)}')
        if self.tokens.setdefault(token, holder) != holder:
            raise Violation(f'two holders used token {token}')
        self.leading_term = term
        self.initial_writes = held
        self.truncated |= cut - held
        self.committed -= cut - held
        self.count('promoted')

    def answered(
        self,
        now_ms: int,
        session: sessions.Session,
        request_id: str,
        outcome: outcomes.Outcome,
    ) -> None:
        """Check a final answer."""
        asked = self.asked[request_id]
        if asked.answered:
            raise Violation(f'{request_id} was answered twice')
        asked.answered = True
        self.count(type(outcome).__name__)
        request = asked.request
        key = request.transaction
        if isinstance(outcome, outcomes.Done):
            self._check_signature(request_id, outcome)
            self._done(now_ms, session, asked, outcome)
        elif isinstance(outcome, outcomes.NotRun):
            self._denied(request)
        elif key:
            self.uncommitted_writes.pop(key, None)

    def record_detached(
        self, transaction: int, in_flight: list[messages.Request]
    ) -> None:
        """Record the outcome for a caller whose stream to the owner is lost.

        Its transaction has no effect unless its COMMIT is in flight.
        """
        writes = self.uncommitted_writes.pop(transaction, [])
        for request in in_flight:
            if request.statement.verb is Verb.COMMIT:
                return
            if request.writes:
                writes.append(request.statement.request_id)
        self.denied.update(writes)

    def record_undelivered(self, request_id: str) -> None:
        """Record an answer that cannot be delivered."""
        asked = self.asked[request_id]
        if asked.answered:
            raise Violation(f'{request_id} was answered twice')
        asked.answered = True

    def _check_signature(
        self, request_id: str, outcome: outcomes.Done
    ) -> None:
        if outcome.signature.split('/')[0] != request_id:
            raise Violation(f'{request_id}: answer of {outcome.signature}')

    def _done(
        self,
        now_ms: int,
        session: sessions.Session,
        asked: Asked,
        outcome: outcomes.Done,
    ) -> None:
        request = asked.request
        key = request.transaction
        verb = request.statement.verb
        if verb is Verb.COMMIT:
            self._acknowledge(
                now_ms, session, self.uncommitted_writes.pop(key, [])
            )
        elif request.writes and key:
            writes = self.uncommitted_writes.setdefault(key, [])
            writes.append(request.statement.request_id)
        elif request.writes:
            write = request.statement.request_id
            self._acknowledge(now_ms, session, [write])
        else:
            self._check_age(asked, outcome)

    def _acknowledge(
        self, now_ms: int, session: sessions.Session, writes: list[str]
    ) -> None:
        for write in writes:
            if write in self.truncated:
                raise Violation(f'{write} was acknowledged after it was cut')
            replaced = self.terms[write] < self.leading_term
            if replaced and write not in self.initial_writes:
                raise Violation(f'{write} was taken by a replaced primary')
            self.acknowledged[write] = now_ms
            self.own_writes.setdefault(session.number, set()).add(write)

    def _check_age(self, asked: Asked, outcome: outcomes.Done) -> None:
        missing = asked.must_see - self.seen[outcome.signature]
        if missing:
            request_id = asked.request.statement.request_id
            raise Violation(f'{request_id} is stale: lacks {sorted(missing)}')

    def _denied(self, request: messages.Request) -> None:
        key = request.transaction
        if key:
            self.denied.update(self.uncommitted_writes.pop(key, []))
        if request.writes:
            self.denied.add(request.statement.request_id)

    def finish(self, member: fake_group.Member) -> None:
        """Check the final log."""
        held = [write for entry in member.log for write in entry.writes]
        if len(held) != len(set(held)):
            raise Violation('a write took effect twice')
        effective = self.denied & set(held)
        if effective:
            raise Violation(f'{sorted(effective)} ran though denied')
        lost = self.acknowledged.keys() - set(held)
        if lost:
            raise Violation(f'lost: {sorted(lost)}')
        unanswered = [
            r for r, asked in self.asked.items() if not asked.answered
        ]
        if unanswered:
            raise Violation(f'never answered: {unanswered}')

    def count(self, what: str) -> None:
        """Count an event for the report of the walk."""
        self.counts[what] = self.counts.get(what, 0) + 1
