"""Reads the sound entries of a JSON list beside unreadable ones.

Decoders give up a whole document for one string that is not Unicode text: bytes that
are not UTF-8, or the escape of half a surrogate pair, which is what JSON libraries
write for such bytes.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from acaciaramp.util.jsondepth import decode_limited, limit_depth

if TYPE_CHECKING:
    from collections.abc import Iterator

_Decoded = TypeVar('_Decoded')
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError)


def decode_readable(
    decoder: msgspec.json.Decoder[_Decoded], document: bytes, most_depth: int
) -> _Decoded:
    """Decode a document; unreadable entries of its lists count as null.

    Args:
        decoder: Decodes it.
        document: JSON object whose members may be lists of entries.
        most_depth: Number of arrays and objects that may enclose a value; what is
            nested more deeply counts as null as well.

    Raises:
        msgspec.DecodeError: It is malformed otherwise.
        UnicodeDecodeError: It is not UTF-8 elsewhere.
    """
    try:
        return decode_limited(decoder, document, most_depth)
    except _DECODE_ERRORS:
        readable = _without_unreadable(limit_depth(document, most_depth))
        if readable is None:
            raise
        return decoder.decode(readable)


def _without_unreadable(document: bytes) -> bytes | None:
    """Return a document with null for unreadable entries; None if it is no object."""
    try:
        tree = json.loads(document.decode(errors='surrogateescape'))
    except ValueError:
        return None
    if not isinstance(tree, dict):
        return None
    members = (f'{json.dumps(key)}:{_encode_member(tree[key])}' for key in tree)
    return f'{{{",".join(members)}}}'.encode()


def _encode_member(member: Any) -> str:
    if not isinstance(member, list):
        return json.dumps(member)
    return f'[{",".join(_encode_readable(member))}]'


def _encode_readable(entries: list[Any]) -> Iterator[str]:
    for entry in entries:
        try:
            json.dumps(entry, ensure_ascii=False).encode()
        except UnicodeEncodeError:
            yield 'null'
        else:
            yield json.dumps(entry)
