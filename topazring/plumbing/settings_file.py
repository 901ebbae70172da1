"""Read and validate settings files in JSON with comments."""

import pathlib
import typing

import json5
import pydantic

__all__ = ['SettingsError', 'read_settings', 'read_text']

Model = typing.TypeVar('Model', bound=pydantic.BaseModel)


class SettingsError(ValueError):
    """Describe a settings error in one line: file, key and reason."""


def read_settings(path: str, model: type[Model]) -> Model:
    """Return the validated settings; raise SettingsError if invalid."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: cannot be read: {error}') from None
    return read_text(text, model, path)


def read_text(text: str, model: type[Model], source: str) -> Model:
    """Parse and validate settings that were read from `source`."""
    try:
        return model.model_validate(json5.loads(text))
    except pydantic.ValidationError as error:
        raise SettingsError(_describe_first_error(source, error)) from None
    except ValueError as error:
        raise SettingsError(f'{source}: is not JSON: {error}') from None


def _describe_first_error(source: str, error: pydantic.ValidationError) -> str:
    errors = error.errors(include_url=False)
    first = errors[0]
    key = '.'.join(str(part) for part in first['loc']) or '(whole)'
    more = f' (and {len(errors) - 1} more)' if len(errors) > 1 else ''
    return f'{source}: {key}: {first["msg"]}{more}'
