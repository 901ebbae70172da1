"""Show names that operators or other programs chose."""

__all__ = ['escape']


def escape(text: str) -> str:
    r"""Return a text on one line, without characters that steer a terminal.

    >>> escape('a\nb\x1b[2J')
    'a\\nb\\x1b[2J'
    """
    if text.isprintable():
        return text
    return ''.join(
        char if char.isprintable() else char.encode('unicode_escape').decode()
        for char in text
    )
