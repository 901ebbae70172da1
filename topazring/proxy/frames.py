"""Validate frames from callers and encode answers; see docs/PROTOCOL.md."""

import math
import typing

import msgspec
import pydantic

from topazring.core import outcomes

__all__ = [
    'LEAVING_FRAME',
    'CallerFrame',
    'FrameError',
    'encode',
    'read_id',
    'parse',
]

_MIN_INTEGER, _MAX_INTEGER = -(2**63), 2**63 - 1


def _check_number(value: typing.Any) -> typing.Any:
    """Raise ValueError for a number that cannot reach an upstream as it is.

    A larger integer fits in no frame, and an infinite number becomes null.
    """
    match value:
        case float() if not math.isfinite(value):
            raise ValueError('the number is not finite')
        case int() if not _MIN_INTEGER <= value <= _MAX_INTEGER:
            raise ValueError('the integer has more than 64 bits')
    return value


Value = typing.Annotated[
    str | int | float | bool | None, pydantic.AfterValidator(_check_number)
]
Sql = typing.Annotated[str, pydantic.Field(min_length=1)]
FrameId = typing.Annotated[int, pydantic.Field(ge=0)]


class _Frame(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')
    id: FrameId


class Hello(_Frame):
    """Open a session."""

    type: typing.Literal['hello']
    organisation: str
    key: str
    database: str
    profile: str
    token: str | None = None


class Read(_Frame):
    """Run a read-only statement."""

    type: typing.Literal['read']
    statement: Sql
    parameters: list[Value] = []
    # Token of another session of the same caller, whose position this read
    # must reflect.
    token: str | None = None


class Write(_Frame):
    """Run a statement that may write, under a request id."""

    type: typing.Literal['write']
    request_id: str
    repeat: bool = False
    statement: Sql
    parameters: list[Value] = []


class Batch(_Frame):
    """Run several statements as one transaction, under a request id."""

    type: typing.Literal['batch']
    request_id: str
    repeat: bool = False
    statements: list[tuple[Sql, list[Value]]] = pydantic.Field(
        min_length=1, max_length=256
    )


class Begin(_Frame):
    """Begin an interactive transaction."""

    type: typing.Literal['begin']


class Execute(_Frame):
    """Run a statement in the open transaction."""

    type: typing.Literal['execute']
    statement: Sql
    parameters: list[Value] = []


class Commit(_Frame):
    """Commit the open transaction, under a request id."""

    type: typing.Literal['commit']
    request_id: str
    repeat: bool = False


class Rollback(_Frame):
    """Roll back the open transaction."""

    type: typing.Literal['rollback']


CallerFrame = typing.Annotated[
    Hello | Read | Write | Batch | Begin | Execute | Commit | Rollback,
    pydantic.Field(discriminator='type'),
]
_adapter = pydantic.TypeAdapter(CallerFrame)


class FrameError(ValueError):
    """A frame is invalid; `frame_id` is its id, or None if unreadable."""

    def __init__(self, frame_id: int | None, detail: str):
        super().__init__(detail)
        self.frame_id = frame_id


def parse(raw: str | bytes) -> CallerFrame:
    """Return the validated frame; raise FrameError if it is invalid."""
    try:
        return _adapter.validate_json(raw)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        key = '.'.join(str(part) for part in first['loc'][1:])
        detail = f'{key}: {first["msg"]}' if key else first['msg']
        raise FrameError(read_id(raw), detail) from None


class _Id(pydantic.BaseModel):
    id: int | None = None


def read_id(raw: str | bytes) -> int | None:
    """Return the id of a frame, or None if it cannot be decoded."""
    try:
        # As lenient as `parse`, which reads NaN and Infinity.
        return _Id.model_validate_json(raw, strict=True).id
    except pydantic.ValidationError:
        return None


class AnswerFrame(msgspec.Struct, omit_defaults=True):
    """Answer to a caller."""

    id: int | None
    outcome: str
    rows: list[list[typing.Any]] | None = None
    token: str = ''
    reason: str = ''
    retry_after_ms: int | None = None
    detail: str = ''
    served_by: str = ''
    repeated: bool = False


_encode = msgspec.json.Encoder().encode
# Asks a caller to move its session once it has no open work here.
LEAVING_FRAME = _encode(AnswerFrame(None, 'leaving'))


def encode(
    frame_id: int | None, outcome: outcomes.Outcome, token: str
) -> bytes:
    """Return the answer frame for an outcome."""
    match outcome:
        case outcomes.Done():
            frame = AnswerFrame(
                frame_id,
                'done',
                outcome.rows,
                token,
                served_by=outcome.served_by,
                repeated=outcome.repeated,
            )
        case outcomes.NotRun():
            frame = AnswerFrame(
                frame_id,
                'not_run',
                reason=str(outcome.reason),
                retry_after_ms=outcome.retry_after_ms,
            )
        case outcomes.Unknown():
            frame = AnswerFrame(
                frame_id, 'unknown', reason=str(outcome.reason)
            )
        case outcomes.Rejected():
            frame = AnswerFrame(
                frame_id,
                'rejected',
                reason=str(outcome.reason),
                detail=outcome.detail,
            )
    return _encode(frame)
