"""Turn commands into lines and back, as between a proxy and an upstream.

The encoder escapes nothing: a field that holds a space becomes several.
"""

from topazring.core import log_positions
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import fake_group

_OWN_ID = '-'
_WORDS = {
    statements.Rollback: 'ROLLBACK',
    statements.Reset: 'RESET',
    statements.Status: 'STATUS',
    statements.Resume: 'RESUME',
}
_COMMANDS = {word: kind() for kind, word in _WORDS.items()}


def carry(command: statements.Command) -> statements.Command:
    """Return the command that an upstream makes of a proxy's command."""
    line = _format(command)
    request_id, text = _split(line, 2)
    try:
        return _parse(request_id, text)
    except (KeyError, ValueError):
        raise fake_group.Violation(f'no command: {line!r}') from None


def _format(command: statements.Command) -> str:
    request_id = getattr(command, 'request_id', _OWN_ID)
    after = getattr(command, 'after', None)
    wait = '' if after is None else f'AFTER {after} '
    return f'{request_id} {wait}{_format_text(command)}'


def _format_text(command: statements.Command) -> str:
    match command:
        case statements.Begin():
            return 'BEGIN READ' if command.read_only else 'BEGIN'
        case statements.Commit():
            return 'COMMIT'
        case statements.Run():
            return command.text
        case statements.Execute():
            return f'EXECUTE {command.name} {command.arguments}'
        case statements.SetValue():
            return f'SET {command.name} {command.value}'
        case statements.Prepare():
            access = command.access.upper()
            return f'PREPARE {command.name} {access} {command.shape}'
        case statements.Pause():
            return f'PAUSE {command.term}'
        case statements.Demote():
            return f'DEMOTE {command.term}'
        case _:
            return _WORDS[type(command)]


def _parse(request_id: str, text: str) -> statements.Command:
    after = None
    if text.startswith('AFTER '):
        _, place, text = _split(text, 3)
        after = log_positions.LogPosition(*map(int, place.split('.')))
    verb, _, rest = text.partition(' ')
    if request_id != _OWN_ID:
        return _parse_callers(request_id, verb, text, after)
    match verb:
        case 'BEGIN':
            return statements.Begin(rest == 'READ', after)
        case 'SET':
            return statements.SetValue(*_split(rest, 2))
        case 'PREPARE':
            name, access, shape = _split(rest, 3)
            access = statements.Access(access.lower())
            return statements.Prepare(name, access, shape)
        case 'PAUSE':
            return statements.Pause(int(rest))
        case 'DEMOTE':
            return statements.Demote(int(rest))
        case _:
            return _COMMANDS[text]


def _parse_callers(
    request_id: str,
    verb: str,
    text: str,
    after: log_positions.LogPosition | None,
) -> statements.Command:
    if verb == 'EXECUTE':
        _, name, arguments = _split(text, 3)
        return statements.Execute(request_id, name, arguments, after)
    if verb == 'COMMIT':
        return statements.Commit(request_id)
    return statements.Run(request_id, text, after)


def _split(text: str, count: int) -> list[str]:
    """Return fields, the last of which may hold spaces."""
    fields = text.split(' ', count - 1)
    if len(fields) != count:
        raise ValueError(text)
    return fields
