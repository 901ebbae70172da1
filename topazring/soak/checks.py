"""Check what a soak observes against the guarantees of the proxy.

A check takes one type of observation and the facts recorded before it, and
yields a message for each violation.
"""

import collections
import collections.abc
import dataclasses
import signal

from topazring.core.synchronous import messages
from topazring.soak import facts as soak_facts
from topazring.soak import observations

__all__ = ['ALLOWED_EXIT_CODES', 'Oracle', 'Violation', 'checks_by_name']

Facts = soak_facts.Facts
Kind = observations.Kind
Verb = observations.Verb
Failures = collections.abc.Iterator[str]
Check = collections.abc.Callable[[Facts, object], Failures]

# Checks with a time limit apply to an instance once it and the platform's
# service have run undisturbed for this long.
STABILITY_MS = 4000
DRAIN_MS = 7000
APPLY_MS = 3000
VERSION_OVERLAP_MS = 250
# A request may be in flight while the instance ends its session.
SESSION_END_CROSSING_MS = 200
# The delay of a busy process, in addition to a time limit.
SLACK_MS = 300
# Longer than the longest time limit of a request, the grace period of a stop
# and a pause of the process.
ANSWER_LIMIT_MS = 12_000

# Stopped, killed, or sent SIGTERM before its handler was installed.
ALLOWED_EXIT_CODES = (0, -signal.SIGKILL, -signal.SIGTERM)

_checks: dict[type, list[Check]] = collections.defaultdict(list)


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Hold the check that failed, the time, the message and the request."""

    at_ms: float
    check: str
    text: str
    request_id: str = ''


def check(kind: type) -> collections.abc.Callable[[Check], Check]:
    """Register a check of one type of observation."""

    def register(function: Check) -> Check:
        _checks[kind].append(function)
        return function

    return register


def checks_by_name() -> dict[str, Check]:
    """Return all checks by function name."""
    return {f.__name__: f for found in _checks.values() for f in found}


class Oracle:
    """Run the checks on each observation, then record it."""

    def __init__(self):
        self.facts = Facts()
        self.violations: list[Violation] = []

    def note(self, observation: object) -> None:
        """Check and record one observation."""
        for function in _checks[type(observation)]:
            for text in function(self.facts, observation):
                self.violations.append(
                    Violation(
                        getattr(observation, 'at_ms', 0.0),
                        function.__name__,
                        text,
                        _request_id_of(observation),
                    )
                )
        soak_facts.record(self.facts, observation)


def _request_id_of(observation: object) -> str:
    ask = getattr(observation, 'ask', None)
    if ask is not None:
        return ask.request_id
    entry = getattr(observation, 'entry', None)
    if entry is not None:
        return entry.request_id
    return getattr(observation, 'request_id', '')


# ---- statements at upstreams ----


@check(observations.Ran)
def only_what_was_asked(facts: Facts, ran: observations.Ran) -> Failures:
    """An upstream runs only statements that a caller sent, unchanged."""
    request = facts.requests.get(ran.ask.request_id)
    if request is None or request.asked.ask != ran.ask:
        yield f'{ran.upstream} ran {ran.ask}, which no caller sent'


@check(observations.Received)
def lines_as_asked(facts: Facts, received: observations.Received) -> Failures:
    """A line is what its caller asked for, on a connection set up for it."""
    yield from received.faults


@check(observations.Ran)
def session_holds_together(facts: Facts, ran: observations.Ran) -> Failures:
    """A statement runs with its session's values and in its transaction."""
    request = facts.requests.get(ran.ask.request_id)
    if request is None:
        return
    if request.asked.values != ran.values:
        yield f'session values {ran.values}, expected {request.asked.values}'
    if bool(request.asked.transaction) != ran.inside:
        yield 'in a transaction at only one of upstream and caller'


@check(observations.Committed)
def at_most_once(facts: Facts, committed: observations.Committed) -> Failures:
    """A write takes effect at most once."""
    entry = committed.entry
    earlier = facts.commits.get(entry.request_id, ())
    if any(soak_facts.contains(facts.leading_log, each) for each in earlier):
        yield f'{committed.upstream} committed it again'


@check(observations.Committed)
def not_after_its_refusal(
    facts: Facts, committed: observations.Committed
) -> Failures:
    """A request that was answered as not run is not committed later."""
    if committed.entry.request_id in facts.not_run_ids:
        yield f'{committed.upstream} committed it after its refusal'


# ---- answers to callers ----


