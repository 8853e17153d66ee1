"""The stand-in engine's prefix cache: limited memory, eviction, events."""

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
    """What happened to a block."""

    STORED = 'stored'
    EVICTED = 'evicted'


class CacheEvent(msgspec.Struct, frozen=True):
    """One numbered cache event.

    Attributes:
        number: Counts up from 1; a gap means that events were lost.
        change: Stored or evicted.
        block: The block's hash, which covers all tokens up to its end.
        at_ms: When it happened on the engine's clock, milliseconds.
    """

    number: int
    change: CacheChange
    block: str
    at_ms: int


class PrefixCache:
    """Blocks of prompt tokens, least recently used first.

    Attributes:
        session_blocks: The blocks that each session holds.
    """

    def __init__(self, capacity_blocks: int, clock: Clock) -> None:
        """Create the empty cache.

        Args:
            capacity_blocks: Most blocks that it keeps.
            clock: Stamps the events.
        """
        self.session_blocks: dict[str, list[str]] = {}
        self._capacity = capacity_blocks
        self._clock = clock
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: list[CacheEvent] = []
        self._last = 0

    def cached_tokens(self, tokens: Sequence[str]) -> int:
        """Return how many tokens at the beginning are cached."""
        count = 0
        for block in block_hashes(tokens):
            if block not in self._blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    def store(self, session: str, tokens: Sequence[str]) -> None:
        """Keep the blocks of ``tokens``, held by ``session``."""
        self.store_blocks(session, block_hashes(tokens))

    def store_blocks(self, session: str, blocks: list[str]) -> None:
        """Keep blocks, held by ``session``."""
        for block in blocks:
            if block not in self._blocks:
                self._make_room()
                self._record(CacheChange.STORED, block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        if session:
            self.session_blocks[session] = blocks

    def release(self, session: str) -> bool:
        """Let go of what a session holds; its blocks may be evicted now."""
        return self.session_blocks.pop(session, None) is not None

    def held_blocks(self) -> int:
        """Return how many blocks are held by sessions."""
        return len(self._pinned())

    def events_after(
        self, number: int, delay_ms: int, drop_every: int
    ) -> list[CacheEvent]:
        """Return events that are old enough, without those dropped.

        Args:
            number: Number of the last event that the reader has.
            delay_ms: How late events are published, milliseconds.
            drop_every: Every n-th event is lost; 0 for none.
        """
        newest_ms = self._clock.now_ms() - delay_ms
        return [
            event
            for event in self._events
            if event.number > number
            and event.at_ms <= newest_ms
            and not (drop_every and event.number % drop_every == 0)
        ]

    def _make_room(self) -> None:
        while len(self._blocks) >= self._capacity:
            pinned = self._pinned()
            free = next(
                (key for key in self._blocks if key not in pinned), None
            )
            oldest = free or next(iter(self._blocks))
            self._blocks.pop(oldest)
            self._record(CacheChange.EVICTED, oldest)

    def _pinned(self) -> set[str]:
        return {
            block
            for blocks in self.session_blocks.values()
            for block in blocks
            if block in self._blocks
        }

    def _record(self, change: CacheChange, block: str) -> None:
        self._last += 1
        self._events.append(
            CacheEvent(self._last, change, block, self._clock.now_ms())
        )
        if len(self._events) > _MOST_EVENTS:
            self._events = self._events[-_MOST_EVENTS // 2 :]


def block_hashes(tokens: Sequence[str]) -> list[str]:
    """Return the hash of each whole block; each covers all before it."""
    digest = hashlib.sha256()
    hashes = []
    whole = len(tokens) - len(tokens) % BLOCK_TOKENS
    for start in range(0, whole, BLOCK_TOKENS):
        digest.update('\n'.join(tokens[start : start + BLOCK_TOKENS]).encode())
        hashes.append(digest.hexdigest()[:_HASH_LENGTH])
    return hashes


_MOST_EVENTS = 20_000
_HASH_LENGTH = 16
