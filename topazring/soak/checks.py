"""Judge what a soak shows by what was promised.

A check looks at one kind of sighting and at all that was seen before it, and
yields a sentence for each promise that it finds broken.
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
Found = collections.abc.Iterator[str]
Check = collections.abc.Callable[[Facts, object], Found]

# Whoever ran undisturbed for so long, and so did the platform's service, is
# held to the promises that have a time.
STABILITY_MS = 4000
DRAIN_MS = 7000
APPLY_MS = 3000
VERSION_OVERLAP_MS = 250
# A request may cross the end of its session on the way.
SESSION_END_CROSSING_MS = 200
# The time of a process that is busy, beside the promises' own.
SLACK_MS = 300
# Past the longest time limit of a request, a stop's grace and a freeze.
ANSWER_LIMIT_MS = 12_000

# Stopped, killed, or told to stop before it could take note.
ALLOWED_EXIT_CODES = (0, -signal.SIGKILL, -signal.SIGTERM)

_checks: dict[type, list[Check]] = collections.defaultdict(list)


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Say which promise was broken, when, and by what request."""

    at_ms: float
    check: str
    text: str
    request_id: str = ''


def check(kind: type) -> collections.abc.Callable[[Check], Check]:
    """Register a check of one kind of sighting."""

    def register(function: Check) -> Check:
        _checks[kind].append(function)
        return function

    return register


def checks_by_name() -> dict[str, Check]:
    """Return all checks by name."""
    return {f.__name__: f for found in _checks.values() for f in found}


class Oracle:
    """Check each sighting, then remember it."""

    def __init__(self):
        self.facts = Facts()
        self.violations: list[Violation] = []

    def note(self, sighting: object) -> None:
        """Take in one sighting."""
        for function in _checks[type(sighting)]:
            for text in function(self.facts, sighting):
                self.violations.append(
                    Violation(
                        getattr(sighting, 'at_ms', 0.0),
                        function.__name__,
                        text,
                        _request_of(sighting),
                    )
                )
        soak_facts.record(self.facts, sighting)


def _request_of(sighting: object) -> str:
    ask = getattr(sighting, 'ask', None)
    if ask is not None:
        return ask.request_id
    entry = getattr(sighting, 'entry', None)
    if entry is not None:
        return entry.request_id
    return getattr(sighting, 'request_id', '')


# ---- what runs ----


@check(observations.Ran)
def only_what_was_asked(facts: Facts, ran: observations.Ran) -> Found:
    """An upstream runs what a caller sent, unchanged."""
    request = facts.requests.get(ran.ask.request_id)
    if request is None or request.asked.ask != ran.ask:
        yield f'{ran.upstream} ran {ran.ask}, which nobody sent'


@check(observations.Ran)
def session_holds_together(facts: Facts, ran: observations.Ran) -> Found:
    """A statement runs with its session's values, in its transaction."""
    request = facts.requests.get(ran.ask.request_id)
    if request is None:
        return
    if request.asked.values != ran.values:
        yield f'other values: {ran.values}, not {request.asked.values}'
    if bool(request.asked.transaction) != ran.inside:
        yield 'in or out of a transaction, unlike its caller'


@check(observations.Committed)
def at_most_once(facts: Facts, committed: observations.Committed) -> Found:
    """A write takes effect once."""
    entry = committed.entry
    earlier = facts.commits.get(entry.request_id, ())
    if any(soak_facts.contains(facts.leading_log, each) for each in earlier):
        yield f'{committed.upstream} committed it again'


@check(observations.Committed)
def not_after_its_refusal(
    facts: Facts, committed: observations.Committed
) -> Found:
    """Nothing is kept of what a caller was told did not run."""
    if committed.entry.request_id in facts.not_run_ids:
        yield f'{committed.upstream} committed it after its refusal'


# ---- what callers are told ----


@check(observations.Answered)
def one_final_answer(facts: Facts, answered: observations.Answered) -> Found:
    """A request has one final answer."""
    request = facts.requests.get(answered.request_id)
    if request is None:
        yield 'an answer to nothing'
    elif request.is_finished:
        yield 'a second answer'


