"""LRU cache of chains of retained turns at an entry instance."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from acaciaramp.conversations.messages import TurnKey

# Bounds the memory of an entry instance; a miss costs one reply of the ledger
# that carries the chain.
_MAX_BYTES = 1_500_000


class ChainCache:
    """LRU cache of chains by the key of their newest turn.

    Retained turns are immutable, so a cached chain never becomes stale.
    """

    def __init__(self, max_bytes: int = _MAX_BYTES) -> None:
        """Create an empty cache.

        Args:
            max_bytes: Maximum total size of all chains.
        """
        self._max_bytes = max_bytes
        self._bytes = 0
        self._chains: collections.OrderedDict[TurnKey, bytes] = (
            collections.OrderedDict()
        )

    def get(self, key: TurnKey) -> bytes | None:
        """Return the chain that ends with a turn, None if it is not cached."""
        chain = self._chains.get(key)
        if chain is not None:
            self._chains.move_to_end(key)
        return chain

    def has_room(self, size: int) -> bool:
        """Return whether a chain of some bytes fits into the cache at all."""
        return size <= self._max_bytes

    def put(self, key: TurnKey, chain: bytes) -> None:
        """Store a chain and evict the least recently used ones over the limit.

        Args:
            key: The newest turn of the chain.
            chain: Contents of all its turns, oldest first.
        """
        self._bytes += len(chain) - len(self._chains.get(key, b''))
        self._chains[key] = chain
        self._chains.move_to_end(key)
        while self._bytes > self._max_bytes:
            _, evicted = self._chains.popitem(last=False)
            self._bytes -= len(evicted)
