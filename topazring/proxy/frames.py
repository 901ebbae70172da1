"""Check the frames that callers send; see docs/PROTOCOL.md."""

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

Value = str | int | float | bool | None
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
    """Run a statement that changes nothing."""

    type: typing.Literal['read']
    statement: Sql
    parameters: list[Value] = []
    # What another session of the same caller has seen.
    token: str | None = None


class Write(_Frame):
    """Run a statement that may change something, under a request id."""

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
    """Drop the open transaction."""

    type: typing.Literal['rollback']


CallerFrame = typing.Annotated[
    Hello | Read | Write | Batch | Begin | Execute | Commit | Rollback,
    pydantic.Field(discriminator='type'),
]
_adapter = pydantic.TypeAdapter(CallerFrame)


class FrameError(ValueError):
    """Say what is wrong with a frame, and which frame if that is known."""

    def __init__(self, frame_id: int | None, detail: str):
        super().__init__(detail)
        self.frame_id = frame_id


def parse(raw: str | bytes) -> CallerFrame:
    """Check a frame; raise FrameError if it is not one."""
    try:
        return _adapter.validate_json(raw)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        key = '.'.join(str(part) for part in first['loc'][1:])
        detail = f'{key}: {first["msg"]}' if key else first['msg']
        raise FrameError(read_id(raw), detail) from None


class _Id(msgspec.Struct):
    id: int | None = None


def read_id(raw: str | bytes) -> int | None:
    """Return a frame's id, if so much of it can be read."""
    try:
        return msgspec.json.decode(raw, type=_Id).id
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


class AnswerFrame(msgspec.Struct, omit_defaults=True):
    """Carry an outcome to the caller."""

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
# Tells a caller to move its session when it has nothing open here.
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
