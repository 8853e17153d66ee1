"""Validation of JSON texts against a model, reporting all errors at once."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any, TypeVar

import pydantic

from acaciaramp.errors import AcaciarampError
from acaciaramp.util import jsonc

if TYPE_CHECKING:
    from collections.abc import Iterable

Model = TypeVar('Model', bound=pydantic.BaseModel)


class StrictModel(pydantic.BaseModel):
    """Base of all validated models: immutable, and rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class TextValidationError(AcaciarampError):
    """A text does not conform to its model.

    Attributes:
        mistakes: One message per error, with its position in the text.
    """

    def __init__(self, source: str, mistakes: list[str]) -> None:
        """Create the error.

        Args:
            source: Name of the text in messages, such as its path.
            mistakes: One message per error.
        """
        lines = [f'{source}: {mistake}' for mistake in mistakes]
        super().__init__('\n'.join(lines))
        self.mistakes = mistakes


def validate(model: type[Model], text: str, source: str) -> Model:
    """Parse and validate a text.

    Args:
        model: The pydantic model of the whole text.
        text: JSON with comments.
        source: Name of the text in messages, such as its path.

    Returns:
        The text as an instance of ``model``.

    Raises:
        TextValidationError: The text is malformed, or it does not conform to
            the model; in that case every error is listed.
    """
    try:
        parsed = jsonc.parse(text)
    except jsonc.JsonSyntaxError as exc:
        raise TextValidationError(source, [str(exc)]) from None
    try:
        return model.model_validate(parsed.tree)
    except pydantic.ValidationError as exc:
        errors = exc.errors(include_url=False)
        mistakes = [_format_error(model, parsed, error) for error in errors]
        raise TextValidationError(source, mistakes) from None


def _format_error(
    model: type[pydantic.BaseModel], parsed: jsonc.Parsed, error: Any
) -> str:
    path = tuple(error['loc'])
    name = '.'.join(str(part) for part in path) or 'the whole text'
    position = parsed.position_of(path)
    if error['type'] == 'extra_forbidden':
        hint = _suggest(str(path[-1]), _known_keys(model))
        return f'{position}: {name}: unknown key{hint}'
    if error['type'] == 'missing':
        return f'{position}: {name}: this key is required'
    shown = repr(error['input'])[:_MAX_SHOWN_CHARS]
    return f'{position}: {name}: {shown} is not allowed: {error["msg"]}'


def _suggest(key: str, known_keys: Iterable[str]) -> str:
    matches = difflib.get_close_matches(key, list(known_keys), n=1, cutoff=0)
    return f'; the nearest known key is "{matches[0]}"' if matches else ''


def _known_keys(model: type[pydantic.BaseModel]) -> set[str]:
    schema = model.model_json_schema()
    keys = set(schema.get('properties', {}))
    for definition in schema.get('$defs', {}).values():
        keys.update(definition.get('properties', {}))
    return keys


_MAX_SHOWN_CHARS = 80
