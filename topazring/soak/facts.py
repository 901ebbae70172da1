"""Record what a soak has observed so far."""

import bisect
import dataclasses

from topazring.core.synchronous import messages
from topazring.soak import observations

__all__ = ['Facts', 'Request', 'contains', 'record']


@dataclasses.dataclass(slots=True)
class Request:
    """Hold a statement, the entry it must see, its runs and its result."""

    asked: observations.Asked
    must_see: observations.Entry | None = None
    # By signature: the rows of the run, and whether the log that it ran on
    # contained `must_see`.
    runs: dict[str, tuple[tuple[str, ...], bool]] = dataclasses.field(
        default_factory=dict
    )
    answer: observations.Answer | None = None
    cut_ms: float = 0.0

    @property
    def is_finished(self) -> bool:
        """Return whether the request was answered or its session was cut."""
        return self.answer is not None or self.cut_ms > 0


@dataclasses.dataclass(slots=True)
class Facts:
    """Hold the state that checks read."""

    requests: dict[str, Request] = dataclasses.field(default_factory=dict)
    # Log entries by the id of the request that wrote them.
    commits: dict[str, list[observations.Entry]] = dataclasses.field(
        default_factory=dict
    )
    # Times of acknowledgements, and the furthest entry acknowledged by each.
    acked_ms: list[float] = dataclasses.field(default_factory=list)
    furthest_acked: list[observations.Entry] = dataclasses.field(
        default_factory=list
    )
    acked: dict[str, observations.Entry] = dataclasses.field(
        default_factory=dict
    )
    # By session: the furthest acknowledged entry that it wrote itself.
    last_own_entry: dict[str, observations.Entry] = dataclasses.field(
        default_factory=dict
    )
    # By transaction: the entry that all its statements must see.
    transaction_must_see: dict[str, observations.Entry | None] = (
        dataclasses.field(default_factory=dict)
    )
    # Requests that were answered as not run, so that nothing may be stored.
    not_run_ids: set[str] = dataclasses.field(default_factory=set)
    # The primary of the newest term, and its log, which grows in place.
    leader: str = ''
    leading_log: list[observations.Entry] = dataclasses.field(
        default_factory=list
    )
    # By token: the first holder that used it.
    token_holders: dict[int, str] = dataclasses.field(default_factory=dict)
    highest_token: int = 0
    drain_start_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    versions: list[observations.InForce] = dataclasses.field(
        default_factory=list
    )
    # By instance: the newest version that it served, and when.
    shown_versions: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    disturbances: list[observations.Disturbed] = dataclasses.field(
        default_factory=list
    )
    counts: dict[str, int] = dataclasses.field(default_factory=dict)

    def is_undisturbed(
        self, from_ms: float, to_ms: float, *targets: str, planned: bool = True
    ) -> bool:
        """Return whether no disturbance of some targets overlaps an interval.

        Without targets, all of them count. Planned work is ignored if
        `planned` is false.
        """
        return not any(
            disturbance.at_ms <= to_ms
            and disturbance.to_ms >= from_ms
            and (planned or not disturbance.planned)
            and (not targets or disturbance.where in targets)
            for disturbance in self.disturbances
        )


def contains(log: list[observations.Entry], entry: observations.Entry) -> bool:
    """Return whether a log contains an entry."""
    index = entry.position - 1
    return index < len(log) and log[index] is entry


def record(facts: Facts, observation: object) -> None:
    """Update the facts with an observation; the checks run before this."""
    name = type(observation).__name__.lower()
    facts.counts[name] = facts.counts.get(name, 0) + 1
    match observation:
        case observations.Asked():
            _record_request(facts, observation)
        case observations.Ran():
            _record_run(facts, observation)
        case observations.Committed():
            entry = observation.entry
            facts.commits.setdefault(entry.request_id, []).append(entry)
        case observations.Answered():
            _record_answer(facts, observation)
        case observations.Cut():
            facts.requests[observation.request_id].cut_ms = observation.at_ms
        case observations.Ordered():
            facts.token_holders.setdefault(
                observation.token, observation.holder
            )
            facts.highest_token = max(facts.highest_token, observation.token)
        case observations.Led():
            _record_leader(facts, observation)
        case observations.Leaves():
            facts.drain_start_ms[observation.upstream] = observation.at_ms
        case observations.InForce():
            facts.versions.append(observation)
        case observations.Probed() if observation.taken:
            shown, _ = facts.shown_versions.get(observation.instance, (0, 0.0))
            if observation.version > shown:
                new = (observation.version, observation.at_ms)
                facts.shown_versions[observation.instance] = new
        case observations.Started():
            facts.shown_versions.pop(observation.instance, None)
        case observations.Disturbed():
            facts.disturbances.append(observation)


