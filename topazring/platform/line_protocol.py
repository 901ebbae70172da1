"""Split, parse and format the lines exchanged with callers and upstreams.

A line is a word and fields separated by single spaces, terminated by CR LF;
the last field extends to the end of the line. Lines that contain a bare CR
or LF are rejected: a receiver that splits lines differently would run the
remainder as a separate statement (statement injection). A line that would be
parsed as other fields than it is made of cannot be formatted.
"""

__all__ = [
    'LineError',
    'LineSplitter',
    'MAX_ADDED_BYTES',
    'MAX_LINE_BYTES',
    'parse_line',
    'format_line',
]

MAX_LINE_BYTES = 1 << 20
# What an upstream is sent beside a caller's text: the log position that the
# statement waits for, and the name of a shape instead of the caller's.
MAX_ADDED_BYTES = 128
_END = b'\r\n'
_SEPARATOR = ' '


class LineError(ValueError):
    """Describe why a line is invalid."""


class LineSplitter:
    """Split a byte stream, received in arbitrary chunks, into lines."""

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES):
        self.max_line_bytes = max_line_bytes
        self.buffer = bytearray()
        # Offset up to which the buffer holds no line end.
        self.searched = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines completed by this data."""
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
        """Return whether the incomplete line is too long already."""
        return len(self.buffer) > self.max_line_bytes


def parse_line(
    line: bytes, max_line_bytes: int = MAX_LINE_BYTES
) -> tuple[str, str]:
    """Return the first word and the rest; raise LineError if invalid."""
    _check_bytes(line, max_line_bytes)
    try:
        text = line.decode('utf-8')
    except UnicodeDecodeError:
        raise LineError('not UTF-8') from None
    word, _, rest = text.partition(_SEPARATOR)
    return word, rest


def _check_bytes(line: bytes, max_line_bytes: int = MAX_LINE_BYTES) -> None:
    if len(line) > max_line_bytes:
        raise LineError('the message is too long')
    if b'\r' in line or b'\n' in line or b'\0' in line:
        raise LineError('a control character inside a line')


def format_line(*fields: str) -> bytes:
    """Return an encoded line that is parsed into exactly these fields.

    Only the last field may be empty or hold spaces. Raises LineError if there
    is no such line.
    """
    words = fields[:-1]
    if '' in words or any(_SEPARATOR in word for word in words):
        raise LineError('a field before the last is empty or holds a space')
    try:
        line = _SEPARATOR.join(fields).encode()
    except UnicodeEncodeError:
        raise LineError('not valid Unicode') from None
    _check_bytes(line)
    return line + _END
