"""What is nested too deeply is replaced, and the rest stays as it is."""

from __future__ import annotations

import pytest

from acaciaramp.util.jsondepth import limit_depth

# Brackets and an escaped quote within strings.
STRINGS = rb'["[[[","]\"[[["]'


@pytest.mark.parametrize(
    ('document', 'expected'),
    [
        (b'[1,[2,[3]],4]', b'[1,[2,null],4]'),
        (b'{"a":{"b":{"c":1},"d":2}}', b'{"a":{"b":null,"d":2}}'),
        (STRINGS, STRINGS),
        (b'[[[[]],[[]]]]', b'[[null,null]]'),
        (b'[[[[', b'[[null'),
        (b']]]', b']]]'),
        (b'', b''),
    ],
)
def test_depth_is_limited_to_two(document: bytes, expected: bytes) -> None:
    assert limit_depth(document, 2) == expected
