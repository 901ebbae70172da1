"""Keep what a soak has shown so far."""

import bisect
import dataclasses

from topazring.core.synchronous import messages
from topazring.soak import observations

__all__ = ['Facts', 'Request', 'contains', 'record']


@dataclasses.dataclass(slots=True)
class Request:
    """Hold a statement, what it has to see, and what became of it."""

    asked: observations.Asked
    must_see: observations.Entry | None = None
    # Of each signature: its rows, and whether its log had what it must.
    runs: dict[str, tuple[tuple[str, ...], bool]] = dataclasses.field(
        default_factory=dict
    )
    answer: observations.Answer | None = None
    cut_ms: float = 0.0

    @property
    def is_finished(self) -> bool:
        """Say whether the caller waits for nothing more."""
        return self.answer is not None or self.cut_ms > 0


@dataclasses.dataclass(slots=True)
class Facts:
    """Hold everything that checks look at."""

    requests: dict[str, Request] = dataclasses.field(default_factory=dict)
    # Commits by the request that asked for them.
    commits: dict[str, list[observations.Entry]] = dataclasses.field(
        default_factory=dict
    )
    # Times of acknowledgements, and the furthest entry up to each.
    acked_ms: list[float] = dataclasses.field(default_factory=list)
    furthest_acked: list[observations.Entry] = dataclasses.field(
        default_factory=list
    )
    acked: dict[str, observations.Entry] = dataclasses.field(
        default_factory=dict
    )
    # The furthest entry that each session's own work made.
    last_own_entry: dict[str, observations.Entry] = dataclasses.field(
        default_factory=dict
    )
    # What transactions have to see.
    transaction_must_see: dict[str, observations.Entry | None] = (
        dataclasses.field(default_factory=dict)
    )
    # Requests whose callers were told that nothing is kept.
    not_run_ids: set[str] = dataclasses.field(default_factory=set)
    # The one that leads the newest term, and its log, which grows.
    leader: str = ''
    leading_log: list[observations.Entry] = dataclasses.field(
        default_factory=list
    )
    # Who used each token, and the highest by now.
    token_holders: dict[int, str] = dataclasses.field(default_factory=dict)
    drain_start_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    versions: list[observations.InForce] = dataclasses.field(
        default_factory=list
    )
    # The newest version that each instance showed, and when.
    shown_versions: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    disturbances: list[observations.Disturbed] = dataclasses.field(
        default_factory=list
    )
    counts: dict[str, int] = dataclasses.field(default_factory=dict)

    def is_undisturbed(
        self, from_ms: float, to_ms: float, *places: str, planned: bool = True
    ) -> bool:
        """Say whether no trouble touched some places, all if none is named.

        Planned work is no trouble if `planned` is false.
        """
        return not any(
            trouble.at_ms <= to_ms
            and trouble.to_ms >= from_ms
            and (planned or not trouble.planned)
            and (not places or trouble.where in places)
            for trouble in self.disturbances
        )


def contains(log: list[observations.Entry], entry: observations.Entry) -> bool:
    """Say whether a log has an entry."""
    at = entry.position - 1
    return at < len(log) and log[at] is entry


def record(facts: Facts, sighting: object) -> None:
    """Take in a sighting, after it was checked."""
    name = type(sighting).__name__.lower()
    facts.counts[name] = facts.counts.get(name, 0) + 1
    match sighting:
        case observations.Asked():
            _take_asked(facts, sighting)
        case observations.Ran():
            _take_run(facts, sighting)
        case observations.Committed():
            entry = sighting.entry
            facts.commits.setdefault(entry.request_id, []).append(entry)
        case observations.Answered():
            _take_answer(facts, sighting)
        case observations.Cut():
            facts.requests[sighting.request_id].cut_ms = sighting.at_ms
        case observations.Ordered():
            facts.token_holders.setdefault(sighting.token, sighting.holder)
        case observations.Led():
            _take_leader(facts, sighting)
        case observations.Leaves():
            facts.drain_start_ms[sighting.upstream] = sighting.at_ms
        case observations.InForce():
            facts.versions.append(sighting)
        case observations.Probed() if sighting.taken:
            shown, _ = facts.shown_versions.get(sighting.instance, (0, 0.0))
            if sighting.version > shown:
                new = (sighting.version, sighting.at_ms)
                facts.shown_versions[sighting.instance] = new
        case observations.Started():
            facts.shown_versions.pop(sighting.instance, None)
        case observations.Disturbed():
            facts.disturbances.append(sighting)


def _take_asked(facts: Facts, asked: observations.Asked) -> None:
    must_see = _must_see(facts, asked)
    if asked.transaction:
        # It has to see what its beginning had to.
        must_see = facts.transaction_must_see.setdefault(
            asked.transaction, must_see
        )
    facts.requests[asked.ask.request_id] = Request(asked, must_see)


def _must_see(
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
    return _further(found, own)


def _further(
    one: observations.Entry | None, other: observations.Entry | None
) -> observations.Entry | None:
    if one is None or other is None:
        return one or other
    return max(one, other, key=lambda entry: entry.position)


def _take_run(facts: Facts, ran: observations.Ran) -> None:
    request = facts.requests.get(ran.ask.request_id)
    if request is None:
        return
    seen = request.must_see
    fresh = seen is None or (
        seen.position <= ran.applied and contains(ran.log, seen)
    )
    request.runs[ran.signature] = (ran.rows, fresh)


def _take_answer(facts: Facts, answered: observations.Answered) -> None:
    request = facts.requests.get(answered.request_id)
    if request is None:
        return
    request.answer = answered.answer
    kind = answered.answer.kind
    label = f'{request.asked.ask.verb} {kind}'
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
    facts.furthest_acked.append(_further(upto, entry))
    session = request.asked.session
    facts.last_own_entry[session] = _further(
        facts.last_own_entry.get(session), entry
    )


def _take_leader(facts: Facts, led: observations.Led) -> None:
    """Take in a new leader; what it lacks is no more, and was told once."""
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
