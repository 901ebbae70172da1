"""List entries as no upstream writes them: deep, or with odd numbers."""

import json

__all__ = ['BAD', 'DEEP', 'HARMLESS', 'NUMBERS', 'PORTS', 'good', 'render']

# The largest value that the store takes.
MAX_VALUE_BYTES = 2**20
# The last is as deep as a value can be, and has no end.
DEPTHS = (1200, 100_000, MAX_VALUE_BYTES - 600)

GOOD = {
    'service': 'calc-db',
    'address': '127.0.0.1:5000',
    'zone': 'here',
    'version': '1',
    'state': 'ready',
    'db-role': 'replica',
    'capacity': 4,
    'born': 1_700_000_000_000,
    'sequence': 5,
    'cold-left-ms': 0,
}

# As JSON, each too large or of the wrong kind for a count.
NUMBERS = {
    '400-digits': '1' + '0' * 400,
    '5000-digits': '9' * 5000,
    'negative-5000-digits': '-' + '9' * 5000,
    'exponent': '1e999',
    'negative-exponent': '-1e999',
    'long-exponent': '1e' + '9' * 5000,
    '2-53-1': str(2**53 + 1),
    '2-63': str(2**63),
    '2-64': str(2**64),
    'negative': '-1',
    'negative-2-63': str(-(2**63) - 1),
    'float': '1.5',
    'whole-float': '4.0',
    'long-float': '1.' + '1' * 5000,
}
COUNTS = ('capacity', 'born', 'sequence')
IGNORED = ('cold-left-ms', 'heartbeat-ms', 'unknown')

PORTS = {
    'zero': '0',
    '65536': '65536',
    '99999': '99999',
    'negative': '-1',
    'empty': '',
    '5000-digits': '9' * 5000,
    'leading-zeros': '0' * 4000 + '80',
    'arabic-digits': '\u0665\u0660\u0660\u0660',
    'wide-digits': '\uff15\uff10\uff10\uff10',
    'superscript': '5\u00b2',
    'blank-before': ' 5000',
    'blank-after': '5000 ',
    'line-end': '5000\n',
    'plus': '+5000',
    'underscore': '5_000',
    'float': '5000.0',
    'hexadecimal': '0x50',
}


def good(**changes: object) -> str:
    """Return the entry of an upstream."""
    return json.dumps({**GOOD, **changes})


def render(field: str, raw: str) -> str:
    """Return an entry with a field that holds any JSON."""
    fields = {**{name: json.dumps(GOOD[name]) for name in GOOD}, field: raw}
    inner = ', '.join(f'"{name}": {fields[name]}' for name in fields)
    return f'{{{inner}}}'


def nest(depth: int) -> str:
    """Return nested arrays, without an end if that would be too long."""
    end = ']' * depth if 2 * depth < MAX_VALUE_BYTES - 600 else ''
    return '[' * depth + end


def _make_deep() -> dict[str, str]:
    found = {}
    for depth in DEPTHS:
        found[f'deep-{depth}'] = nest(depth)
        for field in ('service', 'capacity', 'unknown'):
            found[f'deep-{depth}-{field}'] = render(field, nest(depth))
    objects = 100_000
    text = '{"a":' * objects + '0' + '}' * objects
    found['deep-objects'] = text
    found['deep-objects-unknown'] = render('unknown', text)
    return found


def _make_bad_numbers() -> dict[str, str]:
    found = {f'whole-{name}': NUMBERS[name] for name in NUMBERS}
    for field in (*COUNTS, 'service', 'address', 'state'):
        for name, raw in NUMBERS.items():
            found[f'{field}-{name}'] = render(field, raw)
    for name in ('arabic-digits', 'wide-digits'):
        found[f'raw-{name}'] = render('capacity', PORTS[name])
    return found


def _make_bad_addresses() -> dict[str, str]:
    found = {
        f'port-{name}': good(address=f'127.0.0.1:{port}')
        for name, port in PORTS.items()
    }
    found['no-port'] = good(address='127.0.0.1')
    found['no-host'] = good(address=':5000')
    found['arabic-host'] = good(address='127.0.0.\u0661:5000')
    found['address-number'] = good(address=5000)
    return found


DEEP = _make_deep()
# Each names no upstream.
BAD = {**DEEP, **_make_bad_numbers(), **_make_bad_addresses()}
# Numbers in fields that nobody reads change nothing.
HARMLESS = {
    f'{field}-{name}': render(field, raw)
    for field in IGNORED
    for name, raw in NUMBERS.items()
}
