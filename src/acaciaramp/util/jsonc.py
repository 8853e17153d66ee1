"""Parser for JSON with comments that records the position of every value."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

import lark

from acaciaramp.errors import AcaciarampError

_GRAMMAR = r"""
?value: object | array | string | number | literal
object: "{" [pair ("," pair)* [","]] "}"
pair: string ":" value
array: "[" [value ("," value)* [","]] "]"
string: STRING
number: NUMBER
literal: LITERAL
STRING: /"(?:[^"\\\x00-\x1f]|\\["\\\/bfnrt]|\\u[0-9a-fA-F]{4})*"/
NUMBER: /-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?/
LITERAL: "true" | "false" | "null"
COMMENT: /\/\/[^\n]*/ | /\/\*(?:.|\n)*?\*\//
WHITESPACE: /[ \t\r\n]+/
%ignore COMMENT
%ignore WHITESPACE
"""

Path = tuple[str | int, ...]


class Position(NamedTuple):
    """Position of a value in its text.

    Attributes:
        line: Line number, from 1.
        column: Column number, from 1.
    """

    line: int
    column: int

    def __str__(self) -> str:
        """Return the position as messages show it."""
        return f'line {self.line}, column {self.column}'


class JsonSyntaxError(AcaciarampError):
    """The text is not JSON with comments.

    Attributes:
        position: Where parsing stopped.
    """

    def __init__(self, message: str, position: Position) -> None:
        """Create the error for a text that is invalid at ``position``."""
        super().__init__(f'{position}: {message}')
        self.position = position


class Parsed(NamedTuple):
    """A parsed text.

    Attributes:
        tree: The value, as ``json.loads`` would return it.
        places: Position of each value, by its path from the root.
    """

    tree: Any
    places: dict[Path, Position]

    def position_of(self, path: Path) -> Position:
        """Return the position of the value at ``path``.

        If there is none, it is that of the nearest ancestor that exists.
        """
        while path and path not in self.places:
            path = path[:-1]
        return self.places.get(path, Position(1, 1))


def parse(text: str) -> Parsed:
    """Parse JSON with ``//`` and ``/* */`` comments and trailing commas.

    Args:
        text: The whole text.

    Raises:
        JsonSyntaxError: The text is malformed, or an object has a duplicate
            key.
    """
    try:
        root = _PARSER.parse(text)
    except lark.UnexpectedInput as exc:
        position = Position(max(exc.line, 1), max(exc.column, 1))
        raise JsonSyntaxError('not valid JSON here', position) from None
    positions: dict[Path, Position] = {}
    return Parsed(_convert(root, (), positions), positions)


def _convert(
    node: lark.Tree[Any], path: Path, positions: dict[Path, Position]
) -> Any:
    meta = node.meta
    positions[path] = Position(
        getattr(meta, 'line', 1), getattr(meta, 'column', 1)
    )
    children = [child for child in node.children if child is not None]
    if node.data == 'object':
        return _convert_object(children, path, positions)
    if node.data == 'array':
        return [
            _convert(child, (*path, index), positions)
            for index, child in enumerate(children)
        ]
    return json.loads(str(children[0]))


def _convert_object(
    pairs: list[Any], path: Path, positions: dict[Path, Position]
) -> dict[str, Any]:
    members: dict[str, Any] = {}
    for pair in pairs:
        name_node, member = pair.children
        name = json.loads(str(name_node.children[0]))
        if name in members:
            position = Position(pair.meta.line, pair.meta.column)
            raise JsonSyntaxError(f'the key "{name}" stands twice', position)
        members[name] = _convert(member, (*path, name), positions)
    return members


_PARSER = lark.Lark(
    _GRAMMAR, start='value', parser='lalr', propagate_positions=True
)
