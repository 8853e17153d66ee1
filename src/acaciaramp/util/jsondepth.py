"""Limits the depth of JSON before it is decoded.

Decoders give up a whole document for one value that is nested too deeply.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    import msgspec

_Decoded = TypeVar('_Decoded')

# Strings are matched whole, so that brackets within them do not count.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]', re.DOTALL)


def decode_limited(
    decoder: msgspec.json.Decoder[_Decoded], document: bytes, most_depth: int
) -> _Decoded:
    """Decode a document; what is nested too deeply counts as null.

    Args:
        decoder: Decodes it.
        document: JSON.
        most_depth: Number of arrays and objects that may enclose a value.

    Raises:
        msgspec.DecodeError: It is malformed.
        UnicodeDecodeError: It is not UTF-8.
    """
    try:
        return decoder.decode(document)
    except RecursionError:
        return decoder.decode(limit_depth(document, most_depth))


def limit_depth(document: bytes, most_depth: int) -> bytes:
    """Return a document with null in place of what is nested too deeply.

    Args:
        document: JSON; other bytes are returned with some parts missing.
        most_depth: Number of arrays and objects that may enclose a value.
    """
    kept: list[bytes] = []
    kept_until = 0
    depth = 0
    for token in _TOKEN.finditer(document):
        first = document[token.start()]
        if first in b'[{':
            if depth == most_depth:
                kept.append(document[kept_until : token.start()])
                kept.append(b'null')
            depth += 1
        elif first in b']}':
            depth -= 1
            if depth == most_depth:
                kept_until = token.end()
    if depth <= most_depth:
        kept.append(document[kept_until:])
    return b''.join(kept)
