"""Prefix cache of the fake engine, with LRU eviction and cache events."""

from __future__ import annotations

import collections
import enum
import hashlib
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from acaciaramp.clock import Clock

BLOCK_TOKENS = 16


class CacheChange(enum.Enum):
    """Kind of a cache event."""

    STORED = 'stored'
    EVICTED = 'evicted'


class CacheEvent(msgspec.Struct, frozen=True):
    """A numbered cache event.

    Attributes:
        number: Sequence number from 1; a gap means that events were dropped.
        change: Stored or evicted.
        block: Hash of the block; covers all tokens up to its end.
        at_ms: Time of the change on the engine's clock, milliseconds.
    """

    number: int
    change: CacheChange
    block: str
    at_ms: int


class PrefixCache:
    """Cache of prompt blocks with LRU eviction.

    Blocks pinned by a session are evicted only if no other block is left.

    Attributes:
        session_blocks: The blocks that each session pins.
    """

    def __init__(self, capacity_blocks: int, clock: Clock) -> None:
        """Create an empty cache.

        Args:
            capacity_blocks: Maximum number of blocks.
            clock: Source of event times.
        """
        self.session_blocks: dict[str, list[str]] = {}
        self._capacity_blocks = capacity_blocks
        self._clock = clock
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: list[CacheEvent] = []
        self._last_number = 0

    def cached_tokens(self, tokens: Sequence[str]) -> int:
        """Return the length of the cached prefix, in tokens."""
        count = 0
        for block in block_hashes(tokens):
            if block not in self._blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    def store(self, session: str, tokens: Sequence[str]) -> None:
        """Store the blocks of ``tokens`` and pin them for ``session``."""
        self.store_blocks(session, block_hashes(tokens))

    def store_blocks(self, session: str, blocks: list[str]) -> None:
        """Store blocks and pin them for ``session``.

        The blocks replace those that the session pinned before. An empty
        session pins nothing.
        """
        for block in blocks:
            if block not in self._blocks:
                self._make_room()
                self._record_event(CacheChange.STORED, block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        if session:
            self.session_blocks[session] = blocks

    def release(self, session: str) -> bool:
        """Unpin the blocks of a session; return whether it had any pinned."""
        return self.session_blocks.pop(session, None) is not None

    def held_blocks(self) -> int:
        """Return the number of cached blocks that sessions pin."""
        return len(self._pinned())

    def events_after(
        self, number: int, delay_ms: int, drop_every: int
    ) -> list[CacheEvent]:
        """Return the published events after ``number``, without dropped ones.

        Args:
            number: Number of the last event that the reader has seen.
            delay_ms: Delay until an event is published, milliseconds.
            drop_every: Every n-th event is dropped; 0 for none.
        """
        published_until_ms = self._clock.now_ms() - delay_ms
        return [
            event
            for event in self._events
            if event.number > number
            and event.at_ms <= published_until_ms
            and not (drop_every and event.number % drop_every == 0)
        ]

    def _make_room(self) -> None:
        """Evict blocks until one more can be stored."""
        while len(self._blocks) >= self._capacity_blocks:
            pinned = self._pinned()
            unpinned = next(
                (key for key in self._blocks if key not in pinned), None
            )
            victim = unpinned or next(iter(self._blocks))
            self._blocks.pop(victim)
            self._record_event(CacheChange.EVICTED, victim)

    def _pinned(self) -> set[str]:
        return {
            block
            for blocks in self.session_blocks.values()
            for block in blocks
            if block in self._blocks
        }

    def _record_event(self, change: CacheChange, block: str) -> None:
        self._last_number += 1
        self._events.append(
            CacheEvent(self._last_number, change, block, self._clock.now_ms())
        )
        if len(self._events) > _MAX_EVENTS:
            self._events = self._events[-_MAX_EVENTS // 2 :]


def block_hashes(tokens: Sequence[str]) -> list[str]:
    """Return the hash of each full block of tokens.

    A hash covers all tokens up to the end of its block, so that equal hashes
    mean equal prefixes. Tokens after the last full block are not cached.
    """
    digest = hashlib.sha256()
    hashes = []
    full_blocks_end = len(tokens) - len(tokens) % BLOCK_TOKENS
    for start in range(0, full_blocks_end, BLOCK_TOKENS):
        digest.update('\n'.join(tokens[start : start + BLOCK_TOKENS]).encode())
        hashes.append(digest.hexdigest()[:_HASH_HEX_DIGITS])
    return hashes


_MAX_EVENTS = 20_000
_HASH_HEX_DIGITS = 16
