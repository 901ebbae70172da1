"""Name the statement shapes that are prepared at upstreams.

Names chosen by callers collide. One name per access and shape lets most
sessions use any connection without preparing again. A name is a digest:
whatever a shape holds, its name is one short word, and no caller can choose a
shape that takes the name of another.
"""

import base64
import hashlib

from topazring.core.synchronous import statements

__all__ = ['prepare_command']

# Too long for a caller to find two shapes of one name.
_DIGEST_BYTES = 20


def prepare_command(
    access: statements.Access, shape: str
) -> statements.Prepare:
    """Return the command that prepares a shape under its name.

    >>> prepare_command(statements.Access.READ, 'q1 READ zj').name
    'p5ixecoszsc37xucdg3myypstqx3lgzgv'
    """
    text = f'{access} {shape}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    name = base64.b32encode(digest).decode().lower()
    return statements.Prepare(f'p{name}', access, shape)
