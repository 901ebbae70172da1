"""Judge every run and answer by what was promised before."""

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
    """Hold a request, and what it has to see."""

    request: messages.Request
    session: int
    must_see: frozenset[str]
    answered: bool = False


class Oracle:
    """Hold what was promised, to whom, and when."""

    def __init__(self):
        self.asked: dict[str, Asked] = {}
        # Acknowledged writes with the time of their answer.
        self.acknowledged: dict[str, int] = {}
        self.own: dict[int, set[str]] = {}
        # Writes of which a caller was told that nothing is kept.
        self.denied: set[str] = set()
        self.cut: set[str] = set()
        # What each transaction wrote, by its key.
        self.open_writes: dict[int, list[str]] = {}
        # What each read saw, by its signature.
        self.seen: dict[str, frozenset[str]] = {}
        self.committed: set[str] = set()
        # The term that each write was committed in last.
        self.terms: dict[str, int] = {}
        # The newest term that has a primary, and what that began with.
        self.leading_term = 1
        self.carried: set[str] = set()
        self.begun: dict[int, frozenset[str]] = {}
        self.tokens: dict[int, str] = {}
        self.counts: dict[str, int] = {}

    def submitted(
        self,
        now_ms: int,
        session: sessions.Session,
        request: messages.Request,
    ) -> None:
        """Note what a request has to see."""
        must_see = self._must_see(now_ms, session, request)
        if request.transaction:
            # A transaction has to see what its beginning had to.
            must_see = self.begun.setdefault(request.transaction, must_see)
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
            seen |= self.own.get(session.number, set())
        return frozenset(seen)

    def ran(
        self,
        wire: fake_group.Wire,
        member: fake_group.Member,
        request_id: str,
        signature: str,
    ) -> None:
        """Check what a statement met on its connection."""
        asked = self.asked[request_id]
        request = asked.request
        if wire.values != dict(request.values):
            raise Violation(f'{request_id}: other values: {wire.values}')
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
        """Check that a name runs the shape that its caller prepared."""
        prepared = self.asked[request_id].request.prepared
        if prepared is None or wire.prepared[name] != prepared.shape:
            raise Violation(f'{request_id}: another shape')

    def commits(self, entry: fake_group.Entry) -> None:
        """Check that no write takes effect twice."""
        for write in entry.writes:
            if write in self.committed and write not in self.cut:
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
        """Check that a new primary holds what was acknowledged."""
        held = {write for entry in member.log for write in entry.writes}
        lost = self.acknowledged.keys() - held
        if lost:
            raise Violation(f'{member.name} lacks {sorted(lost)}')
        if self.tokens.setdefault(token, holder) != holder:
            raise Violation(f'two holders used token {token}')
        self.leading_term = term
        self.carried = held
        self.cut |= cut - held
        self.committed -= cut - held
        self.count('promoted')

    def answered(
        self,
        now_ms: int,
        session: sessions.Session,
        request_id: str,
        outcome: outcomes.Outcome,
    ) -> None:
        """Check one final answer."""
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
            self.open_writes.pop(key, None)

    def entry_lost(
        self, transaction: int, under_way: list[messages.Request]
    ) -> None:
        """Note what a caller is told whose entry loses its owner.

        Nothing of its transaction is kept, unless its COMMIT is under way.
        """
        writes = self.open_writes.pop(transaction, [])
        for request in under_way:
            if request.statement.verb is Verb.COMMIT:
                return
            if request.writes:
                writes.append(request.statement.request_id)
        self.denied.update(writes)

    def dismissed(self, request_id: str) -> None:
        """Take in an answer that reaches nobody."""
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
            self._acknowledge(now_ms, session, self.open_writes.pop(key, []))
        elif request.writes and key:
            writes = self.open_writes.setdefault(key, [])
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
            if write in self.cut:
                raise Violation(f'{write} was acknowledged after it was cut')
            replaced = self.terms[write] < self.leading_term
            if replaced and write not in self.carried:
                raise Violation(f'{write} was taken by a replaced primary')
            self.acknowledged[write] = now_ms
            self.own.setdefault(session.number, set()).add(write)

    def _check_age(self, asked: Asked, outcome: outcomes.Done) -> None:
        missing = asked.must_see - self.seen[outcome.signature]
        if missing:
            request_id = asked.request.statement.request_id
            raise Violation(f'{request_id} is stale: lacks {sorted(missing)}')

    def _denied(self, request: messages.Request) -> None:
        key = request.transaction
        if key:
            self.denied.update(self.open_writes.pop(key, []))
        if request.writes:
            self.denied.add(request.statement.request_id)

    def finish(self, member: fake_group.Member) -> None:
        """Check the log that is left at the end."""
        held = [write for entry in member.log for write in entry.writes]
        if len(held) != len(set(held)):
            raise Violation('a write took effect twice')
        kept = self.denied & set(held)
        if kept:
            raise Violation(f'{sorted(kept)} ran though denied')
        lost = self.acknowledged.keys() - set(held)
        if lost:
            raise Violation(f'lost: {sorted(lost)}')
        open_left = [
            r for r, asked in self.asked.items() if not asked.answered
        ]
        if open_left:
            raise Violation(f'never answered: {open_left}')

    def count(self, what: str) -> None:
        """Count an event, for the walk's report."""
        self.counts[what] = self.counts.get(what, 0) + 1