@check(observations.Unasked)
def nothing_unasked(facts: Facts, unasked: observations.Unasked) -> Found:
    """Nobody is told anything without asking."""
    yield f'{unasked.instance} said {unasked.text!r} to {unasked.session}'


@check(observations.Answered)
def answer_is_its_own(facts: Facts, answered: observations.Answered) -> Found:
    """A success bears the upstream's signature and its rows."""
    request = facts.requests.get(answered.request_id)
    answer = answered.answer
    if request is None or answer.kind is not Kind.DONE:
        return
    if request.asked.ask.verb not in (Verb.READ, Verb.WRITE, Verb.COMMIT):
        return
    run = request.runs.get(answer.signature)
    if run is None:
        yield f'the signature {answer.signature!r} is none of its runs'
    elif run[0] != answer.rows:
        yield f'rows {answer.rows}, where its run had {run[0]}'


@check(observations.Answered)
def fresh_enough(facts: Facts, answered: observations.Answered) -> Found:
    """A read sees its session's work, and is not too old."""
    request = facts.requests.get(answered.request_id)
    answer = answered.answer
    if request is None or answer.kind is not Kind.DONE:
        return
    run = request.runs.get(answer.signature)
    if request.asked.ask.verb is Verb.READ and run is not None and not run[1]:
        kind = request.asked.freshness
        lacks = request.must_see
        if not soak_facts.contains(facts.leading_log, lacks):
            # A promotion has cut it off, which is told as such.
            return
        what = 'bounded' if kind is messages.Freshness.BOUNDED else kind
        yield (
            f'a stale read ({what}): lacks {lacks.term}.{lacks.position} '
            f'of {lacks.request_id}'
        )


@check(observations.Answered)
def refusals_hold(facts: Facts, answered: observations.Answered) -> Found:
    """What was refused as not run is not kept already."""
    if answered.answer.kind is not Kind.NOT_RUN:
        return
    for entry in facts.commits.get(answered.request_id, ()):
        if soak_facts.contains(facts.leading_log, entry):
            yield f'refused ({answered.answer.detail}), yet it is kept'


# ---- what is kept ----


@check(observations.Answered)
def acknowledged_by_its_leader(
    facts: Facts, answered: observations.Answered
) -> Found:
    """What is acknowledged is in the log of whoever leads by then."""
    entries = facts.commits.get(answered.request_id)
    if answered.answer.kind is not Kind.DONE or not entries:
        return
    entry = entries[-1]
    if not soak_facts.contains(facts.leading_log, entry):
        yield (
            f'acknowledged at {entry.term}.{entry.position}, which '
            f'{facts.leader} lacks that leads'
        )


@check(observations.Led)
def survives_a_promotion(facts: Facts, led: observations.Led) -> Found:
    """Whoever is promoted holds all that was acknowledged."""
    lost = [
        f'{entry.term}.{entry.position} {request_id}'
        for request_id, entry in facts.acked.items()
        if not soak_facts.contains(led.log, entry)
    ]
    if lost:
        yield (
            f'{led.upstream} leads term {led.term} without {len(lost)} '
            f'acknowledged: {", ".join(lost[:6])}'
        )


@check(observations.Ordered)
def one_holder(facts: Facts, ordered: observations.Ordered) -> Found:
    """Only one holder of the duty uses a token."""
    holder = facts.token_holders.get(ordered.token, ordered.holder)
    if holder != ordered.holder:
        yield f'{ordered.holder} and {holder} both used {ordered.token}'


# ---- what has a time ----


@check(observations.Ran)
def no_work_after_drain(facts: Facts, ran: observations.Ran) -> Found:
    """One that drains gets no new work once its time is over."""
    leaving_ms = facts.drain_start_ms.get(ran.upstream)
    request = facts.requests.get(ran.ask.request_id)
    if leaving_ms is None or request is None or request.asked.transaction:
        return
    late_ms = ran.at_ms - leaving_ms - DRAIN_MS
    # Acknowledged in calm, and calm since the request was taken.
    calm = facts.is_undisturbed(
        leaving_ms - STABILITY_MS, leaving_ms, planned=False
    ) and facts.is_undisturbed(
        request.asked.at_ms - STABILITY_MS, ran.at_ms, planned=False
    )
    if late_ms > 0 and calm:
        yield f'{ran.upstream} got work {late_ms:.0f} ms after its drain'


