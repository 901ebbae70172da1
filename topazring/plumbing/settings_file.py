"""Read settings in JSON with comments and check them."""

import pathlib
import typing

import json5
import pydantic

__all__ = ['SettingsError', 'read_settings', 'read_text']

Model = typing.TypeVar('Model', bound=pydantic.BaseModel)


class SettingsError(ValueError):
    """Name the file, the key and the reason, in one line."""


def read_settings(path: str, model: type[Model]) -> Model:
    """Return the checked settings; raise SettingsError on any fault."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: cannot be read: {error}') from None
    return read_text(text, model, path)


def read_text(text: str, model: type[Model], source: str) -> Model:
    """Check settings that were read from `source`."""
    try:
        return model.model_validate(json5.loads(text))
    except pydantic.ValidationError as error:
        raise SettingsError(_first_fault(source, error)) from None
    except ValueError as error:
        raise SettingsError(f'{source}: is not JSON: {error}') from None


def _first_fault(source: str, error: pydantic.ValidationError) -> str:
    faults = error.errors(include_url=False)
    first = faults[0]
    key = '.'.join(str(part) for part in first['loc']) or '(whole)'
    more = f' (and {len(faults) - 1} more)' if len(faults) > 1 else ''
    return f'{source}: {key}: {first["msg"]}{more}'
