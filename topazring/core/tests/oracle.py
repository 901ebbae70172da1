"""Judge every answer by what was promised before it."""

import collections
import dataclasses

from topazring.core import log_positions
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import requests
from topazring.standin import log as logs

Kind = requests.Kind
Reason = outcomes.Reason


class Violation(AssertionError):
    """Say which promise was broken."""


@dataclasses.dataclass
class Submission:
    """Hold a submitted request and what the oracle needs to judge it."""

    owner: str
    request: requests.Request
    session: int
    began_ms: int
    must_see: frozenset
    answered: bool = False


@dataclasses.dataclass
class Session:
    """Hold a session's token and what it has seen or done."""

    organisation: str
    place: log_positions.LogPosition = log_positions.ORIGIN
    seen: set = dataclasses.field(default_factory=set)
    # The owner and the number of the transaction that is open, if any.
    bound: tuple[str, int] | None = None


class Oracle:
    """Hold what was promised, and to whom."""

    def __init__(self, group: dict[str, logs.Log], sessions: list[Session]):
        self.logs = group
        self.sessions = sessions
        self.submissions: dict[tuple[str, int], Submission] = {}
        # Every write's organisation and id.
        self.ids: list[tuple[str, str]] = []
        self.led: dict[int, str] = {}
        self.promised: dict[tuple[str, str], int] = {}
        self.denied: dict[tuple[str, str], Reason] = {}
        self.copies: collections.Counter = collections.Counter()
        self.acked_at: list[tuple[int, str, str]] = []
        self.counts = {'done': 0, 'not_run': 0, 'unknown': 0, 'lead': 0}

    def submitted(
        self, now: int, name: str, session: int, request: requests.Request
    ) -> None:
        """Note a request, and what a read has to show at the least."""
        who = self.sessions[session]
        if request.kind in (Kind.WRITE, Kind.COMMIT):
            copy_of = (who.organisation, request.request_id)
            self.copies[copy_of] += 1
            if self.denied.get(copy_of) is not Reason.CANCELLED:
                self.denied.pop(copy_of, None)
        oldest_ms = now - request.profile.max_staleness_ms
        must_see = {
            rid
            for at_ms, organisation, rid in self.acked_at
            if organisation == who.organisation and at_ms <= oldest_ms
        }
        seen = frozenset(must_see | who.seen)
        asked = Submission(name, request, session, now, seen)
        self.submissions[(name, request.key)] = asked

    def forget(self, name: str) -> None:
        """Note that an owner's process ended: its callers know nothing."""
        self.submissions = {
            k: v for k, v in self.submissions.items() if v.owner != name
        }

    def record_leader(self, term: int, upstream: str) -> None:
        """Note that an upstream leads a term, the only one to do so."""
        known = self.led.setdefault(term, upstream)
        if known != upstream:
            raise Violation(f'{known} and {upstream} both lead term {term}')
        self.counts['lead'] += 1
        self.check_promises()

    def _leader(self) -> logs.Log | None:
        leaders = [log for log in self.logs.values() if log.leads]
        return max(leaders, key=lambda log: log.accepted_term, default=None)

    def check_promises(self) -> None:
        """Look for all that was promised in the latest primary's log."""
        log = self._leader()
        if log is None or log.accepted_term != max(self.led):
            return
        held = {}
        for entry in log.entries:
            key = (entry.organisation, entry.request_id)
            if entry.request_id and key in held:
                raise Violation(f'{key} ran twice')
            held[key] = entry.cancelled
        for key in self.promised:
            if held.get(key, True):
                raise Violation(f'{key} was promised and is not there')
        for key in self.denied:
            if not held.get(key, True):
                raise Violation(f'{key} was said not to have run')

    def answered(self, now: int, name: str, out: messages.Answer) -> None:
        """Judge an answer, which has to be the only one."""
        asked = self.submissions.get((name, out.key))
        if asked is None or asked.answered:
            raise Violation(f'{out.key} is answered twice or unasked')
        asked.answered = True
        match out.outcome:
            case outcomes.Done():
                self.counts['done'] += 1
                if asked.request.kind is Kind.BEGIN:
                    self.sessions[asked.session].bound = (name, out.key)
                self._judge_done(now, asked, out.outcome)
            case outcomes.NotRun():
                self.counts['not_run'] += 1
                if asked.request.request_id:
                    self._deny(asked, out.outcome.reason)
            case outcomes.Unknown():
                self.counts['unknown'] += 1
        self.check_promises()

    def _deny(self, asked: Submission, reason: Reason) -> None:
        """Note what was said not to have run.

        A cancelled id never runs. Any other refusal speaks of its own copy:
        of the request only while no other copy was sent.
        """
        key = (asked.request.organisation, asked.request.request_id)
        if reason is Reason.CANCELLED or self.copies[key] == 1:
            self.denied[key] = reason
        elif asked.request.repeat:
            raise Violation(f'a repeat of {key} was refused as not run')

    def _judge_done(
        self, now: int, asked: Submission, done: outcomes.Done
    ) -> None:
        session = self.sessions[asked.session]
        request = asked.request
        if request.kind in (Kind.BEGIN, Kind.EXECUTE, Kind.ROLLBACK):
            return
        session.place = max(session.place, done.place)
        if request.kind is not Kind.READ:
            key = (request.organisation, request.request_id)
            self.promised.setdefault(key, now)
            self.acked_at.append((now, *key))
            session.seen.add(request.request_id)
            return
        seen = {row[0] for row in done.rows}
        missing = asked.must_see - seen
        if missing:
            raise Violation(
                f'{request.profile.name} read at {done.served_by} misses '
                f'{sorted(missing)}'
            )
        known = {r for o, r in self.ids if o == request.organisation}
        if not seen <= known:
            raise Violation(f'read what is not its own: {seen - known}')
        session.seen |= seen
        for request_id in seen:
            key = (request.organisation, request_id)
            self.promised.setdefault(key, now)
