"""Promote an upstream: take a term, fence, choose, lead.

A majority that accepted the new term meets every majority that held an
acknowledged write, so the furthest log among the first majority holds all
of them; and from the fence on no lower term can gather a majority again.
A term serves one attempt: once an upstream was told to lead it, it names no
other. The rules follow Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm" (2014), with the vote replaced by terms
that the platform's service granted ahead of need.
"""

import dataclasses
import enum

from topazring.core import log_positions
from topazring.core import messages

__all__ = [
    'Attempt',
    'Phase',
    'begin',
    'expire',
    'note_fenced',
    'note_lead_reply',
    'resend',
]

# How long to wait for a majority that does without the suspect.
GRACE_MS = 200
RESEND_MS = 150
ATTEMPT_MS = 1200


class Phase(enum.StrEnum):
    """Name how far an attempt has come."""

    FENCING = 'fencing'
    LEADING = 'leading'
    WON = 'won'
    FAILED = 'failed'


@dataclasses.dataclass(slots=True)
class Attempt:
    """Hold one attempt to promote under one term."""

    term: int
    began_ms: int
    upstreams: tuple[str, ...]
    # Not chosen while a majority does without it: it is suspected, leaving.
    avoid: frozenset[str]
    why: str
    phase: Phase = Phase.FENCING
    fenced: dict[str, messages.Status] = dataclasses.field(
        default_factory=dict
    )
    chosen: str = ''
    sent_ms: int = 0


def begin(
    term: int,
    now_ms: int,
    upstreams: tuple[str, ...],
    avoid: frozenset[str],
    why: str,
) -> tuple[Attempt, list[messages.Fence]]:
    """Open an attempt and fence every upstream."""
    attempt = Attempt(term, now_ms, upstreams, avoid, why, sent_ms=now_ms)
    return attempt, [messages.Fence(name, term) for name in upstreams]


def note_fenced(
    attempt: Attempt, now_ms: int, reply: messages.FenceReply
) -> list[messages.Lead]:
    """Take in a reply to the fence; choose once a majority accepted."""
    if attempt.phase is not Phase.FENCING or reply.term != attempt.term:
        return []
    if not reply.accepted:
        # A higher term is at work, or another claimant holds this one.
        attempt.phase = Phase.FAILED
        return []
    attempt.fenced[reply.status.upstream] = reply.status
    return _choose(attempt, now_ms)


def _choose(attempt: Attempt, now_ms: int) -> list[messages.Lead]:
    needed = log_positions.majority_of(len(attempt.upstreams))
    preferred = {
        name: status
        for name, status in attempt.fenced.items()
        if name not in attempt.avoid
    }
    candidates = preferred
    if len(preferred) < needed:
        # The suspect is one of the only majority there is. It may hold the
        # furthest log, so it has to be a candidate, after a grace.
        in_grace = now_ms - attempt.began_ms < GRACE_MS
        if len(attempt.fenced) < needed or in_grace:
            return []
        candidates = attempt.fenced
    furthest = max(status.place for status in candidates.values())
    holders = [n for n, s in candidates.items() if s.place == furthest]
    holders.sort(key=lambda name: (name in attempt.avoid, name))
    attempt.chosen = holders[0]
    attempt.phase = Phase.LEADING
    attempt.sent_ms = now_ms
    return [messages.Lead(attempt.chosen, attempt.term)]


def note_lead_reply(attempt: Attempt, reply: messages.LeadReply) -> None:
    """Take in the reply of the upstream that was told to lead."""
    if attempt.phase is not Phase.LEADING or reply.term != attempt.term:
        return
    if reply.status.upstream != attempt.chosen:
        return
    attempt.phase = Phase.WON if reply.accepted else Phase.FAILED


def resend(
    attempt: Attempt, now_ms: int
) -> list[messages.Fence | messages.Lead]:
    """Repeat what was not answered; the same request again does no harm."""
    if attempt.phase is Phase.FENCING:
        chosen = _choose(attempt, now_ms)
        if chosen:
            return chosen
    if now_ms - attempt.sent_ms < RESEND_MS:
        return []
    attempt.sent_ms = now_ms
    if attempt.phase is Phase.LEADING:
        return [messages.Lead(attempt.chosen, attempt.term)]
    if attempt.phase is not Phase.FENCING:
        return []
    return [
        messages.Fence(name, attempt.term)
        for name in attempt.upstreams
        if name not in attempt.fenced
    ]


def expire(attempt: Attempt, now_ms: int) -> None:
    """Fail an attempt that takes too long; the next uses another term."""
    if attempt.phase in (Phase.WON, Phase.FAILED):
        return
    if now_ms - attempt.began_ms > ATTEMPT_MS:
        attempt.phase = Phase.FAILED
