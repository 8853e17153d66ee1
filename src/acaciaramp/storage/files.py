"""Small files that are replaced as a whole."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from acaciaramp.storage.journal import CorruptionError, encode_record, record_at

if TYPE_CHECKING:
    import pathlib


def replace_file(path: pathlib.Path, content: bytes) -> None:
    """Put ``content`` in place of a file, so that a crash leaves one of both.

    Raises:
        OSError: The disk is full or failed.
    """
    new = path.with_suffix('.new')
    with new.open('wb') as file:
        file.write(encode_record(content))
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)
    sync_folder(path.parent)


def read_file(path: pathlib.Path) -> bytes | None:
    """Return the content of a file, None if there is none.

    Raises:
        CorruptionError: The file is damaged.
    """
    if not path.exists():
        return None
    content = record_at(path.read_bytes(), 0)
    if content is None:
        raise CorruptionError(f'{path}: the file is damaged')
    return content


def sync_folder(folder: pathlib.Path) -> None:
    """Make the names in a folder last.

    Raises:
        OSError: The disk failed.
    """
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
