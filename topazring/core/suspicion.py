"""Weigh the evidence that a primary is lost.

"Unknown" is an answer. What tells the verdicts apart is who else can see:
the replicas say how long their primary has been silent, so an owner whose
own link is cut does not take that for the primary's end, and a primary that
answers its callers while it is cut off from its replicas is still lost.
"""

import dataclasses
import enum

from topazring.core import view as views

__all__ = [
    'Evidence',
    'Verdict',
    'has_failure',
    'failed',
    'reset',
    'judge',
    'note_alive',
    'note_failure',
    'note_pause',
]

# Silence of the primary that its replicas have to report.
REPLICA_SILENCE_MS = 350
# A term without a primary is given up after that long.
ABSENT_MS = 400
# Silence towards all replicas that counts even if the primary answers us.
# It is longer: there is no failure of our own to go with it.
ISOLATED_PRIMARY_SILENCE_MS = 650
# A replica that heard from its primary so lately speaks for it.
HEARD_MS = 150
# A replica's word is taken for that long.
MAX_REPORT_AGE_MS = 800
# A local pause as long as this makes silence seen meanwhile worthless.
PAUSE_MS = 150
# After a pause, silence counts again once new probes had time to answer.
PAUSE_RECOVERY_MS = 500


class Verdict(enum.StrEnum):
    """Say what the evidence amounts to."""

    ALIVE = 'alive'
    UNKNOWN = 'unknown'
    # It cannot be reached from here, while its replicas hear from it.
    LOCAL_FAILURE = 'ours'
    SUSPECT = 'suspect'


@dataclasses.dataclass(slots=True)
class Evidence:
    """Hold what this owner met at the primary since it last answered."""

    refused: int = 0
    silent_new: int = 0
    alive_ms: int = 0
    blind_until_ms: int = 0


def reset(evidence: Evidence, now_ms: int) -> None:
    """Start anew with another primary."""
    evidence.refused = 0
    evidence.silent_new = 0
    evidence.alive_ms = now_ms


def note_alive(evidence: Evidence, now_ms: int) -> None:
    """Count an answer of the primary."""
    reset(evidence, now_ms)


def note_failure(evidence: Evidence, now_ms: int, kind: str) -> None:
    """Count a failed probe.

    Silence on an old connection condemns the connection alone; the prober
    opens a new one, and only silence there speaks of the upstream.
    """
    if kind == 'refused':
        evidence.refused += 1
    elif kind == 'silent_new' and now_ms >= evidence.blind_until_ms:
        evidence.silent_new += 1


def note_pause(evidence: Evidence, now_ms: int, paused_ms: int) -> None:
    """Discount silence seen while this process did not run.

    What goes wrong without it: a proxy that was stopped for a second wakes
    to find all its probes overdue and suspects a healthy primary.
    """
    if paused_ms < PAUSE_MS:
        return
    evidence.silent_new = 0
    evidence.blind_until_ms = now_ms + PAUSE_RECOVERY_MS


def failed(evidence: Evidence) -> bool:
    """Say whether this owner cannot reach the primary by any connection."""
    return evidence.refused >= 2 or evidence.silent_new >= 1


def has_failure(evidence: Evidence) -> bool:
    """Say whether anything at all went wrong since the last answer."""
    return evidence.refused >= 1 or evidence.silent_new >= 1


def judge(
    evidence: Evidence, view: views.GroupView, now_ms: int
) -> tuple[Verdict, str]:
    """Return the verdict on the primary and the grounds for it."""
    if now_ms < evidence.blind_until_ms:
        return Verdict.UNKNOWN, 'this proxy was paused itself'
    silences = _replica_silences(view, now_ms)
    needed = views.majority(view)
    if not view.primary:
        return _judge_absent(view, now_ms)
    lost = failed(evidence)
    least = min(silences, default=0)
    if lost and len(silences) >= needed and least >= REPLICA_SILENCE_MS:
        kind = 'refuses' if evidence.refused >= 2 else 'is silent to'
        return (
            Verdict.SUSPECT,
            f'{view.primary} {kind} new connections; its replicas have not '
            f'heard from it for {least} ms',
        )
    if lost and len(silences) >= needed - 1 and least <= HEARD_MS:
        return (
            Verdict.LOCAL_FAILURE,
            f'{view.primary} cannot be reached from here, but its replicas '
            f'heard from it {least} ms ago',
        )
    if lost:
        return (
            Verdict.UNKNOWN,
            f'{view.primary} cannot be reached from here, but a majority '
            f'does not confirm that it is lost ({silences})',
        )
    if len(silences) >= needed and least >= ISOLATED_PRIMARY_SILENCE_MS:
        return (
            Verdict.SUSPECT,
            f'{view.primary} answers but its replicas have not heard from '
            f'it for {least} ms',
        )
    return Verdict.ALIVE, f'{view.primary} answers'


def _judge_absent(view: views.GroupView, now_ms: int) -> tuple[Verdict, str]:
    """Judge a group that has no primary at the highest term seen.

    A primary of a lower term may still answer. It is not waited for: the
    upstream that accepted the higher term never comes back to it.
    """
    if view.changed_ms is None:
        return Verdict.UNKNOWN, 'nothing was heard of this group yet'
    seen = [u for u in view.upstreams.values() if _is_recent(u, now_ms)]
    absent_ms = now_ms - view.changed_ms
    if len(seen) >= views.majority(view) and absent_ms >= ABSENT_MS:
        return (
            Verdict.SUSPECT,
            f'term {view.term} has had no primary for {absent_ms} ms',
        )
    return Verdict.UNKNOWN, 'no primary is known'


def _is_recent(seen: views.UpstreamView, now_ms: int) -> bool:
    return (
        seen.seen_ms is not None and now_ms - seen.seen_ms <= MAX_REPORT_AGE_MS
    )


def _replica_silences(view: views.GroupView, now_ms: int) -> list[int]:
    """Return how long each replica heard nothing from its primary."""
    silences = []
    for seen in view.upstreams.values():
        if seen.name == view.primary or not _is_recent(seen, now_ms):
            continue
        if seen.accepted_term == view.term:
            silences.append(seen.primary_silent_ms)
    return silences