@check(observations.Answered)
def one_final_answer(
    facts: Facts, answered: observations.Answered
) -> Failures:
    """A request gets at most one final answer."""
    request = facts.requests.get(answered.request_id)
    if request is None:
        yield 'an answer without a request'
    elif request.is_finished:
        yield 'a second answer'


@check(observations.Unasked)
def nothing_unasked(facts: Facts, unasked: observations.Unasked) -> Failures:
    """A caller receives nothing while it has no request pending."""
    yield f'{unasked.instance} sent {unasked.text!r} to {unasked.session}'


@check(observations.Answered)
def answer_is_its_own(
    facts: Facts, answered: observations.Answered
) -> Failures:
    """A successful answer has the signature and rows of one of its runs."""
    request = facts.requests.get(answered.request_id)
    answer = answered.answer
    if request is None or answer.kind is not Kind.DONE:
        return
    if request.asked.ask.verb not in (Verb.READ, Verb.WRITE, Verb.COMMIT):
        return
    run = request.runs.get(answer.signature)
    if run is None:
        yield f'the signature {answer.signature!r} is of none of its runs'
    elif run[0] != answer.rows:
        yield f'rows {answer.rows}, but its run returned {run[0]}'


@check(observations.Answered)
def fresh_enough(facts: Facts, answered: observations.Answered) -> Failures:
    """A read is as fresh as its database requires."""
    request = facts.requests.get(answered.request_id)
    answer = answered.answer
    if request is None or answer.kind is not Kind.DONE:
        return
    run = request.runs.get(answer.signature)
    if request.asked.ask.verb is Verb.READ and run is not None and not run[1]:
        kind = request.asked.freshness
        must_see = request.must_see
        if not soak_facts.contains(facts.leading_log, must_see):
            # A promotion discarded the entry, which is reported separately.
            return
        what = 'bounded' if kind is messages.Freshness.BOUNDED else kind
        yield (
            f'a stale read ({what}): lacks '
            f'{must_see.term}.{must_see.position} of {must_see.request_id}'
        )


@check(observations.Answered)
def refusals_hold(facts: Facts, answered: observations.Answered) -> Failures:
    """A request that is answered as not run was not committed before."""
    if answered.answer.kind is not Kind.NOT_RUN:
        return
    for entry in facts.commits.get(answered.request_id, ()):
        if soak_facts.contains(facts.leading_log, entry):
            yield f'refused ({answered.answer.detail}), but committed'


# ---- durability ----


@check(observations.Answered)
def acknowledged_by_its_leader(
    facts: Facts, answered: observations.Answered
) -> Failures:
    """An acknowledged write is in the log of the current primary."""
    entries = facts.commits.get(answered.request_id)
    if answered.answer.kind is not Kind.DONE or not entries:
        return
    entry = entries[-1]
    if not soak_facts.contains(facts.leading_log, entry):
        yield (
            f'acknowledged at {entry.term}.{entry.position}, which the '
            f'primary {facts.leader} lacks'
        )


@check(observations.Led)
def survives_a_promotion(facts: Facts, led: observations.Led) -> Failures:
    """A promoted upstream has all acknowledged writes."""
    lost = [
        f'{entry.term}.{entry.position} {request_id}'
        for request_id, entry in facts.acked.items()
        if not soak_facts.contains(led.log, entry)
    ]
    if lost:
        yield (
            f'{led.upstream} leads term {led.term} without {len(lost)} '
            f'acknowledged writes: {", ".join(lost[:6])}'
        )


@check(observations.Ordered)
def one_holder(facts: Facts, ordered: observations.Ordered) -> Failures:
    """Each token is used by one holder of the promotion lease only."""
    holder = facts.token_holders.get(ordered.token, ordered.holder)
    if holder != ordered.holder:
        yield f'{ordered.holder} and {holder} both used {ordered.token}'


@check(observations.Ordered)
def tokens_only_grow(facts: Facts, ordered: observations.Ordered) -> Failures:
    """No order comes with a lower token than one before."""
    if ordered.token < facts.highest_token:
        yield (
            f'{ordered.holder} orders {ordered.upstream} with token '
            f'{ordered.token} after {facts.highest_token}'
        )


# ---- time limits ----


