"""Say what proxies send each other for a request, and read it back."""

import typing

import msgspec
from tornado import iostream

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.plumbing import framing

__all__ = [
    'RequestFrame',
    'Frame',
    'AnswerFrame',
    'WithdrawFrame',
    'read',
    'to_outcome',
    'to_answer_frame',
    'write',
]


class RequestFrame(msgspec.Struct, array_like=True, tag='q'):
    """Carry a request; `left_ms` is what is left of its time."""

    id: int
    left_ms: int
    request: messages.Request


class AnswerFrame(msgspec.Struct, array_like=True, tag='a'):
    """Carry an answer, by the name of its kind."""

    id: int
    kind: str
    rows: list[typing.Any] = []
    place: log_positions.LogPosition | None = None
    signature: str = ''
    served_by: str = ''
    reason: str = ''
    retry_after_ms: int = 0
    detail: str = ''
    # Requests that wait at the owner for the same service.
    waiting: int = 0


class WithdrawFrame(msgspec.Struct, array_like=True, tag='w'):
    """Say that a transaction's caller is gone, or rolled it back."""

    service: str
    transaction: int


Frame = (
    RequestFrame | AnswerFrame | WithdrawFrame | framing.Ping | framing.Pong
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Frame).decode


def to_answer_frame(number: int, outcome: outcomes.Outcome) -> AnswerFrame:
    """Return the frame for an answer."""
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


def to_outcome(told: AnswerFrame) -> outcomes.Outcome:
    """Return the answer that a frame carries; ValueError if it is none."""
    match told.kind:
        case 'Done':
            return outcomes.Done(
                told.rows, told.place, told.served_by, False, told.signature
            )
        case 'NotRun':
            reason = outcomes.Reason(told.reason)
            return outcomes.NotRun(reason, told.retry_after_ms)
        case 'Unknown':
            return outcomes.Unknown(outcomes.Reason(told.reason))
        case 'Rejected':
            reason = outcomes.Reason(told.reason)
            return outcomes.Rejected(reason, told.detail)
    raise ValueError(f'no such outcome: {told.kind[:20]}')


async def read(reader: framing.FrameReader) -> Frame:
    """Return the next frame; ValueError if it is none."""
    return _decode(await reader.read())


def write(stream: iostream.IOStream, frame: Frame) -> None:
    """Send a frame; whoever reads notices if the stream has ended."""
    framing.write_frame(stream, _encode(frame))
