"""Deltas add up to the whole message."""

from __future__ import annotations

import msgspec

from acaciaramp.endpoints.deltas import Assembler, Delta
from acaciaramp.fakes.model import PromptMessage, generate


def whole(*deltas: Delta) -> bytes:
    assembler = Assembler()
    for delta in deltas:
        assembler.add(delta)
    return msgspec.json.encode(assembler.assemble())


def test_text_is_joined() -> None:
    parts = [Delta(role='assistant'), Delta(content='a'), Delta(content='b')]
    assert whole(*parts) == b'{"role":"assistant","content":"ab"}'


def test_tool_calls_are_joined() -> None:
    completion = generate([PromptMessage('user', 'please [[call:stock]]')], 10)
    message = msgspec.json.decode(whole(*completion.deltas))
    call = message['tool_calls'][0]
    assert message['content'] is None
    assert call['function'] == {'name': 'stock', 'arguments': '{"asked":true}'}