@check(observations.Probed)
def configuration_in_force(facts: Facts, probed: observations.Probed) -> Found:
    """A version is in force in time, and what it dropped is gone."""
    if not facts.versions:
        return
    now = facts.versions[-1]
    if probed.asked_ms - now.at_ms <= APPLY_MS:
        return
    places = (probed.instance, 'service', 'links')
    since_ms = probed.asked_ms - STABILITY_MS
    if not facts.is_undisturbed(since_ms, probed.at_ms, *places):
        return
    if probed.taken != (probed.version == now.version):
        yield (
            f'{probed.instance} with version {probed.version}: '
            f'{"taken" if probed.taken else "refused"}, '
            f'{probed.asked_ms - now.at_ms:.0f} ms after {now.version}'
        )


@check(observations.Probed)
def configuration_never_back(
    facts: Facts, probed: observations.Probed
) -> Found:
    """One process never goes back behind a version that it showed."""
    version, shown_ms = facts.shown_versions.get(probed.instance, (0, 0.0))
    late = probed.asked_ms > shown_ms + VERSION_OVERLAP_MS
    if probed.taken and probed.version < version and late:
        yield f'{probed.instance} is back at {probed.version} from {version}'


@check(observations.Cut)
def planned_work_cuts_nothing(facts: Facts, cut: observations.Cut) -> Found:
    """No request is cut around planned work alone."""
    request = facts.requests[cut.request_id]
    asked_ms = request.asked.at_ms
    if cut.at_ms - asked_ms < SESSION_END_CROSSING_MS and not request.runs:
        return
    instance = request.asked.instance
    since_ms = asked_ms - STABILITY_MS
    if not facts.is_undisturbed(since_ms, cut.at_ms, planned=False):
        return
    if facts.is_undisturbed(asked_ms, cut.at_ms, instance):
        yield f'{instance} ended a session without an answer, in calm'
    else:
        yield f'{instance} cut it while planned work went on'


@check(observations.Exited)
def no_end_by_itself(facts: Facts, exited: observations.Exited) -> Found:
    """A process ends only when it is told or killed."""
    if exited.code not in ALLOWED_EXIT_CODES:
        yield f'{exited.instance} ended by itself with {exited.code}'


# ---- the end ----


@check(observations.Finished)
def all_is_answered(facts: Facts, finished: observations.Finished) -> Found:
    """Every request has come to an end."""
    left = [
        f'{request_id} ({request.asked.ask.verb}) at '
        f'{request.asked.instance}, asked '
        f'{finished.at_ms - request.asked.at_ms:.0f} ms before the end'
        for request_id, request in facts.requests.items()
        if not request.is_finished
        and finished.at_ms - request.asked.at_ms > ANSWER_LIMIT_MS
    ]
    if left:
        yield f'never answered: {", ".join(left[:6])}'


@check(observations.Finished)
def serves_again(facts: Facts, finished: observations.Finished) -> Found:
    """Writes succeed once all trouble is over."""
    if not finished.serves:
        yield 'no write succeeds though all trouble is over'


@check(observations.Finished)
def all_is_kept(facts: Facts, finished: observations.Finished) -> Found:
    """The last log has what was acknowledged, once, and no refused write."""
    lost = [
        request_id
        for request_id, entry in facts.acked.items()
        if not soak_facts.contains(finished.log, entry)
    ]
    if lost:
        yield f'{len(lost)} acknowledged are lost: {", ".join(lost[:6])}'
    kept = collections.Counter(entry.request_id for entry in finished.log)
    refused = [each for each in kept if each in facts.not_run_ids]
    if refused:
        yield f'kept though refused: {", ".join(refused[:6])}'
    twice = [each for each, count in kept.items() if each and count > 1]
    if twice:
        yield f'took effect twice: {", ".join(twice[:6])}'
