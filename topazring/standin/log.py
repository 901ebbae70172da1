"""Keep the replicated log of one upstream: terms, entries, roles."""

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
    """Hold one committed transaction, or the empty start of a term."""

    log_term: int
    organisation: str = ''
    statements: tuple[tuple[str, tuple[typing.Any, ...]], ...] = ()
    request_id: str = ''
    cancelled: bool = False
    at_ms: int = 0


@dataclasses.dataclass(slots=True)
class Log:
    """Hold what an upstream remembers."""

    name: str
    accepted_term: int = 0
    # Who fenced the accepted term; another claimant of it is refused.
    claimant: str = ''
    leads: bool = False
    # Whether this upstream has led the accepted term before.
    has_led: bool = False
    entries: list[Entry] = dataclasses.field(default_factory=list)


def last_position(log: Log) -> log_positions.LogPosition:
    """Return the place of the last entry."""
    if not log.entries:
        return log_positions.ORIGIN
    return log_positions.LogPosition(
        log.entries[-1].log_term, len(log.entries)
    )


def fence(log: Log, term: int, claimant: str) -> bool:
    """Accept a term, unless it is lower or another claimant's."""
    if term > log.accepted_term:
        _accept(log, term, claimant)
        return True
    return term == log.accepted_term and claimant == log.claimant


def _accept(log: Log, term: int, claimant: str) -> None:
    log.accepted_term = term
    log.claimant = claimant
    log.leads = False
    log.has_led = False


def lead(log: Log, term: int, claimant: str) -> bool:
    """Begin to lead a term that this claimant fenced here."""
    if term != log.accepted_term or claimant != log.claimant:
        return False
    if log.has_led:
        return log.leads
    log.leads = True
    log.has_led = True
    # An older term's entries count as safe only below one of this term.
    log.entries.append(Entry(term))
    return True


def append(log: Log, entry: Entry) -> log_positions.LogPosition:
    """Append an entry as the primary."""
    log.entries.append(entry)
    return last_position(log)


def extend(
    log: Log,
    term: int,
    after: log_positions.LogPosition,
    entries: list[Entry],
) -> tuple[bool, int | None]:
    """Take entries from the primary of `term`, as a replica.

    Returns whether the entries fit, and the position from which the log was
    cut back, if it was. They do not fit when the log has something else at
    `after`; the primary then goes back further.
    """
    if term < log.accepted_term:
        return False, None
    if term > log.accepted_term:
        _accept(log, term, '')
    if not _holds(log, after):
        return False, None
    position = after.position
    cut = None
    for entry in entries:
        position += 1
        if position <= len(log.entries):
            if log.entries[position - 1].log_term == entry.log_term:
                continue
            del log.entries[position - 1 :]
            cut = position if cut is None else cut
        log.entries.append(entry)
    return True, cut


def _holds(log: Log, place: log_positions.LogPosition) -> bool:
    if place.position == 0:
        return True
    if place.position > len(log.entries):
        return False
    return log.entries[place.position - 1].log_term == place.log_term
