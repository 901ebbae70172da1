"""Draw texts from all that the platform's page allows."""

import random

__all__ = ['shape', 'text', 'word']

# Everything but the blank and what ends a line may stand in a word.
_ODD_BLANKS = (
    '\t\v\f\x1c\x1d\x1e\x1f\x7f\x85\xa0\u1680\u2000\u2003\u2028\u2029\u202f'
    '\u205f\u2060\u3000\ufeff'
)
_OTHERS = 'aqzé€日𝔘\u0301\u202e"\'\\%{}$;-'
_SHAPES = ('q0', 'q1', 'q2')
_CLAUSES = (
    'READ zj',
    'WRITE zj',
    'COMMIT',
    'ROLLBACK',
    'AFTER 9.9 READ k0',
    'PREPARE s READ q1',
    '- RESET',
)


def word(rng: random.Random, max_chars: int = 6) -> str:
    """Return a text without a blank."""
    alphabet = _ODD_BLANKS + _OTHERS * 2
    return ''.join(rng.choices(alphabet, k=rng.randint(1, max_chars)))


def text(rng: random.Random) -> str:
    """Return a text that may hold blanks, also at its ends and doubled."""
    parts = [
        rng.choice((word(rng), rng.choice(_CLAUSES), rng.choice(_SHAPES), ''))
        for _ in range(rng.randint(1, 4))
    ]
    return ' '.join(parts) or word(rng)


def shape(rng: random.Random) -> str:
    """Return a statement shape, half of the time one that many share."""
    kind = rng.random()
    if kind < 0.5:
        return rng.choice(_SHAPES)
    if kind < 0.7:
        return f'{rng.choice(_SHAPES)} {rng.choice(_CLAUSES)}'
    return text(rng)
