"""Encode and decode the frames that proxies exchange about requests."""

import typing

import msgspec
from tornado import iostream

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.plumbing import events
from topazring.plumbing import framing

__all__ = [
    'FRAME_TOO_LONG',
    'RequestFrame',
    'Frame',
    'AnswerFrame',
    'ConfirmFrame',
    'ContactFrame',
    'GrantFrame',
    'PermitFrame',
    'WithdrawFrame',
    'read',
    'register',
    'report_too_long',
    'to_outcome',
    'to_answer_frame',
    'write',
]


# Counts requests and answers that are not sent, as the receiver would refuse
# them.
FRAME_TOO_LONG = 'frame_too_long'


class RequestFrame(msgspec.Struct, array_like=True, tag='q'):
    """Request; `left_ms` is the time that is left for it."""

    id: int
    left_ms: int
    request: messages.Request


class AnswerFrame(msgspec.Struct, array_like=True, tag='a'):
    """Outcome of a request; `kind` is the name of its class."""

    id: int
    kind: str
    rows: list[typing.Any] = []
    place: log_positions.LogPosition | None = None
    signature: str = ''
    served_by: str = ''
    reason: str = ''
    retry_after_ms: int = 0
    detail: str = ''
    # Requests that are queued at the owner for the same service.
    waiting: int = 0


class WithdrawFrame(msgspec.Struct, array_like=True, tag='w'):
    """Report that a transaction's caller rolled it back or disconnected."""

    service: str
    transaction: int


class PermitFrame(msgspec.Struct, array_like=True, tag='permit'):
    """Ask for permits to run operations of an organisation."""

    id: int
    organisation: str
    wanted: int


class GrantFrame(msgspec.Struct, array_like=True, tag='grant'):
    """Grant permits, or report after how many ms one is due."""

    id: int
    granted: int
    wait_ms: int


class ContactFrame(msgspec.Struct, array_like=True, tag='contact'):
    """Name the organisations that the sender limits and the receiver keeps."""

    id: int
    limiter: str
    organisations: list[str]
    # The receiver uses its shares again.
    releases: bool = False
    # The tokens that come with each share that is released.
    tokens: list[float] = []


class ConfirmFrame(msgspec.Struct, array_like=True, tag='confirm'):
    """Name the organisations for which the receiver is the limiter."""

    id: int
    organisations: list[str]
    # The tokens that come with the share of each.
    tokens: list[float] = []


Frame = (
    RequestFrame
    | AnswerFrame
    | WithdrawFrame
    | PermitFrame
    | GrantFrame
    | ContactFrame
    | ConfirmFrame
    | framing.Ping
    | framing.Pong
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Frame).decode


def to_answer_frame(number: int, outcome: outcomes.Outcome) -> AnswerFrame:
    """Return the frame for an outcome."""
    kind = type(outcome).__name__
    match outcome:
        case outcomes.Done():
            return AnswerFrame(
                number,
                kind,
                outcome.rows,
                outcome.place,
                outcome.signature,
                outcome.served_by,
            )
        case outcomes.NotRun():
            return AnswerFrame(
                number,
                kind,
                reason=outcome.reason,
                retry_after_ms=outcome.retry_after_ms,
            )
        case outcomes.Unknown():
            return AnswerFrame(number, kind, reason=outcome.reason)
        case outcomes.Rejected():
            return AnswerFrame(
                number, kind, reason=outcome.reason, detail=outcome.detail
            )


def to_outcome(frame: AnswerFrame) -> outcomes.Outcome:
    """Return the outcome in a frame; raise ValueError if it has none."""
    match frame.kind:
        case 'Done':
            return outcomes.Done(
                frame.rows,
                frame.place,
                frame.served_by,
                False,
                frame.signature,
            )
        case 'NotRun':
            reason = outcomes.Reason(frame.reason)
            return outcomes.NotRun(reason, frame.retry_after_ms)
        case 'Unknown':
            return outcomes.Unknown(outcomes.Reason(frame.reason))
        case 'Rejected':
            reason = outcomes.Reason(frame.reason)
            return outcomes.Rejected(reason, frame.detail)
    raise ValueError(f'no such outcome: {frame.kind[:20]}')


async def read(reader: framing.FrameReader) -> Frame:
    """Return the next frame; raise ValueError if it is malformed."""
    return _decode(await reader.read())


def write(stream: iostream.IOStream, frame: Frame) -> None:
    """Send a frame; the reader detects a stream that has ended.

    Raises FrameTooLongError, and sends nothing, if the receiver would refuse
    the frame.
    """
    body = _encode(frame)
    framing.check_length(len(body))
    framing.write_frame(stream, body)


def register(log: events.EventLog) -> None:
    """Begin to count the frames that are not sent at 0."""
    log.counters[FRAME_TOO_LONG] += 0


def report_too_long(
    log: events.EventLog, what: str, request: messages.Request
) -> None:
    """Count and log a request, or an answer to one, that is not sent."""
    log.count(FRAME_TOO_LONG)
    log.emit(
        'hop',
        'frame too long',
        request.statement.request_id,
        request.policy.service,
        {'frame': what, 'verb': str(request.statement.verb)},
    )
