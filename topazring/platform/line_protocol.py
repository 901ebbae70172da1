"""Split and write the lines that callers and upstreams speak.

A line is a word and fields between blanks, ended by CR LF; the last field
goes to the end of the line. A bare CR or LF inside one could be read as the
end of a line further on, and what follows as a statement of its own, so
such a line is refused.
"""

__all__ = [
    'LineError',
    'LineSplitter',
    'MAX_LINE_BYTES',
    'parse_line',
    'format_line',
]

MAX_LINE_BYTES = 1 << 20
_END = b'\r\n'


class LineError(ValueError):
    """Say what is wrong with a line."""


class LineSplitter:
    """Cut bytes that come in any pieces into lines."""

    def __init__(self, most_bytes: int = MAX_LINE_BYTES):
        self.max_line_bytes = most_bytes
        self.buffer = bytearray()
        # Where the end was looked for already.
        self.searched = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now."""
        self.buffer += data
        lines = []
        while True:
            end = self.buffer.find(_END, self.searched)
            if end < 0:
                self.searched = max(0, len(self.buffer) - 1)
                return lines
            lines.append(bytes(self.buffer[:end]))
            del self.buffer[: end + len(_END)]
            self.searched = 0

    def exceeds_limit(self) -> bool:
        """Say whether the line that is under way is too long already."""
        return len(self.buffer) > self.max_line_bytes


def parse_line(
    line: bytes, most_bytes: int = MAX_LINE_BYTES
) -> tuple[str, str]:
    """Return the word and the rest; raise BadLine if it is no line."""
    if len(line) > most_bytes:
        raise LineError('the message is too long')
    if b'\r' in line or b'\n' in line or b'\0' in line:
        raise LineError('a control character inside a line')
    try:
        text = line.decode('utf-8')
    except UnicodeDecodeError:
        raise LineError('not UTF-8') from None
    word, _, rest = text.partition(' ')
    return word, rest


def format_line(*fields: str) -> bytes:
    """Return a line of these fields; only the last may hold blanks."""
    return ' '.join(fields).encode() + _END
