"""Settings of the C library's heap."""

from __future__ import annotations

import ctypes

# Parameters of ``mallopt`` in malloc.h of the GNU C library.
_M_TRIM_THRESHOLD = -1
_M_TOP_PAD = -2
_M_MMAP_THRESHOLD = -3
# Large bodies are larger, objects are smaller.
_MAPPED_BYTES = 32_768
# Free memory at the end of the heap: what is added with each extension, so that
# no block with a mapping of its own would fit in it, and what is kept.
_ADDED_BYTES = 32_768
_KEPT_BYTES = 131_072


def map_large_blocks() -> bool:
    """Give each large block a mapping of its own, which ends when it is freed.

    By default, the GNU C library raises the size from which a block has one
    with each larger block that is freed. Bodies then share pages with small
    objects that live on, and their memory stays in use.

    Returns:
        Whether the C library has these settings.
    """
    mallopt = getattr(_library(), 'mallopt', None)
    if mallopt is None:
        return False
    settings = {
        _M_MMAP_THRESHOLD: _MAPPED_BYTES,
        _M_TOP_PAD: _ADDED_BYTES,
        _M_TRIM_THRESHOLD: _KEPT_BYTES,
    }
    return all(mallopt(name, size) for name, size in settings.items())


def release_free_memory() -> None:
    """Return the free pages of the heap to the system."""
    malloc_trim = getattr(_library(), 'malloc_trim', None)
    if malloc_trim is not None:
        malloc_trim(0)


def _library() -> ctypes.CDLL:
    return ctypes.CDLL(None)
