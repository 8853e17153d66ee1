"""Mistakes in settings and documents are told in one go, with places."""

from __future__ import annotations

import pytest

from acaciaramp.documents.model import Document
from acaciaramp.settings.model import Settings
from acaciaramp.util.validation import TextValidationError, validate

_SETTINGS = """
// comment
{
  "instance": "entry-1",
  "availability_zone": "medina-nord",
  "callers": {"port": 0},   /* too small */
  "inner": {"port": 7101, "hots": "127.0.0.1"},
  "documant": "environment.jsonc",
}
"""


def mistakes_of(model: type[Settings | Document], text: str) -> list[str]:
    with pytest.raises(TextValidationError) as caught:
        validate(model, text, 'file')
    return caught.value.mistakes


def test_every_mistake_is_told_with_its_place() -> None:
    told = '\n'.join(mistakes_of(Settings, _SETTINGS))
    assert 'line 6, column 23: callers.port: 0 is not allowed' in told
    assert 'line 7, column 35: inner.hots: unknown key' in told
    assert 'the nearest known key is "host"' in told
    assert 'the nearest known key is "document"' in told
    assert 'document: this key is required' in told


@pytest.mark.parametrize(
    ('text', 'place'),
    [
        ('{', 'line 1'),
        ('{"a": 1 "b": 2}', 'line 1, column 9'),
        ('{\n"a": 1,\n"a": 2}', 'line 3, column 1'),
        ('[1, 2', 'line 1'),
        ('', 'line 1'),
    ],
)
def test_syntax_errors_have_their_place(text: str, place: str) -> None:
    told = mistakes_of(Settings, text)
    assert len(told) == 1
    assert told[0].startswith(place)


def test_document_mistakes_across_keys_are_told_together() -> None:
    text = """{
      "environment": "test", "revision": 1,
      "services": [], "workspaces": [
        {"name": "a", "rate": 1, "burst": 1},
        {"name": "a", "rate": 1, "burst": 1}],
      "routes": [{"service": "x", "prefix": "/", "workspace": "y"}]}"""
    told = '\n'.join(mistakes_of(Document, text))
    assert 'the workspace "a" stands twice' in told
    assert 'no plain service "x"' in told
    assert 'no workspace "y"' in told
