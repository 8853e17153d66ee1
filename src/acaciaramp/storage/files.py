"""Small checksummed files that are replaced atomically."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from acaciaramp.storage.journal import CorruptionError, encode_header, record_at

if TYPE_CHECKING:
    import pathlib


def replace_file(path: pathlib.Path, *parts: bytes) -> None:
    """Replace the content of a file atomically and durably.

    After a crash the file has either the old content or the new one.

    Args:
        path: The file.
        *parts: Parts of the content. A large one is not joined to the others.

    Raises:
        OSError: The disk is full or has failed.
    """
    new = path.with_suffix('.new')
    with new.open('wb') as file:
        file.write(encode_header(*parts))
        for part in parts:
            file.write(part)
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)
    sync_folder(path.parent)


def read_file(path: pathlib.Path) -> bytes | None:
    """Return the content of a file, or None if it does not exist.

    Raises:
        CorruptionError: The file is truncated or its checksum is wrong.
    """
    if not path.exists():
        return None
    content = record_at(path.read_bytes(), 0)
    if content is None:
        raise CorruptionError(f'{path}: the checksum of the file is wrong')
    return content


def sync_folder(folder: pathlib.Path) -> None:
    """Sync a folder, so that created and renamed files survive a crash.

    Raises:
        OSError: The disk has failed.
    """
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
