"""ChainCache evicts least recently used chains above its size limit."""

from __future__ import annotations

from acaciaramp.conversations.cache import ChainCache
from acaciaramp.conversations.messages import TurnKey
from tests import builders as build


def key(attempt: str) -> TurnKey:
    return TurnKey(build.WORKSPACE, attempt)


def test_the_least_recently_used_chain_is_evicted() -> None:
    cache = ChainCache(max_bytes=10)
    cache.put(key('a'), b'aaaa')
    cache.put(key('b'), b'bbbb')
    cache.get(key('a'))
    cache.put(key('c'), b'cccc')
    cached = {name: cache.get(key(name)) for name in 'abc'}
    assert cached == {'a': b'aaaa', 'b': None, 'c': b'cccc'}


def test_a_replaced_chain_is_counted_once() -> None:
    cache = ChainCache(max_bytes=10)
    for _ in range(5):
        cache.put(key('a'), b'aaaa')
    cache.put(key('b'), b'bbbb')
    assert cache.get(key('a')) == b'aaaa'


def test_a_chain_that_is_larger_than_the_cache_has_no_room() -> None:
    cache = ChainCache(max_bytes=10)
    assert cache.has_room(10)
    assert not cache.has_room(11)
