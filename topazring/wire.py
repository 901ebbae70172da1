"""Define the frames exchanged between proxies and upstreams."""

import typing

import msgspec

from topazring.core import log_positions
from topazring.core import messages

__all__ = [
    'ControlAsk',
    'ControlReply',
    'SqlAsk',
    'SqlReply',
    'decode_control_ask',
    'decode_control_reply',
    'decode_sql_ask',
    'decode_sql_reply',
    'encode',
    'encode_control',
    'status_of',
]


class SqlAsk(msgspec.Struct, omit_defaults=True):
    """Ask an upstream to run statements."""

    id: int
    kind: str
    organisation: str
    term: int
    statements: list[tuple[str, list[typing.Any]]] = []
    request_id: str = ''
    # A replica runs the read once it has applied this log position.
    at_replica: bool = False
    wait_log_term: int = 0
    wait_position: int = 0
    wait_ms: int = 0


class SqlReply(msgspec.Struct, omit_defaults=True):
    """Report whether the statements ran, were refused or failed."""

    id: int
    result: str
    accepted_term: int
    log_term: int
    position: int
    rows: list[list[typing.Any]] = []
    repeated: bool = False
    cancelled: bool = False
    reason: str = ''
    leads: bool = False


class ControlAsk(msgspec.Struct, array_like=True, omit_defaults=True):
    """Ask an upstream for its status, to accept a term, or to lead it.

    Control frames are msgpack arrays to save space: an owner sends and
    receives some 30 per second for each database, and the budget for control
    traffic is 3 KB per second.
    """

    id: int
    kind: str
    term: int = 0
    log_term: int = 0
    position: int = 0
    wait_ms: int = 0
    claimant: str = ''


class ControlReply(msgspec.Struct, array_like=True, omit_defaults=True):
    """Report an upstream's status and whether it accepted the request."""

    id: int
    accepted_term: int
    log_term: int
    position: int
    leads: bool = False
    primary_silent_ms: int = 0
    accepted: bool = True


encode = msgspec.json.Encoder().encode
decode_sql_ask = msgspec.json.Decoder(SqlAsk).decode
decode_sql_reply = msgspec.json.Decoder(SqlReply).decode
encode_control = msgspec.msgpack.Encoder().encode
decode_control_ask = msgspec.msgpack.Decoder(ControlAsk).decode
decode_control_reply = msgspec.msgpack.Decoder(ControlReply).decode


def status_of(
    upstream: str, reply: ControlReply | SqlReply
) -> messages.Status:
    """Return the upstream status contained in a reply."""
    silent_ms = 0
    if isinstance(reply, ControlReply):
        silent_ms = reply.primary_silent_ms
    return messages.Status(
        upstream,
        reply.accepted_term,
        reply.leads,
        log_positions.LogPosition(reply.log_term, reply.position),
        silent_ms,
    )
