"""Maintain the replicated log of one upstream: terms, entries, role."""

import dataclasses
import typing

from topazring.core import log_positions

__all__ = [
    'Entry',
    'Log',
    'append',
    'extend',
    'fence',
    'last_position',
    'lead',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Hold one committed transaction, or the empty first entry of a term."""

    log_term: int
    organisation: str = ''
    statements: tuple[tuple[str, tuple[typing.Any, ...]], ...] = ()
    request_id: str = ''
    cancelled: bool = False
    at_ms: int = 0


@dataclasses.dataclass(slots=True)
class Log:
    """Hold the replication state of an upstream."""

    name: str
    accepted_term: int = 0
    # The claimant that fenced the accepted term; any other claimant of the
    # same term is refused.
    claimant: str = ''
    leads: bool = False
    # Whether this upstream has become primary in the accepted term.
    has_led: bool = False
    entries: list[Entry] = dataclasses.field(default_factory=list)


def last_position(log: Log) -> log_positions.LogPosition:
    """Return the log position of the last entry, or ORIGIN if empty."""
    if not log.entries:
        return log_positions.ORIGIN
    return log_positions.LogPosition(
        log.entries[-1].log_term, len(log.entries)
    )


def fence(log: Log, term: int, claimant: str) -> bool:
    """Accept a term for a claimant; return whether it is accepted.

    A lower term is refused, and so is the accepted term for another claimant.
    """
    if term > log.accepted_term:
        _accept_term(log, term, claimant)
        return True
    return term == log.accepted_term and claimant == log.claimant


def _accept_term(log: Log, term: int, claimant: str) -> None:
    log.accepted_term = term
    log.claimant = claimant
    log.leads = False
    log.has_led = False


def lead(log: Log, term: int, claimant: str) -> bool:
    """Become primary of a term that the claimant has fenced on this log."""
    if term != log.accepted_term or claimant != log.claimant:
        return False
    if log.has_led:
        return log.leads
    log.leads = True
    log.has_led = True
    # Entries of an older term count as durable only once an entry of this
    # term follows them.
    log.entries.append(Entry(term))
    return True


def append(log: Log, entry: Entry) -> log_positions.LogPosition:
    """Append an entry as the primary; return its log position."""
    log.entries.append(entry)
    return last_position(log)


def extend(
    log: Log,
    term: int,
    after: log_positions.LogPosition,
    entries: list[Entry],
) -> tuple[bool, int | None]:
    """Append entries from the primary of `term`, as a replica.

    Returns whether the entries fit, and the position from which the log was
    truncated, or None. The entries do not fit if the term is lower than the
    accepted one or the log has no matching entry at `after`; in the latter
    case the primary retries from an earlier position.
    """
    if term < log.accepted_term:
        return False, None
    if term > log.accepted_term:
        _accept_term(log, term, '')
    if not _contains(log, after):
        return False, None
    position = after.position
    truncated_from = None
    for entry in entries:
        position += 1
        if position <= len(log.entries):
            if log.entries[position - 1].log_term == entry.log_term:
                continue
            del log.entries[position - 1 :]
            truncated_from = (
                position if truncated_from is None else truncated_from
            )
        log.entries.append(entry)
    return True, truncated_from


def _contains(log: Log, last: log_positions.LogPosition) -> bool:
    if last.position == 0:
        return True
    if last.position > len(log.entries):
        return False
    return log.entries[last.position - 1].log_term == last.log_term
