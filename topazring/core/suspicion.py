"""Failure detection: decide whether a primary is lost.

The replicas report how long they have received nothing from their primary.
An owner whose own link is cut therefore does not suspect the primary, and a
primary that answers its callers but is partitioned from its replicas is
suspected. The verdict may also be that the primary's state is unknown.
"""

import dataclasses
import enum

from topazring.core import view as views

__all__ = [
    'Evidence',
    'Verdict',
    'has_failure',
    'is_unreachable',
    'reset',
    'judge',
    'note_alive',
    'note_failure',
    'note_pause',
]

# Time without contact to the primary that its replicas have to report.
REPLICA_SILENCE_MS = 350
# How long a term may be without a primary.
NO_PRIMARY_MS = 400
# Time without contact that all replicas have to report if the primary still
# answers this owner. It is longer than REPLICA_SILENCE_MS because this owner
# has seen no failure of its own that supports the reports.
ISOLATED_PRIMARY_SILENCE_MS = 650
# A replica that had contact to its primary within this time shows it is alive.
RECENT_CONTACT_MS = 150
# How long the status of a replica is used.
MAX_REPORT_AGE_MS = 800
# After a local pause of this length, timeouts seen during it are ignored.
PAUSE_MS = 150
# How long after a pause timeouts are ignored, until new probes can answer.
PAUSE_RECOVERY_MS = 500


class Verdict(enum.StrEnum):
    """Verdict on a primary."""

    ALIVE = 'alive'
    UNKNOWN = 'unknown'
    # It is unreachable from here, while its replicas have contact to it.
    LOCAL_FAILURE = 'ours'
    SUSPECT = 'suspect'


@dataclasses.dataclass(slots=True)
class Evidence:
    """Failed probes of the primary since its last answer."""

    refused: int = 0
    silent_new: int = 0
    alive_ms: int = 0
    ignore_silence_until_ms: int = 0


def reset(evidence: Evidence, now_ms: int) -> None:
    """Discard the evidence, for a new primary."""
    evidence.refused = 0
    evidence.silent_new = 0
    evidence.alive_ms = now_ms


def note_alive(evidence: Evidence, now_ms: int) -> None:
    """Record an answer of the primary."""
    reset(evidence, now_ms)


def note_failure(evidence: Evidence, now_ms: int, kind: str) -> None:
    """Count a failed probe.

    A timeout on an old connection only shows that the connection failed. The
    prober then opens a new one, and only a timeout there is evidence against
    the upstream.
    """
    if kind == 'refused':
        evidence.refused += 1
    elif kind == 'silent_new' and now_ms >= evidence.ignore_silence_until_ms:
        evidence.silent_new += 1


def note_pause(evidence: Evidence, now_ms: int, paused_ms: int) -> None:
    """Ignore timeouts seen while this process did not run.

    Otherwise a proxy that was stopped for a second finds all its probes
    overdue when it resumes, and suspects a healthy primary.
    """
    if paused_ms < PAUSE_MS:
        return
    evidence.silent_new = 0
    evidence.ignore_silence_until_ms = now_ms + PAUSE_RECOVERY_MS


def is_unreachable(evidence: Evidence) -> bool:
    """Return whether this owner cannot reach the primary by any connection."""
    return evidence.refused >= 2 or evidence.silent_new >= 1


def has_failure(evidence: Evidence) -> bool:
    """Return whether any probe failed since the last answer."""
    return evidence.refused >= 1 or evidence.silent_new >= 1


def judge(
    evidence: Evidence, view: views.GroupView, now_ms: int
) -> tuple[Verdict, str]:
    """Return the verdict on the primary and the reason for it."""
    if now_ms < evidence.ignore_silence_until_ms:
        return Verdict.UNKNOWN, 'this proxy itself was paused'
    silences = _replica_silences(view, now_ms)
    needed = views.majority(view)
    if not view.primary:
        return _judge_absent(view, now_ms)
    lost = is_unreachable(evidence)
    least = min(silences, default=0)
    if lost and len(silences) >= needed and least >= REPLICA_SILENCE_MS:
        kind = 'refuses' if evidence.refused >= 2 else 'is silent to'
        return (
            Verdict.SUSPECT,
            f'{view.primary} {kind} new connections; its replicas have had '
            f'no contact with it for {least} ms',
        )
    if lost and len(silences) >= needed - 1 and least <= RECENT_CONTACT_MS:
        return (
            Verdict.LOCAL_FAILURE,
            f'{view.primary} is unreachable from here, but its replicas had '
            f'contact with it {least} ms ago',
        )
    if lost:
        return (
            Verdict.UNKNOWN,
            f'{view.primary} is unreachable from here, but a majority does '
            f'not confirm that it is lost ({silences})',
        )
    if len(silences) >= needed and least >= ISOLATED_PRIMARY_SILENCE_MS:
        return (
            Verdict.SUSPECT,
            f'{view.primary} answers but its replicas have had no contact '
            f'with it for {least} ms',
        )
    return Verdict.ALIVE, f'{view.primary} answers'


def _judge_absent(view: views.GroupView, now_ms: int) -> tuple[Verdict, str]:
    """Return the verdict on a group without a primary at the highest term.

    A primary of a lower term may still answer. It is not waited for, because
    an upstream that accepted the higher term never returns to a lower one.
    """
    if view.changed_ms is None:
        return Verdict.UNKNOWN, 'no status of this group has been received yet'
    seen = [u for u in view.upstreams.values() if _is_recent(u, now_ms)]
    absent_ms = now_ms - view.changed_ms
    if len(seen) >= views.majority(view) and absent_ms >= NO_PRIMARY_MS:
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
    """Return for each replica the time since contact to its primary."""
    silences = []
    for seen in view.upstreams.values():
        if seen.name == view.primary or not _is_recent(seen, now_ms):
            continue
        if seen.accepted_term == view.term:
            silences.append(seen.primary_silent_ms)
    return silences
