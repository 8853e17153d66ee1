"""Unreadable entries of lists count as null; what is malformed is an error."""

from __future__ import annotations

import msgspec
import pytest

from acaciaramp.util.jsonentries import decode_readable
from tests.builders import HALF_PAIR

decoder = msgspec.json.Decoder()


@pytest.mark.parametrize(
    ('document', 'expected'),
    [
        (b'{"a":["\xc3\xa9"]}', {'a': ['\xe9']}),
        (b'{"a":[1,"%s",{"b":"%s"},2]}', {'a': [1, None, None, 2]}),
        (b'{"a":["\xff","x"],"b":null}', {'a': [None, 'x'], 'b': None}),
        (b'{"a":[[["%s"]],["x"]]}', {'a': [None, ['x']]}),
    ],
)
def test_unreadable_entries_count_as_null(
    document: bytes, expected: object
) -> None:
    document = document.replace(b'%s', HALF_PAIR)
    assert decode_readable(decoder, document, 8) == expected


@pytest.mark.parametrize(
    'document', [b'["%s"]', b'{"a":"%s"}', b'{"a":["%s"]', b'', b'{"a":nul}']
)
def test_other_unreadable_documents_are_errors(document: bytes) -> None:
    document = document.replace(b'%s', HALF_PAIR)
    with pytest.raises((msgspec.DecodeError, UnicodeDecodeError)):
        decode_readable(decoder, document, 8)