def _record_request(facts: Facts, asked: observations.Asked) -> None:
    must_see = _find_must_see(facts, asked)
    if asked.transaction:
        # Its statements must see what its BEGIN had to see.
        must_see = facts.transaction_must_see.setdefault(
            asked.transaction, must_see
        )
    facts.requests[asked.ask.request_id] = Request(asked, must_see)


def _find_must_see(
    facts: Facts, asked: observations.Asked
) -> observations.Entry | None:
    before_ms = asked.at_ms
    if asked.freshness is not messages.Freshness.PRIMARY:
        before_ms -= asked.max_staleness_ms
    count = bisect.bisect_left(facts.acked_ms, before_ms)
    found = facts.furthest_acked[count - 1] if count else None
    own = None
    if asked.freshness is messages.Freshness.SESSION:
        own = facts.last_own_entry.get(asked.session)
    return _max_entry(found, own)


def _max_entry(
    one: observations.Entry | None, other: observations.Entry | None
) -> observations.Entry | None:
    if one is None or other is None:
        return one or other
    return max(one, other, key=lambda entry: entry.position)


def _record_run(facts: Facts, ran: observations.Ran) -> None:
    request = facts.requests.get(ran.ask.request_id)
    if request is None:
        return
    must_see = request.must_see
    is_fresh = must_see is None or (
        must_see.position <= ran.applied and contains(ran.log, must_see)
    )
    request.runs[ran.signature] = (ran.rows, is_fresh)


def _record_answer(facts: Facts, answered: observations.Answered) -> None:
    request = facts.requests.get(answered.request_id)
    if request is None:
        return
    request.answer = answered.answer
    kind = answered.answer.kind
    ask = request.asked.ask
    label = f'{"execute " if ask.shape else ""}{ask.verb} {kind}'
    facts.counts[label] = facts.counts.get(label, 0) + 1
    if kind is observations.Kind.NOT_RUN:
        facts.not_run_ids.add(answered.request_id)
    entries = facts.commits.get(answered.request_id)
    if kind is not observations.Kind.DONE or not entries:
        return
    entry = entries[-1]
    if not contains(facts.leading_log, entry):
        return
    facts.acked[answered.request_id] = entry
    upto = facts.furthest_acked[-1] if facts.furthest_acked else None
    facts.acked_ms.append(answered.at_ms)
    facts.furthest_acked.append(_max_entry(upto, entry))
    session = request.asked.session
    facts.last_own_entry[session] = _max_entry(
        facts.last_own_entry.get(session), entry
    )


def _record_leader(facts: Facts, led: observations.Led) -> None:
    """Record a new primary, and forget acknowledged entries that it lacks.

    A check has reported their loss already; it is reported only once.
    """
    facts.leader = led.upstream
    facts.leading_log = led.log
    if all(contains(led.log, entry) for entry in facts.acked.values()):
        return
    facts.acked = {
        request_id: entry
        for request_id, entry in facts.acked.items()
        if contains(led.log, entry)
    }
    facts.furthest_acked.clear()
    facts.acked_ms.clear()
    facts.last_own_entry = {
        session: entry
        for session, entry in facts.last_own_entry.items()
        if contains(led.log, entry)
    }
    if facts.acked:
        last = max(facts.acked.values(), key=lambda entry: entry.position)
        facts.acked_ms.append(led.at_ms)
        facts.furthest_acked.append(last)
