"""Reading of text files."""

from __future__ import annotations

import pathlib

from acaciaramp.errors import AcaciarampError


class FileError(AcaciarampError):
    """A file cannot be read as UTF-8 text."""


def read_text(path: str) -> str:
    """Return the text of the UTF-8 file at ``path``.

    Raises:
        FileError: The file cannot be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise FileError(
            f'{path}: cannot be read as UTF-8 text: {exc}'
        ) from None
