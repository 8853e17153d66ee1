"""Validation errors are reported all at once, with their positions."""

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


def errors_of(model: type[Settings | Document], text: str) -> list[str]:
    with pytest.raises(TextValidationError) as caught:
        validate(model, text, 'file')
    return caught.value.mistakes


def test_every_error_is_reported_with_its_position() -> None:
    errors = '\n'.join(errors_of(Settings, _SETTINGS))
    assert 'line 6, column 23: callers.port: 0 is not allowed' in errors
    assert 'line 7, column 35: inner.hots: unknown key' in errors
    assert 'the nearest known key is "host"' in errors
    assert 'the nearest known key is "document"' in errors
    assert 'document: this key is required' in errors


@pytest.mark.parametrize(
    ('text', 'position'),
    [
        ('{', 'line 1'),
        ('{"a": 1 "b": 2}', 'line 1, column 9'),
        ('{\n"a": 1,\n"a": 2}', 'line 3, column 1'),
        ('[1, 2', 'line 1'),
        ('', 'line 1'),
    ],
)
def test_syntax_errors_are_reported_with_their_position(
    text: str, position: str
) -> None:
    errors = errors_of(Settings, text)
    assert len(errors) == 1
    assert errors[0].startswith(position)


def test_document_errors_across_keys_are_reported_together() -> None:
    text = """{
      "environment": "test", "revision": 1,
      "services": [], "workspaces": [
        {"name": "a", "rate": 1, "burst": 1},
        {"name": "a", "rate": 1, "burst": 1}],
      "routes": [{"service": "x", "prefix": "/", "workspace": "y"}]}"""
    errors = '\n'.join(errors_of(Document, text))
    assert 'the workspace "a" stands twice' in errors
    assert 'no plain service "x"' in errors
    assert 'no workspace "y"' in errors
