"""Check every answer against the guarantees given before it."""

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
    """A guarantee that was violated."""


@dataclasses.dataclass
class Submission:
    """Submitted request, with what the oracle needs to check its answer."""

    owner: str
    request: requests.Request
    session: int
    began_ms: int
    must_see: frozenset
    answered: bool = False


@dataclasses.dataclass
class Session:
    """Token of a session, and the ids of the writes it has seen or done."""

    organisation: str
    place: log_positions.LogPosition = log_positions.ORIGIN
    seen: set = dataclasses.field(default_factory=set)
    # The owner and the key of the open transaction, if any.
    bound: tuple[str, int] | None = None


class Oracle:
    """Record of all requests and answers."""

    def __init__(self, group: dict[str, logs.Log], sessions: list[Session]):
        self.logs = group
        self.sessions = sessions
        self.submissions: dict[tuple[str, int], Submission] = {}
        # The organisation and id of every write.
        self.ids: list[tuple[str, str]] = []
        self.leaders: dict[int, str] = {}
        self.acknowledged: dict[tuple[str, str], int] = {}
        self.reported_not_run: dict[tuple[str, str], Reason] = {}
        self.copies: collections.Counter = collections.Counter()
        self.acknowledged_writes: list[tuple[int, str, str]] = []
        self.counts = {'done': 0, 'not_run': 0, 'unknown': 0, 'lead': 0}

    def submitted(
        self, now_ms: int, name: str, session: int, request: requests.Request
    ) -> None:
        """Record a request and the writes that a read has to return."""
        session_state = self.sessions[session]
        if request.kind in (Kind.WRITE, Kind.COMMIT):
            write_key = (session_state.organisation, request.request_id)
            self.copies[write_key] += 1
            if self.reported_not_run.get(write_key) is not Reason.CANCELLED:
                self.reported_not_run.pop(write_key, None)
        oldest_ms = now_ms - request.profile.max_staleness_ms
        must_see = {
            rid
            for at_ms, organisation, rid in self.acknowledged_writes
            if organisation == session_state.organisation
            and at_ms <= oldest_ms
        }
        seen = frozenset(must_see | session_state.seen)
        submission = Submission(name, request, session, now_ms, seen)
        self.submissions[(name, request.key)] = submission

    def forget(self, name: str) -> None:
        """Drop the unanswered requests of an owner whose process ended."""
        self.submissions = {
            k: v for k, v in self.submissions.items() if v.owner != name
        }

    def record_leader(self, term: int, upstream: str) -> None:
        """Record the primary of a term, which has to be the only one."""
        known = self.leaders.setdefault(term, upstream)
        if known != upstream:
            raise Violation(f'{known} and {upstream} both lead term {term}')
        self.counts['lead'] += 1
        self.check_promises()

    def _leader(self) -> logs.Log | None:
        leaders = [log for log in self.logs.values() if log.leads]
        return max(leaders, key=lambda log: log.accepted_term, default=None)

    def check_promises(self) -> None:
        """Check that the latest primary's log agrees with all answers."""
        log = self._leader()
        if log is None or log.accepted_term != max(self.leaders):
            return
        held = {}
        for entry in log.entries:
            key = (entry.organisation, entry.request_id)
            if entry.request_id and key in held:
                raise Violation(f'{key} ran twice')
            held[key] = entry.cancelled
        for key in self.acknowledged:
            if held.get(key, True):
                raise Violation(f'{key} was acknowledged and is not there')
        for key in self.reported_not_run:
            if not held.get(key, True):
                raise Violation(f'{key} was reported as not run, but ran')

    def answered(self, now_ms: int, name: str, out: messages.Answer) -> None:
        """Check an answer, which has to be the only one."""
        submission = self.submissions.get((name, out.key))
        if submission is None or submission.answered:
            raise Violation(
                f'{out.key} is answered twice or was not submitted'
            )
        submission.answered = True
        match out.outcome:
            case outcomes.Done():
                self.counts['done'] += 1
                if submission.request.kind is Kind.BEGIN:
                    self.sessions[submission.session].bound = (name, out.key)
                self._check_done(now_ms, submission, out.outcome)
            case outcomes.NotRun():
                self.counts['not_run'] += 1
                if submission.request.request_id:
                    self._record_not_run(submission, out.outcome.reason)
            case outcomes.Unknown():
                self.counts['unknown'] += 1
        self.check_promises()

    def _record_not_run(self, submission: Submission, reason: Reason) -> None:
        """Record a request that was reported as not run.

        A cancelled id never runs. Any other refusal concerns one copy, and
        the request as a whole only while no other copy was sent.
        """
        key = (submission.request.organisation, submission.request.request_id)
        if reason is Reason.CANCELLED or self.copies[key] == 1:
            self.reported_not_run[key] = reason
        elif submission.request.repeat:
            raise Violation(f'a repeat of {key} was refused as not run')

    def _check_done(
        self, now_ms: int, submission: Submission, done: outcomes.Done
    ) -> None:
        session = self.sessions[submission.session]
        request = submission.request
        if request.kind in (Kind.BEGIN, Kind.EXECUTE, Kind.ROLLBACK):
            return
        session.place = max(session.place, done.place)
        if request.kind is not Kind.READ:
            key = (request.organisation, request.request_id)
            self.acknowledged.setdefault(key, now_ms)
            self.acknowledged_writes.append((now_ms, *key))
            session.seen.add(request.request_id)
            return
        seen = {row[0] for row in done.rows}
        missing = submission.must_see - seen
        if missing:
            raise Violation(
                f'{request.profile.name} read at {done.served_by} misses '
                f'{sorted(missing)}'
            )
        known = {r for o, r in self.ids if o == request.organisation}
        if not seen <= known:
            raise Violation(f'read rows of others: {seen - known}')
        session.seen |= seen
        for request_id in seen:
            key = (request.organisation, request_id)
            self.acknowledged.setdefault(key, now_ms)