@check(observations.Ran)
def no_work_after_drain(facts: Facts, ran: observations.Ran) -> Failures:
    """A draining upstream gets no new work after its drain time."""
    leaving_ms = facts.drain_start_ms.get(ran.upstream)
    request = facts.requests.get(ran.ask.request_id)
    if leaving_ms is None or request is None or request.asked.transaction:
        return
    late_ms = ran.at_ms - leaving_ms - DRAIN_MS
    # Nothing disturbed the start of the drain, nor the request since shortly
    # before it was sent.
    is_undisturbed = facts.is_undisturbed(
        leaving_ms - STABILITY_MS, leaving_ms, planned=False
    ) and facts.is_undisturbed(
        request.asked.at_ms - STABILITY_MS, ran.at_ms, planned=False
    )
    if late_ms > 0 and is_undisturbed:
        yield f'{ran.upstream} got work {late_ms:.0f} ms after its drain time'


@check(observations.Probed)
def configuration_in_force(
    facts: Facts, probed: observations.Probed
) -> Failures:
    """A new version is in force in time, and what it drops is refused."""
    if not facts.versions:
        return
    newest = facts.versions[-1]
    if probed.asked_ms - newest.at_ms <= APPLY_MS:
        return
    targets = (probed.instance, 'service', 'links', 'splits')
    since_ms = probed.asked_ms - STABILITY_MS
    if not facts.is_undisturbed(since_ms, probed.at_ms, *targets):
        return
    if probed.taken != (probed.version == newest.version):
        yield (
            f'{probed.instance} with version {probed.version}: '
            f'{"accepted" if probed.taken else "refused"}, '
            f'{probed.asked_ms - newest.at_ms:.0f} ms after {newest.version}'
        )


@check(observations.Probed)
def configuration_never_back(
    facts: Facts, probed: observations.Probed
) -> Failures:
    """A process never returns to an older version than it has served."""
    version, shown_ms = facts.shown_versions.get(probed.instance, (0, 0.0))
    late = probed.asked_ms > shown_ms + VERSION_OVERLAP_MS
    if probed.taken and probed.version < version and late:
        yield f'{probed.instance} returned to {probed.version} from {version}'


@check(observations.Cut)
def planned_work_cuts_nothing(facts: Facts, cut: observations.Cut) -> Failures:
    """Planned work alone does not cut a request off from its answer."""
    request = facts.requests[cut.request_id]
    asked_ms = request.asked.at_ms
    if cut.at_ms - asked_ms < SESSION_END_CROSSING_MS and not request.runs:
        return
    instance = request.asked.instance
    since_ms = asked_ms - STABILITY_MS
    if not facts.is_undisturbed(since_ms, cut.at_ms, planned=False):
        return
    if facts.is_undisturbed(asked_ms, cut.at_ms, instance):
        yield f'{instance} ended a session without an answer, undisturbed'
    else:
        yield f'{instance} ended a session without an answer in planned work'


@check(observations.Exited)
def no_end_by_itself(facts: Facts, exited: observations.Exited) -> Failures:
    """A process exits only when it is stopped or killed."""
    if exited.code not in ALLOWED_EXIT_CODES:
        yield f'{exited.instance} exited by itself with {exited.code}'


# ---- end of the soak ----


@check(observations.Finished)
def all_is_answered(facts: Facts, finished: observations.Finished) -> Failures:
    """Every request was answered, or its session was cut."""
    unanswered = [
        f'{request_id} ({request.asked.ask.verb}) at '
        f'{request.asked.instance}, sent '
        f'{finished.at_ms - request.asked.at_ms:.0f} ms before the end'
        for request_id, request in facts.requests.items()
        if not request.is_finished
        and finished.at_ms - request.asked.at_ms > ANSWER_LIMIT_MS
    ]
    if unanswered:
        yield f'never answered: {", ".join(unanswered[:6])}'


@check(observations.Finished)
def serves_again(facts: Facts, finished: observations.Finished) -> Failures:
    """Writes succeed after all disturbances have ended."""
    if not finished.serves:
        yield 'no write succeeds after all disturbances have ended'


@check(observations.Finished)
def all_is_kept(facts: Facts, finished: observations.Finished) -> Failures:
    """The last log has each acknowledged write once and no refused one."""
    lost = [
        request_id
        for request_id, entry in facts.acked.items()
        if not soak_facts.contains(finished.log, entry)
    ]
    if lost:
        yield f'{len(lost)} acknowledged writes lost: {", ".join(lost[:6])}'
    stored = collections.Counter(entry.request_id for entry in finished.log)
    refused = [each for each in stored if each in facts.not_run_ids]
    if refused:
        yield f'committed though refused: {", ".join(refused[:6])}'
    duplicated = [each for each, count in stored.items() if each and count > 1]
    if duplicated:
        yield f'took effect twice: {", ".join(duplicated[:6])}'
