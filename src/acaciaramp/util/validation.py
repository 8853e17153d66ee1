"""Checks of a JSON text against a model, with every mistake in one go."""

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
    """Base of all checked models: unknown keys are refused."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class TextValidationError(AcaciarampError):
    """A text breaks the rules of its model.

    Attributes:
        mistakes: One sentence for each mistake, with its place.
    """

    def __init__(self, source: str, mistakes: list[str]) -> None:
        """Create the error for the text called ``source``."""
        lines = [f'{source}: {mistake}' for mistake in mistakes]
        super().__init__('\n'.join(lines))
        self.mistakes = mistakes


def validate(model: type[Model], text: str, source: str) -> Model:
    """Return ``text`` as an object of ``model``.

    Args:
        model: The pydantic model of the whole text.
        text: JSON with comments.
        source: What to call the text in messages.

    Raises:
        TextValidationError: The text is malformed or breaks the model's rules.
    """
    try:
        parsed = jsonc.parse(text)
    except jsonc.JsonSyntaxError as exc:
        raise TextValidationError(source, [str(exc)]) from None
    try:
        return model.model_validate(parsed.tree)
    except pydantic.ValidationError as exc:
        found = exc.errors(include_url=False)
        mistakes = [_sentence(model, parsed, error) for error in found]
        raise TextValidationError(source, mistakes) from None


def _sentence(
    model: type[pydantic.BaseModel], parsed: jsonc.Parsed, error: Any
) -> str:
    path = tuple(error['loc'])
    name = '.'.join(str(part) for part in path) or 'the whole text'
    place = parsed.position_of(path)
    if error['type'] == 'extra_forbidden':
        hint = _nearest(str(path[-1]), _known_keys(model))
        return f'{place}: {name}: unknown key{hint}'
    if error['type'] == 'missing':
        return f'{place}: {name}: this key is required'
    shown = repr(error['input'])[:_LONGEST_SHOWN]
    return f'{place}: {name}: {shown} is not allowed: {error["msg"]}'


def _nearest(key: str, known: Iterable[str]) -> str:
    matches = difflib.get_close_matches(key, list(known), n=1, cutoff=0)
    return f'; the nearest known key is "{matches[0]}"' if matches else ''


def _known_keys(model: type[pydantic.BaseModel]) -> set[str]:
    schema = model.model_json_schema()
    keys = set(schema.get('properties', {}))
    for definition in schema.get('$defs', {}).values():
        keys.update(definition.get('properties', {}))
    return keys


_LONGEST_SHOWN = 80
