"""Versions of the routing table, and the differences between them.

Answers the load of a large table that changes often: every instance gets each
version, over links that are narrow between regions, and most of a version is
that of the one before.
"""

from __future__ import annotations

import collections
import zlib

import msgspec

from acaciaramp.coordination.codec import pack_table, unpack_table
from acaciaramp.errors import AcaciarampError

# Versions whose difference from the newest one can be sent.
_MAX_VERSIONS = 8
# Tables are JSON documents; a difference consists of whole parts between these.
_SEPARATOR = b'{'


class DeltaError(AcaciarampError):
    """A difference does not fit the table that it is applied to."""


class _Copy(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Parts of the base that the new version has as well."""

    first: int
    count: int


class _Insert(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Parts that the base does not have."""

    parts: list[bytes]


class _Delta(msgspec.Struct, frozen=True, array_like=True):
    """The difference between two versions, and the checksums of both."""

    base_checksum: int
    checksum: int
    steps: list[_Copy | _Insert]


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(_Delta)


def make_delta(base: bytes, new: bytes) -> bytes:
    """Return the difference between two versions of a table."""
    base_parts = base.split(_SEPARATOR)
    index = {part: number for number, part in enumerate(base_parts)}
    steps: list[_Copy | _Insert] = []
    for part in new.split(_SEPARATOR):
        _append_step(steps, part, base_parts, index)
    return zlib.compress(
        _encode(_Delta(zlib.crc32(base), zlib.crc32(new), steps))
    )


def apply_delta(base: bytes, delta: bytes) -> bytes:
    """Return the new version of a table.

    Raises:
        DeltaError: The difference is damaged or has another base.
    """
    try:
        decoded = _decoder.decode(zlib.decompress(delta))
    except (zlib.error, msgspec.DecodeError) as exc:
        raise DeltaError(f'the difference is damaged: {exc}') from None
    if zlib.crc32(base) != decoded.base_checksum:
        raise DeltaError('the difference has another base')
    base_parts = base.split(_SEPARATOR)
    parts: list[bytes] = []
    for step in decoded.steps:
        match step:
            case _Copy(first=first, count=count):
                parts.extend(base_parts[first : first + count])
            case _Insert(parts=inserted):
                parts.extend(inserted)
    new = _SEPARATOR.join(parts)
    if zlib.crc32(new) != decoded.checksum:
        raise DeltaError('the result of the difference is damaged')
    return new


class TableHistory:
    """The latest versions of the table, and differences that were made."""

    def __init__(self) -> None:
        """Create the history without versions."""
        self._packed: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self._deltas: dict[int, bytes] = {}

    def record(self, version: int, packed: bytes) -> None:
        """Add a version, which is the newest one; known ones are ignored.

        Args:
            version: The version.
            packed: The table, compressed.
        """
        if not version or version in self._packed:
            return
        self._packed[version] = packed
        self._deltas = {}
        if len(self._packed) > _MAX_VERSIONS:
            self._packed.popitem(last=False)

    def delta_from(self, version: int) -> bytes | None:
        """Return the difference between a version and the newest one.

        None if the version is not known any more, or if the difference is not
        smaller than the table.

        Args:
            version: The version that the difference is to be applied to.
        """
        base = self._packed.get(version)
        if base is None:
            return None
        newest = next(reversed(self._packed.values()))
        delta = self._deltas.get(version)
        if delta is None:
            delta = make_delta(unpack_table(base), unpack_table(newest))
            self._deltas[version] = delta
        return delta if len(delta) < len(newest) else None


class HeldTable:
    """The version of the table that one instance has.

    Attributes:
        version: The version; 0 for none.
    """

    def __init__(self) -> None:
        """Create it without a table."""
        self.version = 0
        self._packed = b''

    @property
    def body(self) -> bytes:
        """The table as operators sent it."""
        return unpack_table(self._packed)

    def replace(self, version: int, packed: bytes) -> None:
        """Replace the table by a whole one, which is compressed."""
        self.version = version
        self._packed = packed

    def update(self, version: int, delta: bytes) -> None:
        """Replace the table by a version that differs from it.

        Raises:
            DeltaError: The difference does not fit this table.
        """
        self._packed = pack_table(apply_delta(self.body, delta))
        self.version = version


def _append_step(
    steps: list[_Copy | _Insert],
    part: bytes,
    base_parts: list[bytes],
    index: dict[bytes, int],
) -> None:
    """Append a part of the new version, as a copy where the base has it."""
    last = steps[-1] if steps else None
    if isinstance(last, _Copy):
        following = last.first + last.count
        if following < len(base_parts) and base_parts[following] == part:
            steps[-1] = _Copy(last.first, last.count + 1)
            return
    number = index.get(part)
    if number is None:
        _append_inserted(steps, part)
    else:
        steps.append(_Copy(number, 1))


def _append_inserted(steps: list[_Copy | _Insert], part: bytes) -> None:
    last = steps[-1] if steps else None
    if isinstance(last, _Insert):
        last.parts.append(part)
    else:
        steps.append(_Insert([part]))
